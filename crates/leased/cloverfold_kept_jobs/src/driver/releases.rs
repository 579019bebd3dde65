//! Jobs that are given back to their groups.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::calls::{JobCall, ReleasedJob};
use crate::driver::Driver;
use crate::driver::actions::{DriverAction, StopCause};
use crate::driver::group::Gone;
use crate::groups::GroupId;
use crate::ids::{Epoch, JobId};

/// How long a finished job may stay without an order to drop it. Chosen, not measured: guards repeat the record of an end each 150 ms, and
/// a group that lost its leader has another within 0.7 s.
const UNRECORDED_LIMIT: Duration = Duration::from_secs(3);

impl Driver {
    /// Gives jobs back, each with whether no run of it is left that is not certainly over.
    pub fn release(&mut self, jobs: &[(JobId, bool)], now: Timestamp) {
        self.expire_leases(now);
        for index in 0..self.groups.len() {
            self.release_of(index, jobs, now);
        }
    }

    /// Gives back the jobs of one group.
    pub(super) fn release_of(&mut self, index: usize, jobs: &[(JobId, bool)], now: Timestamp) {
        let mut released = Vec::new();
        for (job, is_clean) in jobs {
            let Some(driven) = self.groups[index].driven.remove(job) else {
                continue;
            };
            released.push((job.clone(), driven.epoch, *is_clean));
            self.actions.push(DriverAction::StopDriving {
                job: job.clone(),
                epoch: driven.epoch,
                cause: StopCause::Released,
            });
        }
        if !released.is_empty() {
            self.send_release(index, released, now);
        }
    }

    /// Tells the leader that jobs are given back, each with its epoch and whether nothing of it runs, until it has answered.
    pub(super) fn send_release(
        &mut self,
        index: usize,
        jobs: Vec<(JobId, Epoch, bool)>,
        now: Timestamp,
    ) {
        let group = &mut self.groups[index];
        for (job, epoch, _) in &jobs {
            let gone = Gone {
                epoch: *epoch,
                settled_at: None,
                is_released: true,
            };
            group.gone.insert(job.clone(), gone);
        }
        let jobs = jobs.into_iter().map(|(job, epoch, is_clean)| ReleasedJob {
            job,
            epoch,
            is_clean,
        });
        let call = JobCall::Release {
            driver: group.id,
            jobs: jobs.collect(),
        };
        let token = self.next_token();
        self.calls.add(token, index as GroupId, call, None, now);
        self.send_calls(now);
    }

    /// Gives back the finished jobs that the leader does not know to be over.
    pub(super) fn release_unrecorded(&mut self, now: Timestamp) {
        let driven = self.groups.iter().flat_map(|group| &group.driven);
        let unrecorded: Vec<(JobId, bool)> = driven
            .filter_map(|(job, driven)| {
                let finished = driven.finished?;
                let is_over = now >= finished.at + UNRECORDED_LIMIT;
                is_over.then(|| (job.clone(), finished.is_clean))
            })
            .collect();
        if !unrecorded.is_empty() {
            self.release(&unrecorded, now);
        }
    }
}
