//! Release of jobs to their groups.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::calls::{JobCall, ReleasedJob};
use crate::driver::Driver;
use crate::driver::actions::{DriverAction, StopCause};
use crate::driver::group::RetiredJob;
use crate::groups::GroupId;
use crate::ids::{Epoch, JobId};

/// Time within which the leader should drop a finished job. It covers several retries of a guard's record and an election, which takes up
/// to 0.7 s.
const DROP_TIMEOUT: Duration = Duration::from_secs(3);

impl Driver {
    /// Releases jobs. The flag of each says whether all its runs have certainly ended.
    pub fn release(&mut self, jobs: &[(JobId, bool)], now: Timestamp) {
        self.expire_leases(now);
        for index in 0..self.groups.len() {
            self.release_from_group(index, jobs, now);
        }
    }

    /// Releases the jobs that belong to one group.
    pub(super) fn release_from_group(
        &mut self,
        index: usize,
        jobs: &[(JobId, bool)],
        now: Timestamp,
    ) {
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

    /// Sends a release until the leader has answered it. Each job comes with its epoch and whether all its runs have ended.
    pub(super) fn send_release(
        &mut self,
        index: usize,
        jobs: Vec<(JobId, Epoch, bool)>,
        now: Timestamp,
    ) {
        let group = &mut self.groups[index];
        for (job, epoch, _) in &jobs {
            let retired = RetiredJob {
                epoch: *epoch,
                settled_at: None,
                is_released: true,
            };
            group.retired.insert(job.clone(), retired);
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

    /// Releases the finished jobs that the leader has not dropped within [`DROP_TIMEOUT`].
    pub(super) fn release_undropped(&mut self, now: Timestamp) {
        let driven = self.groups.iter().flat_map(|group| &group.driven);
        let undropped: Vec<(JobId, bool)> = driven
            .filter_map(|(job, driven)| {
                let finished = driven.finished?;
                let is_timed_out = now >= finished.at + DROP_TIMEOUT;
                is_timed_out.then(|| (job.clone(), finished.is_clean))
            })
            .collect();
        if !undropped.is_empty() {
            self.release(&undropped, now);
        }
    }
}
