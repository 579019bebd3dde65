//! Shared helpers of the runner tests: a runner with a target and a session, its input messages, and its actions.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    Assignment, DispatcherMessage, EndCause, EndedRun, IncarnationId, ListedRun, RenewalAnswer,
    Resources, RunOutcome, Runner, RunnerAction, RunnerMessage, StartAnswer, StartOrder,
    StartTimeMs, TargetRegistration, TaskId, Timings,
};

/// The session opened by [`ready`].
pub const SESSION: u64 = 7;
/// The number of every run.
pub const RUN: u64 = 5;
/// The target's clock when it registers, in milliseconds.
pub const TARGET_CLOCK: u64 = 50_000;
const FIRST_FENCING_TOKEN: u64 = 1_000;

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Returns the point in time `value` milliseconds after the start of the clock.
pub fn at(value: u64) -> Timestamp {
    Timestamp::from_start(ms(value))
}

pub fn task(index: u32) -> TaskId {
    TaskId {
        job: "job".into(),
        repetition: 0,
        step: 0,
        index,
    }
}

pub fn incarnation_id(name: &str, start_time: Option<StartTimeMs>) -> IncarnationId {
    IncarnationId {
        name: name.into(),
        start_time,
    }
}

/// Returns the registration of a target with capacity for two runs of [`assignment`] and without a start time.
pub fn registration(incarnation: u32) -> TargetRegistration {
    TargetRegistration {
        incarnation: incarnation_id(&format!("incarnation-{incarnation}"), None),
        service: "service".into(),
        address: "127.0.0.1:1".into(),
        capacity: Resources {
            cpu_milli: 4_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        labels: Vec::new(),
        is_draining: false,
        clock: Some(TARGET_CLOCK),
        sequence: 1,
    }
}

pub fn assignment(index: u32, valid_until: Timestamp) -> Assignment {
    Assignment {
        task: task(index),
        run: RUN,
        spec: "spec".into(),
        demand: Resources {
            cpu_milli: 2_000,
            memory_mb: 10,
            accelerators: 0,
        },
        priority: 0,
        wait_ms: 60,
        estimate_ms: 900,
        valid_until,
    }
}

pub fn assign(index: u32, valid_until: Timestamp) -> DispatcherMessage {
    DispatcherMessage::Assign(assignment(index, valid_until))
}

pub fn echo(clock: Timestamp) -> DispatcherMessage {
    DispatcherMessage::Echo { clock }
}

pub fn listed_run(index: u32, progress: Option<u8>) -> ListedRun {
    ListedRun {
        task: task(index),
        run: RUN,
        progress,
    }
}

/// Returns an answer to a renewal with the target's clock at `clock`; ends are given as number, task and cause.
pub fn list(clock: u64, running: Vec<ListedRun>, ended: &[(u64, u32, EndCause)]) -> RenewalAnswer {
    let ended = ended.iter().map(|&(number, index, cause)| EndedRun {
        number,
        task: task(index),
        run: RUN,
        cause,
    });
    RenewalAnswer::Listed {
        start_time: None,
        clock,
        running,
        ended: ended.collect(),
    }
}

/// Returns a runner whose target has registered but has not answered yet.
pub fn registered(registration: TargetRegistration, now: Timestamp) -> Runner {
    let mut runner = Runner::new(Timings::default(), FIRST_FENCING_TOKEN);
    runner.register(registration, now);
    runner
}

/// Returns a runner at 100 ms with a target that accepts work and one session.
pub fn ready() -> Runner {
    ready_with(registration(1))
}

/// Returns a runner like [`ready`], whose target has this registration.
pub fn ready_with(registration: TargetRegistration) -> Runner {
    let mut runner = registered(registration, at(90));
    renew(&mut runner, at(95), list(50_005, vec![], &[]));
    runner.open_session(SESSION, at(100));
    runner.take_actions();
    runner
}

/// Returns the answer with this start time of the answering incarnation.
pub fn answered_by(start_time: StartTimeMs, mut answer: RenewalAnswer) -> RenewalAnswer {
    if let RenewalAnswer::Listed {
        start_time: answered,
        ..
    } = &mut answer
    {
        *answered = Some(start_time);
    }
    answer
}

/// Renews the lease at `now`; the answer arrives 1 ms later.
pub fn renew(runner: &mut Runner, now: Timestamp, answer: RenewalAnswer) {
    let order = runner.plan_renewal(now).unwrap();
    runner.receive_renewal_answer(&order, answer, now + ms(1));
}

/// Assigns a run whose start the target acknowledges at once.
pub fn start_run(runner: &mut Runner, index: u32, now: Timestamp) {
    runner.receive(SESSION, assign(index, now + ms(400)), now);
    let order = take_starts(runner).remove(0);
    runner.receive_start_answer(&order, StartAnswer::Started { clock: 50_010 }, now);
}

/// Takes the runner's actions and returns the starts.
pub fn take_starts(runner: &mut Runner) -> Vec<StartOrder> {
    let starts = runner.take_actions().into_iter();
    let starts = starts.filter_map(|action| match action {
        RunnerAction::Start(order) => Some(order),
        _ => None,
    });
    starts.collect()
}

/// Takes the runner's actions and returns the ends reported to [`SESSION`], as task and outcome.
pub fn take_ends(runner: &mut Runner) -> Vec<(u32, RunOutcome)> {
    ends(&runner.take_actions())
}

/// Returns the ends reported to [`SESSION`], as task and outcome.
pub fn ends(actions: &[RunnerAction]) -> Vec<(u32, RunOutcome)> {
    let messages = actions.iter().filter_map(|action| match action {
        RunnerAction::Send(SESSION, RunnerMessage::Ended { task, outcome, .. }) => {
            Some((task.index, *outcome))
        }
        _ => None,
    });
    messages.collect()
}

/// Returns the tasks with a stop order.
pub fn stops(actions: &[RunnerAction]) -> Vec<u32> {
    let stops = actions.iter().filter_map(|action| match action {
        RunnerAction::Stop(order) => Some(order.task.index),
        _ => None,
    });
    stops.collect()
}
