//! The entry's side: calls to the groups, and the jobs that it drives.
//!
//! An entry is a *driver* of each group under a lease (`lease`). It drives the jobs that it submitted and those that the leader assigns to
//! it, and reports all of them in each renewal until the leader drops them. No job is driven by two entries at once (`timings`).
//!
//! | event | effect |
//! |---|---|
//! | a submission is accepted, and the driver named in it is current | the job is driven |
//! | a submission is accepted, and the driver named in it has expired | the caller is told that the job is stored; it is not driven |
//! | the newest reply to a renewal assigns a job | the job is driven, in place of an earlier epoch |
//! | the leader drops a job, solicited or not | the job is no longer driven |
//! | an unsolicited assignment arrives | the lease is renewed at once, and the reply decides |
//! | the driver's lease lapses | no job of the group is driven; the entry gets a new driver identity |
//! | a job is released | it is no longer driven; the release is resent until it is answered |
//! | a later leader assigns a released job in the same epoch | the release is sent again |
//! | a job is finished here and not dropped in time (`releases`) | the job is released |
//!
//! An unsolicited assignment may be older than a drop, so it does not start a job by itself. If a finished job is not dropped, the record
//! of a run end was lost with its guard; only a new epoch may run the task again.

mod actions;
mod callers;
mod group;
mod lease;
mod observed_ends;
mod pending_calls;
mod releases;
mod replies;

use std::time::Duration;

use cloverfold_base::Timestamp;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub use actions::{CallAnswer, CallRoute, DriverAction, RefusalReason, StopCause};
pub use callers::NewJob;

use crate::calls::{CallToken, JobAssignment, JobCall};
use crate::groups::{GroupId, group_of};
use crate::ids::{Epoch, JobId};
use crate::timings::KeptJobTimings;
use group::{DrivenState, Finished, GroupDriver};
use pending_calls::{PendingCalls, with_jitter};

/// The calls of an entry to the groups, and the jobs that it drives.
#[derive(Debug)]
pub struct Driver {
    entry: String,
    timings: KeptJobTimings,
    rng: SmallRng,
    /// Indexed by group; empty while the number of groups is unknown.
    groups: Vec<GroupDriver>,
    calls: PendingCalls,
    takes_jobs: bool,
    last_token: CallToken,
    actions: Vec<DriverAction>,
}

impl Driver {
    /// Returns a driver without groups. `seed` determines its random choices and must differ between processes.
    pub fn new(entry: &str, timings: KeptJobTimings, seed: u64) -> Self {
        Self {
            entry: entry.into(),
            timings,
            rng: SmallRng::seed_from_u64(seed),
            groups: Vec::new(),
            calls: PendingCalls::default(),
            takes_jobs: true,
            last_token: 0,
            actions: Vec::new(),
        }
    }

    /// Sets the number of groups, which never changes. The first renewals are spread over one interval.
    pub fn set_group_count(&mut self, count: u32, now: Timestamp) {
        if !self.groups.is_empty() {
            return;
        }
        for _ in 0..count {
            let spread = self.timings.renewal_interval.mul_f64(self.rng.random());
            let group = GroupDriver::new(self.rng.random(), now + spread);
            self.groups.push(group);
        }
    }

    /// Returns the number of groups; `None` while it is unknown, when no job can be said not to exist.
    pub fn group_count(&self) -> Option<u32> {
        (!self.groups.is_empty()).then_some(self.groups.len() as u32)
    }

    /// Takes the actions that have accumulated since the last call.
    pub fn take_actions(&mut self) -> Vec<DriverAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the epoch in which this entry drives a job, if it does.
    pub fn driven_epoch(&self, job: &str) -> Option<Epoch> {
        let group = self.groups.get(self.group_index(job)?)?;
        group.driven.get(job).map(|driven| driven.epoch)
    }

    /// Returns the number of jobs that this entry drives, including finished ones.
    pub fn driven_count(&self) -> usize {
        self.groups.iter().map(|group| group.driven.len()).sum()
    }

    /// Returns the number of groups on which this entry holds a valid lease.
    pub fn valid_lease_count(&self, now: Timestamp) -> usize {
        let valid = self.groups.iter().filter(|group| group.lease.is_valid(now));
        valid.count()
    }

    /// Records that a task of a job has started.
    pub fn record_begun(&mut self, job: &str) {
        if let Some(driven) = self.driven_mut(job) {
            driven.has_begun = true;
        }
    }

    /// Records that all tasks of a job have ended as far as its dispatcher knows. `is_clean` says whether all runs have certainly ended.
    /// The job stays in the renewals until the leader drops it.
    pub fn record_finished(&mut self, job: &str, epoch: Epoch, is_clean: bool, now: Timestamp) {
        if let Some(driven) = self.driven_mut(job)
            && driven.epoch == epoch
        {
            driven.has_begun = true;
            driven.finished = Some(Finished { at: now, is_clean });
        }
    }

    /// Stops accepting jobs. The driven jobs continue until they are released.
    pub fn stop_taking_jobs(&mut self) {
        self.takes_jobs = false;
    }

    /// Returns the driven jobs that are not finished.
    pub fn unfinished_jobs(&self) -> Vec<JobId> {
        let driven = self.groups.iter().flat_map(|group| &group.driven);
        let unfinished = driven.filter(|(_, driven)| driven.finished.is_none());
        unfinished.map(|(job, _)| job.clone()).collect()
    }

    /// Returns whether no job is driven and every release is answered.
    pub fn is_empty(&self) -> bool {
        self.groups
            .iter()
            .all(|group| group.driven.is_empty() && !group.has_unanswered_release())
    }

    /// Performs the work that is due, such as renewals, retries and expiries. Call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Timestamp) {
        self.expire_leases(now);
        for group in &mut self.groups {
            group.remove_settled(now);
        }
        self.record_observed_ends(now);
        self.release_undropped(now);
        self.send_renewals(now);
        self.send_calls(now);
        for (token, answer) in self.calls.take_expired(now) {
            self.answer(token, answer);
        }
    }

    /// Ends the drivers whose lease has lapsed. Call it before any run can start, since the lease may have lapsed during a stall.
    pub fn expire_leases(&mut self, now: Timestamp) {
        for index in 0..self.groups.len() {
            if self.groups[index].lease.has_lapsed(now) {
                self.replace_driver(index, now);
            }
        }
    }

    /// Stops driving the jobs of a group, and generates a new driver identity.
    fn replace_driver(&mut self, index: usize, now: Timestamp) {
        let expired = &mut self.groups[index];
        let before = expired.id;
        let leader = expired.leader.take();
        for (job, driven) in std::mem::take(&mut expired.driven) {
            self.actions.push(DriverAction::StopDriving {
                job,
                epoch: driven.epoch,
                cause: StopCause::Lapsed,
            });
        }
        let mut next = GroupDriver::new(self.rng.random(), now);
        next.leader = leader;
        self.groups[index] = next;
        self.calls.take_matching(
            |pending| matches!(&pending.call, JobCall::Release { driver, .. } if *driver == before),
        );
    }

    /// Returns the index of a job's group, or `None` while the number of groups is unknown.
    pub(super) fn group_index(&self, job: &str) -> Option<usize> {
        let count = self.group_count()?;
        Some(group_of(job, count) as usize)
    }

    fn driven_mut(&mut self, job: &str) -> Option<&mut DrivenState> {
        let index = self.group_index(job)?;
        self.groups[index].driven.get_mut(job)
    }

    fn next_token(&mut self) -> CallToken {
        self.last_token += 1;
        self.last_token
    }

    fn answer(&mut self, token: CallToken, answer: CallAnswer) {
        self.actions.push(DriverAction::Answer(token, answer));
    }

    fn send_renewals(&mut self, now: Timestamp) {
        for index in 0..self.groups.len() {
            if now < self.groups[index].next_renewal_at {
                continue;
            }
            let token = self.next_token();
            let group = &mut self.groups[index];
            let renewal = group.build_renewal(&self.entry, self.takes_jobs);
            let attempt = group.unanswered;
            group.record_renewal(token, &self.timings, now);
            self.send(index as GroupId, token, JobCall::Renew(renewal), attempt);
        }
    }

    /// Starts to drive a job unless it is or was driven in this epoch. Releases it at once if this entry accepts no jobs.
    fn accept_assignment(&mut self, index: usize, assignment: JobAssignment, now: Timestamp) {
        let group = &mut self.groups[index];
        if group.is_release_unknown_to_leader(&assignment.job, assignment.epoch, now) {
            // The release was answered at least two lease periods ago, so the job has no runs left here.
            self.send_release(index, vec![(assignment.job, assignment.epoch, true)], now);
            return;
        }
        if !group.is_new_assignment(&assignment.job, assignment.epoch) {
            return;
        }
        let driven = DrivenState {
            epoch: assignment.epoch,
            has_begun: !assignment.progress.is_empty(),
            finished: None,
        };
        if let Some(before) = group.driven.insert(assignment.job.clone(), driven) {
            self.actions.push(DriverAction::StopDriving {
                job: assignment.job.clone(),
                epoch: before.epoch,
                cause: StopCause::Replaced,
            });
        }
        if self.takes_jobs {
            self.actions.push(DriverAction::Drive(assignment));
        } else {
            self.release_from_group(index, &[(assignment.job, true)], now);
        }
    }

    /// Schedules a renewal before the next regular one.
    fn renew_soon(&mut self, index: usize, delay: Duration, now: Timestamp) {
        let at = now + with_jitter(delay, &mut self.rng);
        let group = &mut self.groups[index];
        group.next_renewal_at = group.next_renewal_at.min(at);
    }
}
