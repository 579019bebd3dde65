//! A dispatcher with targets that accept work; tests pass it one message at a time.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    Assignment, Dispatcher, DispatcherAction, DispatcherMessage, FreeCapacity, HealthLimits,
    JobAnswer, JobNumber, JobRequest, KeptAssignment, KeptJob, LatencyObjective, Resources,
    RunOutcome, RunnerMessage, SessionId, StepRequest, TargetDescription, Timings,
};

/// Capacity of each target.
pub const CAPACITY: Resources = Resources {
    cpu_milli: 8_000,
    memory_mb: 8_000,
    accelerators: 0,
};
/// Demand of each task; four fit on a target.
pub const DEMAND: Resources = Resources {
    cpu_milli: 2_000,
    memory_mb: 64,
    accelerators: 0,
};

/// Free capacity of a target whose processors are all in use.
pub const NO_FREE_CPU: Resources = Resources {
    cpu_milli: 0,
    ..CAPACITY
};

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Returns the time `value` milliseconds after the start of the clock.
pub fn at(value: u64) -> Timestamp {
    Timestamp::from_start(ms(value))
}

/// Returns a step of tasks with an estimate of 100 ms.
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

/// Returns a job with a latency objective of 1.6 times its work plus 60 ms.
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

/// Returns a job of one task with an estimate of 100 ms.
pub fn one_task_job(id: &str) -> JobRequest {
    job(id, vec![step(1, vec![])])
}

/// Returns a step of one task with an estimate of 1 s.
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

/// A dispatcher and the current time of the test.
pub struct Fixture {
    pub dispatcher: Dispatcher,
    pub now: Timestamp,
    /// Run in progress of a test that runs one task at a time.
    pub current_run: Option<(SessionId, Assignment)>,
}

impl Fixture {
    /// Returns a dispatcher with sessions 1 to `targets`, each with an empty target.
    pub fn new(targets: SessionId) -> Self {
        let dispatcher = Dispatcher::new(Timings::default(), HealthLimits::default(), 3);
        let mut fixture = Self {
            dispatcher,
            now: at(1_000),
            current_run: None,
        };
        fixture.dispatcher.tick(fixture.now);
        for session in 1..=targets {
            fixture
                .dispatcher
                .open_session(session, &format!("runner-{session}"), fixture.now);
            fixture.heartbeat(session, CAPACITY, 0);
            fixture.announce_target(session, &["a"]);
        }
        fixture.dispatcher.take_actions();
        fixture
    }

    fn send_message(&mut self, session: SessionId, message: RunnerMessage) {
        self.dispatcher.receive(session, message, self.now);
    }

    /// Sends a heartbeat of a runner with its free capacity and the number of assignments that this accounts for.
    pub fn heartbeat(&mut self, session: SessionId, free: Resources, assignments_seen: u64) {
        let free_capacity = free_capacity(free, assignments_seen, 0);
        self.send_message(
            session,
            RunnerMessage::Heartbeat {
                clock: self.now,
                free_capacity,
            },
        );
    }

    /// Sends a report of a runner with its free capacity and the slowness of its target.
    pub fn report_free_capacity(
        &mut self,
        session: SessionId,
        free: Resources,
        slowness_permille: u32,
    ) {
        let free_capacity = free_capacity(free, u64::MAX, slowness_permille);
        self.send_message(session, RunnerMessage::FreeCapacity(free_capacity));
    }

    /// Returns the sessions to which a withdrawal was sent, and discards all other actions.
    pub fn take_withdrawals(&mut self) -> Vec<SessionId> {
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

    /// Announces the target of a runner.
    pub fn announce_target(&mut self, session: SessionId, labels: &[&str]) {
        self.announce_target_of("service", session, labels);
    }

    /// Announces the target of a runner, which serves this service.
    pub fn announce_target_of(&mut self, service: &str, session: SessionId, labels: &[&str]) {
        let description = TargetDescription {
            incarnation: format!("target-{session}"),
            service: service.into(),
            capacity: CAPACITY,
            labels: labels.iter().map(|&label| label.into()).collect(),
        };
        self.send_message(session, RunnerMessage::Target(Some(description)));
    }

    /// Submits a job at the current time.
    pub fn submit(&mut self, request: JobRequest) -> JobNumber {
        self.dispatcher.submit(request, self.now)
    }

    /// Advances the time by `duration_ms`, during which these runners send heartbeats and their targets are full.
    pub fn advance(&mut self, duration_ms: u64, sessions: &[SessionId]) {
        let until = self.now + ms(duration_ms);
        while self.now < until {
            self.now += ms(20);
            for session in sessions {
                self.heartbeat(*session, NO_FREE_CPU, u64::MAX);
            }
            self.dispatcher.tick(self.now);
        }
    }

    /// Returns the assignments with their sessions, and discards all other actions.
    pub fn take_assignments(&mut self) -> Vec<(SessionId, Assignment)> {
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

    /// Returns the answers to submissions, and discards all other actions.
    pub fn take_answers(&mut self) -> Vec<(JobNumber, JobAnswer)> {
        let actions = self.dispatcher.take_actions().into_iter();
        actions
            .filter_map(|action| match action {
                DispatcherAction::Answer(number, answer) => Some((number, answer)),
                _ => None,
            })
            .collect()
    }

    /// Reports the end of a run after 100 ms, with an empty target.
    pub fn report_end(&mut self, run: &(SessionId, Assignment), outcome: RunOutcome) {
        self.report_end_with_free(run, outcome, CAPACITY);
    }

    /// Reports the end of a run after 100 ms, with this free capacity.
    pub fn report_end_with_free(
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
        self.send_message(*session, message);
    }
}

/// Returns a dispatcher whose runners support kept jobs.
pub fn fixture_with_kept_jobs(targets: SessionId) -> Fixture {
    let mut fixture = Fixture::new(targets);
    for session in 1..=targets {
        fixture.dispatcher.set_supports_kept_jobs(session);
    }
    fixture
}

/// Returns a kept job without recorded progress.
pub fn kept_job(request: JobRequest, epoch: u64) -> KeptJob {
    KeptJob {
        request,
        epoch,
        progress: vec![],
    }
}

/// Starts to drive a kept job at the current time.
pub fn drive(fixture: &mut Fixture, job: KeptJob) -> JobNumber {
    let now = fixture.now;
    fixture.dispatcher.drive(job, now)
}

/// Returns the assignments of kept runs among the actions.
pub fn kept_runs(actions: Vec<DispatcherAction>) -> Vec<(SessionId, KeptAssignment)> {
    let runs = actions.into_iter().filter_map(|action| match action {
        DispatcherAction::Send(session, DispatcherMessage::AssignKept(run)) => Some((session, run)),
        _ => None,
    });
    runs.collect()
}

/// Returns the assignments of kept runs, and discards all other actions.
pub fn take_kept_assignments(fixture: &mut Fixture) -> Vec<(SessionId, KeptAssignment)> {
    kept_runs(fixture.dispatcher.take_actions())
}
