//! Measures the time that a dispatcher with many targets takes for one best-effort job, and a runner for one run.
//!
//! Also measures one pass over a queue of kept jobs that find no target, and the admission of a kept job behind them, for several forms of
//! jobs.
//!
//! Calls `cloverfold_lease` directly and starts no process. To compare two builds, run them alternately.

use std::hint::black_box;
use std::time::{Duration, Instant};

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    Assignment, Dispatcher, DispatcherAction, DispatcherMessage, EndCause, EndedRun, FreeCapacity,
    HealthLimits, IncarnationId, JobRequest, KeptJob, LatencyObjective, RenewalAnswer, Resources,
    RunOutcome, Runner, RunnerAction, RunnerMessage, SessionId, StartAnswer, StepRequest,
    TargetDescription, TargetRegistration, TaskId, Timings,
};

const TARGETS: SessionId = 64;
/// Number of jobs that wait while others are served.
const BACKLOG: usize = 200;
const JOBS: u32 = 1_000;
/// Number of kept jobs that wait in the measured passes.
const WAITING: usize = 5_000;
/// Number of targets in the measured passes.
const PASS_TARGETS: SessionId = 240;
/// Label that only the first target has.
const SINGLE_LABEL: &str = "single";
/// Name of the form of jobs for which the targets have opposed free capacities.
const OPPOSED: &str = "on targets of which none has more of everything than another";
/// Number of passes of one measurement.
const PASSES: u32 = 20;
/// Number of repetitions of a measurement of passes. Only the fastest counts.
const PASS_REPETITIONS: usize = 2;
/// Number of repetitions. Only the fastest counts, since other processes slow some of them down.
const REPETITIONS: usize = 120;
const DEMAND: Resources = Resources {
    cpu_milli: 2_000,
    memory_mb: 64,
    accelerators: 0,
};
const CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mb: 16_000,
    accelerators: 0,
};

fn main() {
    // The test runner passes `--list` to list benches without running them.
    if std::env::args().any(|arg| arg == "--list") {
        return;
    }
    let job = min_mean_micros(|| serve_jobs(0));
    let job_behind_backlog = min_mean_micros(|| serve_jobs(BACKLOG));
    let run = min_mean_micros(execute_runs);
    println!("dispatcher, one job of 2 tasks, {TARGETS} targets: {job:.3} us");
    println!("the same with {BACKLOG} jobs waiting: {job_behind_backlog:.3} us");
    println!("runner, one run: {run:.3} us");
    for (form, make_job) in FORMS {
        let free = if form == OPPOSED {
            opposed_capacity
        } else {
            |_| CAPACITY
        };
        let queue = || make_queue(make_job, free);
        let pass = min_micros(PASS_REPETITIONS, || measure_pass(queue(), free));
        let admission = min_micros(PASS_REPETITIONS, || measure_admission(&queue()));
        println!("one pass, {WAITING} kept jobs, {PASS_TARGETS} targets, {form}: {pass:.0} us");
        println!("the admission of one behind them: {admission:.0} us");
    }
}

/// Returns the free processors and memory of a target when its targets are opposed: no one of them covers another.
fn opposed_capacity(session: SessionId) -> Resources {
    Resources {
        cpu_milli: CAPACITY.cpu_milli - session as i64,
        memory_mb: session as i64,
        ..CAPACITY
    }
}

/// Returns the job with a number.
type MakeJob = fn(usize) -> JobRequest;

/// Forms of jobs that find no target.
const FORMS: [(&str, MakeJob); 8] = [
    ("alike", |number| {
        with_step(number, |step| step.demand.cpu_milli = 16_001)
    }),
    ("each a little smaller than the one before", |number| {
        with_step(number, |step| {
            step.demand.cpu_milli = 32_000 - number as i64;
        })
    }),
    (
        "more memory but fewer cores than the one before",
        |number| {
            with_step(number, |step| {
                step.demand.cpu_milli = 16_000 - number as i64;
                step.demand.memory_mb = 16_001 + number as i64;
            })
        },
    ),
    (OPPOSED, |number| {
        with_step(number, |step| {
            step.demand.cpu_milli = CAPACITY.cpu_milli - number as i64 % 200;
            step.demand.memory_mb = 300;
        })
    }),
    ("a label of its own", |number| {
        with_step(number, |step| {
            step.required_label = Some(format!("label-{number}"));
        })
    }),
    ("limit per target, missing label", |number| {
        with_step(number, |step| {
            step.required_label = Some("missing".into());
            step.max_per_target = Some(1);
        })
    }),
    ("begun, at the limit per target", |number| {
        with_step(number, |step| {
            step.required_label = Some(SINGLE_LABEL.into());
            step.demand.cpu_milli = 1;
            step.demand.memory_mb = 1;
            step.max_per_target = Some(1);
        })
    }),
    ("100 tasks", |number| {
        with_step(number, |step| {
            step.count = 100;
            step.demand.cpu_milli = 32_000 - number as i64;
        })
    }),
];

/// Returns a job whose step is changed by `change`.
fn with_step(number: usize, change: impl FnOnce(&mut StepRequest)) -> JobRequest {
    let mut request = job(number);
    change(&mut request.steps[0]);
    request
}

/// Returns a dispatcher with waiting kept jobs.
fn make_queue(make_job: MakeJob, free: fn(SessionId) -> Resources) -> Dispatcher {
    let mut dispatcher = make_dispatcher(PASS_TARGETS);
    for session in 1..=PASS_TARGETS {
        dispatcher.set_supports_kept_jobs(session);
        let report = RunnerMessage::FreeCapacity(free_capacity(free(session)));
        dispatcher.receive(session, report, at(1));
    }
    for number in 0..WAITING {
        let kept = KeptJob {
            request: make_job(number),
            epoch: 1,
            progress: vec![],
        };
        dispatcher.drive(kept, at(1));
    }
    dispatcher
}

/// Returns the mean time of the admission of a kept job.
fn measure_admission(dispatcher: &Dispatcher) -> Duration {
    let request = job(WAITING);
    let started_at = Instant::now();
    for _ in 0..PASSES {
        black_box(dispatcher.find_kept_refusal(&request, at(2)));
    }
    started_at.elapsed() / PASSES
}

/// Returns the mean time of a message of a runner, each of which causes a pass over the queue.
fn measure_pass(mut dispatcher: Dispatcher, free: fn(SessionId) -> Resources) -> Duration {
    let started_at = Instant::now();
    for pass in 0..PASSES {
        let session = 1 + SessionId::from(pass) % PASS_TARGETS;
        let report = RunnerMessage::FreeCapacity(free_capacity(free(session)));
        dispatcher.receive(session, report, at(2));
        black_box(dispatcher.take_actions());
    }
    started_at.elapsed() / PASSES
}

/// Returns the shortest of [`REPETITIONS`] means, in microseconds.
fn min_mean_micros(measure: impl FnMut() -> Duration) -> f64 {
    min_micros(REPETITIONS, measure)
}

/// Returns the shortest of several means, in microseconds.
fn min_micros(repetitions: usize, mut measure: impl FnMut() -> Duration) -> f64 {
    let times = (0..repetitions).map(|_| measure().as_secs_f64() * 1e6);
    times.fold(f64::INFINITY, f64::min)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_start(Duration::from_millis(millis))
}

fn job(number: usize) -> JobRequest {
    JobRequest {
        id: format!("job-{number}"),
        queue: "queue".into(),
        service: "service".into(),
        spec: "spec".into(),
        steps: vec![StepRequest {
            count: 2,
            demand: DEMAND,
            estimate: Duration::from_millis(100),
            depends_on: vec![],
            required_label: None,
            preferred_label: None,
            max_per_target: None,
        }],
        priority: 1,
        max_attempts: 2,
        objective: LatencyObjective {
            stretch: 100.0,
            allowance: Duration::from_secs(600),
        },
        caller_timeout: None,
    }
}

fn free_capacity(free: Resources) -> FreeCapacity {
    FreeCapacity {
        free,
        assignments_seen: u64::MAX,
        slowness_permille: 1_000,
    }
}

/// Returns a dispatcher with `targets` idle targets.
fn make_dispatcher(targets: SessionId) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Timings::default(), HealthLimits::default(), 1);
    dispatcher.tick(at(1));
    for session in 1..=targets {
        dispatcher.open_session(session, &format!("runner-{session}"), at(1));
        let heartbeat = RunnerMessage::Heartbeat {
            clock: at(1),
            free_capacity: free_capacity(CAPACITY),
        };
        dispatcher.receive(session, heartbeat, at(1));
        let target = TargetDescription {
            incarnation: format!("target-{session}"),
            service: "service".into(),
            capacity: CAPACITY,
            labels: if session == 1 {
                vec![SINGLE_LABEL.into()]
            } else {
                vec![]
            },
        };
        dispatcher.receive(session, RunnerMessage::Target(Some(target)), at(1));
    }
    dispatcher.take_actions();
    dispatcher
}

fn take_assignments(dispatcher: &mut Dispatcher) -> Vec<(SessionId, Assignment)> {
    let actions = dispatcher.take_actions().into_iter();
    let assignments = actions.filter_map(|action| match action {
        DispatcherAction::Send(session, DispatcherMessage::Assign(assignment)) => {
            Some((session, assignment))
        }
        _ => None,
    });
    assignments.collect()
}

/// Serves jobs one after the other while a backlog waits that fits no target, and returns the mean time for one job.
fn serve_jobs(backlog: usize) -> Duration {
    let mut dispatcher = make_dispatcher(TARGETS);
    for number in 0..backlog {
        let mut large = job(number);
        large.id = format!("large-{number}");
        large.priority = 2;
        large.steps[0].demand.cpu_milli = CAPACITY.cpu_milli + 1;
        dispatcher.submit(large, at(1));
    }
    dispatcher.take_actions();
    let started_at = Instant::now();
    for number in 0..JOBS {
        dispatcher.submit(job(number as usize), at(2));
        for (session, assignment) in take_assignments(&mut dispatcher) {
            let ended = RunnerMessage::Ended {
                task: assignment.task,
                run: assignment.run,
                outcome: RunOutcome::Done,
                ran_ms: 100,
                free_capacity: free_capacity(CAPACITY),
            };
            dispatcher.receive(session, ended, at(2));
        }
        black_box(dispatcher.take_actions());
    }
    started_at.elapsed() / JOBS
}

/// Executes runs one after the other and returns the mean time for one run.
fn execute_runs() -> Duration {
    let mut runner = Runner::new(Timings::default(), 1_000);
    runner.register(
        TargetRegistration {
            incarnation: IncarnationId {
                name: "target".into(),
                start_time: None,
            },
            service: "service".into(),
            address: "127.0.0.1:1".into(),
            capacity: CAPACITY,
            labels: vec![],
            is_draining: false,
            clock: Some(50_000),
            sequence: 1,
        },
        at(1),
    );
    let order = runner.plan_renewal(at(1));
    if let Some(order) = order {
        runner.receive_renewal_answer(&order, listed_answer(vec![]), at(1));
    }
    runner.open_session(7, at(1));
    let started_at = Instant::now();
    for number in 1..=JOBS {
        execute_run(&mut runner, u64::from(number));
    }
    started_at.elapsed() / JOBS
}

fn listed_answer(ended: Vec<EndedRun>) -> RenewalAnswer {
    RenewalAnswer::Listed {
        start_time: None,
        clock: 50_001,
        running: vec![],
        ended,
    }
}

fn execute_run(runner: &mut Runner, number: u64) {
    let task = TaskId {
        job: format!("job-{number}"),
        repetition: 0,
        step: 0,
        index: 0,
    };
    let assignment = Assignment {
        task: task.clone(),
        run: 5,
        spec: "spec".into(),
        demand: DEMAND,
        priority: 1,
        wait_ms: 25,
        estimate_ms: 100,
        valid_until: at(400),
    };
    runner.receive(7, DispatcherMessage::Assign(assignment), at(2));
    for action in runner.take_actions() {
        if let RunnerAction::Start(order) = action {
            runner.receive_start_answer(&order, StartAnswer::Started { clock: 50_001 }, at(2));
        }
    }
    let end = EndedRun {
        number,
        task,
        run: 5,
        cause: EndCause::Done,
    };
    if let Some(order) = runner.plan_renewal(at(2)) {
        runner.receive_renewal_answer(&order, listed_answer(vec![end]), at(2));
    }
    black_box(runner.take_actions());
}
