//! The group leader's view of the drivers: whose lease has expired, and how renewals are answered.
//!
//! | driver | its lease expires |
//! |---|---|
//! | has renewed with this leader | [`KeptJobTimings::driver_lease`] after its last renewal arrived |
//! | any other | [`KeptJobTimings::driver_lease`] after this leader was elected |
//!
//! The reply to a renewal assigns the jobs that the driver should drive and did not report, and drops those that it reported and must not
//! drive. `handover` decides which driver gets a job next.
//!
//! A new leader does not know which jobs have started before their drivers report: their phase is unknown until then, or until the lease of
//! the driver has expired.
//!
//! The leader never considers a lease expired before its driver does. A driver counts its lease from the sending of the renewal, which
//! precedes its arrival. A renewal that an earlier leader answered was sent before this leader's election, since the quorum that confirmed
//! the earlier leader had not elected this one yet. A newer driver of the same entry does not shorten the lease of the older one, because
//! renewals can arrive out of order, which makes the older driver appear to be the newer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::calls::{DrivenJob, JobAssignment, ReleasedJob, Renewal, RenewalReply};
use crate::handover::Handover;
use crate::ids::{DriverId, Epoch, JobId};
use crate::job::{JobPhase, OpenJob};
use crate::table::JobTable;
use crate::timings::KeptJobTimings;

/// Maximum total size of the job bodies in one reply, in bytes, so that a reply does not block the link. Further assignments follow with
/// the next renewal. The first assignment is always included. More than 800 jobs of 1,200 bytes fit.
const MAX_ASSIGNMENT_BYTES: usize = 1024 * 1024;

/// The state that a driver reported in its last renewal.
#[derive(Clone, Debug)]
pub(crate) struct DriverState {
    pub(crate) entry: String,
    pub(crate) renewed_at: Timestamp,
    pub(crate) takes_jobs: bool,
    /// The reported jobs: their epochs, and whether a task has started.
    driving: BTreeMap<JobId, (Epoch, bool)>,
}

/// A job that its driver has released.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Release {
    pub(crate) epoch: Epoch,
    /// Time from which it may be handed over: all runs of the releasing driver have ended by then.
    pub(crate) due_at: Timestamp,
}

/// The drivers of a group as its leader knows them. A new leader starts with an empty table.
#[derive(Clone, Debug)]
pub struct DriverTable {
    pub(crate) timings: KeptJobTimings,
    elected_at: Timestamp,
    pub(crate) drivers: BTreeMap<DriverId, DriverState>,
    pub(crate) released: BTreeMap<JobId, Release>,
    /// Latest handover of each open job that was handed over by this leader.
    pub(crate) handovers: BTreeMap<JobId, Handover>,
    /// Open jobs of which a driver has reported a start. A start is final, but the next driver does not know of it.
    begun: BTreeSet<JobId>,
    /// Jobs whose handover is proposed but not committed.
    pub(crate) pending_handover: BTreeSet<JobId>,
}

impl DriverTable {
    /// Returns the table of a leader that was elected at `elected_at` or earlier.
    pub fn new(timings: KeptJobTimings, elected_at: Timestamp) -> Self {
        Self {
            timings,
            elected_at,
            drivers: BTreeMap::new(),
            released: BTreeMap::new(),
            handovers: BTreeMap::new(),
            begun: BTreeSet::new(),
            pending_handover: BTreeSet::new(),
        }
    }

    /// Records a renewal that has just arrived. Answer it only after this process has confirmed that it still led when the renewal arrived.
    pub fn renew(&mut self, table: &JobTable, renewal: Renewal, now: Timestamp) {
        let begun = renewal.driving.iter();
        let begun = begun.filter(|reported| reported.has_begun && is_current(table, reported));
        self.begun
            .extend(begun.map(|reported| reported.job.clone()));
        let driving = renewal.driving.into_iter();
        let driving = driving.map(|reported| (reported.job, (reported.epoch, reported.has_begun)));
        let state = DriverState {
            entry: renewal.entry,
            renewed_at: now,
            takes_jobs: renewal.takes_jobs,
            driving: driving.collect(),
        };
        self.drivers.insert(renewal.driver, state);
    }

    /// Forgets a job that has ended.
    pub fn remove_ended(&mut self, job: &str) {
        self.begun.remove(job);
    }

    /// Records the jobs that a driver releases. Jobs of another driver or epoch are ignored.
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
            let released = self.released.get(&job);
            if released.is_some_and(|released| released.epoch == epoch) {
                // The release was sent again.
                continue;
            }
            let runs_end_in = if is_clean {
                Duration::ZERO
            } else {
                self.timings.run_termination_bound
            };
            let delay = self.record_release(&job, now).max(runs_end_in);
            let due_at = now + delay;
            self.released.insert(job, Release { epoch, due_at });
        }
    }

    /// Returns when the lease of a driver expires unless it is renewed.
    pub fn lease_expires_at(&self, driver: DriverId) -> Timestamp {
        let state = self.drivers.get(&driver);
        let since = state.map_or(self.elected_at, |state| state.renewed_at);
        since + self.timings.driver_lease
    }

    /// Returns whether a driver has renewed with this leader and its lease is valid.
    pub fn is_alive(&self, driver: DriverId, now: Timestamp) -> bool {
        self.drivers.contains_key(&driver) && now < self.lease_expires_at(driver)
    }

    /// Returns the name of the entry of a driver that has renewed with this leader.
    pub fn entry_of(&self, driver: DriverId) -> Option<&str> {
        let state = self.drivers.get(&driver)?;
        Some(&state.entry)
    }

    /// Returns the reply to the last renewal of a driver.
    pub fn renewal_reply(&self, table: &JobTable, driver: DriverId) -> RenewalReply {
        let mut reply = RenewalReply {
            driver,
            drive: Vec::new(),
            drop: Vec::new(),
        };
        let Some(state) = self.drivers.get(&driver) else {
            return reply;
        };
        for (job, (epoch, _)) in &state.driving {
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
            let reported = state.driving.get(job).map(|(epoch, _)| *epoch);
            if reported == Some(open.epoch()) || self.is_leaving_driver(job, open) {
                continue;
            }
            bytes += open.submission().body.len();
            if bytes > MAX_ASSIGNMENT_BYTES && !reply.drive.is_empty() {
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

    /// Returns whether a job was released by its driver or is being handed over.
    fn is_leaving_driver(&self, job: &str, open: &OpenJob) -> bool {
        let released = self.released.get(job);
        let is_released = released.is_some_and(|released| released.epoch == open.epoch());
        is_released || self.pending_handover.contains(job)
    }

    /// Returns the phase of an open job: `Running` if a task has a recorded end or a driver reported a start, otherwise `Queued`. `None` while
    /// the driver may be running the job and has not reported to this leader yet.
    pub fn phase(&self, job: &str, open: &OpenJob, now: Timestamp) -> Option<JobPhase> {
        let state = self.drivers.get(&open.driver());
        let reported = state.and_then(|state| state.driving.get(job));
        // A renewal may arrive before this leader has applied the entry of the job, so `begun` may lack it.
        let has_begun = reported.is_some_and(|(epoch, begun)| *epoch == open.epoch() && *begun);
        if has_begun || self.begun.contains(job) || !open.progress().is_empty() {
            return Some(JobPhase::Running);
        }
        let is_known = state.is_some() || now >= self.lease_expires_at(open.driver());
        is_known.then_some(JobPhase::Queued)
    }

    /// Returns the number of open jobs whose driver has no valid lease.
    pub fn count_without_driver(&self, table: &JobTable, now: Timestamp) -> usize {
        let drivers = table.by_driver().iter();
        let without_lease = drivers.filter(|(driver, _)| !self.is_alive(**driver, now));
        without_lease.map(|(_, jobs)| jobs.len()).sum()
    }

    /// Returns the number of open jobs that have not started, by queue; `None` while the phase of any is unknown.
    pub fn count_pending(&self, table: &JobTable, now: Timestamp) -> Option<BTreeMap<String, u64>> {
        let mut pending = BTreeMap::new();
        for (job, open) in table.open() {
            if self.phase(job, open, now)? == JobPhase::Queued {
                *pending.entry(open.submission().queue.clone()).or_default() += 1;
            }
        }
        Some(pending)
    }
}

/// Returns whether a driver reports a job in its current epoch. An earlier job of the same ID may have had a lower one.
fn is_current(table: &JobTable, reported: &DrivenJob) -> bool {
    let open = table.open().get(&reported.job);
    open.is_some_and(|open| open.epoch() == reported.epoch)
}

/// Returns the assignment of a job in its current epoch.
pub fn job_assignment(job: &str, open: &OpenJob) -> JobAssignment {
    let progress = open.progress().iter();
    JobAssignment {
        job: job.to_owned(),
        epoch: open.epoch(),
        body: open.submission().body.clone(),
        progress: progress.map(|(task, done)| (*task, *done)).collect(),
    }
}
