//! An entry's driver state for one group.
//!
//! Owns the identity and lease of the driver and the jobs that it drives. Only [`Driver`](super::Driver) changes them.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::calls::{CallToken, DrivenJob, Renewal};
use crate::driver::lease::DriverLease;
use crate::driver::observed_ends::ObservedEnds;
use crate::ids::{DriverId, Epoch, JobId};
use crate::timings::KeptJobTimings;

/// Time for which an answered release is retained. A leader that is elected before the handover does not know of the release, and a
/// handover can be delayed while no other driver accepts jobs.
const RELEASE_RETENTION: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
pub(super) struct DrivenState {
    pub(super) epoch: Epoch,
    pub(super) has_begun: bool,
    /// Set once all tasks have ended as far as this entry knows. The job stays in the renewals until the leader drops it.
    pub(super) finished: Option<Finished>,
}

/// Completion of a job as far as this entry knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct Finished {
    pub(super) at: Timestamp,
    /// Whether all runs of the job have certainly ended.
    pub(super) is_clean: bool,
}

/// A job that was dropped or released. A stale assignment in the same epoch may still be in flight: in the reply to a renewal that was
/// sent before the job was driven, or before the leader knew of the release.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetiredJob {
    pub(super) epoch: Epoch,
    /// Time from which no stale reply can arrive; `None` until the leader has answered the release.
    pub(super) settled_at: Option<Timestamp>,
    /// Whether it was released. A leader that assigns it after `settled_at` does not know of the release.
    pub(super) is_released: bool,
}

/// A driver: an entry's unbroken sequence of leases on one group.
#[derive(Debug)]
pub(super) struct GroupDriver {
    pub(super) id: DriverId,
    pub(super) lease: DriverLease,
    pub(super) next_renewal_at: Timestamp,
    /// Last reported leader of the group.
    pub(super) leader: Option<String>,
    /// Renewals sent since the last reply.
    pub(super) unanswered: u32,
    pub(super) driven: BTreeMap<JobId, DrivenState>,
    /// Jobs that must not be driven again in their epoch.
    pub(super) retired: BTreeMap<JobId, RetiredJob>,
    /// Run ends of the driven jobs that guards have reported.
    pub(super) ends: ObservedEnds,
}

impl GroupDriver {
    /// Returns a driver without a lease.
    pub(super) fn new(id: DriverId, first_renewal_at: Timestamp) -> Self {
        Self {
            id,
            lease: DriverLease::default(),
            next_renewal_at: first_renewal_at,
            leader: None,
            unanswered: 0,
            driven: BTreeMap::new(),
            retired: BTreeMap::new(),
            ends: ObservedEnds::default(),
        }
    }

    /// Returns whether an assignment in this epoch is new: the job has not been driven in it or a later one.
    pub(super) fn is_new_assignment(&self, job: &str, epoch: Epoch) -> bool {
        let driven = self.driven.get(job).map(|driven| driven.epoch);
        let known = driven.max(self.retired.get(job).map(|retired| retired.epoch));
        known.is_none_or(|known| known < epoch)
    }

    pub(super) fn has_unanswered_release(&self) -> bool {
        self.retired
            .values()
            .any(|retired| retired.settled_at.is_none())
    }

    /// Returns whether an assignment comes from a leader that does not know of the job's release.
    pub(super) fn is_release_unknown_to_leader(
        &self,
        job: &str,
        epoch: Epoch,
        now: Timestamp,
    ) -> bool {
        let is_unknown = |retired: &&RetiredJob| {
            retired.is_released
                && retired.epoch == epoch
                && retired.settled_at.is_some_and(|at| now >= at)
        };
        self.retired.get(job).filter(is_unknown).is_some()
    }

    /// Removes the dropped jobs that no stale reply can name any more, and the released jobs after [`RELEASE_RETENTION`].
    pub(super) fn remove_settled(&mut self, now: Timestamp) {
        let is_retained = |retired: &RetiredJob| {
            let retention = if retired.is_released {
                RELEASE_RETENTION
            } else {
                Duration::ZERO
            };
            retired.settled_at.is_none_or(|at| now < at + retention)
        };
        self.retired.retain(|_, retired| is_retained(retired));
    }

    pub(super) fn build_renewal(&self, entry: &str, takes_jobs: bool) -> Renewal {
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

    /// Records that a renewal is sent, and schedules the next.
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
