//! Periodic notices of the version in force to entries and guards.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_link::LinkId;
use cloverfold_peer::{PeerMessage, PeerRole};

use super::ControlState;

/// Interval at which the version in force is sent even without a change, because a notice may be lost. Four notices fit into the 2 s within
/// which a configuration must be in force everywhere.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// The last notice sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastNotice {
    sent_at: Timestamp,
    had_quorum: bool,
}

impl ControlState {
    /// Sends a notice if it is due, or if quorum contact was lost or restored.
    pub(super) fn send_due_notice(&mut self, now: Timestamp) {
        let is_due = now >= self.last_notice.sent_at + NOTICE_INTERVAL;
        if is_due || self.has_quorum() != self.last_notice.had_quorum {
            self.send_notice();
        }
    }

    /// Sends the version in force locally to every entry and guard.
    pub(super) fn send_notice(&mut self) {
        self.last_notice = LastNotice {
            sent_at: self.clock.now(),
            had_quorum: self.has_quorum(),
        };
        self.send_to_entries_and_guards(&self.notice());
        self.send_evacuations();
    }

    /// Sends the current state to an entry or guard that has just connected. The version in force comes last: the process starts work once
    /// it has a configuration, and must know the evacuations and the groups of kept jobs by then.
    pub(super) fn send_initial_state(&self, link: LinkId) {
        self.send_evacuations_to(link);
        self.send_job_groups(link);
        // If the link has closed in the meantime, the process dials again.
        self.links.send(link, &self.notice());
    }

    fn send_to_entries_and_guards(&self, message: &PeerMessage) {
        let is_entry_or_guard = |role| matches!(role, PeerRole::Entry | PeerRole::Guard);
        self.links.send_to_roles(is_entry_or_guard, message);
    }

    fn notice(&self) -> PeerMessage {
        PeerMessage::VersionNotice {
            version: self.current_version(),
            has_quorum: self.has_quorum(),
        }
    }
}
