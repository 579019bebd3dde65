//! The lease under which an entry may drive the jobs of a group.
//!
//! The lease is valid for [`KeptJobTimings::driver_lease`](crate::KeptJobTimings::driver_lease) after the newest answered renewal was
//! *sent*. The leader counts that span from when it *received* the renewal, so the lease never outlasts the leader's view of it.
//!
//! Only the reply to a renewal extends the lease. The content of a reply is ignored if a later renewal has been answered before, because it
//! could assign a job that was dropped since.

use std::collections::VecDeque;
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::calls::CallToken;

#[derive(Clone, Copy, Debug)]
struct SentRenewal {
    token: CallToken,
    sent_at: Timestamp,
}

#[derive(Clone, Debug, Default)]
pub(super) struct DriverLease {
    /// Unanswered renewals that can still extend the lease, oldest first.
    sent: VecDeque<SentRenewal>,
    valid_until: Option<Timestamp>,
}

impl DriverLease {
    /// Records a renewal that is sent, and removes those that are too old to extend the lease.
    pub(super) fn record_sent(&mut self, token: CallToken, span: Duration, now: Timestamp) {
        self.sent.retain(|renewal| now < renewal.sent_at + span);
        self.sent.push_back(SentRenewal {
            token,
            sent_at: now,
        });
    }

    /// Records a reply. Returns whether it answers a renewal that is newer than all answered before.
    pub(super) fn record_reply(&mut self, token: CallToken, span: Duration) -> bool {
        let Some(index) = self.sent.iter().position(|sent| sent.token == token) else {
            return false;
        };
        let until = self.sent[index].sent_at + span;
        self.sent.drain(..=index);
        self.valid_until = self.valid_until.max(Some(until));
        true
    }

    /// Returns whether the renewal with this token is unanswered.
    pub(super) fn awaits(&self, token: CallToken) -> bool {
        self.sent.iter().any(|sent| sent.token == token)
    }

    pub(super) fn is_valid(&self, now: Timestamp) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Returns whether the lease was granted and has lapsed.
    pub(super) fn has_lapsed(&self, now: Timestamp) -> bool {
        self.valid_until.is_some_and(|until| now >= until)
    }
}
