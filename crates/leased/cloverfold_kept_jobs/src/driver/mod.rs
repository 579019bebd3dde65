//! The side of an entry: calls to the groups, and which jobs it drives.
//!
//! An entry is a *driver* of each group under a lease (`lease`). It drives the jobs that were accepted for it and those that the leader
//! gives it, and names all of them in each renewal until the leader tells it to drop them.
//!
//! Decision: which jobs are driven. Rule:
//!
//! | event | effect |
//! |---|---|
//! | a submission is accepted while the driver that it names is the present one | driven |
//! | it is accepted after that driver was over | the caller is told that the job is kept; it is not driven |
//! | the newest reply to a renewal orders to drive it | driven, in place of an earlier epoch |
//! | the leader orders to drop it, also unasked | not driven any more |
//! | an order to drive it comes unasked | the lease is renewed at once, and the reply decides |
//! | the lease of the driver lapses | nothing of the group is driven; another driver is drawn |
//! | it is released | not driven any more; the release is repeated until the leader has it, and anew if a later leader orders to drive it |
//! | it is finished here and not dropped within three seconds (`releases`) | released |
//!
//! Inputs: replies of the group, the clock, what the dispatcher reports of the jobs.
//!
//! Reason: what is driven here is driven nowhere else (`timings`). An order that comes unasked may be older than a drop, so it alone
//! begins nothing. A finished job that is not dropped has lost the record of an end with its guard: only another epoch may do it again.

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
use group::{Driven, Finished, GroupDriver};
use pending_calls::{PendingCalls, with_jitter};

/// The calls of one entry to the groups, and the jobs that it drives.
#[derive(Debug)]
pub struct Driver {
    entry: String,
    timings: KeptJobTimings,
    rng: SmallRng,
    /// By the number of the group; empty while the groups are not known.
    groups: Vec<GroupDriver>,
    calls: PendingCalls,
    takes_jobs: bool,
    last_token: CallToken,
    actions: Vec<DriverAction>,
}

impl Driver {
    /// Returns a driver that knows no groups. What it draws follows from `seed`, which must differ between processes.
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

    /// Records how many groups there are, which never changes; the first renewals are spread over an interval.
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

    /// Returns how many groups there are; 0 while that is not known.
    pub fn group_count(&self) -> u32 {
        self.groups.len() as u32
    }

    /// Takes what has to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<DriverAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the epoch in which a job is driven here.
    pub fn driven_epoch(&self, job: &str) -> Option<Epoch> {
        let group = self.groups.get(self.group_index(job)?)?;
        group.driven.get(job).map(|driven| driven.epoch)
    }

    /// Returns how many jobs are driven here, finished ones included.
    pub fn driven_count(&self) -> usize {
        self.groups.iter().map(|group| group.driven.len()).sum()
    }

    /// Returns how many groups this entry has a lease of.
    pub fn valid_lease_count(&self, now: Timestamp) -> usize {
        let valid = self.groups.iter().filter(|group| group.lease.is_valid(now));
        valid.count()
    }

    /// Records that a task of a job has begun.
    pub fn record_begun(&mut self, job: &str) {
        if let Some(driven) = self.driven_mut(job) {
            driven.has_begun = true;
        }
    }

    /// Records that all of a job has ended as far as its dispatcher knows; `is_clean` says that no run of it is left. It stays named
    /// until the leader says that it is over.
    pub fn record_finished(&mut self, job: &str, epoch: Epoch, is_clean: bool, now: Timestamp) {
        if let Some(driven) = self.driven_mut(job)
            && driven.epoch == epoch
        {
            driven.has_begun = true;
            driven.finished = Some(Finished { at: now, is_clean });
        }
    }

    /// Takes no further job; what is driven goes on until it is released.
    pub fn stop_taking_jobs(&mut self) {
        self.takes_jobs = false;
    }

    /// Returns the jobs that are driven and not finished.
    pub fn unfinished_jobs(&self) -> Vec<JobId> {
        let driven = self.groups.iter().flat_map(|group| &group.driven);
        let unfinished = driven.filter(|(_, driven)| driven.finished.is_none());
        unfinished.map(|(job, _)| job.clone()).collect()
    }

    /// Returns whether nothing is driven here and every release was answered.
    pub fn is_empty(&self) -> bool {
        self.groups
            .iter()
            .all(|group| group.driven.is_empty() && !group.awaits_release())
    }

    /// Does what has fallen due; call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Timestamp) {
        self.expire_leases(now);
        for group in &mut self.groups {
            group.forget_gone(now);
        }
        self.record_observed(now);
        self.release_unrecorded(now);
        self.send_renewals(now);
        self.send_calls(now);
        for (token, answer) in self.calls.take_late(now) {
            self.answer(token, answer);
        }
    }

    /// Ends the drivers whose lease has lapsed. Call it before anything else may begin a run: after a stall nothing may be driven on.
    pub fn expire_leases(&mut self, now: Timestamp) {
        for index in 0..self.groups.len() {
            if self.groups[index].lease.has_lapsed(now) {
                self.end_driver(index, now);
            }
        }
    }

    /// Stops driving all of a group, and draws another driver.
    fn end_driver(&mut self, index: usize, now: Timestamp) {
        let ended = &mut self.groups[index];
        let before = ended.id;
        let leader = ended.leader.take();
        for (job, driven) in std::mem::take(&mut ended.driven) {
            self.actions.push(DriverAction::StopDriving {
                job,
                epoch: driven.epoch,
                cause: StopCause::Lapsed,
            });
        }
        let mut next = GroupDriver::new(self.rng.random(), now);
        next.leader = leader;
        self.groups[index] = next;
        self.calls.take_all(
            |pending| matches!(&pending.call, JobCall::Release { driver, .. } if *driver == before),
        );
    }

    /// Returns the place of a job's group; `None` while the groups are not known.
    pub(super) fn group_index(&self, job: &str) -> Option<usize> {
        let count = self.group_count();
        (count > 0).then(|| group_of(job, count) as usize)
    }

    fn driven_mut(&mut self, job: &str) -> Option<&mut Driven> {
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
            let renewal = group.renewal(&self.entry, self.takes_jobs);
            let attempt = group.unanswered;
            group.record_renewal(token, &self.timings, now);
            self.send(index as GroupId, token, JobCall::Renew(renewal), attempt);
        }
    }

    /// Begins to drive a job, unless it is driven or was released in this epoch; gives it back at once if no further job is taken.
    fn begin_driving(&mut self, index: usize, order: JobAssignment, now: Timestamp) {
        let group = &mut self.groups[index];
        if group.is_release_lost(&order.job, order.epoch, now) {
            // It is long over here: nothing of it runs.
            self.send_release(index, vec![(order.job, order.epoch, true)], now);
            return;
        }
        if !group.is_news(&order.job, order.epoch) {
            return;
        }
        let driven = Driven {
            epoch: order.epoch,
            has_begun: !order.progress.is_empty(),
            finished: None,
        };
        if let Some(before) = group.driven.insert(order.job.clone(), driven) {
            self.actions.push(DriverAction::StopDriving {
                job: order.job.clone(),
                epoch: before.epoch,
                cause: StopCause::Replaced,
            });
        }
        if self.takes_jobs {
            self.actions.push(DriverAction::Drive(order));
        } else {
            self.release_of(index, &[(order.job, true)], now);
        }
    }

    /// Plans a renewal before the next regular one.
    fn renew_soon(&mut self, index: usize, pause: Duration, now: Timestamp) {
        let at = now + with_jitter(pause, &mut self.rng);
        let group = &mut self.groups[index];
        group.next_renewal_at = group.next_renewal_at.min(at);
    }
}
