//! A dispatcher with targets that accept work, driven message by message.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    Assignment, Dispatcher, DispatcherAction, DispatcherMessage, FreeCapacity, HealthLimits,
    JobAnswer, JobNumber, JobRequest, LatencyObjective, Resources, RunOutcome, RunnerMessage,
    SessionId, StepRequest, TargetDescription, Timings,
};

/// What each target has.
pub const CAPACITY: Resources = Resources {
    cpu_milli: 8_000,
    memory_mb: 8_000,
    accelerators: 0,
};
/// What each task uses: a target has capacity for four.
pub const DEMAND: Resources = Resources {
    cpu_milli: 2_000,
    memory_mb: 64,
    accelerators: 0,
};

/// What is free at a target without a free processor.
pub const FULL: Resources = Resources {
    cpu_milli: 0,
    ..CAPACITY
};

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// The point in time `value` milliseconds after the start of the clock.
pub fn at(value: u64) -> Timestamp {
    Timestamp::from_start(ms(value))
}

/// A step of tasks that should take 100 ms each.
pub fn step(count: u32, depends_on: Vec<usize>) -> StepRequest {
    StepRequest {
        count,
        demand: DEMAND,
        estimate: ms(100),
        depends_on,
        required_label: None,
        preferred_label: None,
        max_per_target: None,
    }
}

/// A job with an objective of 1.6 times its work and 60 ms.
pub fn job(id: &str, steps: Vec<StepRequest>) -> JobRequest {
    JobRequest {
        id: id.into(),
        queue: "queue".into(),
        service: "service".into(),
        spec: "spec".into(),
        steps,
        priority: 1,
        max_attempts: 2,
        objective: LatencyObjective {
            stretch: 1.6,
            allowance: ms(60),
        },
        caller_timeout: None,
    }
}

/// A job of one task that should take 100 ms.
pub fn one_task_job(id: &str) -> JobRequest {
    job(id, vec![step(1, vec![])])
}

/// A step of one task that should take 1 s.
pub fn long_step() -> StepRequest {
    StepRequest {
        estimate: ms(1_000),
        ..step(1, vec![])
    }
}

fn free_capacity(free: Resources, assignments_seen: u64, slowness_permille: u32) -> FreeCapacity {
    FreeCapacity {
        free,
        assignments_seen,
        slowness_permille,
    }
}

/// A dispatcher and the time of the test.
pub struct Fixture {
    pub dispatcher: Dispatcher,
    pub now: Timestamp,
    /// The run that a test follows.
    pub run: Option<(SessionId, Assignment)>,
}

impl Fixture {
    /// A dispatcher with sessions 1 to `targets`, each with an empty target.
    pub fn new(targets: SessionId) -> Self {
        let dispatcher = Dispatcher::new(Timings::default(), HealthLimits::default(), 3);
        let mut fixture = Self {
            dispatcher,
            now: at(1_000),
            run: None,
        };
        fixture.dispatcher.tick(fixture.now);
        for session in 1..=targets {
            fixture
                .dispatcher
                .open_session(session, &format!("runner-{session}"), fixture.now);
            fixture.heartbeat(session, CAPACITY, 0);
            fixture.offer(session, &["a"]);
        }
        fixture.dispatcher.take_actions();
        fixture
    }

    fn tell(&mut self, session: SessionId, message: RunnerMessage) {
        self.dispatcher.receive(session, message, self.now);
    }

    /// A runner sends its clock and what is free, with the assignments of the session that this accounts for.
    pub fn heartbeat(&mut self, session: SessionId, free: Resources, assignments_seen: u64) {
        let free_capacity = free_capacity(free, assignments_seen, 0);
        self.tell(
            session,
            RunnerMessage::Heartbeat {
                clock: self.now,
                free_capacity,
            },
        );
    }

    /// A runner reports what is free and how slowly its target's runs get on.
    pub fn report(&mut self, session: SessionId, free: Resources, slowness_permille: u32) {
        let free_capacity = free_capacity(free, u64::MAX, slowness_permille);
        self.tell(session, RunnerMessage::FreeCapacity(free_capacity));
    }

    /// Returns the sessions that were ordered to withdraw a run since the last call.
    pub fn withdrawn(&mut self) -> Vec<SessionId> {
        let actions = self.dispatcher.take_actions().into_iter();
        actions
            .filter_map(|action| match action {
                DispatcherAction::Send(session, DispatcherMessage::Withdraw { .. }) => {
                    Some(session)
                }
                _ => None,
            })
            .collect()
    }

    /// A runner offers its target.
    pub fn offer(&mut self, session: SessionId, labels: &[&str]) {
        let description = TargetDescription {
            incarnation: format!("target-{session}"),
            service: "service".into(),
            capacity: CAPACITY,
            labels: labels.iter().map(|&label| label.into()).collect(),
        };
        self.tell(session, RunnerMessage::Target(Some(description)));
    }

    /// Submits a job now.
    pub fn submit(&mut self, request: JobRequest) -> JobNumber {
        self.dispatcher.submit(request, self.now)
    }

    /// Lets time pass, in milliseconds, in which these runners live and their targets are full.
    pub fn pass(&mut self, span: u64, sessions: &[SessionId]) {
        let until = self.now + ms(span);
        while self.now < until {
            self.now += ms(20);
            for session in sessions {
                self.heartbeat(*session, FULL, u64::MAX);
            }
            self.dispatcher.tick(self.now);
        }
    }

    /// Returns the assignments since the last call, with their sessions.
    pub fn assigned(&mut self) -> Vec<(SessionId, Assignment)> {
        let actions = self.dispatcher.take_actions().into_iter();
        actions
            .filter_map(|action| match action {
                DispatcherAction::Send(session, DispatcherMessage::Assign(assignment)) => {
                    Some((session, assignment))
                }
                _ => None,
            })
            .collect()
    }

    /// Returns the answers since the last call.
    pub fn answers(&mut self) -> Vec<(JobNumber, JobAnswer)> {
        let actions = self.dispatcher.take_actions().into_iter();
        actions
            .filter_map(|action| match action {
                DispatcherAction::Answer(number, answer) => Some((number, answer)),
                _ => None,
            })
            .collect()
    }

    /// A runner reports the end of a run after 100 ms; its target is empty then.
    pub fn end(&mut self, run: &(SessionId, Assignment), outcome: RunOutcome) {
        self.end_with_free(run, outcome, CAPACITY);
    }

    /// A runner reports the end of a run after 100 ms, and what is free then.
    pub fn end_with_free(
        &mut self,
        run: &(SessionId, Assignment),
        outcome: RunOutcome,
        free: Resources,
    ) {
        let free_capacity = free_capacity(free, u64::MAX, 0);
        let (session, assignment) = run;
        let message = RunnerMessage::Ended {
            task: assignment.task.clone(),
            run: assignment.run,
            outcome,
            ran_ms: 100,
            free_capacity,
        };
        self.tell(*session, message);
    }
}
