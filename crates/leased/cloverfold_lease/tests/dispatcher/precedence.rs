//! The order in which jobs are served when targets are nearly full.

use cloverfold_lease::{JobRequest, Resources, RunOutcome, StepRequest};

use crate::fixture::{CAPACITY, DEMAND, Fixture, NO_FREE_CPU, job, ms, step};

/// Returns a job of a queue with this priority.
fn job_of(queue: &str, priority: u32, id: &str, tasks: u32) -> JobRequest {
    JobRequest {
        queue: queue.into(),
        priority,
        ..job(id, vec![step(tasks, vec![])])
    }
}

/// Returns the free capacity that `tasks` tasks need.
fn free_for(tasks: i64) -> Resources {
    Resources {
        cpu_milli: tasks * DEMAND.cpu_milli,
        ..CAPACITY
    }
}

/// Returns the job name of each new assignment.
fn assigned_jobs(fixture: &mut Fixture) -> Vec<String> {
    let assigned = fixture.take_assignments().into_iter();
    assigned.map(|(_, run)| run.task.job).collect()
}

#[test]
fn a_queue_within_its_share_precedes_one_above_it_regardless_of_priority() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job_of("busy", 0, "busy-1", 3));
    fixture.heartbeat(1, NO_FREE_CPU, u64::MAX);
    fixture.submit(job_of("busy", 0, "busy-2", 1));
    fixture.submit(job_of("modest", 2, "modest-1", 1));
    fixture.dispatcher.take_actions();

    fixture.heartbeat(1, free_for(2), u64::MAX);

    assert_eq!(assigned_jobs(&mut fixture)[0], "modest-1");
}

#[test]
fn past_usage_of_a_queue_decays() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job_of("busy", 0, "busy-1", 3));
    fixture.submit(job_of("modest", 2, "modest-1", 1));
    fixture.now += ms(400);
    fixture.dispatcher.tick(fixture.now);
    fixture.heartbeat(1, CAPACITY, u64::MAX);
    for round in 0..40 {
        fixture.now += ms(100);
        fixture.heartbeat(1, CAPACITY, u64::MAX);
        fixture.submit(job_of("modest", 2, &format!("modest-then-{round}"), 1));
    }
    fixture.heartbeat(1, NO_FREE_CPU, u64::MAX);
    fixture.submit(job_of("modest", 2, "modest-2", 1));
    fixture.submit(job_of("busy", 0, "busy-2", 1));
    fixture.dispatcher.take_actions();

    fixture.heartbeat(1, free_for(1), u64::MAX);

    assert_eq!(assigned_jobs(&mut fixture), ["busy-2"]);
}

#[test]
fn a_job_that_has_started_is_completed_before_another_starts() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, free_for(1), 0);
    fixture.submit(job_of("queue", 1, "begun", 2));
    fixture.submit(job_of("urgent", 0, "urgent-1", 1));
    assert_eq!(assigned_jobs(&mut fixture), ["begun"]);

    // Enough for one task and the headroom.
    let free = Resources {
        cpu_milli: DEMAND.cpu_milli + CAPACITY.cpu_milli / 20,
        ..CAPACITY
    };
    fixture.heartbeat(1, free, 1);

    assert_eq!(assigned_jobs(&mut fixture), ["begun"]);
}

#[test]
fn less_urgent_work_leaves_headroom_while_an_urgent_queue_is_active() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job_of("urgent", 0, "urgent-1", 1));
    fixture.dispatcher.take_actions();

    fixture.heartbeat(1, free_for(1), u64::MAX);
    fixture.submit(job_of("other", 1, "other-1", 1));
    fixture.submit(job_of("urgent", 0, "urgent-2", 1));

    assert_eq!(assigned_jobs(&mut fixture), ["urgent-2"]);
}

#[test]
fn without_a_more_urgent_queue_no_headroom_is_left() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, free_for(1), 0);

    fixture.submit(job_of("other", 2, "other-1", 1));

    assert_eq!(assigned_jobs(&mut fixture), ["other-1"]);
}

#[test]
fn a_task_as_large_as_a_target_is_placed_on_an_empty_one() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job_of("urgent", 0, "urgent-1", 1));
    let run = fixture.take_assignments().remove(0);
    fixture.report_end(&run, RunOutcome::Done);
    let whole = StepRequest {
        demand: CAPACITY,
        ..step(1, vec![])
    };

    fixture.submit(JobRequest {
        priority: 1,
        ..job("whole", vec![whole])
    });

    assert_eq!(assigned_jobs(&mut fixture), ["whole"]);
}
