//! Kept jobs in the simulation: one job group without replicas, drivers in the dispatchers, and recorders in the runners.
//!
//! The group loses and delays calls and replies and is sometimes unreachable. It reassigns a job once the lease of its driver has
//! expired and the driver's runs have had time to end. The simulation panics if a task starts after the target was told to forget its end
//! `Done`.

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

/// When the group reassigns jobs, and whether ends are recorded.
#[derive(Clone, Copy)]
pub struct KeptJobFaults {
    /// How long after the lease of a driver its jobs are reassigned, in milliseconds.
    pub reassign_after_ms: u64,
    /// Whether runners are told at once that an end is recorded although it is not.
    pub drops_ends: bool,
}

impl KeptJobFaults {
    /// Returns the behaviour of the real system.
    pub fn none() -> Self {
        Self {
            reassign_after_ms: 1_464,
            drops_ends: false,
        }
    }
}

/// Sender of a call, with its process generation; replies to an earlier generation are dropped.
#[derive(Clone, Copy)]
enum Sender {
    Dispatcher(usize, u64),
    Runner(usize, u64),
}

/// State of a driver in the group.
struct KnownDriver {
    entry: String,
    seen_at: u64,
    is_replaced: bool,
}

struct DriverNode {
    generation: u64,
    driver: Option<Driver>,
    driven: BTreeMap<JobNumber, (JobId, Epoch)>,
}

struct RecorderNode {
    generation: u64,
    recorder: Option<Recorder>,
}

/// The group, and the state of kept jobs in dispatchers and runners.
pub(super) struct KeptJobWorld {
    faults: KeptJobFaults,
    table: JobTable,
    known_drivers: BTreeMap<DriverId, KnownDriver>,
    drivers: Vec<DriverNode>,
    recorders: Vec<RecorderNode>,
    calls: Vec<(u64, Sender, JobCallMessage)>,
    replies: Vec<(u64, Sender, JobReplyMessage)>,
    unreachable_until: u64,
    /// Released jobs with their epochs, and the time from which they may be reassigned.
    released: Vec<(JobId, Epoch, u64)>,
    submitted: u64,
    last_starts: BTreeMap<TaskId, u64>,
    acknowledged: BTreeMap<TaskId, u64>,
    pub(super) reassigned: u64,
}

impl KeptJobWorld {
    pub(super) fn new(faults: KeptJobFaults) -> Self {
        let drivers = (0..DISPATCHERS).map(|_| DriverNode {
            generation: 0,
            driver: None,
            driven: BTreeMap::new(),
        });
        let recorders = (0..RUNNERS).map(|_| RecorderNode {
            generation: 0,
            recorder: None,
        });
        Self {
            faults,
            table: JobTable::default(),
            known_drivers: BTreeMap::new(),
            drivers: drivers.collect(),
            recorders: recorders.collect(),
            calls: Vec::new(),
            replies: Vec::new(),
            unreachable_until: 0,
            released: Vec::new(),
            submitted: 0,
            last_starts: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            reassigned: 0,
        }
    }

    /// Returns the number of jobs that have ended.
    pub(super) fn ended(&self) -> usize {
        self.table.ended_count()
    }

    /// Returns the number of accepted jobs that have not ended.
    pub(super) fn open(&self) -> usize {
        self.table.open().len()
    }

    /// Records a start; panics if a target was already told to forget the end of its task.
    pub(super) fn record_start(&mut self, task: TaskId, now: u64) {
        if let Some(ended_at) = self.acknowledged.get(&task) {
            panic!("at {now} ms {task:?} starts although it completed at {ended_at} ms");
        }
        self.last_starts.insert(task, now);
    }

    /// Records that a target was told to forget an end `Done` without a lapse since; panics if its task has started again.
    pub(super) fn record_acknowledged(&mut self, task: TaskId, ended_at: u64) {
        let started_at = self.last_starts.get(&task);
        if let Some(started_at) = started_at.filter(|at| **at > ended_at) {
            panic!("{task:?} started at {started_at} ms although it completed at {ended_at} ms");
        }
        self.acknowledged.insert(task, ended_at);
    }

    /// Returns whether a driver has ended, so that its jobs may be reassigned.
    fn has_driver_ended(&self, driver: DriverId, now: u64) -> bool {
        let Some(known) = self.known_drivers.get(&driver) else {
            return false;
        };
        let until = if known.is_replaced {
            known.seen_at
        } else {
            known.seen_at + DRIVER_LEASE_MS
        };
        now >= until + self.faults.reassign_after_ms
    }

    /// Reassigns released jobs and the jobs whose driver has ended.
    fn reassign_jobs(&mut self, now: u64) {
        let is_live =
            |known: &KnownDriver| !known.is_replaced && now < known.seen_at + DRIVER_LEASE_MS / 2;
        let live = self.known_drivers.iter().find(|(_, known)| is_live(known));
        let Some(driver) = live.map(|(driver, _)| *driver) else {
            return;
        };
        let open = self.table.open().iter();
        let is_released = |id: &JobId, job: &OpenJob| {
            let mut released = self.released.iter();
            released.any(|(released_job, epoch, due)| {
                released_job == id && *epoch == job.epoch() && *due <= now
            })
        };
        let reassignable = open
            .filter(|(id, job)| self.has_driver_ended(job.driver(), now) || is_released(id, job));
        let reassignments: Vec<JobReassignment> = reassignable
            .map(|(id, job)| JobReassignment {
                job: id.clone(),
                after: job.epoch(),
                driver,
            })
            .collect();
        self.reassigned += reassignments.len() as u64;
        self.table.apply(JobCommand::Assign(reassignments));
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
                        self.faults.reassign_after_ms
                    };
                    self.released.push((job.job, job.epoch, now + pause));
                }
                JobReply::Released
            }
            other => panic!("{other:?}"),
        }
    }

    fn renew(&mut self, renewal: &Renewal, now: u64) -> JobReply {
        let is_new = !self.known_drivers.contains_key(&renewal.driver);
        if is_new {
            for known in self.known_drivers.values_mut() {
                if known.entry == renewal.entry && !known.is_replaced {
                    known.is_replaced = true;
                    known.seen_at = now;
                }
            }
        }
        let entry = renewal.entry.clone();
        let known = self
            .known_drivers
            .entry(renewal.driver)
            .or_insert(KnownDriver {
                entry,
                seen_at: now,
                is_replaced: false,
            });
        if !known.is_replaced {
            known.seen_at = now;
        }
        let is_own = |job: &OpenJob| job.driver() == renewal.driver;
        let is_listed = |id: &JobId, job: &OpenJob| {
            let mut listed = renewal.driving.iter();
            listed.any(|listed| listed.job == *id && listed.epoch == job.epoch())
        };
        let open = self.table.open().iter();
        let drive = open.filter(|(id, job)| is_own(job) && !is_listed(id, job));
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
        let is_still_driven = |id: &JobId, epoch: Epoch| {
            let job = self.table.open().get(id);
            job.is_some_and(|job| is_own(job) && job.epoch() == epoch)
        };
        let dropped = renewal.driving.iter();
        let dropped = dropped.filter(|listed| !is_still_driven(&listed.job, listed.epoch));
        JobReply::Renewed(RenewalReply {
            driver: renewal.driver,
            drive: drive.collect(),
            drop: dropped
                .map(|listed| (listed.job.clone(), listed.epoch))
                .collect(),
        })
    }
}

impl World {
    /// Advances the group, its calls and replies, and the drivers and recorders by one step.
    pub(super) fn step_kept_jobs(&mut self) {
        let Some(mut kept) = self.kept.take() else {
            return;
        };
        let now = self.now;
        if self.faults.has_faults && self.rng.random_bool(0.0005) {
            kept.unreachable_until = now + self.rng.random_range(200..3_000);
        }
        self.restart_drivers_and_recorders(&mut kept);
        self.submit_kept_job(&mut kept);
        self.deliver_calls(&mut kept);
        self.deliver_replies(&mut kept);
        kept.reassign_jobs(now);
        for index in 0..DISPATCHERS {
            self.step_driver(&mut kept, index);
        }
        for index in 0..RUNNERS {
            if let Some(recorder) = &mut kept.recorders[index].recorder
                && now >= self.runners[index].frozen_until
            {
                recorder.tick(at(now));
            }
            self.execute_recorder_actions(&mut kept, index);
        }
        self.kept = Some(kept);
    }

    /// Starts and stops drivers and recorders together with their processes.
    fn restart_drivers_and_recorders(&mut self, kept: &mut KeptJobWorld) {
        for (index, node) in kept.drivers.iter_mut().enumerate() {
            let is_alive = self.dispatchers[index].dispatcher.is_some();
            if is_alive && node.driver.is_none() {
                node.generation += 1;
                let name = format!("entry-{index}");
                let seed = self.rng.random();
                let mut driver = Driver::new(&name, KeptJobTimings::default(), seed);
                driver.set_group_count(1, at(self.now));
                node.driver = Some(driver);
            } else if !is_alive {
                node.driver = None;
                node.driven.clear();
            }
        }
        for (index, node) in kept.recorders.iter_mut().enumerate() {
            let is_alive = self.runners[index].runner.is_some();
            if is_alive && node.recorder.is_none() {
                node.generation += 1;
                let mut recorder = Recorder::default();
                recorder.set_group_count(1, at(self.now));
                node.recorder = Some(recorder);
            } else if !is_alive {
                node.recorder = None;
            }
        }
    }

    fn submit_kept_job(&mut self, kept: &mut KeptJobWorld) {
        if self.now >= self.submissions_until || !self.rng.random_bool(0.04) {
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

    fn deliver_calls(&mut self, kept: &mut KeptJobWorld) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut kept.calls)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        kept.calls = later;
        for (_, sender, message) in due {
            let is_lost = self.faults.has_faults && self.rng.random_bool(0.03);
            if is_lost || now < kept.unreachable_until {
                continue;
            }
            let reply = JobReplyMessage {
                token: message.token,
                group: 0,
                leader: None,
                reply: kept.answer(message.call, now),
            };
            let arrives_at = now + self.rng.random_range(1..60);
            if !(self.faults.has_faults && self.rng.random_bool(0.03)) {
                kept.replies.push((arrives_at, sender, reply));
            }
        }
    }

    fn deliver_replies(&mut self, kept: &mut KeptJobWorld) {
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
                Sender::Dispatcher(index, generation)
                    if kept.drivers[index].generation == generation =>
                {
                    if let Some(driver) = &mut kept.drivers[index].driver {
                        driver.receive(reply, at(now));
                    }
                    self.execute_driver_actions(kept, index);
                }
                Sender::Runner(index, generation)
                    if kept.recorders[index].generation == generation =>
                {
                    if let Some(recorder) = &mut kept.recorders[index].recorder {
                        recorder.receive(reply, at(now));
                    }
                    self.execute_recorder_actions(kept, index);
                }
                Sender::Dispatcher(..) | Sender::Runner(..) => {}
            }
        }
    }

    fn step_driver(&mut self, kept: &mut KeptJobWorld, index: usize) {
        if self.now < self.dispatchers[index].frozen_until {
            return;
        }
        if let Some(driver) = &mut kept.drivers[index].driver {
            driver.tick(at(self.now));
        }
        self.execute_driver_actions(kept, index);
        self.execute_dispatcher_actions(index);
    }

    /// Ends driving jobs whose lease has lapsed; must run before any other call of the dispatcher.
    pub(super) fn expire_kept_leases(&mut self, index: usize) {
        let Some(mut kept) = self.kept.take() else {
            return;
        };
        if let Some(driver) = &mut kept.drivers[index].driver {
            driver.expire_leases(at(self.now));
        }
        self.execute_driver_actions(&mut kept, index);
        self.kept = Some(kept);
    }

    fn execute_driver_actions(&mut self, kept: &mut KeptJobWorld, index: usize) {
        let now = self.now;
        let node = &mut kept.drivers[index];
        let sender = Sender::Dispatcher(index, node.generation);
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
                    let wanted = (job, epoch);
                    let mut driven = node.driven.iter();
                    let found = driven.find(|(_, driven)| **driven == wanted);
                    if let Some(number) = found.map(|(number, _)| *number) {
                        node.driven.remove(&number);
                        dispatcher.stop_driving(number);
                    }
                }
                DriverAction::Answer(..) => {}
            }
        }
    }

    /// Records that a dispatcher has finished a job; returns whether it is a kept one.
    pub(super) fn finish_kept_job(&mut self, index: usize, number: JobNumber) -> bool {
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

    /// Passes the end of a kept run to the driver.
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

    /// Releases a kept job whose progress only the group knows.
    pub(super) fn release_kept_job(&mut self, index: usize, number: JobNumber) {
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

    /// Passes the end of a kept run to the recorder of its runner.
    pub(super) fn record_end(&mut self, index: usize, end: TaskEnd) {
        let now = at(self.now);
        let Some(kept) = &mut self.kept else {
            return;
        };
        if kept.faults.drops_ends {
            let runner = self.runners[index].runner.as_mut().unwrap();
            runner.receive_end_decision(&end, EndDecision::Recorded, now);
        } else if let Some(recorder) = &mut kept.recorders[index].recorder {
            recorder.record(end, now);
        }
    }

    fn execute_recorder_actions(&mut self, kept: &mut KeptJobWorld, index: usize) {
        let now = self.now;
        let node = &mut kept.recorders[index];
        let sender = Sender::Runner(index, node.generation);
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

    /// Checks what the targets started and what they were told to forget.
    pub(super) fn check_kept_ends(&mut self) {
        let Some(kept) = &mut self.kept else {
            return;
        };
        let is_kept = |task: &TaskId| task.job.starts_with('k');
        for node in &mut self.runners {
            let (started, acknowledged) = node.target.take_history();
            for task in started.into_iter().filter(is_kept) {
                kept.record_start(task, self.now);
            }
            for (task, ended_at) in acknowledged {
                if is_kept(&task) {
                    kept.record_acknowledged(task, ended_at);
                }
            }
        }
    }

    /// Returns the numbers of ended, open and reassigned kept jobs.
    pub fn count_kept_jobs(&self) -> (usize, usize, u64) {
        let kept = self.kept.as_ref().unwrap();
        (kept.ended(), kept.open(), kept.reassigned)
    }
}
