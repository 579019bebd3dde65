//! The evacuations that an entry or guard knows, and how it passes them on.
//!
//! They come from any peer: from control processes, and over the links between entries and guards, so that a process that reaches no
//! control process learns them as well. Owns the newest that came. Relies on [`PeerLinks`] for which peer knows what.

use cloverfold_evacuation::EvacuatedHalls;
use cloverfold_link::LinkId;

use crate::links::PeerLinks;
use crate::messages::{PeerMessage, PeerRole};

/// The newest evacuations that have come.
#[derive(Debug, Default)]
pub struct KnownEvacuations {
    newest: EvacuatedHalls,
}

impl KnownEvacuations {
    /// Returns the evacuated halls.
    pub fn halls(&self) -> &EvacuatedHalls {
        &self.newest
    }

    /// Takes over what a peer tells if it is newer, and passes it on; returns whether it was. A control process gets an answer in any
    /// case: it tells again and again until it has one.
    pub fn receive(&mut self, told: EvacuatedHalls, from: LinkId, links: &mut PeerLinks) -> bool {
        links.record_evacuations(from, told.revision);
        let is_newer = self.newest.update(told);
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
        log::info!(revision = self.newest.revision, halls = halls.as_str(); "the evacuated data halls have changed");
    }

    /// Sends the evacuated halls to the peers that have not shown to know them. To be called when a peer has introduced itself, before
    /// anything else is sent to it: it then knows them before it begins work.
    pub fn announce(&self, links: &PeerLinks) {
        if self.newest.revision > 0 {
            links.send_evacuations(&self.newest, |_| true);
        }
    }
}
