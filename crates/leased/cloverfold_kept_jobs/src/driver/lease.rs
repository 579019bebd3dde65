//! Decision: until when an entry may drive the jobs of a group.
//!
//! Rule: until [`KeptJobTimings::driver_lease`](crate::KeptJobTimings::driver_lease) after it *sent* the newest renewal that was answered. Only
//! the reply to a renewal counts; the content of a reply that was overtaken by the reply to a later renewal is ignored.
//!
//! Inputs: the numbers of the renewals and when they were sent, the numbers of the replies.
//!
//! Reason: the leader counts the driver as over that span after it *received* a renewal, which is never earlier. An overtaken reply could
//! order to drive a job that was dropped since.

use std::collections::VecDeque;
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::calls::CallToken;

/// A renewal whose reply has not come.
#[derive(Clone, Copy, Debug)]
struct SentRenewal {
    token: CallToken,
    sent_at: Timestamp,
}

/// The lease of one driver.
#[derive(Clone, Debug, Default)]
pub(super) struct DriverLease {
    sent: VecDeque<SentRenewal>,
    valid_until: Option<Timestamp>,
}

impl DriverLease {
    /// Records a renewal that is sent now, and forgets those whose reply could extend nothing any more.
    pub(super) fn record_sent(&mut self, token: CallToken, span: Duration, now: Timestamp) {
        self.sent.retain(|renewal| now < renewal.sent_at + span);
        self.sent.push_back(SentRenewal {
            token,
            sent_at: now,
        });
    }

    /// Records the reply to a renewal; returns whether it is one, and newer than all before.
    pub(super) fn record_reply(&mut self, token: CallToken, span: Duration) -> bool {
        let Some(index) = self.sent.iter().position(|sent| sent.token == token) else {
            return false;
        };
        let until = self.sent[index].sent_at + span;
        self.sent.drain(..=index);
        self.valid_until = self.valid_until.max(Some(until));
        true
    }

    /// Returns whether a renewal of this number is under way.
    pub(super) fn awaits(&self, token: CallToken) -> bool {
        self.sent.iter().any(|sent| sent.token == token)
    }

    /// Returns whether jobs may be driven.
    pub(super) fn is_valid(&self, now: Timestamp) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Returns whether it was valid and is no more.
    pub(super) fn has_lapsed(&self, now: Timestamp) -> bool {
        self.valid_until.is_some_and(|until| now >= until)
    }
}
