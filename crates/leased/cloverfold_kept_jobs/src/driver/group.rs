//! What an entry drives of one group.
//!
//! Owns the identity and lease of the driver and the jobs that it drives; every change of them is a call of [`Driver`](super::Driver).

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::calls::{CallToken, DrivenJob, Renewal};
use crate::driver::lease::DriverLease;
use crate::driver::observed_ends::ObservedEnds;
use crate::ids::{DriverId, Epoch, JobId};
use crate::timings::KeptJobTimings;

/// How long a release is remembered after the leader has answered it: a leader that is elected before the job was handed on does not know of
/// it. Chosen, not measured: a job is handed on within seconds unless no other driver takes jobs.
const RELEASE_MEMORY: Duration = Duration::from_secs(600);

/// A job that is driven.
#[derive(Clone, Copy, Debug)]
pub(super) struct Driven {
    pub(super) epoch: Epoch,
    pub(super) has_begun: bool,
    /// Set once all of it has ended as far as this entry knows; it stays named until the leader says that it is over.
    pub(super) finished: Option<Finished>,
}

/// The end of a job as this entry knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Finished {
    pub(super) at: Timestamp,
    /// Whether no run of it is left that is not certainly over.
    pub(super) is_clean: bool,
}

/// A job that was dropped or released. An order to drive it in the same epoch may still be under way: in the reply to a renewal that was
/// sent before it was driven, or before the leader knew of the release.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gone {
    pub(super) epoch: Epoch,
    /// After this no reply counts any more that was under way; `None` until the leader has answered the release.
    pub(super) settled_at: Option<Timestamp>,
    /// Whether it was released. A leader that orders it after `settled_at` does not know of the release.
    pub(super) is_released: bool,
}

/// One driver: an entry with one group, for one span of leases.
#[derive(Debug)]
pub(super) struct GroupDriver {
    pub(super) id: DriverId,
    pub(super) lease: DriverLease,
    pub(super) next_renewal_at: Timestamp,
    /// The control process that leads the group, as was told last.
    pub(super) leader: Option<String>,
    /// Renewals without a reply since the last one.
    pub(super) unanswered: u32,
    pub(super) driven: BTreeMap<JobId, Driven>,
    /// Jobs that were driven and must not be driven again in that epoch.
    pub(super) gone: BTreeMap<JobId, Gone>,
    /// Ends of runs of the jobs that are driven, as guards have reported them.
    pub(super) ends: ObservedEnds,
}

impl GroupDriver {
    /// Returns a driver that has no lease yet.
    pub(super) fn new(id: DriverId, first_renewal_at: Timestamp) -> Self {
        Self {
            id,
            lease: DriverLease::default(),
            next_renewal_at: first_renewal_at,
            leader: None,
            unanswered: 0,
            driven: BTreeMap::new(),
            gone: BTreeMap::new(),
            ends: ObservedEnds::default(),
        }
    }

    /// Returns whether an order to drive a job in this epoch is news: it neither is nor was driven in it or a later one.
    pub(super) fn is_news(&self, job: &str, epoch: Epoch) -> bool {
        let driven = self.driven.get(job).map(|driven| driven.epoch);
        let known = driven.max(self.gone.get(job).map(|gone| gone.epoch));
        known.is_none_or(|known| known < epoch)
    }

    /// Returns whether a release was not answered yet.
    pub(super) fn awaits_release(&self) -> bool {
        self.gone.values().any(|gone| gone.settled_at.is_none())
    }

    /// Returns whether an order to drive a job comes from a leader that does not know that it was released.
    pub(super) fn is_release_lost(&self, job: &str, epoch: Epoch, now: Timestamp) -> bool {
        let is_lost = |gone: &&Gone| {
            gone.is_released && gone.epoch == epoch && gone.settled_at.is_some_and(|at| now >= at)
        };
        self.gone.get(job).filter(is_lost).is_some()
    }

    /// Forgets the jobs that were dropped once no reply under way can name them, and those that were released long ago.
    pub(super) fn forget_gone(&mut self, now: Timestamp) {
        let is_kept = |gone: &Gone| {
            let memory = if gone.is_released {
                RELEASE_MEMORY
            } else {
                Duration::ZERO
            };
            gone.settled_at.is_none_or(|at| now < at + memory)
        };
        self.gone.retain(|_, gone| is_kept(gone));
    }

    /// Returns the renewal that is sent now.
    pub(super) fn renewal(&self, entry: &str, takes_jobs: bool) -> Renewal {
        let driving = self.driven.iter().map(|(job, driven)| DrivenJob {
            job: job.clone(),
            epoch: driven.epoch,
            has_begun: driven.has_begun,
        });
        Renewal {
            driver: self.id,
            entry: entry.into(),
            takes_jobs,
            driving: driving.collect(),
        }
    }

    /// Records that a renewal is sent now, and plans the next.
    pub(super) fn record_renewal(
        &mut self,
        token: CallToken,
        timings: &KeptJobTimings,
        now: Timestamp,
    ) {
        let driven = &self.driven;
        self.ends.retain(|job| driven.contains_key(job));
        self.lease.record_sent(token, timings.driver_lease, now);
        self.unanswered += 1;
        self.next_renewal_at = now + timings.renewal_interval;
    }
}
