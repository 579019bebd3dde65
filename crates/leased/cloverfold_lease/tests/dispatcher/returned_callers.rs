//! Jobs that come again after a lost answer, past their objective.

use std::time::Duration;

use cloverfold_lease::{Assignment, JobRequest, Resources, RunOutcome, SessionId, StepRequest};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fixture::{CAPACITY, DEMAND, FULL, Fixture, job, ms, step};

/// For how long callers wait, beyond three times their objective.
const SPARE_MS: u64 = 1_500;
/// Callers come again after this time.
const RESEND_MS: u64 = 1_300;

/// A job of one task of this true duration whose caller sent it first `age` ago; the estimate is off by up to 40 %.
fn job_of_age(id: &str, work_ms: u64, age: u64, rng: &mut SmallRng) -> JobRequest {
    let off = rng.random_range(0.6..1.4);
    let estimated = StepRequest {
        estimate: ms(work_ms).mul_f64(off),
        ..step(1, vec![])
    };
    let objective = work_ms * 16 / 10 + 60;
    JobRequest {
        caller_timeout: Some(ms(SPARE_MS + 3 * objective - age)),
        ..job(id, vec![estimated])
    }
}

/// A work of about 200 ms.
fn draw_work(rng: &mut SmallRng) -> u64 {
    rng.random_range(120..=280)
}

/// What is free when `tasks` more tasks fit, and the headroom.
fn free_for(tasks: i64) -> Resources {
    Resources {
        cpu_milli: tasks * DEMAND.cpu_milli + CAPACITY.cpu_milli / 20,
        ..CAPACITY
    }
}

/// A full target, and a queue of which so many new callers have come and gone.
fn fixture_after(callers: u64, rng: &mut SmallRng) -> Fixture {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, FULL, u64::MAX);
    for caller in 0..callers {
        let work = draw_work(rng);
        let number = fixture.submit(job_of_age(&format!("before-{caller}"), work, 0, rng));
        fixture.dispatcher.cancel(number);
    }
    fixture.dispatcher.take_actions();
    fixture
}

/// Names of the jobs that were assigned since the last call.
fn assigned_jobs(fixture: &mut Fixture) -> Vec<String> {
    let assigned = fixture.assigned().into_iter();
    assigned.map(|(_, run)| run.task.job).collect()
}

#[test]
fn a_job_that_came_past_its_objective_is_served_after_one_that_can_be_in_time() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut fixture = fixture_after(20, &mut rng);
    fixture.submit(job_of_age("again", 200, RESEND_MS, &mut rng));
    fixture.submit(job_of_age("new", 200, 0, &mut rng));

    fixture.heartbeat(1, free_for(1), u64::MAX);
    let first = assigned_jobs(&mut fixture);
    fixture.heartbeat(1, free_for(2), u64::MAX);
    let second = assigned_jobs(&mut fixture);

    assert_eq!((first, second), (vec!["new".into()], vec!["again".into()]));
}

#[test]
fn a_job_that_came_past_its_objective_is_served_at_once_while_there_is_room() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut fixture = fixture_after(20, &mut rng);
    fixture.heartbeat(1, CAPACITY, u64::MAX);

    fixture.submit(job_of_age("again", 200, RESEND_MS, &mut rng));

    assert_eq!(assigned_jobs(&mut fixture), ["again"]);
    assert_eq!(fixture.dispatcher.counts().late_resubmissions, 1);
}

#[test]
fn a_job_that_comes_again_and_can_still_be_in_time_keeps_its_place() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut fixture = Fixture::new(1);
    for caller in 0..20 {
        let request = job_of_age(&format!("before-{caller}"), 2_000, 0, &mut rng);
        let number = fixture.submit(request);
        fixture.dispatcher.cancel(number);
    }
    fixture.heartbeat(1, FULL, u64::MAX);
    fixture.submit(job_of_age("again", 2_000, RESEND_MS, &mut rng));
    fixture.submit(job_of_age("new", 2_000, 0, &mut rng));
    fixture.dispatcher.take_actions();

    fixture.heartbeat(1, free_for(1), u64::MAX);

    assert_eq!(assigned_jobs(&mut fixture), ["again"]);
}

/// A target with room for four runs of 200 ms each, in steps of 10 ms.
#[derive(Default)]
struct BusyTarget {
    /// The runs, each with the step at which it ends.
    runs: Vec<(u64, (SessionId, Assignment))>,
}

impl BusyTarget {
    /// Ends what is over at this step, reports what is free, and takes over what is assigned; returns the names of its jobs.
    fn advance(&mut self, fixture: &mut Fixture, step: u64) -> Vec<String> {
        let is_over = |run: &mut (u64, _)| run.0 <= step;
        for (_, run) in self.runs.extract_if(.., is_over).collect::<Vec<_>>() {
            fixture.end_with_free(&run, RunOutcome::Done, FULL);
        }
        fixture.heartbeat(1, free_for(4 - self.runs.len() as i64), u64::MAX);
        fixture.dispatcher.tick(fixture.now);
        let assigned = fixture.assigned();
        let names = assigned.iter().map(|(_, run)| run.task.job.clone());
        let names = names.collect();
        self.runs
            .extend(assigned.into_iter().map(|run| (step + 20, run)));
        names
    }
}

/// After a loss of power: for 1.3 s as many jobs come again as come new, one of each in 80 ms, and one in 50 ms could be served. Returns how
/// many of the new ones are offered to a target, of how many.
fn play_return(seed: u64) -> (usize, usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fixture = fixture_after(10, &mut rng);
    let mut target = BusyTarget::default();
    let mut served = 0;
    let mut new_jobs = 0;
    for step in 0..130_u64 {
        fixture.now += ms(10);
        if step % 8 == 0 {
            new_jobs += 1;
            let age = RESEND_MS + rng.random_range(0..30);
            let work = draw_work(&mut rng);
            fixture.submit(job_of_age(&format!("again-{step}"), work, age, &mut rng));
            let work = draw_work(&mut rng);
            fixture.submit(job_of_age(&format!("new-{step}"), work, 0, &mut rng));
        }
        let offered = target.advance(&mut fixture, step);
        served += offered
            .iter()
            .filter(|name| name.starts_with("new"))
            .count();
    }
    (served, new_jobs)
}

#[test]
fn after_a_loss_of_power_new_callers_are_served_although_twice_as_much_is_asked_for() {
    for seed in 0..20 {
        let (served, new_jobs) = play_return(seed);

        assert!(
            served * 10 >= new_jobs * 9,
            "seed {seed}: {served} of {new_jobs}"
        );
    }
}

#[test]
fn callers_who_say_nothing_of_their_wait_keep_the_order_of_arrival() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, FULL, u64::MAX);
    let silent = |id: &str| JobRequest {
        caller_timeout: None::<Duration>,
        ..job(id, vec![step(1, vec![])])
    };
    fixture.submit(silent("first"));
    fixture.submit(silent("second"));
    fixture.dispatcher.take_actions();

    fixture.heartbeat(1, free_for(1), u64::MAX);

    assert_eq!(assigned_jobs(&mut fixture), ["first"]);
}
