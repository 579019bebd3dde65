//! Handover of jobs from one driver to another.
//!
//! A job may be handed over once the runs of its driver have certainly ended:
//! [`KeptJobTimings::run_termination_bound`](crate::KeptJobTimings::run_termination_bound) after the driver's lease has expired, or, if the
//! driver released the job, once its runs have ended. See `timings` for why no two runs of a task then overlap.
//!
//! The job goes to a driver with a valid lease that accepts jobs and is the newest of its entry. Among these, the one with the fewest open
//! jobs is chosen, including jobs of the same plan, which balances the load of a lost entry. Without such a driver the job waits.
//!
//! A job that no entry can read is released by each of them at once. Each release within [`QUICK_RELEASE`] of the handover doubles the delay
//! of the next one, so that such jobs do not fill the log.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::commands::JobReassignment;
use crate::drivers::DriverTable;
use crate::ids::{DriverId, JobId};
use crate::job::OpenJob;
use crate::table::JobTable;

/// Maximum number of reassignments in one command, so that a command does not delay the log. With a command every 100 ms, 2,560 jobs per
/// second are handed over.
const MAX_REASSIGNMENTS_PER_COMMAND: usize = 256;
/// Time after a handover within which a release counts as quick: the driver has not tried to run the job.
const QUICK_RELEASE: Duration = Duration::from_millis(500);
/// Delay of the next handover after the first quick release.
const MIN_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay of a handover after quick releases.
const MAX_DELAY: Duration = Duration::from_secs(10);
/// Number of known drivers above which expired drivers without jobs are removed.
const MAX_IDLE_DRIVERS: usize = 1_024;

/// The latest handover of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Handover {
    at: Timestamp,
    /// Number of releases in succession that followed their handover too soon.
    quick_releases: u32,
}

impl DriverTable {
    /// Plans the handovers that are due. The jobs stay marked as pending until [`Self::complete_handover`] or [`Self::abort_handover`].
    pub fn plan_handover(&mut self, table: &JobTable, now: Timestamp) -> Vec<JobReassignment> {
        self.remove_stale(table, now);
        let due = self.jobs_due_for_handover(table, now);
        let mut loads = self.eligible_drivers(table, now);
        let mut planned = Vec::new();
        for (job, open) in due {
            let Some((&driver, load)) = loads.iter_mut().min_by_key(|(_, load)| **load) else {
                break;
            };
            *load += 1;
            planned.push(JobReassignment {
                job: job.clone(),
                after: open.epoch(),
                driver,
            });
        }
        let jobs = planned.iter().map(|reassignment| reassignment.job.clone());
        self.pending_handover.extend(jobs);
        planned
    }

    /// Records that a handover is committed: the jobs have their new drivers, or have ended.
    pub fn complete_handover<'a>(
        &mut self,
        jobs: impl IntoIterator<Item = &'a JobId>,
        now: Timestamp,
    ) {
        for job in jobs {
            self.pending_handover.remove(job);
            self.released.remove(job);
            let earlier = self.handovers.get(job);
            let quick_releases = earlier.map_or(0, |earlier| earlier.quick_releases);
            let handover = Handover {
                at: now,
                quick_releases,
            };
            self.handovers.insert(job.clone(), handover);
        }
    }

    /// Records that a job is released, and returns how long its next handover is delayed.
    pub(crate) fn record_release(&mut self, job: &str, now: Timestamp) -> Duration {
        let Some(handover) = self.handovers.get_mut(job) else {
            return Duration::ZERO;
        };
        if now >= handover.at + QUICK_RELEASE {
            handover.quick_releases = 0;
            return Duration::ZERO;
        }
        handover.quick_releases += 1;
        let doublings = (handover.quick_releases - 1).min(u32::BITS - 1);
        MIN_DELAY.saturating_mul(1 << doublings).min(MAX_DELAY)
    }

    /// Records that a handover was not proposed.
    pub fn abort_handover<'a>(&mut self, jobs: impl IntoIterator<Item = &'a JobId>) {
        for job in jobs {
            self.pending_handover.remove(job);
        }
    }

    /// Returns the jobs that may be handed over.
    fn jobs_due_for_handover<'a>(
        &self,
        table: &'a JobTable,
        now: Timestamp,
    ) -> Vec<(&'a JobId, &'a OpenJob)> {
        let mut due = Vec::new();
        for (&driver, jobs) in table.by_driver() {
            let runs_ended_by = self.lease_expires_at(driver) + self.timings.run_termination_bound;
            let are_runs_over = now >= runs_ended_by;
            if !are_runs_over && self.released.is_empty() {
                continue;
            }
            for id in jobs
                .iter()
                .filter(|id| !self.pending_handover.contains(*id))
            {
                let Some((job, open)) = table.open().get_key_value(id) else {
                    continue;
                };
                if are_runs_over || self.may_hand_over_released(job, open, now) {
                    due.push((job, open));
                }
                if due.len() == MAX_REASSIGNMENTS_PER_COMMAND {
                    return due;
                }
            }
        }
        due
    }

    fn may_hand_over_released(&self, job: &str, open: &OpenJob, now: Timestamp) -> bool {
        let released = self.released.get(job);
        released.is_some_and(|released| released.epoch == open.epoch() && now >= released.due_at)
    }

    /// Returns the drivers that may receive jobs, with their numbers of open jobs.
    fn eligible_drivers(&self, table: &JobTable, now: Timestamp) -> BTreeMap<DriverId, usize> {
        let mut newest: BTreeMap<&str, (Timestamp, DriverId)> = BTreeMap::new();
        for (&driver, state) in &self.drivers {
            let candidate = (state.renewed_at, driver);
            let newest = newest.entry(&state.entry).or_insert(candidate);
            *newest = candidate.max(*newest);
        }
        let mut eligible = BTreeMap::new();
        for (_, driver) in newest.into_values() {
            let takes_jobs = self
                .drivers
                .get(&driver)
                .is_some_and(|state| state.takes_jobs);
            if takes_jobs && self.is_alive(driver, now) {
                let jobs = table.by_driver().get(&driver);
                eligible.insert(driver, jobs.map_or(0, BTreeSet::len));
            }
        }
        eligible
    }

    /// Removes outdated releases, and, above [`MAX_IDLE_DRIVERS`], the expired drivers without jobs.
    fn remove_stale(&mut self, table: &JobTable, now: Timestamp) {
        self.released.retain(|job, released| {
            let open = table.open().get(job);
            open.is_some_and(|open| open.epoch() == released.epoch)
        });
        self.handovers
            .retain(|job, _| table.open().contains_key(job));
        if self.drivers.len() <= MAX_IDLE_DRIVERS {
            return;
        }
        let lease = self.timings.driver_lease;
        self.drivers.retain(|driver, state| {
            now < state.renewed_at + lease || table.by_driver().contains_key(driver)
        });
    }
}
