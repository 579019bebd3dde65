//! State of one session with a dispatcher: its expiry and what was last reported.

use cloverfold_base::Timestamp;

use crate::messages::UsualSpeed;
use crate::resources::Resources;

/// The last announcement of the target to a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Announcement {
    /// None was sent yet.
    NotSent,
    /// No target accepts work.
    NoTarget,
    /// The incarnation with this number.
    Target(u64),
}

impl Announcement {
    /// Returns whether it announced a target.
    pub(super) fn has_target(self) -> bool {
        matches!(self, Self::Target(_))
    }
}

/// A session with one dispatcher.
#[derive(Clone, Debug)]
pub(super) struct Session {
    /// Expiry on the runner's clock.
    valid_until: Timestamp,
    /// Number of assignments that arrived in this session.
    pub(super) assignments_seen: u64,
    /// When the last heartbeat was sent.
    pub(super) heartbeat_at: Timestamp,
    /// The free capacity that was last reported.
    pub(super) reported_free: Resources,
    pub(super) announced: Announcement,
    /// The usual speed of the target that was last reported.
    pub(super) reported_speed: UsualSpeed,
    /// Whether the target is no longer offered to it.
    pub(super) is_retired: bool,
}

impl Session {
    pub(super) fn new(valid_until: Timestamp) -> Self {
        Self {
            valid_until,
            assignments_seen: 0,
            heartbeat_at: Timestamp::ZERO,
            reported_free: Resources::default(),
            announced: Announcement::NotSent,
            reported_speed: UsualSpeed::default(),
            is_retired: false,
        }
    }

    /// Extends the session; never moves its expiry to an earlier time.
    pub(super) fn extend_until(&mut self, valid_until: Timestamp) {
        self.valid_until = self.valid_until.max(valid_until);
    }

    /// Returns whether the session has expired, so that its runs must be stopped.
    pub(super) fn has_expired(&self, now: Timestamp) -> bool {
        now > self.valid_until
    }
}
