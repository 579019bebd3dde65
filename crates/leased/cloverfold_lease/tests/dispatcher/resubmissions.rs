//! Late resubmissions: jobs submitted again after a lost answer that have already missed their objective.

use std::time::Duration;

use cloverfold_lease::{Assignment, JobRequest, Resources, RunOutcome, SessionId, StepRequest};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fixture::{CAPACITY, DEMAND, Fixture, NO_FREE_CPU, job, ms, step};

/// Caller timeouts exceed three times the latency objective by this time.
const EXTRA_TIMEOUT_MS: u64 = 1_500;
const RESEND_INTERVAL_MS: u64 = 1_300;

/// Returns a job of one task of this duration that its caller first submitted `age` ms ago. The estimate is off by up to 40 %.
fn job_of_age(id: &str, work_ms: u64, age: u64, rng: &mut SmallRng) -> JobRequest {
    let estimate_factor = rng.random_range(0.6..1.4);
    let work = StepRequest {
        estimate: ms(work_ms).mul_f64(estimate_factor),
        ..step(1, vec![])
    };
    let objective = work_ms * 16 / 10 + 60;
    JobRequest {
        caller_timeout: Some(ms(EXTRA_TIMEOUT_MS + 3 * objective - age)),
        ..job(id, vec![work])
    }
}

/// Returns a random duration of about 200 ms.
fn random_work_ms(rng: &mut SmallRng) -> u64 {
    rng.random_range(120..=280)
}

/// Returns the free capacity that `tasks` tasks and the headroom need.
fn free_for(tasks: i64) -> Resources {
    Resources {
        cpu_milli: tasks * DEMAND.cpu_milli + CAPACITY.cpu_milli / 20,
        ..CAPACITY
    }
}

/// Returns a fixture with a full target and a queue with this number of past callers.
fn fixture_with_past_callers(callers: u64, rng: &mut SmallRng) -> Fixture {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, NO_FREE_CPU, u64::MAX);
    for caller in 0..callers {
        let work = random_work_ms(rng);
        let number = fixture.submit(job_of_age(&format!("before-{caller}"), work, 0, rng));
        fixture.dispatcher.cancel(number);
    }
    fixture.dispatcher.take_actions();
    fixture
}

/// Returns the names of the jobs with new assignments.
fn assigned_jobs(fixture: &mut Fixture) -> Vec<String> {
    let assigned = fixture.take_assignments().into_iter();
    assigned.map(|(_, run)| run.task.job).collect()
}

#[test]
fn a_late_resubmission_is_served_after_a_job_that_can_be_on_time() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut fixture = fixture_with_past_callers(20, &mut rng);
    fixture.submit(job_of_age("resubmitted", 200, RESEND_INTERVAL_MS, &mut rng));
    fixture.submit(job_of_age("new", 200, 0, &mut rng));

    fixture.heartbeat(1, free_for(1), u64::MAX);
    let first = assigned_jobs(&mut fixture);
    fixture.heartbeat(1, free_for(2), u64::MAX);
    let second = assigned_jobs(&mut fixture);

    assert_eq!(
        (first, second),
        (vec!["new".into()], vec!["resubmitted".into()])
    );
}

#[test]
fn a_late_resubmission_is_served_at_once_if_there_is_capacity() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut fixture = fixture_with_past_callers(20, &mut rng);
    fixture.heartbeat(1, CAPACITY, u64::MAX);

    fixture.submit(job_of_age("resubmitted", 200, RESEND_INTERVAL_MS, &mut rng));

    assert_eq!(assigned_jobs(&mut fixture), ["resubmitted"]);
    assert_eq!(fixture.dispatcher.counts().late_resubmissions, 1);
}

#[test]
fn a_resubmission_that_can_still_be_on_time_keeps_its_position() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut fixture = Fixture::new(1);
    for caller in 0..20 {
        let request = job_of_age(&format!("before-{caller}"), 2_000, 0, &mut rng);
        let number = fixture.submit(request);
        fixture.dispatcher.cancel(number);
    }
    fixture.heartbeat(1, NO_FREE_CPU, u64::MAX);
    fixture.submit(job_of_age(
        "resubmitted",
        2_000,
        RESEND_INTERVAL_MS,
        &mut rng,
    ));
    fixture.submit(job_of_age("new", 2_000, 0, &mut rng));
    fixture.dispatcher.take_actions();

    fixture.heartbeat(1, free_for(1), u64::MAX);

    assert_eq!(assigned_jobs(&mut fixture), ["resubmitted"]);
}

/// A target with capacity for four runs of 200 ms each, simulated in steps of 10 ms.
#[derive(Default)]
struct SimulatedTarget {
    /// Runs, each with the step at which it ends.
    runs: Vec<(u64, (SessionId, Assignment))>,
}

impl SimulatedTarget {
    /// Ends the runs that are due at this step, reports the free capacity, and starts new assignments. Returns the names of their jobs.
    fn advance(&mut self, fixture: &mut Fixture, step: u64) -> Vec<String> {
        let is_over = |run: &mut (u64, _)| run.0 <= step;
        for (_, run) in self.runs.extract_if(.., is_over).collect::<Vec<_>>() {
            fixture.report_end_with_free(&run, RunOutcome::Done, NO_FREE_CPU);
        }
        fixture.heartbeat(1, free_for(4 - self.runs.len() as i64), u64::MAX);
        fixture.dispatcher.tick(fixture.now);
        let assigned = fixture.take_assignments();
        let names = assigned.iter().map(|(_, run)| run.task.job.clone());
        let names = names.collect();
        self.runs
            .extend(assigned.into_iter().map(|run| (step + 20, run)));
        names
    }
}

/// Simulates the time after a power loss: for 1.3 s, a resubmitted and a new job arrive every 80 ms, and one job can be served every 50 ms.
/// Returns the number of new jobs that are assigned, and the number of all new jobs.
fn simulate_resubmissions(seed: u64) -> (usize, usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fixture = fixture_with_past_callers(10, &mut rng);
    let mut target = SimulatedTarget::default();
    let mut served = 0;
    let mut new_jobs = 0;
    for step in 0..130_u64 {
        fixture.now += ms(10);
        if step % 8 == 0 {
            new_jobs += 1;
            let age = RESEND_INTERVAL_MS + rng.random_range(0..30);
            let work = random_work_ms(&mut rng);
            fixture.submit(job_of_age(
                &format!("resubmitted-{step}"),
                work,
                age,
                &mut rng,
            ));
            let work = random_work_ms(&mut rng);
            fixture.submit(job_of_age(&format!("new-{step}"), work, 0, &mut rng));
        }
        let assigned = target.advance(&mut fixture, step);
        served += assigned
            .iter()
            .filter(|name| name.starts_with("new"))
            .count();
    }
    (served, new_jobs)
}

#[test]
fn after_a_power_loss_new_callers_are_served_despite_doubled_load() {
    for seed in 0..20 {
        let (served, new_jobs) = simulate_resubmissions(seed);

        assert!(
            served * 10 >= new_jobs * 9,
            "seed {seed}: {served} of {new_jobs}"
        );
    }
}

#[test]
fn jobs_without_a_caller_timeout_are_served_in_order_of_submission() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, NO_FREE_CPU, u64::MAX);
    let without_timeout = |id: &str| JobRequest {
        caller_timeout: None::<Duration>,
        ..job(id, vec![step(1, vec![])])
    };
    fixture.submit(without_timeout("first"));
    fixture.submit(without_timeout("second"));
    fixture.dispatcher.take_actions();

    fixture.heartbeat(1, free_for(1), u64::MAX);

    assert_eq!(assigned_jobs(&mut fixture), ["first"]);
}
