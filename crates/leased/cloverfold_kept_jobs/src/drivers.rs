//! The leader's view of the drivers of its group.
//!
//! Decision: when a driver counts as over, and what each driver is told. Rules:
//!
//! | | counts as over |
//! |---|---|
//! | a driver that has renewed with this leader | [`KeptJobTimings::driver_lease`] after its last renewal came |
//! | any other | [`KeptJobTimings::driver_lease`] after this leader was elected |
//!
//! A renewal is answered with the jobs that the driver should drive and does not name, and with those that it names and must not
//! drive. Which driver a job is given to next is decided in `handover`.
//!
//! Inputs: the table, when the leader was elected, what the drivers renewed and released and when that came, by the leader's clock.
//!
//! Reason: a lease lasts from when its renewal was sent, which is before it came; and a lease that an earlier leader granted was sent
//! before this one was elected, since a majority that proved the earlier one's lead would not have elected this one before. A later
//! driver of the same entry does not end the lease of an earlier one sooner: a renewal that was delayed on its way may make the
//! earlier one look like the later.

use std::collections::{BTreeMap, BTreeSet};

use cloverfold_base::Timestamp;

use crate::calls::{JobAssignment, ReleasedJob, Renewal, RenewalReply};
use crate::ids::{DriverId, Epoch, JobId};
use crate::job::{JobPhase, OpenJob};
use crate::table::JobTable;
use crate::timings::KeptJobTimings;

/// Bytes of bodies that one reply orders to be driven, at most; the rest follows with the next renewal. Chosen, not measured: an entry
/// takes over 800 jobs of 1,200 bytes in one renewal, and a link is not held up.
const MAX_ORDER_BYTES: usize = 1024 * 1024;

/// What a driver said last.
#[derive(Clone, Debug)]
pub(crate) struct KnownDriver {
    pub(crate) entry: String,
    pub(crate) renewed_at: Timestamp,
    pub(crate) takes_jobs: bool,
    /// What it drives: in which epoch, and whether a task has begun.
    driving: BTreeMap<JobId, (Epoch, bool)>,
}

/// A job that its driver gave back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Release {
    pub(crate) epoch: Epoch,
    /// From when on no run of its driver is left.
    pub(crate) runs_over_at: Timestamp,
}

/// All drivers of a group, as its leader sees them. A new leader begins with an empty one.
#[derive(Clone, Debug)]
pub struct DriverTable {
    pub(crate) timings: KeptJobTimings,
    elected_at: Timestamp,
    pub(crate) drivers: BTreeMap<DriverId, KnownDriver>,
    pub(crate) released: BTreeMap<JobId, Release>,
    /// Jobs whose hand-over is proposed and not decided.
    pub(crate) assigning: BTreeSet<JobId>,
}

impl DriverTable {
    /// Begins with what a leader knows that was elected at `elected_at`, or earlier.
    pub fn new(timings: KeptJobTimings, elected_at: Timestamp) -> Self {
        Self {
            timings,
            elected_at,
            drivers: BTreeMap::new(),
            released: BTreeMap::new(),
            assigning: BTreeSet::new(),
        }
    }

    /// Records a renewal that has just come. It may be answered once it is proved that this leader led after it came.
    pub fn renew(&mut self, renewal: Renewal, now: Timestamp) {
        let driving = renewal.driving.into_iter();
        let driving = driving.map(|held| (held.job, (held.epoch, held.has_begun)));
        let known = KnownDriver {
            entry: renewal.entry,
            renewed_at: now,
            takes_jobs: renewal.takes_jobs,
            driving: driving.collect(),
        };
        self.drivers.insert(renewal.driver, known);
    }

    /// Records jobs that a driver gives back; those of another driver or epoch are passed over.
    pub fn release(
        &mut self,
        table: &JobTable,
        driver: DriverId,
        jobs: Vec<ReleasedJob>,
        now: Timestamp,
    ) {
        for ReleasedJob {
            job,
            epoch,
            is_clean,
        } in jobs
        {
            let open = table.open().get(&job);
            if !open.is_some_and(|open| open.driver() == driver && open.epoch() == epoch) {
                continue;
            }
            let wait = if is_clean {
                Default::default()
            } else {
                self.timings.run_termination_bound
            };
            let runs_over_at = now + wait;
            self.released.insert(
                job,
                Release {
                    epoch,
                    runs_over_at,
                },
            );
        }
    }

    /// Returns when the lease of a driver is over, unless it renews before.
    pub fn lease_expires_at(&self, driver: DriverId) -> Timestamp {
        let known = self.drivers.get(&driver);
        let since = known.map_or(self.elected_at, |known| known.renewed_at);
        since + self.timings.driver_lease
    }

    /// Returns whether a driver has renewed with this leader and its lease is not over.
    pub fn is_alive(&self, driver: DriverId, now: Timestamp) -> bool {
        self.drivers.contains_key(&driver) && now < self.lease_expires_at(driver)
    }

    /// Returns the name of the entry of a driver that has renewed with this leader.
    pub fn entry_of(&self, driver: DriverId) -> Option<&str> {
        let known = self.drivers.get(&driver)?;
        Some(&known.entry)
    }

    /// Returns what to answer to the last renewal of a driver.
    pub fn renewal_reply(&self, table: &JobTable, driver: DriverId) -> RenewalReply {
        let mut reply = RenewalReply {
            driver,
            drive: Vec::new(),
            drop: Vec::new(),
        };
        let Some(known) = self.drivers.get(&driver) else {
            return reply;
        };
        for (job, (epoch, _)) in &known.driving {
            if !self.should_drive(table, driver, job, *epoch) {
                reply.drop.push((job.clone(), *epoch));
            }
        }
        let jobs = table.by_driver().get(&driver).into_iter().flatten();
        let mut bytes = 0;
        for job in jobs {
            let Some(open) = table.open().get(job) else {
                continue;
            };
            let named = known.driving.get(job).map(|(epoch, _)| *epoch);
            if named == Some(open.epoch()) || self.is_leaving(job, open) {
                continue;
            }
            bytes += open.submission().body.len();
            if bytes > MAX_ORDER_BYTES && !reply.drive.is_empty() {
                break;
            }
            reply.drive.push(job_assignment(job, open));
        }
        reply
    }

    fn should_drive(&self, table: &JobTable, driver: DriverId, job: &str, epoch: Epoch) -> bool {
        let open = table.open().get(job);
        open.is_some_and(|open| open.driver() == driver && open.epoch() == epoch)
    }

    /// Returns whether a job was given back by its driver, or is being given to another.
    fn is_leaving(&self, job: &str, open: &OpenJob) -> bool {
        let released = self.released.get(job);
        let is_released = released.is_some_and(|released| released.epoch == open.epoch());
        is_released || self.assigning.contains(job)
    }

    /// Returns how far an open job has come: a task has ended, or its driver says that one has begun.
    pub fn phase(&self, job: &str, open: &OpenJob) -> JobPhase {
        let known = self.drivers.get(&open.driver());
        let said = known.and_then(|known| known.driving.get(job));
        let has_begun = said.is_some_and(|(epoch, begun)| *epoch == open.epoch() && *begun);
        if has_begun || !open.progress().is_empty() {
            JobPhase::Running
        } else {
            JobPhase::Queued
        }
    }

    /// Counts the open jobs whose driver is not alive.
    pub fn count_without_driver(&self, table: &JobTable, now: Timestamp) -> usize {
        let drivers = table.by_driver().iter();
        let orphaned = drivers.filter(|(driver, _)| !self.is_alive(**driver, now));
        orphaned.map(|(_, jobs)| jobs.len()).sum()
    }

    /// Counts the open jobs that have not begun, by queue.
    pub fn count_pending(&self, table: &JobTable) -> BTreeMap<String, u64> {
        let mut pending = BTreeMap::new();
        for (job, open) in table.open() {
            if self.phase(job, open) == JobPhase::Queued {
                *pending.entry(open.submission().queue.clone()).or_default() += 1;
            }
        }
        pending
    }
}

/// Returns the order to drive a job in its present epoch.
pub fn job_assignment(job: &str, open: &OpenJob) -> JobAssignment {
    let progress = open.progress().iter();
    JobAssignment {
        job: job.to_owned(),
        epoch: open.epoch(),
        body: open.submission().body.clone(),
        progress: progress.map(|(task, done)| (*task, *done)).collect(),
    }
}
