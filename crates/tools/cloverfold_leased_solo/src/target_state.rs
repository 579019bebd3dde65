//! What runs at a sample target, without a clock.
//!
//! A task takes as many milliseconds as its work description says, or [`USUAL_WORK`]. Runs are leased: they end when the lease lapses.
//! Owns the runs, the ends that are not acknowledged, and the fencing token.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cloverfold_lease::{
    EndCause, EndedRun, ListedRun, RenewalAnswer, RenewalOrder, StartAnswer, StartOrder,
    StartRefusal, StartTimeMs, StopOrder, TargetTime, TaskId,
};

/// How long a task takes whose work description is no number. Chosen, not measured.
const USUAL_WORK: Duration = Duration::from_millis(100);
/// Ended or stopped runs that are remembered, so that a late start of one is refused. Chosen, not measured.
const MAX_REMEMBERED_RUNS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct RunningTask {
    run: u64,
    started_at: TargetTime,
    done_at: TargetTime,
}

/// The state of a sample target. Times are on the target's clock.
#[derive(Debug, Default)]
pub struct TargetState {
    running: BTreeMap<TaskId, RunningTask>,
    ended: VecDeque<EndedRun>,
    /// Runs that have ended or were stopped before they began, oldest first.
    ended_runs: VecDeque<(TaskId, u64)>,
    last_end: u64,
    lease_until: TargetTime,
    fencing_token: u64,
    starts: u64,
}

impl TargetState {
    /// Returns how many runs were started.
    pub fn start_count(&self) -> u64 {
        self.starts
    }

    /// Starts a run, or accepts that it is there already.
    pub fn start(&mut self, order: &StartOrder, now: TargetTime) -> StartAnswer {
        self.advance(now);
        match self.try_start(order, now) {
            Ok(()) => StartAnswer::Started { clock: now },
            Err(refusal) => StartAnswer::Refused(refusal, Some(now)),
        }
    }

    fn try_start(&mut self, order: &StartOrder, now: TargetTime) -> Result<(), StartRefusal> {
        if !self.accept_token(order.fencing_token) {
            return Err(StartRefusal::Fenced);
        }
        if now > order.deadline {
            return Err(StartRefusal::Late);
        }
        // A start that is refused below extends the lease too.
        self.lease_until = self.lease_until.max(order.deadline);
        match self.running.get(&order.task).map(|task| task.run) {
            Some(run) if run == order.run => Ok(()),
            Some(run) if run > order.run => Err(StartRefusal::Stale),
            // The earlier run is at work in its place.
            Some(_) => Err(StartRefusal::NoCapacity),
            None if self.has_ended(order) => Err(StartRefusal::Stale),
            None => {
                self.begin(order, now);
                Ok(())
            }
        }
    }

    /// Returns whether the run or a later one of its task has ended or was stopped before it began.
    fn has_ended(&self, order: &StartOrder) -> bool {
        let is_stale = |(task, run): &(TaskId, u64)| *task == order.task && *run >= order.run;
        self.ended_runs.iter().any(is_stale)
    }

    fn begin(&mut self, order: &StartOrder, now: TargetTime) {
        let work = order.spec.trim().parse().map(Duration::from_millis);
        let work = work.unwrap_or(USUAL_WORK);
        self.starts += 1;
        let task = RunningTask {
            run: order.run,
            started_at: now,
            done_at: now.saturating_add(work.as_millis() as TargetTime),
        };
        self.running.insert(order.task.clone(), task);
    }

    /// Stops a run. One that is not there is never started: the stop may have overtaken the start.
    pub fn stop(&mut self, order: &StopOrder, now: TargetTime) {
        self.advance(now);
        if !self.accept_token(order.fencing_token) {
            return;
        }
        match self.running.get(&order.task) {
            Some(task) if task.run == order.run => self.end(&order.task, EndCause::Stopped),
            _ => self.remember_run(order.task.clone(), order.run),
        }
    }

    /// Takes a renewal: extends the lease and forgets acknowledged ends. Returns `false` if its fencing token is too low.
    pub fn renew(&mut self, order: &RenewalOrder, now: TargetTime) -> bool {
        self.advance(now);
        if !self.accept_token(order.fencing_token) {
            return false;
        }
        if let Some(deadline) = order.deadline {
            self.lease_until = self.lease_until.max(deadline);
        }
        self.ended
            .retain(|end| end.number > order.last_acknowledged_end);
        true
    }

    /// Returns whether an end waits to be acknowledged.
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns when the next run ends, done or with its lease, if nothing happens before.
    pub fn next_end(&self) -> Option<TargetTime> {
        let ends = self.running.values().map(|task| task.done_at);
        let lapse = self.lease_until.saturating_add(1);
        ends.min().map(|end| end.min(lapse))
    }

    /// Lists what runs and what has ended in the incarnation that began at `start_time`.
    pub fn list(&mut self, start_time: StartTimeMs, now: TargetTime) -> RenewalAnswer {
        self.advance(now);
        let running = self.running.iter();
        RenewalAnswer::Listed {
            start_time: Some(start_time),
            clock: now,
            running: running.map(|(id, task)| list_run(id, *task, now)).collect(),
            ended: self.ended.iter().cloned().collect(),
        }
    }

    /// Ends the runs that are done by now, and all others if the lease has lapsed.
    pub fn advance(&mut self, now: TargetTime) {
        let until = now.min(self.lease_until);
        let is_done = |(id, task): (&TaskId, &RunningTask)| {
            let is_done = task.done_at <= until;
            is_done.then(|| id.clone())
        };
        let done: Vec<TaskId> = self.running.iter().filter_map(is_done).collect();
        for task in done {
            self.end(&task, EndCause::Done);
        }
        if now > self.lease_until {
            let left: Vec<TaskId> = self.running.keys().cloned().collect();
            for task in left {
                self.end(&task, EndCause::Lapsed);
            }
        }
    }

    fn accept_token(&mut self, token: u64) -> bool {
        let is_accepted = token >= self.fencing_token;
        self.fencing_token = self.fencing_token.max(token);
        is_accepted
    }

    fn end(&mut self, task: &TaskId, cause: EndCause) {
        let Some((task, ended)) = self.running.remove_entry(task) else {
            return;
        };
        self.last_end += 1;
        self.remember_run(task.clone(), ended.run);
        self.ended.push_back(EndedRun {
            number: self.last_end,
            task,
            run: ended.run,
            cause,
        });
    }

    fn remember_run(&mut self, task: TaskId, run: u64) {
        self.ended_runs.push_back((task, run));
        if self.ended_runs.len() > MAX_REMEMBERED_RUNS {
            self.ended_runs.pop_front();
        }
    }
}

fn list_run(id: &TaskId, task: RunningTask, now: TargetTime) -> ListedRun {
    let whole = task.done_at.saturating_sub(task.started_at).max(1);
    let past = now.saturating_sub(task.started_at);
    ListedRun {
        task: id.clone(),
        run: task.run,
        progress: Some((past * 100 / whole).min(99) as u8),
    }
}
