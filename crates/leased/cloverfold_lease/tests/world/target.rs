//! A target as the protocol tells it: runs under one lease, ends listed until they are noted, late orders.

use std::collections::BTreeMap;

use cloverfold_lease::{
    EndCause, EndedRun, IncarnationId, ListedRun, RenewalAnswer, RenewalOrder, Resources,
    StartAnswer, StartOrder, StartRefusal, StopOrder, TargetRegistration, TaskId,
};
use rand::RngExt;
use rand::rngs::SmallRng;

const CAPACITY: i64 = 16_000;
const DEMAND: i64 = 1_600;
/// Longest lease that it grants, in milliseconds of its clock.
const LONGEST_LEASE: u64 = 1_000;

enum Late {
    Start(StartOrder),
    Stop(StopOrder),
}

pub struct Target {
    index: usize,
    rate: f64,
    /// Numbers the names that it has had; several lives may have the same one.
    name_number: u64,
    /// Numbers its lives.
    life: u64,
    life_began: u64,
    pub cut_until: u64,
    lease: u64,
    fencing_token: u64,
    sequence: u64,
    running: BTreeMap<TaskId, (u64, u64)>,
    ended: Vec<EndedRun>,
    last_end: u64,
    highest_run: BTreeMap<TaskId, u64>,
    late: Vec<(u64, Late)>,
    started: u64,
    done: BTreeMap<String, u64>,
    /// How often the lease has lapsed.
    lapses: u64,
    has_lapsed: bool,
    /// Ends `Done` with when they were and after how many lapses.
    done_ends: BTreeMap<u64, (u64, u64)>,
    /// Starts since the last call of [`Target::take_history`].
    begun: Vec<TaskId>,
    /// Ends `Done` that were forgotten without a lapse since, as `begun`.
    noted: Vec<(TaskId, u64)>,
}

impl Target {
    pub fn new(index: usize, rate: f64) -> Self {
        Self {
            index,
            rate,
            name_number: 1,
            life: 1,
            life_began: 0,
            cut_until: 0,
            lease: 0,
            fencing_token: 0,
            sequence: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            highest_run: BTreeMap::new(),
            late: Vec::new(),
            started: 0,
            done: BTreeMap::new(),
            lapses: 0,
            has_lapsed: false,
            done_ends: BTreeMap::new(),
            begun: Vec::new(),
            noted: Vec::new(),
        }
    }

    fn clock(&self, now: u64) -> u64 {
        1_000 + (now.saturating_sub(self.life_began) as f64 * self.rate) as u64
    }

    pub fn is_up(&self, now: u64) -> bool {
        now >= self.life_began && now >= self.cut_until
    }

    pub fn running(&self) -> impl Iterator<Item = &TaskId> {
        self.running.keys()
    }

    pub fn count_done(&self, job: &str) -> u64 {
        self.done.get(job).copied().unwrap_or(0)
    }

    /// Ends this life; the next one begins after a gap, under the same name or another.
    pub fn crash(&mut self, now: u64, gap: u64, keeps_name: bool) {
        self.name_number += u64::from(!keeps_name);
        self.life += 1;
        self.life_began = now + gap;
        self.sequence = 0;
        self.has_lapsed = false;
        self.running.clear();
        self.ended.clear();
        self.late.clear();
        self.highest_run.clear();
        self.done_ends.clear();
        self.last_end = 0;
        self.lease = 0;
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
                start_time: Some(self.life),
            },
            service: "service".into(),
            address: "127.0.0.1:1".into(),
            capacity: Resources {
                cpu_milli: CAPACITY,
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

    /// Ends what is done or has lapsed and carries out late orders; returns how many runs began since the last call.
    pub fn step(&mut self, now: u64) -> u64 {
        let late = std::mem::take(&mut self.late);
        for (at, order) in late {
            if at > now {
                self.late.push((at, order));
                continue;
            }
            match order {
                Late::Start(order) => drop(self.do_start(&order, now)),
                Late::Stop(order) => self.do_stop(&order),
            }
        }
        let tasks: Vec<(TaskId, u64)> = self
            .running
            .iter()
            .map(|(task, (_, ends_at))| (task.clone(), *ends_at))
            .collect();
        let has_lapsed = self.clock(now) > self.lease;
        for (task, ends_at) in tasks {
            if ends_at <= now {
                *self.done.entry(task.job.clone()).or_default() += 1;
                self.end(&task, EndCause::Done);
                self.done_ends.insert(self.last_end, (now, self.lapses));
            } else if has_lapsed {
                self.end(&task, EndCause::Lapsed);
            }
        }
        // What ended in this step ended before the lapse: a run that has lapsed is not done.
        self.lapses += u64::from(has_lapsed && !self.has_lapsed);
        self.has_lapsed = has_lapsed;
        std::mem::take(&mut self.started)
    }

    /// Takes the tasks that began, and the ends `Done` that were forgotten without a lapse since.
    pub fn take_history(&mut self) -> (Vec<TaskId>, Vec<(TaskId, u64)>) {
        (
            std::mem::take(&mut self.begun),
            std::mem::take(&mut self.noted),
        )
    }

    fn is_reached(&self, life: &IncarnationId, now: u64) -> bool {
        self.is_up(now) && life.name == self.name()
    }

    pub fn start(
        &mut self,
        order: &StartOrder,
        now: u64,
        is_late: bool,
        rng: &mut SmallRng,
    ) -> StartAnswer {
        if !self.is_reached(&order.incarnation, now) {
            return StartAnswer::Unanswered;
        }
        if is_late {
            let at = now + rng.random_range(200..12_000);
            self.late.push((at, Late::Start(order.clone())));
            return StartAnswer::Unanswered;
        }
        self.do_start(order, now)
    }

    fn do_start(&mut self, order: &StartOrder, now: u64) -> StartAnswer {
        let clock = self.clock(now);
        let refused = |refusal| StartAnswer::Refused(refusal, Some(clock));
        if order.fencing_token < self.fencing_token {
            return refused(StartRefusal::Fenced);
        }
        self.fencing_token = order.fencing_token;
        if order.deadline <= clock {
            return refused(StartRefusal::Late);
        }
        self.lease = self.lease.max(order.deadline.min(clock + LONGEST_LEASE));
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
        if (self.running.len() as i64 + 1) * DEMAND > CAPACITY {
            return refused(StartRefusal::NoCapacity);
        }
        self.begun.push(order.task.clone());
        let work: u64 = order.spec.parse().unwrap();
        self.highest_run.insert(order.task.clone(), order.run);
        self.running
            .insert(order.task.clone(), (order.run, now + work));
        self.started += 1;
        StartAnswer::Started { clock }
    }

    pub fn stop(&mut self, order: &StopOrder, now: u64, is_late: bool, rng: &mut SmallRng) {
        if !self.is_reached(&order.incarnation, now) {
            return;
        }
        if is_late {
            let at = now + rng.random_range(200..12_000);
            self.late.push((at, Late::Stop(order.clone())));
            return;
        }
        self.do_stop(order);
    }

    fn do_stop(&mut self, order: &StopOrder) {
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

    pub fn renew(&mut self, order: &RenewalOrder, now: u64, is_late: bool) -> RenewalAnswer {
        if !self.is_up(now) || is_late {
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
                self.noted.push((end.task.clone(), ended_at));
            }
        }
        self.ended
            .retain(|end| end.number > order.last_acknowledged_end);
        if let Some(deadline) = order.deadline {
            self.lease = self
                .lease
                .max(deadline.min(self.clock(now) + LONGEST_LEASE));
        }
        let running = self.running.iter();
        RenewalAnswer::Listed {
            start_time: Some(self.life),
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
