//! The runner: what runs at one target, and for whom.

mod held;
mod holds;
mod orders;
mod progress;
mod sessions;
mod starts;
mod target;

use std::collections::{BTreeMap, VecDeque};

pub use orders::{
    EndCause, EndedRun, HeldRun, HoldAnswer, HoldOrder, StartAnswer, StartOrder, StartRefusal,
    StopOrder, TargetRegistration,
};

use cloverfold_base::Timestamp;

use crate::messages::{
    Assignment, DispatcherMessage, Refusal, RunOutcome, RunnerMessage, SessionId, TaskId,
};
use crate::resources::Resources;
use crate::timings::Timings;
use held::{HeldState, HeldTask};
use sessions::Session;
use target::TargetLife;
pub use target::TargetUnfitness;

/// What the process around a runner has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunnerAction {
    /// Send a message.
    Send(SessionId, RunnerMessage),
    /// Close the link of a session that is over; the peer gets a new one.
    CloseSession(SessionId),
    /// Tell the target to start a run.
    Start(StartOrder),
    /// Tell the target to stop a run.
    Stop(StopOrder),
    /// Ask the target at once what runs there.
    HoldNow,
}

/// Counts since the start, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerCounts {
    /// Starts that the target acknowledged or showed.
    pub started: u64,
    /// Starts sent again because no answer came.
    pub repeated_starts: u64,
    /// Runs that lapsed or died with their target.
    pub lost: u64,
    /// Runs that were stopped by an order of ours.
    pub stopped: u64,
    /// Assignments given back without a run.
    pub refused: u64,
    /// Sessions that ended by silence.
    pub expired_sessions: u64,
    /// Runs found at the target that no session vouches for.
    pub orphans: u64,
    /// Runs that stood still and were stopped.
    pub stuck: u64,
    /// Times the target was given no work because its runs stood still.
    pub pauses: u64,
}

/// Executes what dispatchers assign at the one target beside it.
#[derive(Debug)]
pub struct Runner {
    timings: Timings,
    first_token: u64,
    sessions: BTreeMap<SessionId, Session>,
    tasks: BTreeMap<TaskId, HeldTask>,
    next_order: u64,
    target: Option<TargetLife>,
    /// Earlier lives of the target, oldest first.
    ended_lives: VecDeque<String>,
    is_leaving: bool,
    counts: RunnerCounts,
    actions: Vec<RunnerAction>,
}

impl Runner {
    /// Begins a life of a runner; `first_token` must be above that of every earlier life beside the same target.
    pub fn new(timings: Timings, first_token: u64) -> Self {
        Self {
            timings,
            first_token,
            sessions: BTreeMap::new(),
            tasks: BTreeMap::new(),
            next_order: 0,
            target: None,
            ended_lives: VecDeque::new(),
            is_leaving: false,
            counts: RunnerCounts::default(),
            actions: Vec::new(),
        }
    }

    /// Takes what has to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<RunnerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> RunnerCounts {
        self.counts
    }

    /// Returns how many runs are held, also those that wait or are being stopped.
    pub fn held(&self) -> usize {
        self.tasks.len()
    }

    /// Says whether a target is known, answers and takes work.
    pub fn has_ready_target(&self) -> bool {
        self.find_unfitness().is_none()
    }

    /// Says why no work is taken for a target, if there is a reason.
    pub fn find_unfitness(&self) -> Option<TargetUnfitness> {
        match &self.target {
            Some(target) => target.find_unfitness(),
            None => Some(TargetUnfitness::NoTarget),
        }
    }

    /// Takes no further work; what runs goes on.
    pub fn leave(&mut self, now: Timestamp) {
        self.is_leaving = true;
        self.give_back_waiting(Refusal::Draining, now);
        self.announce_target();
    }

    /// Begins a session with a dispatcher's process.
    pub fn open_session(&mut self, session: SessionId, now: Timestamp) {
        let valid_until = now + self.timings.session;
        self.sessions.insert(session, Session::new(valid_until));
        self.send_heartbeat(session, now);
        self.announce_target();
    }

    /// Ends a session whose link is gone; its runs are stopped.
    pub fn close_session(&mut self, session: SessionId, now: Timestamp) {
        if self.sessions.remove(&session).is_some() {
            self.stop_session_tasks(session, now);
        }
    }

    /// Takes a message of a dispatcher.
    pub fn receive(&mut self, session: SessionId, message: DispatcherMessage, now: Timestamp) {
        self.expire_sessions(now);
        match message {
            DispatcherMessage::Echo { clock } => {
                if let Some(held) = self.sessions.get_mut(&session) {
                    held.prolong(clock.min(now) + self.timings.session);
                }
            }
            DispatcherMessage::Assign(assignment) => self.assign(session, assignment, now),
            DispatcherMessage::Withdraw { task, run } => self.withdraw(session, &task, run, now),
        }
    }

    /// Does what has fallen due; call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Timestamp) {
        self.expire_sessions(now);
        self.watch_target(now);
        self.end_target_pause(now);
        self.expire_waiting(now);
        self.repeat_orders(now);
        self.send_heartbeats(now);
        self.start_waiting(now);
        self.report_room(now);
    }

    fn assign(&mut self, session: SessionId, assignment: Assignment, now: Timestamp) {
        let Some(held) = self.sessions.get_mut(&session) else {
            return;
        };
        held.assignments_seen += 1;
        let refusal = self.find_refusal(session, &assignment, now);
        if let Some(refusal) = refusal {
            self.counts.refused += 1;
            self.send_end(
                session,
                assignment.task,
                assignment.run,
                RunOutcome::NotStarted(refusal),
                0,
                now,
            );
            return;
        }
        self.next_order += 1;
        let task = HeldTask::new(session, self.next_order, &assignment, now);
        self.tasks.insert(assignment.task, task);
        self.start_waiting(now);
    }

    fn find_refusal(
        &self,
        session: SessionId,
        assignment: &Assignment,
        now: Timestamp,
    ) -> Option<Refusal> {
        let is_valid = self.sessions.get(&session).is_some_and(|s| !s.is_over(now));
        if !is_valid || now > assignment.valid_until {
            return Some(Refusal::Expired);
        }
        let Some(target) = self.target.as_ref().filter(|target| target.takes_work()) else {
            let is_draining = self.target.as_ref().is_some_and(TargetLife::is_draining);
            return Some(if is_draining {
                Refusal::Draining
            } else {
                Refusal::NoTarget
            });
        };
        if self.is_leaving {
            return Some(Refusal::Draining);
        }
        if self.tasks.contains_key(&assignment.task) {
            return Some(Refusal::Held);
        }
        let fits = target.capacity().covers(&assignment.demand);
        (!fits).then_some(Refusal::NoRoom)
    }

    fn withdraw(&mut self, session: SessionId, task: &TaskId, run: u64, now: Timestamp) {
        let Some(held) = self.tasks.get(task) else {
            return;
        };
        if held.run != run || held.session != Some(session) {
            return;
        }
        self.stop_task(
            task.clone(),
            RunOutcome::NotStarted(Refusal::Withdrawn),
            now,
        );
    }

    /// Gives a waiting run back at once, and stops one that may run.
    fn stop_task(&mut self, task: TaskId, unstarted: RunOutcome, now: Timestamp) {
        let Some(held) = self.tasks.get_mut(&task) else {
            return;
        };
        let start_deadline = match held.state {
            HeldState::Waiting { .. } => {
                self.end_task(&task, unstarted, now);
                return;
            }
            HeldState::Stopping { .. } => return,
            HeldState::Starting { deadline, .. } => Some(deadline),
            HeldState::Running { .. } => None,
        };
        held.state = HeldState::Stopping {
            start_deadline,
            ordered_at: now,
            sent_at: now,
            unstarted,
        };
        let run = held.run;
        self.counts.stopped += 1;
        self.order_stop(task, run);
    }

    /// Forgets a run that is surely over and tells its dispatcher.
    fn end_task(&mut self, task: &TaskId, outcome: RunOutcome, now: Timestamp) {
        let Some(held) = self.tasks.remove(task) else {
            return;
        };
        let outcome = match outcome {
            RunOutcome::Stopped if held.is_stuck => RunOutcome::Stuck,
            other => other,
        };
        match outcome {
            RunOutcome::Lost => self.counts.lost += 1,
            RunOutcome::NotStarted(_) => self.counts.refused += 1,
            _ => {}
        }
        let ran_ms = held.ran_for(now).as_millis() as u32;
        if let Some(session) = held.session {
            self.send_end(session, task.clone(), held.run, outcome, ran_ms, now);
        } else {
            // Nobody waits for it; its room may let another session have its target announced.
            self.announce_target();
        }
    }

    fn send_end(
        &mut self,
        session: SessionId,
        task: TaskId,
        run: u64,
        outcome: RunOutcome,
        ran_ms: u32,
        now: Timestamp,
    ) {
        let room = self.room_for(session, now);
        let message = RunnerMessage::Ended {
            task,
            run,
            outcome,
            ran_ms,
            room,
        };
        self.actions.push(RunnerAction::Send(session, message));
    }

    fn free_after_waiting(&self) -> Resources {
        let demands = self.tasks.values().map(|held| held.demand);
        self.capacity_minus(demands)
    }

    fn free_now(&self) -> Resources {
        let busy = self.tasks.values().filter(|held| !held.is_waiting());
        self.capacity_minus(busy.map(|held| held.demand))
    }

    fn capacity_minus(&self, demands: impl Iterator<Item = Resources>) -> Resources {
        let capacity = self.target.as_ref().map(TargetLife::offered_capacity);
        demands.fold(capacity.unwrap_or_default(), |free, demand| {
            free.minus(&demand)
        })
    }

    /// Starts waiting runs in order of priority, then of arrival, while there is room.
    fn start_waiting(&mut self, now: Timestamp) {
        if !self.has_ready_target() {
            return;
        }
        let mut free = self.free_now();
        for task in self.waiting_in_order() {
            let demand = self.tasks[&task].demand;
            if !free.covers(&demand) {
                break;
            }
            free = free.minus(&demand);
            self.start_task(&task, now);
        }
    }

    fn waiting_in_order(&self) -> Vec<TaskId> {
        let mut waiting: Vec<_> = self
            .tasks
            .iter()
            .filter(|(_, held)| held.is_waiting())
            .map(|(task, held)| (held.priority, held.order, task.clone()))
            .collect();
        waiting.sort();
        waiting.into_iter().map(|(_, _, task)| task).collect()
    }

    fn expire_waiting(&mut self, now: Timestamp) {
        let is_late =
            |held: &HeldTask| matches!(held.state, HeldState::Waiting { until } if now > until);
        let late: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, held)| is_late(held))
            .map(|(task, _)| task.clone())
            .collect();
        for task in late {
            self.end_task(&task, RunOutcome::NotStarted(Refusal::NoRoom), now);
        }
    }

    fn give_back_waiting(&mut self, refusal: Refusal, now: Timestamp) {
        for task in self.waiting_in_order() {
            self.end_task(&task, RunOutcome::NotStarted(refusal), now);
        }
    }
}
