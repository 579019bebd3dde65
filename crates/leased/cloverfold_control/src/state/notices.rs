//! Notices to entries and guards of the version in force.
//!
//! Owns when the last notice was sent. Relies on the links of the state; a notice that is lost is followed by the next.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_link::LinkId;
use cloverfold_peer::{PeerMessage, PeerRole};

use super::ControlState;

/// How often entries and guards are sent the version in force, also when nothing has changed: a notice may be lost. Chosen, not
/// measured; four of them fit into the 2 s in which a configuration must be in force everywhere (docs/design/7-control.md).
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// The notice that was sent last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastNotice {
    sent_at: Timestamp,
    had_quorum: bool,
}

impl ControlState {
    /// Sends notices if they are due or if contact with the majority was lost or restored.
    pub(super) fn send_due_notice(&mut self, now: Timestamp) {
        let is_due = now >= self.last_notice.sent_at + NOTICE_INTERVAL;
        if is_due || self.has_quorum() != self.last_notice.had_quorum {
            self.send_notice();
        }
    }

    /// Sends every entry and guard the version in force here.
    pub(super) fn send_notice(&mut self) {
        self.last_notice = LastNotice {
            sent_at: self.clock.now(),
            had_quorum: self.has_quorum(),
        };
        self.send_to_attached(&self.notice());
        self.send_evacuations();
    }

    /// Sends an entry or guard that has just connected the evacuations and the groups that keep jobs, then the
    /// version in force: it begins work once it has a configuration, and knows the others by then.
    pub(super) fn send_initial_state(&self, link: LinkId) {
        self.send_evacuations_to(link);
        self.send_job_groups(link);
        // A link that closed meanwhile is dialed again by the process.
        self.links.send(link, &self.notice());
    }

    fn send_to_attached(&self, message: &PeerMessage) {
        let is_attached = |role| matches!(role, PeerRole::Entry | PeerRole::Guard);
        self.links.send_to_roles(is_attached, message);
    }

    fn notice(&self) -> PeerMessage {
        PeerMessage::VersionNotice {
            version: self.current_version(),
            has_quorum: self.has_quorum(),
        }
    }
}
