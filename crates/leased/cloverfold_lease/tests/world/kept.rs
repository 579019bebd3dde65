//! Kept jobs in the simulated world: one group without replicas, drivers in the dispatchers, recorders in the runners.
//!
//! The group loses calls and replies, delays them, and is out of reach now and then. It hands a job on when the lease of its driver is over
//! and the span that the runs of a driver need to end. A start after an end `Done` that the target was told to forget ends the world.

use std::collections::BTreeMap;

use cloverfold_kept_jobs::{
    CommandOutcome, Driver, DriverAction, DriverId, EndDecision, EndOutcome, Epoch, JobAssignment,
    JobCall, JobCallMessage, JobCommand, JobId, JobReassignment, JobReply, JobReplyMessage,
    JobTable, KeptJobTimings, NewJob, OpenJob, Recorder, RecorderAction, Renewal, RenewalReply,
    TaskEnd, TaskIndex,
};
use cloverfold_lease::{JobNumber, KeptJob, TaskId};
use rand::RngExt;

use super::clients::job;
use super::{DISPATCHERS, RUNNERS, World, at};

const DRIVER_LEASE_MS: u64 = 1_500;

/// How the group hands on jobs and whether ends are recorded.
#[derive(Clone, Copy)]
pub struct KeptFaults {
    /// How long after the lease of a driver its jobs are handed on, in milliseconds.
    pub hands_on_after_ms: u64,
    /// Whether runners are told at once that an end is recorded, and it is not.
    pub loses_ends: bool,
}

impl KeptFaults {
    /// As the product does it.
    pub fn none() -> Self {
        Self {
            hands_on_after_ms: 1_464,
            loses_ends: false,
        }
    }
}

/// Who sent a call; replies to an earlier life are lost.
#[derive(Clone, Copy)]
enum Sender {
    Dispatcher(usize, u64),
    Runner(usize, u64),
}

/// A driver as the group knows it.
struct KnownDriver {
    entry: String,
    seen_at: u64,
    is_replaced: bool,
}

struct DriverNode {
    life: u64,
    driver: Option<Driver>,
    driven: BTreeMap<JobNumber, (JobId, Epoch)>,
}

struct RecorderNode {
    life: u64,
    recorder: Option<Recorder>,
}

/// The group, and what dispatchers and runners have of kept jobs.
pub(super) struct KeptWorld {
    faults: KeptFaults,
    table: JobTable,
    known: BTreeMap<DriverId, KnownDriver>,
    drivers: Vec<DriverNode>,
    recorders: Vec<RecorderNode>,
    calls: Vec<(u64, Sender, JobCallMessage)>,
    replies: Vec<(u64, Sender, JobReplyMessage)>,
    out_of_reach_until: u64,
    /// Jobs that were given back, their epochs, and from when they may be handed on.
    released: Vec<(JobId, Epoch, u64)>,
    submitted: u64,
    last_starts: BTreeMap<TaskId, u64>,
    noted: BTreeMap<TaskId, u64>,
    pub(super) handed_on: u64,
}

impl KeptWorld {
    pub(super) fn new(faults: KeptFaults) -> Self {
        let drivers = (0..DISPATCHERS).map(|_| DriverNode {
            life: 0,
            driver: None,
            driven: BTreeMap::new(),
        });
        let recorders = (0..RUNNERS).map(|_| RecorderNode {
            life: 0,
            recorder: None,
        });
        Self {
            faults,
            table: JobTable::default(),
            known: BTreeMap::new(),
            drivers: drivers.collect(),
            recorders: recorders.collect(),
            calls: Vec::new(),
            replies: Vec::new(),
            out_of_reach_until: 0,
            released: Vec::new(),
            submitted: 0,
            last_starts: BTreeMap::new(),
            noted: BTreeMap::new(),
            handed_on: 0,
        }
    }

    /// Counts the jobs that have ended.
    pub(super) fn ended(&self) -> usize {
        self.table.ended_count()
    }

    /// Counts the jobs that were accepted and have not ended.
    pub(super) fn open(&self) -> usize {
        self.table.open().len()
    }

    /// Checks a start against the ends that targets were told to forget.
    pub(super) fn record_start(&mut self, task: TaskId, now: u64) {
        if let Some(ended_at) = self.noted.get(&task) {
            panic!("at {now} ms {task:?} starts, done since {ended_at} ms");
        }
        self.last_starts.insert(task, now);
    }

    /// Records that a target was told to forget an end `Done` without a lapse since.
    pub(super) fn record_noted(&mut self, task: TaskId, ended_at: u64) {
        let started_at = self.last_starts.get(&task);
        if let Some(started_at) = started_at.filter(|at| **at > ended_at) {
            panic!("{task:?} started at {started_at} ms, done since {ended_at} ms");
        }
        self.noted.insert(task, ended_at);
    }

    /// Returns whether a driver is over so that its jobs may be handed on.
    fn is_over(&self, driver: DriverId, now: u64) -> bool {
        let Some(known) = self.known.get(&driver) else {
            return false;
        };
        let until = if known.is_replaced {
            known.seen_at
        } else {
            known.seen_at + DRIVER_LEASE_MS
        };
        now >= until + self.faults.hands_on_after_ms
    }

    /// Hands on the jobs whose driver is over.
    fn hand_on(&mut self, now: u64) {
        let is_live =
            |known: &KnownDriver| !known.is_replaced && now < known.seen_at + DRIVER_LEASE_MS / 2;
        let live = self.known.iter().find(|(_, known)| is_live(known));
        let Some(driver) = live.map(|(driver, _)| *driver) else {
            return;
        };
        let open = self.table.open().iter();
        let is_released = |id: &JobId, job: &OpenJob| {
            let mut released = self.released.iter();
            released.any(|(of, epoch, due)| of == id && *epoch == job.epoch() && *due <= now)
        };
        let over = open.filter(|(id, job)| self.is_over(job.driver(), now) || is_released(id, job));
        let assignees: Vec<JobReassignment> = over
            .map(|(id, job)| JobReassignment {
                job: id.clone(),
                after: job.epoch(),
                driver,
            })
            .collect();
        self.handed_on += assignees.len() as u64;
        self.table.apply(JobCommand::Assign(assignees));
        self.released.retain(|(_, _, due)| now <= *due);
    }

    fn answer(&mut self, call: JobCall, now: u64) -> JobReply {
        match call {
            JobCall::Submit(submission) => match self.table.apply(JobCommand::Submit(submission)) {
                CommandOutcome::Submit(outcome) => JobReply::Submitted(outcome),
                other => panic!("{other:?}"),
            },
            JobCall::RecordEnds(ends) => match self.table.apply(JobCommand::RecordEnds(ends)) {
                CommandOutcome::Ends(decisions) => JobReply::EndsRecorded(decisions),
                other => panic!("{other:?}"),
            },
            JobCall::Renew(renewal) => self.renew(&renewal, now),
            JobCall::Release { jobs, .. } => {
                for job in jobs {
                    let pause = if job.is_clean {
                        0
                    } else {
                        self.faults.hands_on_after_ms
                    };
                    self.released.push((job.job, job.epoch, now + pause));
                }
                JobReply::Released
            }
            other => panic!("{other:?}"),
        }
    }

    fn renew(&mut self, renewal: &Renewal, now: u64) -> JobReply {
        let is_new = !self.known.contains_key(&renewal.driver);
        if is_new {
            for known in self.known.values_mut() {
                if known.entry == renewal.entry && !known.is_replaced {
                    known.is_replaced = true;
                    known.seen_at = now;
                }
            }
        }
        let entry = renewal.entry.clone();
        let known = self.known.entry(renewal.driver).or_insert(KnownDriver {
            entry,
            seen_at: now,
            is_replaced: false,
        });
        if !known.is_replaced {
            known.seen_at = now;
        }
        let is_mine = |job: &OpenJob| job.driver() == renewal.driver;
        let is_named = |id: &JobId, job: &OpenJob| {
            let mut named = renewal.driving.iter();
            named.any(|named| named.job == *id && named.epoch == job.epoch())
        };
        let open = self.table.open().iter();
        let drive = open.filter(|(id, job)| is_mine(job) && !is_named(id, job));
        let drive = drive.map(|(id, job)| JobAssignment {
            job: id.clone(),
            epoch: job.epoch(),
            body: job.submission().body.clone(),
            progress: job
                .progress()
                .iter()
                .map(|(task, done)| (*task, *done))
                .collect(),
        });
        let is_still = |id: &JobId, epoch: Epoch| {
            let job = self.table.open().get(id);
            job.is_some_and(|job| is_mine(job) && job.epoch() == epoch)
        };
        let dropped = renewal.driving.iter();
        let dropped = dropped.filter(|named| !is_still(&named.job, named.epoch));
        JobReply::Renewed(RenewalReply {
            driver: renewal.driver,
            drive: drive.collect(),
            drop: dropped
                .map(|named| (named.job.clone(), named.epoch))
                .collect(),
        })
    }
}

impl World {
    /// Plays the group, its calls and replies, and the drivers and recorders for a step.
    pub(super) fn step_kept(&mut self) {
        let Some(mut kept) = self.kept.take() else {
            return;
        };
        let now = self.now;
        if self.faults.is_troubled && self.rng.random_bool(0.0005) {
            kept.out_of_reach_until = now + self.rng.random_range(200..3_000);
        }
        self.follow_lives(&mut kept);
        self.submit_kept(&mut kept);
        self.carry_calls(&mut kept);
        self.carry_replies(&mut kept);
        kept.hand_on(now);
        for index in 0..DISPATCHERS {
            self.step_driver(&mut kept, index);
        }
        for index in 0..RUNNERS {
            if let Some(recorder) = &mut kept.recorders[index].recorder
                && now >= self.runners[index].frozen_until
            {
                recorder.tick(at(now));
            }
            self.act_recorder(&mut kept, index);
        }
        self.kept = Some(kept);
    }

    /// Drivers and recorders live and die with their processes.
    fn follow_lives(&mut self, kept: &mut KeptWorld) {
        for (index, node) in kept.drivers.iter_mut().enumerate() {
            let lives = self.dispatchers[index].dispatcher.is_some();
            if lives && node.driver.is_none() {
                node.life += 1;
                let name = format!("entry-{index}");
                let seed = self.rng.random();
                let mut driver = Driver::new(&name, KeptJobTimings::default(), seed);
                driver.set_group_count(1, at(self.now));
                node.driver = Some(driver);
            } else if !lives {
                node.driver = None;
                node.driven.clear();
            }
        }
        for (index, node) in kept.recorders.iter_mut().enumerate() {
            let lives = self.runners[index].runner.is_some();
            if lives && node.recorder.is_none() {
                node.life += 1;
                let mut recorder = Recorder::default();
                recorder.set_group_count(1, at(self.now));
                node.recorder = Some(recorder);
            } else if !lives {
                node.recorder = None;
            }
        }
    }

    fn submit_kept(&mut self, kept: &mut KeptWorld) {
        if self.now >= self.jobs_until || !self.rng.random_bool(0.04) {
            return;
        }
        let index = self.rng.random_range(0..DISPATCHERS);
        if self.now < self.dispatchers[index].frozen_until {
            return;
        }
        kept.submitted += 1;
        let count = self.rng.random_range(1..=4);
        let work: u16 = self.rng.random_range(40..900);
        let mut body = vec![count];
        body.extend(work.to_le_bytes());
        let new_job = NewJob {
            id: format!("k{:015x}", kept.submitted),
            queue: "queue".into(),
            digest: [0; 16],
            body,
            tasks: count.into(),
            max_attempts: 3,
        };
        if let Some(driver) = &mut kept.drivers[index].driver {
            driver.submit(new_job, at(self.now + 2_500), at(self.now));
        }
    }

    fn carry_calls(&mut self, kept: &mut KeptWorld) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut kept.calls)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        kept.calls = later;
        for (_, sender, message) in due {
            let is_lost = self.faults.is_troubled && self.rng.random_bool(0.03);
            if is_lost || now < kept.out_of_reach_until {
                continue;
            }
            let reply = JobReplyMessage {
                token: message.token,
                group: 0,
                leader: None,
                reply: kept.answer(message.call, now),
            };
            let arrives_at = now + self.rng.random_range(1..60);
            if !(self.faults.is_troubled && self.rng.random_bool(0.03)) {
                kept.replies.push((arrives_at, sender, reply));
            }
        }
    }

    fn carry_replies(&mut self, kept: &mut KeptWorld) {
        let now = self.now;
        for (arrives_at, sender, reply) in std::mem::take(&mut kept.replies) {
            let frozen_until = match sender {
                Sender::Dispatcher(index, _) => self.dispatchers[index].frozen_until,
                Sender::Runner(index, _) => self.runners[index].frozen_until,
            };
            if arrives_at > now || now < frozen_until {
                kept.replies.push((arrives_at, sender, reply));
                continue;
            }
            match sender {
                Sender::Dispatcher(index, life) if kept.drivers[index].life == life => {
                    if let Some(driver) = &mut kept.drivers[index].driver {
                        driver.receive(reply, at(now));
                    }
                    self.act_driver(kept, index);
                }
                Sender::Runner(index, life) if kept.recorders[index].life == life => {
                    if let Some(recorder) = &mut kept.recorders[index].recorder {
                        recorder.receive(reply, at(now));
                    }
                    self.act_recorder(kept, index);
                }
                Sender::Dispatcher(..) | Sender::Runner(..) => {}
            }
        }
    }

    fn step_driver(&mut self, kept: &mut KeptWorld, index: usize) {
        if self.now < self.dispatchers[index].frozen_until {
            return;
        }
        if let Some(driver) = &mut kept.drivers[index].driver {
            driver.tick(at(self.now));
        }
        self.act_driver(kept, index);
        self.act_dispatcher(index);
    }

    /// Drives nothing whose lease has lapsed; called before a dispatcher does anything.
    pub(super) fn expire_kept(&mut self, index: usize) {
        let Some(mut kept) = self.kept.take() else {
            return;
        };
        if let Some(driver) = &mut kept.drivers[index].driver {
            driver.expire_leases(at(self.now));
        }
        self.act_driver(&mut kept, index);
        self.kept = Some(kept);
    }

    fn act_driver(&mut self, kept: &mut KeptWorld, index: usize) {
        let now = self.now;
        let node = &mut kept.drivers[index];
        let sender = Sender::Dispatcher(index, node.life);
        let (Some(driver), Some(dispatcher)) =
            (&mut node.driver, &mut self.dispatchers[index].dispatcher)
        else {
            return;
        };
        for action in driver.take_actions() {
            match action {
                DriverAction::Send(_, call) => {
                    let arrives_at = now + self.rng.random_range(1..60);
                    kept.calls.push((arrives_at, sender, call));
                }
                DriverAction::Drive(order) => {
                    let work = u16::from_le_bytes([order.body[1], order.body[2]]);
                    let request = job(&order.job, order.body[0].into(), work.into());
                    let driven = KeptJob {
                        request,
                        epoch: order.epoch,
                        progress: order.progress,
                    };
                    let number = dispatcher.drive(driven, at(now));
                    node.driven.insert(number, (order.job, order.epoch));
                }
                DriverAction::StopDriving { job, epoch, .. } => {
                    let meant = (job, epoch);
                    let mut driven = node.driven.iter();
                    let found = driven.find(|(_, driven)| **driven == meant);
                    if let Some(number) = found.map(|(number, _)| *number) {
                        node.driven.remove(&number);
                        dispatcher.stop_driving(number);
                    }
                }
                DriverAction::Answer(..) => {}
            }
        }
    }

    /// Records that a dispatcher has ended all of a kept job; returns whether it is one.
    pub(super) fn finish_kept(&mut self, index: usize, number: JobNumber) -> bool {
        let now = at(self.now);
        let Some(kept) = &mut self.kept else {
            return false;
        };
        let node = &mut kept.drivers[index];
        let Some((id, epoch)) = node.driven.remove(&number) else {
            return false;
        };
        let dispatcher = self.dispatchers[index].dispatcher.as_ref().unwrap();
        let is_clean = !dispatcher.has_detached_runs(&id);
        if let Some(driver) = &mut node.driver {
            driver.record_finished(&id, epoch, is_clean, now);
        }
        true
    }

    /// Tells the driver of the end of a kept run.
    pub(super) fn observe_end(
        &mut self,
        index: usize,
        number: JobNumber,
        task: TaskIndex,
        run: u64,
        outcome: EndOutcome,
    ) {
        let Some(kept) = &mut self.kept else {
            return;
        };
        let node = &mut kept.drivers[index];
        if let (Some((job, epoch)), Some(driver)) = (node.driven.get(&number), &mut node.driver) {
            driver.observe_end(TaskEnd {
                job: job.clone(),
                epoch: *epoch,
                task,
                run,
                outcome,
            });
        }
    }

    /// Gives a kept job back whose progress only the group knows.
    pub(super) fn hand_back(&mut self, index: usize, number: JobNumber) {
        let now = at(self.now);
        let Some(kept) = &mut self.kept else {
            return;
        };
        let node = &mut kept.drivers[index];
        let dispatcher = self.dispatchers[index].dispatcher.as_ref().unwrap();
        if let (Some((id, _)), Some(driver)) = (node.driven.get(&number), &mut node.driver) {
            let is_clean = !dispatcher.has_open_runs(number) && !dispatcher.has_detached_runs(id);
            driver.release(&[(id.clone(), is_clean)], now);
        }
    }

    /// Passes an end of a kept run to the recorder of its runner.
    pub(super) fn record_end(&mut self, index: usize, end: TaskEnd) {
        let now = at(self.now);
        let Some(kept) = &mut self.kept else {
            return;
        };
        if kept.faults.loses_ends {
            let runner = self.runners[index].runner.as_mut().unwrap();
            runner.receive_end_decision(&end, EndDecision::Recorded, now);
        } else if let Some(recorder) = &mut kept.recorders[index].recorder {
            recorder.record(end, now);
        }
    }

    fn act_recorder(&mut self, kept: &mut KeptWorld, index: usize) {
        let now = self.now;
        let node = &mut kept.recorders[index];
        let sender = Sender::Runner(index, node.life);
        let Some(recorder) = &mut node.recorder else {
            return;
        };
        for action in recorder.take_actions() {
            match action {
                RecorderAction::Send(_, call) => {
                    let arrives_at = now + self.rng.random_range(1..60);
                    kept.calls.push((arrives_at, sender, call));
                }
                RecorderAction::Decided(end, decision) => {
                    if let Some(runner) = &mut self.runners[index].runner {
                        runner.receive_end_decision(&end, decision, at(now));
                    }
                }
            }
        }
    }

    /// Passes what targets started and were told to forget to the check.
    pub(super) fn check_kept_ends(&mut self) {
        let Some(kept) = &mut self.kept else {
            return;
        };
        let is_kept = |task: &TaskId| task.job.starts_with('k');
        for node in &mut self.runners {
            let (started, noted) = node.target.take_history();
            for task in started.into_iter().filter(is_kept) {
                kept.record_start(task, self.now);
            }
            for (task, ended_at) in noted {
                if is_kept(&task) {
                    kept.record_noted(task, ended_at);
                }
            }
        }
    }

    /// Returns how many kept jobs have ended, are open, and were handed on.
    pub fn count_kept(&self) -> (usize, usize, u64) {
        let kept = self.kept.as_ref().unwrap();
        (kept.ended(), kept.open(), kept.handed_on)
    }
}
