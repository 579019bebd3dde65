//! Drains the links to entries that a guard drops, without interrupting a run.
//!
//! ```text
//! (active) ──dropped──▶ draining ──MIN_DRAIN_TIME over, no run left──▶ notified ──next step──▶ (closed)
//!     ▲                    │
//!     └──assigned again────┘
//! ```
//!
//! The guard carries out each step and advances every few tens of milliseconds.

use std::collections::HashMap;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_link::LinkId;

/// Minimum time for which a link drains, so that assignments in flight arrive: the session timeout, after which earlier assignments
/// are void.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(500);

/// Progress of one link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainState {
    /// The guard offers the entry no target and waits for its runs to end.
    Draining { since: Timestamp },
    /// The guard has sent [`PeerMessage::Goodbye`](crate::PeerMessage::Goodbye).
    Notified,
}

/// Next step of the guard on a link to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDrainStep {
    /// Keep the current state.
    NoChange,
    /// Stop offering the target to the entry.
    StopOffering,
    /// Offer the target to the entry again.
    ResumeOffering,
    /// Send [`PeerMessage::Goodbye`](crate::PeerMessage::Goodbye).
    SendGoodbye,
    /// Close the link; messages sent before are already in flight.
    Close,
}

/// The links that are being drained.
#[derive(Debug, Default)]
pub struct LinkDrains {
    links: HashMap<LinkId, DrainState>,
}

impl LinkDrains {
    /// Advances one link and returns the next step. `is_dropped` says whether the guard drops its entry, `has_runs` whether runs of its
    /// session are left here.
    pub fn advance(
        &mut self,
        link: LinkId,
        is_dropped: bool,
        has_runs: bool,
        now: Timestamp,
    ) -> LinkDrainStep {
        let state = self.links.get(&link).copied();
        match state {
            None if is_dropped => {
                self.links.insert(link, DrainState::Draining { since: now });
                LinkDrainStep::StopOffering
            }
            None => LinkDrainStep::NoChange,
            Some(DrainState::Draining { .. }) if !is_dropped => {
                self.links.remove(&link);
                LinkDrainStep::ResumeOffering
            }
            Some(DrainState::Draining { since }) if has_runs || now < since + MIN_DRAIN_TIME => {
                LinkDrainStep::NoChange
            }
            Some(DrainState::Draining { .. }) => {
                self.links.insert(link, DrainState::Notified);
                LinkDrainStep::SendGoodbye
            }
            // Also if the entry has been assigned again: it has received the goodbye, so the guard dials it anew.
            Some(DrainState::Notified) => {
                self.links.remove(&link);
                LinkDrainStep::Close
            }
        }
    }

    /// Returns whether no link is being drained.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Removes a link that has closed.
    pub fn discard(&mut self, link: LinkId) {
        self.links.remove(&link);
    }
}
