//! Changes of queues while their jobs are open: the jobs follow the new service and priority.

use std::collections::HashMap;

use cloverfold_lease::{
    DispatcherAction, DispatcherMessage, JobAnswer, JobRequest, QueueAttributes, RunOutcome,
    SessionId,
};

use crate::fixture::{
    CAPACITY, Fixture, NO_FREE_CPU, drive, fixture_with_kept_jobs, job, kept_job, one_task_job,
    step, take_kept_assignments,
};

const OLD: SessionId = 1;
const NEW: SessionId = 2;

/// Returns a dispatcher with a target of `service` and one of `other`.
fn fixture_with_two_services() -> Fixture {
    let mut fixture = fixture_with_kept_jobs(2);
    fixture.announce_target_of("other", NEW, &["a"]);
    fixture
}

/// Puts a configuration in force in which the queue has these attributes; returns the number of jobs that changed.
fn change_queue(fixture: &mut Fixture, queue: &str, service: &str, priority: u32) -> usize {
    let attributes = QueueAttributes {
        service: service.into(),
        priority,
    };
    let queues = HashMap::from([(queue.to_owned(), attributes)]);
    fixture.dispatcher.update_queues(&queues, fixture.now)
}

/// Returns the sessions of the new assignments, kept and repeatable, and discards all other actions.
fn take_assigned_sessions(fixture: &mut Fixture) -> Vec<SessionId> {
    let actions = fixture.dispatcher.take_actions().into_iter();
    let sent = actions.filter_map(|action| match action {
        DispatcherAction::Send(session, message) => Some((session, message)),
        _ => None,
    });
    let is_assignment = |message: &DispatcherMessage| {
        matches!(
            message,
            DispatcherMessage::Assign(_) | DispatcherMessage::AssignKept(_)
        )
    };
    sent.filter(|(_, message)| is_assignment(message))
        .map(|(session, _)| session)
        .collect()
}

/// Guards against kept jobs that wait for ever for targets of the service that their queue had when they were driven.
#[test]
fn a_waiting_kept_job_follows_its_queue_to_another_service() {
    let mut fixture = fixture_with_two_services();
    fixture.heartbeat(OLD, NO_FREE_CPU, u64::MAX);
    drive(&mut fixture, kept_job(one_task_job("a"), 1));
    assert_eq!(take_assigned_sessions(&mut fixture), []);

    let changed = change_queue(&mut fixture, "queue", "other", 1);

    assert_eq!(changed, 1);
    assert_eq!(take_assigned_sessions(&mut fixture), [NEW]);
}

/// Guards against best-effort jobs that are refused for want of targets of a service that their queue no longer has.
#[test]
fn a_waiting_repeatable_job_follows_its_queue_to_another_service() {
    let mut fixture = fixture_with_two_services();
    fixture.heartbeat(OLD, NO_FREE_CPU, u64::MAX);
    fixture.submit(one_task_job("a"));

    change_queue(&mut fixture, "queue", "other", 1);

    assert_eq!(take_assigned_sessions(&mut fixture), [NEW]);
}

/// Guards against a move that interrupts runs, or that reaches only jobs which have not started.
#[test]
fn a_started_job_finishes_its_runs_and_continues_at_the_new_service() {
    let mut fixture = fixture_with_two_services();
    let steps = vec![step(1, vec![]), step(1, vec![0])];
    let number = drive(&mut fixture, kept_job(job("a", steps), 1));
    let first = take_kept_assignments(&mut fixture).remove(0);

    change_queue(&mut fixture, "queue", "other", 1);

    assert_eq!(fixture.take_withdrawals(), []);
    let first = (first.0, first.1.assignment);
    assert_eq!(first.0, OLD);
    fixture.report_end(&first, RunOutcome::Done);
    let second = take_kept_assignments(&mut fixture).remove(0);
    assert_eq!(second.0, NEW);
    let second = (second.0, second.1.assignment);
    fixture.report_end(&second, RunOutcome::Done);
    assert_eq!(fixture.take_answers(), [(number, JobAnswer::Completed)]);
}

/// Guards against jobs that keep the place in the queue of a former priority, or leave a stale place behind when they end.
#[test]
fn a_waiting_job_is_served_by_the_new_priority_of_its_queue() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(OLD, NO_FREE_CPU, u64::MAX);
    let of_queue = |queue: &str, id: &str| JobRequest {
        queue: queue.into(),
        ..one_task_job(id)
    };
    fixture.submit(of_queue("first", "a"));
    fixture.submit(of_queue("second", "b"));
    fixture.submit(of_queue("second", "c"));
    let cancelled = fixture.submit(of_queue("second", "d"));

    change_queue(&mut fixture, "second", "service", 0);
    fixture.dispatcher.cancel(cancelled);
    fixture.heartbeat(OLD, CAPACITY, u64::MAX);

    let assigned = fixture.take_assignments();
    let jobs: Vec<&str> = assigned
        .iter()
        .map(|(_, run)| run.task.job.as_str())
        .collect();
    assert_eq!(jobs, ["b", "c", "a"]);
    assert!(assigned[..2].iter().all(|(_, run)| run.priority == 0));
}

/// Guards against jobs of a removed queue that lose their service.
#[test]
fn jobs_of_a_removed_queue_keep_their_attributes() {
    let mut fixture = fixture_with_two_services();
    fixture.heartbeat(OLD, NO_FREE_CPU, u64::MAX);
    drive(&mut fixture, kept_job(one_task_job("a"), 1));

    let changed = change_queue(&mut fixture, "another", "other", 0);
    fixture.heartbeat(OLD, CAPACITY, u64::MAX);

    assert_eq!(changed, 0);
    assert_eq!(take_assigned_sessions(&mut fixture), [OLD]);
}
