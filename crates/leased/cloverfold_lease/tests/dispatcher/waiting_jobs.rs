//! Jobs that find no target never keep one that would from being tried, in whatever number and form they wait.

use cloverfold_lease::{JobRequest, Resources, RunOutcome, StepRequest};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fixture::{
    CAPACITY, DEMAND, Fixture, at, drive, fixture_with_kept_jobs, job, kept_job, one_task_job,
    step, take_kept_assignments,
};

/// More jobs than any bound on the work of one pass.
const MANY: usize = 200;

/// Returns a step that only targets with this label can run, one task on each at a time.
fn spread_step(count: u32, label: &str) -> StepRequest {
    StepRequest {
        required_label: Some(label.into()),
        max_per_target: Some(1),
        ..step(count, vec![])
    }
}

/// Returns a step of one task that demands this much.
fn step_of(cpu_milli: i64, memory_mb: i64) -> StepRequest {
    StepRequest {
        demand: Resources {
            cpu_milli,
            memory_mb,
            accelerators: 0,
        },
        ..step(1, vec![])
    }
}

fn job_with(id: &str, step: StepRequest) -> JobRequest {
    job(id, vec![step])
}

/// Returns whether a new kept job of one ordinary task gets a target.
fn starts_a_kept_job(fixture: &mut Fixture) -> bool {
    take_kept_assignments(fixture);
    drive(fixture, kept_job(one_task_job("ordinary"), 1));
    let assigned = take_kept_assignments(fixture);
    assigned
        .iter()
        .any(|(_, run)| run.assignment.task.job == "ordinary")
}

/// Guards against kept jobs at their limit per target that end every pass before the jobs behind them.
#[test]
fn jobs_for_a_lost_target_do_not_block_jobs_behind_them() {
    let mut fixture = fixture_with_kept_jobs(2);
    fixture.announce_target(2, &["b"]);
    for number in 0..MANY {
        let waiting = job_with(&format!("b-{number}"), spread_step(2, "b"));
        drive(&mut fixture, kept_job(waiting, 1));
    }

    fixture.dispatcher.close_session(2, fixture.now);

    assert!(starts_a_kept_job(&mut fixture));
}

/// Guards against begun jobs, which come before all others, that end every pass before a more urgent job.
#[test]
fn begun_jobs_that_wait_do_not_block_jobs_behind_them() {
    let mut fixture = fixture_with_kept_jobs(2);
    fixture.announce_target(2, &["b"]);
    for number in 0..MANY {
        let waiting = job_with(&format!("b-{number}"), spread_step(3, "b"));
        drive(&mut fixture, kept_job(waiting, 1));
        let first = take_kept_assignments(&mut fixture).pop();
        if let Some((session, run)) = first {
            fixture.report_end(&(session, run.assignment), RunOutcome::Done);
            take_kept_assignments(&mut fixture);
        }
    }

    fixture.dispatcher.close_session(2, fixture.now);

    assert!(starts_a_kept_job(&mut fixture));
}

/// Guards against jobs of which each demands less than the one before, so that none is like an earlier one.
#[test]
fn jobs_of_falling_demand_do_not_block_a_job_that_fits() {
    let mut fixture = fixture_with_kept_jobs(1);
    for number in 0..MANY {
        let demand = CAPACITY.cpu_milli + (MANY - number) as i64;
        let waiting = job_with(&format!("large-{number}"), step_of(demand, 64));
        drive(&mut fixture, kept_job(waiting, 1));
    }

    assert!(starts_a_kept_job(&mut fixture));
}

/// Guards against demands that fit the free processors of one target and the free memory of another.
#[test]
fn jobs_that_fit_no_single_target_do_not_block_a_job_that_fits() {
    let mut fixture = fixture_with_kept_jobs(2);
    let little_memory = Resources {
        memory_mb: 100,
        ..CAPACITY
    };
    let few_processors = Resources {
        cpu_milli: DEMAND.cpu_milli,
        ..CAPACITY
    };
    fixture.heartbeat(1, little_memory, u64::MAX);
    fixture.heartbeat(2, few_processors, u64::MAX);
    for number in 0..MANY {
        let more = number as i64;
        let demand = step_of(CAPACITY.cpu_milli - more, 200 + more);
        let waiting = job_with(&format!("mixed-{number}"), demand);
        drive(&mut fixture, kept_job(waiting, 1));
    }

    assert!(starts_a_kept_job(&mut fixture));
}

/// Guards against best-effort jobs that end a pass before kept jobs and best-effort jobs of other targets.
#[test]
fn best_effort_jobs_that_wait_do_not_block_jobs_behind_them() {
    let mut fixture = fixture_with_kept_jobs(1);
    for number in 0..MANY {
        let waiting = job_with(&format!("missing-{number}"), spread_step(1, "missing"));
        fixture.submit(waiting);
    }

    let starts_kept = starts_a_kept_job(&mut fixture);
    fixture.submit(one_task_job("best-effort"));

    assert!(starts_kept);
    assert_eq!(fixture.take_assignments().len(), 1);
}

/// Guards against a step without a target that keeps back later steps which do not depend on it.
#[test]
fn a_step_that_finds_no_target_does_not_block_an_independent_step() {
    let mut fixture = fixture_with_kept_jobs(2);
    fixture.announce_target(2, &["b"]);
    let labelled = spread_step(1, "b");
    let steps = vec![labelled, step(1, vec![]), step(1, vec![1])];
    fixture.dispatcher.close_session(2, fixture.now);

    drive(&mut fixture, kept_job(job("kept", steps.clone()), 1));
    let mut kept = take_kept_assignments(&mut fixture);
    fixture.submit(job("best-effort", steps));
    let best_effort = fixture.take_assignments();

    assert_eq!(kept.len(), 1);
    assert_eq!(best_effort.len(), 1);
    let (session, first) = kept.remove(0);
    assert_eq!(first.assignment.task.step, 1);
    fixture.report_end(&(session, first.assignment), RunOutcome::Done);
    let next = take_kept_assignments(&mut fixture);
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].1.assignment.task.step, 2);
}

/// Guards against any mix of jobs that wait, before or after they have begun, that keeps back a job which fits.
#[test]
fn no_mix_of_waiting_jobs_blocks_a_job_that_fits() {
    for seed in 0..100 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fixture = fixture_with_kept_jobs(3);
        fixture.announce_target(2, &["b"]);
        fixture.announce_target(3, &["b", "c"]);
        for number in 0..rng.random_range(0..MANY) {
            submit_random_job_of_label(&mut fixture, &mut rng, number);
        }
        fixture.dispatcher.close_session(2, fixture.now);
        fixture.dispatcher.close_session(3, fixture.now);
        // The runs of the lost sessions have not ended yet.
        assert!(fixture.now < at(2_000));

        assert!(starts_a_kept_job(&mut fixture), "seed {seed}");
    }
}

/// Submits a job that only the targets with label `b` or `c`, or none, can run.
fn submit_random_job_of_label(fixture: &mut Fixture, rng: &mut SmallRng, number: usize) {
    let labels = ["b", "c", "missing"];
    let label = labels[rng.random_range(0..labels.len())];
    let request = JobRequest {
        priority: rng.random_range(0..3),
        ..job_with(
            &format!("waiting-{number}"),
            StepRequest {
                required_label: Some(label.into()),
                max_per_target: rng.random::<bool>().then_some(1),
                count: rng.random_range(1..4),
                ..step_of(rng.random_range(1..9_000), rng.random_range(1..9_000))
            },
        )
    };
    if rng.random::<bool>() {
        drive(fixture, kept_job(request, 1));
    } else {
        fixture.submit(request);
    }
}
