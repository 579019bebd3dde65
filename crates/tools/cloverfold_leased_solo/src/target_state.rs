//! The state machine of a sample target: its runs, its unacknowledged ends, its lease and its fencing token.
//!
//! The caller passes the time. A task takes the number of milliseconds in its work description, or [`DEFAULT_WORK`]. All runs end when the
//! lease lapses.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cloverfold_lease::{
    EndCause, EndedRun, ListedRun, RenewalAnswer, RenewalOrder, StartAnswer, StartOrder,
    StartRefusal, StartTimeMs, StopOrder, TargetTime, TaskId,
};

/// Duration of a task whose work description is not a number.
const DEFAULT_WORK: Duration = Duration::from_millis(100);
/// Number of ended or stopped runs that are remembered in order to refuse their late starts.
const MAX_REMEMBERED_RUNS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct RunningTask {
    run: u64,
    started_at: TargetTime,
    done_at: TargetTime,
}

/// The state of a sample target. All times are on the target's clock.
#[derive(Debug, Default)]
pub struct TargetState {
    running: BTreeMap<TaskId, RunningTask>,
    ended: VecDeque<EndedRun>,
    /// Runs that ended or were stopped before their start, oldest first.
    ended_runs: VecDeque<(TaskId, u64)>,
    last_end: u64,
    lease_until: TargetTime,
    fencing_token: u64,
    starts: u64,
}

impl TargetState {
    /// Returns the number of started runs.
    pub fn start_count(&self) -> u64 {
        self.starts
    }

    /// Starts a run. A repeated start of the same run succeeds without effect.
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
        // A start that is refused below still extends the lease.
        self.lease_until = self.lease_until.max(order.deadline);
        match self.running.get(&order.task).map(|task| task.run) {
            Some(run) if run == order.run => Ok(()),
            Some(run) if run > order.run => Err(StartRefusal::Stale),
            // An earlier run of the task is still active.
            Some(_) => Err(StartRefusal::NoCapacity),
            None if self.has_ended(order) => Err(StartRefusal::Stale),
            None => {
                self.start_run(order, now);
                Ok(())
            }
        }
    }

    /// Returns whether the run or a later one of its task ended or was stopped before its start.
    fn has_ended(&self, order: &StartOrder) -> bool {
        let is_stale = |(task, run): &(TaskId, u64)| *task == order.task && *run >= order.run;
        self.ended_runs.iter().any(is_stale)
    }

    fn start_run(&mut self, order: &StartOrder, now: TargetTime) {
        let work = order.spec.trim().parse().map(Duration::from_millis);
        let work = work.unwrap_or(DEFAULT_WORK);
        self.starts += 1;
        let task = RunningTask {
            run: order.run,
            started_at: now,
            done_at: now.saturating_add(work.as_millis() as TargetTime),
        };
        self.running.insert(order.task.clone(), task);
    }

    /// Stops a run. An unknown run is remembered and never started, because the stop may have overtaken the start.
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

    /// Handles a renewal: extends the lease and drops acknowledged ends. Returns `false` if the fencing token is too low.
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

    /// Returns whether there is an unacknowledged end.
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns the time at which the next run will be done or lapse, without further orders.
    pub fn next_end(&self) -> Option<TargetTime> {
        let ends = self.running.values().map(|task| task.done_at);
        let lapse = self.lease_until.saturating_add(1);
        ends.min().map(|end| end.min(lapse))
    }

    /// Lists the active runs and the unacknowledged ends of the incarnation that started at `start_time`.
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

    /// Ends the runs that are done by `now`, and all other runs if the lease has lapsed.
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
            let remaining: Vec<TaskId> = self.running.keys().cloned().collect();
            for task in remaining {
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
    let duration = task.done_at.saturating_sub(task.started_at).max(1);
    let elapsed = now.saturating_sub(task.started_at);
    ListedRun {
        task: id.clone(),
        run: task.run,
        progress: Some((elapsed * 100 / duration).min(99) as u8),
    }
}
