//! What the tests of the runner share: a runner with a target and a session, the messages to it, and what it does.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    Assignment, DispatcherMessage, EndCause, EndedRun, IncarnationId, ListedRun, RenewalAnswer,
    Resources, RunOutcome, Runner, RunnerAction, RunnerMessage, StartAnswer, StartOrder,
    StartTimeMs, TargetRegistration, TaskId, Timings,
};

/// The session that [`ready`] opens.
pub const SESSION: u64 = 7;
/// The number of every run.
pub const RUN: u64 = 5;
/// The target's clock when it registers, in milliseconds.
pub const TARGET_CLOCK: u64 = 50_000;
const FIRST_FENCING_TOKEN: u64 = 1_000;

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// The point in time `value` milliseconds after the start of the clock.
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

/// A target with capacity for two runs of [`assignment`], which does not tell when it started.
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

pub fn row(index: u32, progress: Option<u8>) -> ListedRun {
    ListedRun {
        task: task(index),
        run: RUN,
        progress,
    }
}

/// The answer to a renewal at which the target's clock shows `clock`; ends are given as number, task and cause.
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

/// A runner whose target has registered and was not heard since.
pub fn registered(registration: TargetRegistration, now: Timestamp) -> Runner {
    let mut runner = Runner::new(Timings::default(), FIRST_FENCING_TOKEN);
    runner.register(registration, now);
    runner
}

/// A runner with a target that accepts work and one session, at 100 ms.
pub fn ready() -> Runner {
    ready_with(registration(1))
}

/// The same with a target that registers so.
pub fn ready_with(registration: TargetRegistration) -> Runner {
    let mut runner = registered(registration, at(90));
    renew(&mut runner, at(95), list(50_005, vec![], &[]));
    runner.open_session(SESSION, at(100));
    runner.take_actions();
    runner
}

/// The same answer, from the life that began at `start_time`.
pub fn told_by(start_time: StartTimeMs, mut answer: RenewalAnswer) -> RenewalAnswer {
    if let RenewalAnswer::Listed {
        start_time: told, ..
    } = &mut answer
    {
        *told = Some(start_time);
    }
    answer
}

/// Renews the lease at `now`; the answer comes 1 ms later.
pub fn renew(runner: &mut Runner, now: Timestamp, answer: RenewalAnswer) {
    let order = runner.plan_renewal(now).unwrap();
    runner.receive_renewal_answer(&order, answer, now + ms(1));
}

/// Assigns a run whose start the target acknowledges at once.
pub fn started(runner: &mut Runner, index: u32, now: Timestamp) {
    runner.receive(SESSION, assign(index, now + ms(400)), now);
    let order = take_starts(runner).remove(0);
    runner.receive_start_answer(&order, StartAnswer::Started { clock: 50_010 }, now);
}

/// Takes the actions of a runner and returns the starts among them.
pub fn take_starts(runner: &mut Runner) -> Vec<StartOrder> {
    let starts = runner.take_actions().into_iter();
    let starts = starts.filter_map(|action| match action {
        RunnerAction::Start(order) => Some(order),
        _ => None,
    });
    starts.collect()
}

/// Takes the actions of a runner and returns the ends that are reported to [`SESSION`], as task and outcome.
pub fn take_ends(runner: &mut Runner) -> Vec<(u32, RunOutcome)> {
    ends(&runner.take_actions())
}

/// Returns the ends that are reported to [`SESSION`], as task and outcome.
pub fn ends(actions: &[RunnerAction]) -> Vec<(u32, RunOutcome)> {
    let messages = actions.iter().filter_map(|action| match action {
        RunnerAction::Send(SESSION, RunnerMessage::Ended { task, outcome, .. }) => {
            Some((task.index, *outcome))
        }
        _ => None,
    });
    messages.collect()
}

/// Returns the tasks whose runs the target is ordered to stop.
pub fn stops(actions: &[RunnerAction]) -> Vec<u32> {
    let stops = actions.iter().filter_map(|action| match action {
        RunnerAction::Stop(order) => Some(order.task.index),
        _ => None,
    });
    stops.collect()
}
