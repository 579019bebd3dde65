//! The evacuated data halls known to an entry or guard, and their propagation to peers.
//!
//! Any peer may send them: control processes, and also entries and guards to each other, so that a process without a link to a control
//! process learns them as well. [`PeerLinks`] records which revision each peer has acknowledged.

use cloverfold_evacuation::EvacuatedHalls;
use cloverfold_link::LinkId;

use crate::links::PeerLinks;
use crate::messages::{PeerMessage, PeerRole};

/// The newest evacuated data halls that were received.
#[derive(Debug, Default)]
pub struct KnownEvacuations {
    newest: EvacuatedHalls,
}

impl KnownEvacuations {
    /// Returns the evacuated halls.
    pub fn halls(&self) -> &EvacuatedHalls {
        &self.newest
    }

    /// Adopts evacuated halls from a peer if they are newer, and propagates them; returns whether they were newer. A control process
    /// always gets a reply, because it resends them until it has an acknowledgement.
    pub fn receive(
        &mut self,
        received: EvacuatedHalls,
        from: LinkId,
        links: &mut PeerLinks,
    ) -> bool {
        links.record_evacuations(from, received.revision);
        let is_newer = self.newest.update(received);
        if is_newer {
            self.log_halls();
            self.announce(links);
        }
        let sender = links.hello(from).map(|hello| hello.role);
        if matches!(sender, Some(PeerRole::Control { .. })) {
            links.send(from, &PeerMessage::Evacuations(self.newest.clone()));
        }
        is_newer
    }

    fn log_halls(&self) {
        let halls: Vec<&str> = self.newest.halls.iter().map(String::as_str).collect();
        let halls = halls.join(",");
        log::info!(revision = self.newest.revision, halls = halls.as_str(); "evacuated data halls changed");
    }

    /// Sends the evacuated halls to all peers that have not acknowledged them. Call this when a peer has sent its [`Hello`](crate::Hello),
    /// before any other message to it, so that the peer knows the halls before it starts work.
    pub fn announce(&self, links: &PeerLinks) {
        if self.newest.revision > 0 {
            links.send_evacuations(&self.newest, |_| true);
        }
    }
}
