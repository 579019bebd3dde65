//! The target beside a runner: its clock, its lease, its orders.

use std::time::Duration;

use crate::messages::{Refusal, RunOutcome, TargetDescription, TaskId};
use crate::resources::Resources;
use crate::runner::held::HeldState;
use crate::runner::orders::{
    EndCause, EndedRun, HeldRun, HoldAnswer, HoldOrder, StartAnswer, StartOrder, StartRefusal,
    StopOrder, TargetRegistration,
};
use crate::runner::{Runner, RunnerAction};
use crate::timings::{Moment, TargetTime};

/// Starts of one run that are sent at the most.
const MAX_START_ATTEMPTS: u32 = 4;
/// How much the token rises after the target has refused one.
const TOKEN_STEP: u64 = 10_000;
/// How long a stop may go unheeded before it is sent again.
const STOP_REPEAT: Duration = Duration::from_millis(120);

/// A reading of the target's clock and when it arrived here.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock: TargetTime,
    received_at: Moment,
}

/// One life of the target.
#[derive(Clone, Debug)]
pub(crate) struct TargetLife {
    registration: TargetRegistration,
    number: u64,
    token: u64,
    refused_token: u64,
    clock: Option<ClockReading>,
    /// The latest deadline that any order to it has carried.
    latest_deadline: TargetTime,
    last_noted: u64,
    newest_hold: Moment,
    answered_at: Moment,
    /// Whether the newest answer to a hold listed nothing that is not ours.
    is_clean: bool,
    is_silent: bool,
}

impl TargetLife {
    fn new(registration: TargetRegistration, number: u64, token: u64, now: Moment) -> Self {
        let reading = registration.clock.map(|clock| ClockReading {
            clock,
            received_at: now,
        });
        Self {
            registration,
            number,
            token,
            refused_token: 0,
            clock: reading,
            latest_deadline: 0,
            last_noted: 0,
            newest_hold: Moment::ZERO,
            answered_at: now,
            is_clean: false,
            is_silent: false,
        }
    }

    pub(crate) fn life(&self) -> u64 {
        self.number
    }

    pub(crate) fn capacity(&self) -> &Resources {
        &self.registration.capacity
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.registration.is_draining
    }

    pub(crate) fn takes_work(&self) -> bool {
        self.is_clean && !self.is_silent && !self.registration.is_draining && self.clock.is_some()
    }

    pub(crate) fn describe(&self) -> TargetDescription {
        TargetDescription {
            instance: self.registration.instance.clone(),
            service: self.registration.service.clone(),
            capacity: self.registration.capacity,
            labels: self.registration.labels.clone(),
        }
    }

    fn read_clock(&mut self, clock: TargetTime, now: Moment) {
        self.clock = Some(ClockReading {
            clock,
            received_at: now,
        });
    }

    /// Returns the end of a lease from now; not past what the target allows, since its clock is estimated from below.
    fn next_deadline(&self, now: Moment, lease: Duration) -> Option<TargetTime> {
        let reading = self.clock?;
        let since = now.saturating_sub(reading.received_at);
        Some(reading.clock + (since + lease).as_millis() as u64)
    }

    fn raise_token(&mut self, refused: u64) {
        if refused >= self.token {
            self.refused_token = refused;
            self.token = refused + TOKEN_STEP;
        }
    }
}

impl Runner {
    /// Takes what the target says of itself; returns whether it is the present life, that is whether it may be acknowledged.
    pub fn register(&mut self, registration: TargetRegistration, now: Moment) -> bool {
        match &mut self.target {
            Some(target) if target.registration.instance == registration.instance => {
                if registration.sequence < target.registration.sequence {
                    return true;
                }
                let has_changed = target.registration.is_draining != registration.is_draining;
                target.registration = registration;
                if has_changed {
                    if target.is_draining() {
                        self.give_back_waiting(Refusal::Draining, now);
                    }
                    self.announce_target();
                }
            }
            _ => self.begin_target_life(registration, now),
        }
        true
    }

    /// Forgets the target that says that it is gone.
    pub fn unregister(&mut self, instance: &str, now: Moment) {
        let is_present = |target: &TargetLife| target.registration.instance == instance;
        if self.target.as_ref().is_some_and(is_present) {
            self.target = None;
            self.end_all_runs(now);
            self.announce_target();
        }
    }

    fn begin_target_life(&mut self, registration: TargetRegistration, now: Moment) {
        // The earlier life is over, and with it all that ran there.
        self.target = None;
        self.end_all_runs(now);
        self.next_order += 1;
        let life = TargetLife::new(registration, self.next_order, self.first_token, now);
        self.target = Some(life);
        self.announce_target();
        self.actions.push(RunnerAction::HoldNow);
    }

    fn end_all_runs(&mut self, now: Moment) {
        let tasks: Vec<TaskId> = self.tasks.keys().cloned().collect();
        for task in tasks {
            let outcome = match self.tasks[&task].state {
                HeldState::Waiting { .. } => RunOutcome::NotStarted(Refusal::NoTarget),
                _ => RunOutcome::Lost,
            };
            self.end_task(&task, outcome, now);
        }
    }

    /// Makes the next order that renews the lease; `None` without a target.
    ///
    /// An unclean target gets no longer lease, so that what nobody vouches for may lapse.
    pub fn plan_hold(&mut self, now: Moment) -> Option<HoldOrder> {
        let lease = self.timings.lease;
        let slack = self.timings.answer_slack;
        let wait = self.timings.hold_wait;
        let target = self.target.as_mut()?;
        let wait = if target.is_clean {
            wait
        } else {
            Duration::ZERO
        };
        let deadline = target.next_deadline(now, lease).filter(|_| target.is_clean);
        target.latest_deadline = target.latest_deadline.max(deadline.unwrap_or_default());
        Some(HoldOrder {
            instance: target.registration.instance.clone(),
            address: target.registration.address.clone(),
            deadline,
            token: target.token,
            last_noted: target.last_noted,
            wait,
            limit: wait + slack,
            sent_at: now,
        })
    }

    /// Takes the answer to a hold.
    pub fn hold_answered(&mut self, order: &HoldOrder, answer: HoldAnswer, now: Moment) {
        self.expire_sessions(now);
        let Some(target) = &mut self.target else {
            return;
        };
        if target.registration.instance != order.instance {
            return;
        }
        match answer {
            HoldAnswer::Listed {
                clock,
                running,
                ended,
            } => {
                if order.sent_at < target.newest_hold {
                    // A newer answer has passed this one.
                    return;
                }
                target.newest_hold = order.sent_at;
                target.answered_at = now;
                target.is_silent = false;
                target.read_clock(clock, now);
                self.take_ends(ended, now);
                self.compare_runs(order.sent_at, clock, &running, now);
                self.start_waiting(now);
                self.announce_target();
            }
            HoldAnswer::Fenced => target.raise_token(order.token),
            HoldAnswer::OtherInstance | HoldAnswer::Unanswered => {}
        }
    }

    fn take_ends(&mut self, ended: Vec<EndedRun>, now: Moment) {
        for end in ended {
            let Some(target) = &mut self.target else {
                return;
            };
            if end.number <= target.last_noted {
                continue;
            }
            target.last_noted = end.number;
            if self
                .tasks
                .get(&end.task)
                .is_some_and(|held| held.run == end.run)
            {
                let outcome = match end.cause {
                    EndCause::Done => RunOutcome::Done,
                    EndCause::Failed => RunOutcome::Failed,
                    EndCause::Stopped => RunOutcome::Stopped,
                    EndCause::Lapsed => RunOutcome::Lost,
                };
                self.end_task(&end.task, outcome, now);
            }
        }
    }

    /// Compares what the target runs with what is held here.
    fn compare_runs(
        &mut self,
        asked_at: Moment,
        clock: TargetTime,
        running: &[HeldRun],
        now: Moment,
    ) {
        for row in running {
            if let Some(held) = self.tasks.get_mut(&row.task)
                && held.run == row.run
                && let HeldState::Starting { since, .. } = held.state
            {
                held.state = HeldState::Running { since: now };
                held.started_at = Some(since);
                self.counts.started += 1;
            }
        }
        let is_listed = |task: &TaskId, run: u64| {
            running
                .iter()
                .any(|row| row.run == run && row.task == *task)
        };
        let mut over = Vec::new();
        for (task, held) in &self.tasks {
            if is_listed(task, held.run) {
                continue;
            }
            let outcome = match held.state {
                HeldState::Waiting { .. } => continue,
                HeldState::Running { since } if asked_at > since => RunOutcome::Lost,
                HeldState::Running { .. } => continue,
                HeldState::Starting { deadline, .. } if clock > deadline => {
                    RunOutcome::NotStarted(Refusal::Unanswered)
                }
                HeldState::Starting { .. } => continue,
                HeldState::Stopping {
                    start_deadline,
                    ordered_at,
                    unstarted,
                    ..
                } => match start_deadline {
                    Some(deadline) if clock > deadline => unstarted,
                    Some(_) => continue,
                    None if asked_at > ordered_at => RunOutcome::Stopped,
                    None => continue,
                },
            };
            over.push((task.clone(), outcome));
        }
        for (task, outcome) in over {
            self.end_task(&task, outcome, now);
        }
        self.stop_orphans(running);
    }

    /// Stops what runs at the target and is not held here: runs of an earlier life of this process, or late starts.
    fn stop_orphans(&mut self, running: &[HeldRun]) {
        let is_ours = |row: &&HeldRun| {
            let held = self.tasks.get(&row.task);
            held.is_some_and(|held| held.run == row.run)
        };
        let orphans: Vec<HeldRun> = running
            .iter()
            .filter(|row| !is_ours(row))
            .cloned()
            .collect();
        if let Some(target) = &mut self.target {
            target.is_clean = orphans.is_empty();
        }
        for orphan in orphans {
            self.counts.orphans += 1;
            self.order_stop(orphan.task, orphan.run);
        }
    }

    pub(super) fn start_task(&mut self, task: &TaskId, now: Moment) {
        let lease = self.timings.lease;
        let (Some(target), Some(held)) = (&mut self.target, self.tasks.get_mut(task)) else {
            return;
        };
        let Some(deadline) = target.next_deadline(now, lease) else {
            return;
        };
        target.latest_deadline = target.latest_deadline.max(deadline);
        held.state = HeldState::Starting {
            deadline,
            since: now,
            sent_at: now,
            attempts: 1,
        };
        self.order_start(task.clone(), 1, deadline);
    }

    fn order_start(&mut self, task: TaskId, attempt: u32, deadline: TargetTime) {
        let (Some(target), Some(held)) = (&self.target, self.tasks.get(&task)) else {
            return;
        };
        let order = StartOrder {
            instance: target.registration.instance.clone(),
            address: target.registration.address.clone(),
            run: held.run,
            spec: held.spec.clone(),
            deadline,
            token: target.token,
            attempt,
            limit: self.timings.order_timeout,
            task,
        };
        self.actions.push(RunnerAction::Start(order));
    }

    pub(super) fn order_stop(&mut self, task: TaskId, run: u64) {
        let Some(target) = &self.target else {
            return;
        };
        let order = StopOrder {
            instance: target.registration.instance.clone(),
            address: target.registration.address.clone(),
            task,
            run,
            token: target.token,
            limit: self.timings.order_timeout,
        };
        self.actions.push(RunnerAction::Stop(order));
    }

    /// Takes the answer to a start.
    pub fn start_answered(&mut self, order: &StartOrder, answer: StartAnswer, now: Moment) {
        self.expire_sessions(now);
        let Some(target) = &mut self.target else {
            return;
        };
        if target.registration.instance != order.instance {
            return;
        }
        let clock = match answer {
            StartAnswer::Started { clock } => Some(clock),
            StartAnswer::Refused(_, clock) => clock,
            StartAnswer::Unanswered => None,
        };
        if let Some(clock) = clock {
            target.read_clock(clock, now);
        }
        if answer == StartAnswer::Refused(StartRefusal::Fenced, clock) {
            target.raise_token(order.token);
        }
        let Some(held) = self.tasks.get_mut(&order.task) else {
            return;
        };
        let HeldState::Starting {
            since, attempts, ..
        } = held.state
        else {
            return;
        };
        if held.run != order.run {
            return;
        }
        match answer {
            StartAnswer::Started { .. } => {
                held.state = HeldState::Running { since: now };
                held.started_at = Some(since);
                self.counts.started += 1;
            }
            StartAnswer::Refused(refusal, _) => {
                self.start_refused(order, refusal, attempts, now);
            }
            StartAnswer::Unanswered => self.repeat_start(&order.task, now),
        }
    }

    fn start_refused(
        &mut self,
        order: &StartOrder,
        refusal: StartRefusal,
        attempts: u32,
        now: Moment,
    ) {
        let reason = match refusal {
            StartRefusal::Fenced | StartRefusal::Late if attempts < MAX_START_ATTEMPTS => {
                if attempts == 1 {
                    self.restart_with_new_deadline(&order.task, now);
                } else {
                    self.repeat_start(&order.task, now);
                }
                return;
            }
            StartRefusal::Fenced | StartRefusal::Late | StartRefusal::OtherInstance => {
                Refusal::NoTarget
            }
            StartRefusal::Stale => Refusal::Stale,
            StartRefusal::NoRoom => Refusal::NoRoom,
            StartRefusal::Unhealthy => Refusal::Unhealthy,
            StartRefusal::Invalid => Refusal::Rejected,
        };
        let outcome = RunOutcome::NotStarted(reason);
        if attempts == 1 {
            // The only start that was sent has done nothing.
            self.end_task(&order.task, outcome, now);
        } else {
            self.stop_task(order.task.clone(), outcome, now);
        }
    }

    /// Sends a start anew whose only predecessor was refused and so can do nothing later.
    fn restart_with_new_deadline(&mut self, task: &TaskId, now: Moment) {
        let lease = self.timings.lease;
        let (Some(target), Some(held)) = (&mut self.target, self.tasks.get_mut(task)) else {
            return;
        };
        let Some(new_deadline) = target.next_deadline(now, lease) else {
            return;
        };
        target.latest_deadline = target.latest_deadline.max(new_deadline);
        if let HeldState::Starting {
            deadline,
            sent_at,
            attempts,
            ..
        } = &mut held.state
        {
            *deadline = new_deadline;
            *sent_at = now;
            *attempts += 1;
            let attempt = *attempts;
            self.order_start(task.clone(), attempt, new_deadline);
        }
    }

    /// Sends the same start again: the target takes a run that is there as started.
    fn repeat_start(&mut self, task: &TaskId, now: Moment) {
        let Some(held) = self.tasks.get_mut(task) else {
            return;
        };
        if let HeldState::Starting {
            deadline,
            sent_at,
            attempts,
            ..
        } = &mut held.state
        {
            if *attempts >= MAX_START_ATTEMPTS {
                return;
            }
            *attempts += 1;
            *sent_at = now;
            let (attempt, deadline) = (*attempts, *deadline);
            self.counts.repeated_starts += 1;
            self.order_start(task.clone(), attempt, deadline);
        }
    }

    /// Sends starts and stops again whose effect has not shown.
    pub(super) fn repeat_orders(&mut self, now: Moment) {
        let patience = self.timings.start_timeout;
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        for (task, held) in &mut self.tasks {
            match &mut held.state {
                HeldState::Starting { sent_at, .. } if now >= *sent_at + patience => {
                    starts.push(task.clone());
                }
                HeldState::Stopping { sent_at, .. } if now >= *sent_at + STOP_REPEAT => {
                    *sent_at = now;
                    stops.push((task.clone(), held.run));
                }
                _ => {}
            }
        }
        for task in starts {
            self.repeat_start(&task, now);
        }
        for (task, run) in stops {
            self.order_stop(task, run);
        }
    }

    /// Notices a target that does not answer: it gets no new work, and its runs end with its lease.
    pub(super) fn watch_target(&mut self, now: Moment) {
        let silence = self.timings.silence + self.timings.hold_wait;
        let Some(target) = &mut self.target else {
            return;
        };
        if now < target.answered_at + silence {
            return;
        }
        if !target.is_silent {
            target.is_silent = true;
            self.give_back_waiting(Refusal::NoTarget, now);
            self.announce_target();
        }
        if self.has_lease_lapsed(now) {
            self.end_all_runs(now);
            if let Some(target) = &mut self.target {
                target.is_clean = false;
            }
        }
    }

    /// Says whether every lease that the target may hold is surely over.
    fn has_lease_lapsed(&self, now: Moment) -> bool {
        let Some(target) = &self.target else {
            return true;
        };
        let Some(reading) = target.clock else {
            return true;
        };
        let left = target.latest_deadline.saturating_sub(reading.clock);
        let longest = self.timings.stretch(Duration::from_millis(left));
        now > reading.received_at + longest + self.timings.stop
    }
}
