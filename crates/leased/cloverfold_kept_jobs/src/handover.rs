//! Decision: when a job is given to another driver, and to which.
//!
//! Rule: a job may be given on [`KeptJobTimings::run_termination_bound`](crate::KeptJobTimings::run_termination_bound) after its driver is over, or as
//! soon as no run of a driver that gave it back is left. It goes to a driver that is alive, takes jobs and is the newest of its entry;
//! among these to the one with the fewest open jobs, those given to it at the same time included. Where there is none it waits.
//!
//! Inputs: the table, the drivers, the time by the leader's clock.
//!
//! Reason: no two runs of a task overlap (`timings`); entries share what a lost one leaves.

use std::collections::{BTreeMap, BTreeSet};

use cloverfold_base::Timestamp;

use crate::commands::JobReassignment;
use crate::drivers::DriverTable;
use crate::ids::{DriverId, JobId};
use crate::job::OpenJob;
use crate::table::JobTable;

/// Jobs given on by one command, at most. Chosen, not measured: the log is not held up, and 2,560 jobs a second are given on.
const MAX_ASSIGNED: usize = 256;
/// Drivers that are not alive and have no job any more are forgotten above so many. Chosen, not measured: entries restart rarely.
const MAX_IDLE_DRIVERS: usize = 1_024;

impl DriverTable {
    /// Plans which jobs are given on now. They count as being given on until [`Self::complete_handover`] or [`Self::abort_handover`].
    pub fn plan_handover(&mut self, table: &JobTable, now: Timestamp) -> Vec<JobReassignment> {
        self.forget_idle(table, now);
        let due = self.find_due(table, now);
        let mut loads = self.find_takers(table, now);
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
        let jobs = planned.iter().map(|assignee| assignee.job.clone());
        self.assigning.extend(jobs);
        planned
    }

    /// Records that a hand-over is decided: the jobs have the drivers that were proposed, or are over.
    pub fn complete_handover<'a>(&mut self, jobs: impl IntoIterator<Item = &'a JobId>) {
        for job in jobs {
            self.assigning.remove(job);
            self.released.remove(job);
        }
    }

    /// Records that a hand-over was not proposed.
    pub fn abort_handover<'a>(&mut self, jobs: impl IntoIterator<Item = &'a JobId>) {
        for job in jobs {
            self.assigning.remove(job);
        }
    }

    /// Finds the jobs that may be given on.
    fn find_due<'a>(&self, table: &'a JobTable, now: Timestamp) -> Vec<(&'a JobId, &'a OpenJob)> {
        let mut due = Vec::new();
        for (&driver, jobs) in table.by_driver() {
            let runs_over_at = self.lease_expires_at(driver) + self.timings.run_termination_bound;
            let is_over = now >= runs_over_at;
            if !is_over && self.released.is_empty() {
                continue;
            }
            for id in jobs.iter().filter(|id| !self.assigning.contains(*id)) {
                let Some((job, open)) = table.open().get_key_value(id) else {
                    continue;
                };
                if is_over || self.is_released(job, open, now) {
                    due.push((job, open));
                }
                if due.len() == MAX_ASSIGNED {
                    return due;
                }
            }
        }
        due
    }

    fn is_released(&self, job: &str, open: &OpenJob, now: Timestamp) -> bool {
        let released = self.released.get(job);
        released
            .is_some_and(|released| released.epoch == open.epoch() && now >= released.runs_over_at)
    }

    /// Finds the drivers that may be given jobs, with how many open ones they have.
    fn find_takers(&self, table: &JobTable, now: Timestamp) -> BTreeMap<DriverId, usize> {
        let mut newest: BTreeMap<&str, (Timestamp, DriverId)> = BTreeMap::new();
        for (&driver, known) in &self.drivers {
            let seen = (known.renewed_at, driver);
            let newest = newest.entry(&known.entry).or_insert(seen);
            *newest = seen.max(*newest);
        }
        let mut takers = BTreeMap::new();
        for (_, driver) in newest.into_values() {
            let takes_jobs = self.drivers.get(&driver).is_some_and(|d| d.takes_jobs);
            if takes_jobs && self.is_alive(driver, now) {
                let jobs = table.by_driver().get(&driver);
                takers.insert(driver, jobs.map_or(0, BTreeSet::len));
            }
        }
        takers
    }

    /// Forgets what matters no more: drivers that are over and have no job, and releases of jobs that are over.
    fn forget_idle(&mut self, table: &JobTable, now: Timestamp) {
        self.released.retain(|job, released| {
            let open = table.open().get(job);
            open.is_some_and(|open| open.epoch() == released.epoch)
        });
        if self.drivers.len() <= MAX_IDLE_DRIVERS {
            return;
        }
        let lease = self.timings.driver_lease;
        self.drivers.retain(|driver, known| {
            now < known.renewed_at + lease || table.by_driver().contains_key(driver)
        });
    }
}
