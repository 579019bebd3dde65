//! A simulated target: it executes runs under one lease, lists ends until they are acknowledged, and can execute orders late.

use std::collections::BTreeMap;

use cloverfold_lease::{
    EndCause, EndedRun, IncarnationId, ListedRun, RenewalAnswer, RenewalOrder, Resources,
    StartAnswer, StartOrder, StartRefusal, StopOrder, TargetRegistration, TaskId,
};
use rand::RngExt;
use rand::rngs::SmallRng;

const CAPACITY_CPU_MILLI: i64 = 16_000;
const DEMAND_CPU_MILLI: i64 = 1_600;
/// Longest lease that the target grants, on its clock.
const MAX_LEASE_MS: u64 = 1_000;

enum DelayedOrder {
    Start(StartOrder),
    Stop(StopOrder),
}

pub struct Target {
    index: usize,
    /// Speed of its clock, where 1 is real time.
    clock_rate: f64,
    /// Number of its current name; several incarnations may share a name.
    name_number: u64,
    /// Number of its current incarnation.
    incarnation: u64,
    started_at: u64,
    pub disconnected_until: u64,
    /// End of its lease, on its clock.
    lease_deadline: u64,
    fencing_token: u64,
    sequence: u64,
    /// Number and end time of each running run.
    running: BTreeMap<TaskId, (u64, u64)>,
    ended: Vec<EndedRun>,
    last_end: u64,
    highest_run: BTreeMap<TaskId, u64>,
    delayed: Vec<(u64, DelayedOrder)>,
    new_starts: u64,
    done: BTreeMap<String, u64>,
    /// Number of lapses of the lease.
    lapses: u64,
    has_lapsed: bool,
    /// Ends `Done` by number, with their time and the number of lapses before them.
    done_ends: BTreeMap<u64, (u64, u64)>,
    /// Tasks started since the last call of [`Target::take_history`].
    started_tasks: Vec<TaskId>,
    /// Ends `Done` that were forgotten since that call without a lapse in between, with their times.
    acknowledged: Vec<(TaskId, u64)>,
}

impl Target {
    pub fn new(index: usize, clock_rate: f64) -> Self {
        Self {
            index,
            clock_rate,
            name_number: 1,
            incarnation: 1,
            started_at: 0,
            disconnected_until: 0,
            lease_deadline: 0,
            fencing_token: 0,
            sequence: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            highest_run: BTreeMap::new(),
            delayed: Vec::new(),
            new_starts: 0,
            done: BTreeMap::new(),
            lapses: 0,
            has_lapsed: false,
            done_ends: BTreeMap::new(),
            started_tasks: Vec::new(),
            acknowledged: Vec::new(),
        }
    }

    fn clock(&self, now: u64) -> u64 {
        1_000 + (now.saturating_sub(self.started_at) as f64 * self.clock_rate) as u64
    }

    pub fn is_up(&self, now: u64) -> bool {
        now >= self.started_at && now >= self.disconnected_until
    }

    pub fn running(&self) -> impl Iterator<Item = &TaskId> {
        self.running.keys()
    }

    pub fn count_done(&self, job: &str) -> u64 {
        self.done.get(job).copied().unwrap_or(0)
    }

    /// Ends this incarnation; the next one starts after `downtime`, under the same name or another.
    pub fn crash(&mut self, now: u64, downtime: u64, keeps_name: bool) {
        self.name_number += u64::from(!keeps_name);
        self.incarnation += 1;
        self.started_at = now + downtime;
        self.sequence = 0;
        self.has_lapsed = false;
        self.running.clear();
        self.ended.clear();
        self.delayed.clear();
        self.highest_run.clear();
        self.done_ends.clear();
        self.last_end = 0;
        self.lease_deadline = 0;
        self.fencing_token = 0;
    }

    fn name(&self) -> String {
        format!("target-{}-{}", self.index, self.name_number)
    }

    pub fn register(&mut self, now: u64) -> TargetRegistration {
        self.sequence += 1;
        TargetRegistration {
            incarnation: IncarnationId {
                name: self.name(),
                start_time: Some(self.incarnation),
            },
            service: "service".into(),
            address: "127.0.0.1:1".into(),
            capacity: Resources {
                cpu_milli: CAPACITY_CPU_MILLI,
                memory_mb: 32_000,
                accelerators: 0,
            },
            labels: Vec::new(),
            is_draining: false,
            clock: Some(self.clock(now)),
            sequence: self.sequence,
        }
    }

    fn end(&mut self, task: &TaskId, cause: EndCause) {
        if let Some((run, _)) = self.running.remove(task) {
            self.last_end += 1;
            self.ended.push(EndedRun {
                number: self.last_end,
                task: task.clone(),
                run,
                cause,
            });
        }
    }

    /// Executes delayed orders and ends runs that are done or whose lease has lapsed; returns the number of runs started since the last
    /// call.
    pub fn step(&mut self, now: u64) -> u64 {
        let delayed = std::mem::take(&mut self.delayed);
        for (at, order) in delayed {
            if at > now {
                self.delayed.push((at, order));
                continue;
            }
            match order {
                DelayedOrder::Start(order) => drop(self.execute_start(&order, now)),
                DelayedOrder::Stop(order) => self.execute_stop(&order),
            }
        }
        let tasks: Vec<(TaskId, u64)> = self
            .running
            .iter()
            .map(|(task, (_, ends_at))| (task.clone(), *ends_at))
            .collect();
        let has_lapsed = self.clock(now) > self.lease_deadline;
        for (task, ends_at) in tasks {
            if ends_at <= now {
                *self.done.entry(task.job.clone()).or_default() += 1;
                self.end(&task, EndCause::Done);
                self.done_ends.insert(self.last_end, (now, self.lapses));
            } else if has_lapsed {
                self.end(&task, EndCause::Lapsed);
            }
        }
        // Runs that completed in this step did so before the lapse, since a lapsed run is not done.
        self.lapses += u64::from(has_lapsed && !self.has_lapsed);
        self.has_lapsed = has_lapsed;
        std::mem::take(&mut self.new_starts)
    }

    /// Takes the started tasks, and the ends `Done` that were forgotten without a lapse in between.
    pub fn take_history(&mut self) -> (Vec<TaskId>, Vec<(TaskId, u64)>) {
        (
            std::mem::take(&mut self.started_tasks),
            std::mem::take(&mut self.acknowledged),
        )
    }

    fn is_reachable_as(&self, incarnation: &IncarnationId, now: u64) -> bool {
        self.is_up(now) && incarnation.name == self.name()
    }

    pub fn start(
        &mut self,
        order: &StartOrder,
        now: u64,
        is_delayed: bool,
        rng: &mut SmallRng,
    ) -> StartAnswer {
        if !self.is_reachable_as(&order.incarnation, now) {
            return StartAnswer::Unanswered;
        }
        if is_delayed {
            let executes_at = now + rng.random_range(200..12_000);
            self.delayed
                .push((executes_at, DelayedOrder::Start(order.clone())));
            return StartAnswer::Unanswered;
        }
        self.execute_start(order, now)
    }

    fn execute_start(&mut self, order: &StartOrder, now: u64) -> StartAnswer {
        let clock = self.clock(now);
        let refused = |refusal| StartAnswer::Refused(refusal, Some(clock));
        if order.fencing_token < self.fencing_token {
            return refused(StartRefusal::Fenced);
        }
        self.fencing_token = order.fencing_token;
        if order.deadline <= clock {
            return refused(StartRefusal::Late);
        }
        self.lease_deadline = self
            .lease_deadline
            .max(order.deadline.min(clock + MAX_LEASE_MS));
        if self
            .running
            .get(&order.task)
            .is_some_and(|(run, _)| *run == order.run)
        {
            return StartAnswer::Started { clock };
        }
        if self
            .highest_run
            .get(&order.task)
            .is_some_and(|highest| order.run <= *highest)
        {
            return refused(StartRefusal::Stale);
        }
        if (self.running.len() as i64 + 1) * DEMAND_CPU_MILLI > CAPACITY_CPU_MILLI {
            return refused(StartRefusal::NoCapacity);
        }
        self.started_tasks.push(order.task.clone());
        let work: u64 = order.spec.parse().unwrap();
        self.highest_run.insert(order.task.clone(), order.run);
        self.running
            .insert(order.task.clone(), (order.run, now + work));
        self.new_starts += 1;
        StartAnswer::Started { clock }
    }

    pub fn stop(&mut self, order: &StopOrder, now: u64, is_delayed: bool, rng: &mut SmallRng) {
        if !self.is_reachable_as(&order.incarnation, now) {
            return;
        }
        if is_delayed {
            let executes_at = now + rng.random_range(200..12_000);
            self.delayed
                .push((executes_at, DelayedOrder::Stop(order.clone())));
            return;
        }
        self.execute_stop(order);
    }

    fn execute_stop(&mut self, order: &StopOrder) {
        if order.fencing_token < self.fencing_token {
            return;
        }
        if self
            .running
            .get(&order.task)
            .is_some_and(|(run, _)| *run == order.run)
        {
            self.end(&order.task, EndCause::Stopped);
        }
    }

    pub fn renew(&mut self, order: &RenewalOrder, now: u64, is_lost: bool) -> RenewalAnswer {
        if !self.is_up(now) || is_lost {
            return RenewalAnswer::Unanswered;
        }
        if order.incarnation.name != self.name() {
            return RenewalAnswer::OtherIncarnation;
        }
        if order.fencing_token < self.fencing_token {
            return RenewalAnswer::Fenced;
        }
        self.fencing_token = order.fencing_token;
        for end in &self.ended {
            if end.number <= order.last_acknowledged_end
                && let Some((ended_at, lapses)) = self.done_ends.remove(&end.number)
                && lapses == self.lapses
            {
                self.acknowledged.push((end.task.clone(), ended_at));
            }
        }
        self.ended
            .retain(|end| end.number > order.last_acknowledged_end);
        if let Some(deadline) = order.deadline {
            self.lease_deadline = self
                .lease_deadline
                .max(deadline.min(self.clock(now) + MAX_LEASE_MS));
        }
        let running = self.running.iter();
        RenewalAnswer::Listed {
            start_time: Some(self.incarnation),
            clock: self.clock(now),
            running: running
                .map(|(task, (run, _))| ListedRun {
                    task: task.clone(),
                    run: *run,
                    progress: None,
                })
                .collect(),
            ended: self.ended.clone(),
        }
    }
}
