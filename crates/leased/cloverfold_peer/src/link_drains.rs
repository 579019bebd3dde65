//! Decision: the steps in which a guard leaves an entry without cutting a run.
//!
//! ```text
//! (working) ──left──▶ retired ──RETIRED_SPAN over, no run left──▶ farewell ──next step──▶ (closed)
//!     ▲                  │
//!     └────named again───┘
//! ```
//!
//! Owns how far each link has come ([`LinkDrains`]). Relies on the guard to carry out each step, and to take one every few tens of
//! milliseconds.

use std::collections::HashMap;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_link::LinkId;

/// How long a retired session stays open at least, so that assignments under way arrive: the length of a session, after which what was
/// assigned before is void. Chosen, not measured.
const RETIRED_SPAN: Duration = Duration::from_millis(500);

/// How far the departure from an entry has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// The entry is offered no target; its runs end.
    Retired { since: Timestamp },
    /// The entry was told that the link will close.
    Farewell,
}

/// What the guard does next on a link to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDrainStep {
    /// Nothing changes.
    NoChange,
    /// Offer the entry no target any more.
    StopOffering,
    /// Offer the entry the target again.
    ResumeOffering,
    /// Send [`PeerMessage::Goodbye`](crate::PeerMessage::Goodbye).
    SendGoodbye,
    /// Close the link: what was sent before is on its way.
    Close,
}

/// The links on which entries are being left.
#[derive(Debug, Default)]
pub struct LinkDrains {
    links: HashMap<LinkId, Departure>,
}

impl LinkDrains {
    /// Takes the next step on a link whose entry `is_left` or not, and of whose session runs are left here or not.
    pub fn advance(
        &mut self,
        link: LinkId,
        is_left: bool,
        has_runs: bool,
        now: Timestamp,
    ) -> LinkDrainStep {
        let before = self.links.get(&link).copied();
        match before {
            None if is_left => {
                self.links.insert(link, Departure::Retired { since: now });
                LinkDrainStep::StopOffering
            }
            None => LinkDrainStep::NoChange,
            Some(Departure::Retired { .. }) if !is_left => {
                self.links.remove(&link);
                LinkDrainStep::ResumeOffering
            }
            Some(Departure::Retired { since }) if has_runs || now < since + RETIRED_SPAN => {
                LinkDrainStep::NoChange
            }
            Some(Departure::Retired { .. }) => {
                self.links.insert(link, Departure::Farewell);
                LinkDrainStep::SendGoodbye
            }
            // Also if the entry is named again meanwhile: it has been told, and is dialed anew.
            Some(Departure::Farewell) => {
                self.links.remove(&link);
                LinkDrainStep::Close
            }
        }
    }

    /// Returns whether no entry is being left.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Forgets a link that has closed.
    pub fn forget(&mut self, link: LinkId) {
        self.links.remove(&link);
    }
}
