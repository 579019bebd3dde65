//! Kept jobs, which resume from recorded progress, are never given up, and can be refused only before they are accepted.

use cloverfold_kept_jobs::{TaskProgress, first_run_of};
use cloverfold_lease::{
    Assignment, DispatcherAction, DispatcherMessage, JobAnswer, JobRefusal, JobRequest,
    KeptAssignment, KeptJob, MAX_KEPT_BYTES, Resources, RunOutcome, RunRefusal, SessionId,
    StepRequest,
};

use crate::fixture::{
    CAPACITY, Fixture, NO_FREE_CPU, drive, fixture_with_kept_jobs, job, kept_job, kept_runs, ms,
    one_task_job, step, take_kept_assignments,
};

fn run_of(kept_run: &(SessionId, KeptAssignment)) -> (SessionId, Assignment) {
    (kept_run.0, kept_run.1.assignment.clone())
}

#[test]
fn a_kept_job_is_assigned_with_its_epoch_and_the_indices_of_its_tasks() {
    let mut fixture = fixture_with_kept_jobs(1);
    let steps = vec![step(1, vec![]), step(2, vec![])];

    drive(&mut fixture, kept_job(job("a", steps), 3));

    let runs = take_kept_assignments(&mut fixture);
    let indices: Vec<u32> = runs.iter().map(|(_, run)| run.index_in_job).collect();
    assert_eq!(indices, [0, 1, 2]);
    assert!(runs.iter().all(|(_, run)| run.epoch == 3));
    let first = first_run_of(3);
    assert!(runs.iter().all(|(_, run)| run.assignment.run == first));
}

#[test]
fn a_kept_job_is_assigned_only_to_runners_that_record_its_ends() {
    let mut fixture = Fixture::new(2);
    fixture.dispatcher.set_supports_kept_jobs(2);

    drive(&mut fixture, kept_job(job("a", vec![step(3, vec![])]), 1));

    let sessions: Vec<SessionId> = take_kept_assignments(&mut fixture)
        .iter()
        .map(|run| run.0)
        .collect();
    assert_eq!(sessions, [2, 2, 2]);
}

#[test]
fn recorded_progress_is_not_repeated_and_unblocks_the_next_step() {
    let mut fixture = fixture_with_kept_jobs(1);
    let steps = vec![step(2, vec![]), step(1, vec![0])];
    let done = TaskProgress {
        is_done: true,
        failures: 0,
        last_run: 7,
    };
    let progress = vec![(0, done), (1, done)];

    let resumed = KeptJob {
        progress,
        ..kept_job(job("a", steps), 2)
    };
    let number = drive(&mut fixture, resumed);

    let runs = take_kept_assignments(&mut fixture);
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].1.index_in_job, 2);
    fixture.report_end(&run_of(&runs[0]), RunOutcome::Done);
    assert_eq!(fixture.take_answers(), [(number, JobAnswer::Completed)]);
}

#[test]
fn recorded_failures_count_among_the_attempts() {
    let mut fixture = fixture_with_kept_jobs(2);
    let failed_once = TaskProgress {
        is_done: false,
        failures: 1,
        last_run: 7,
    };
    let resumed = KeptJob {
        progress: vec![(0, failed_once)],
        ..kept_job(one_task_job("a"), 2)
    };
    let number = drive(&mut fixture, resumed);
    let runs = take_kept_assignments(&mut fixture);

    fixture.report_end(&run_of(&runs[0]), RunOutcome::Failed);

    assert_eq!(fixture.take_answers(), [(number, JobAnswer::Failed)]);
}

#[test]
fn a_kept_job_is_never_refused_or_given_up_while_it_waits() {
    let mut fixture = fixture_with_kept_jobs(1);
    fixture.heartbeat(1, NO_FREE_CPU, u64::MAX);
    drive(&mut fixture, kept_job(one_task_job("a"), 1));
    let best_effort = fixture.submit(one_task_job("b"));

    fixture.advance(60_000, &[1]);
    let answers = fixture.take_answers();
    fixture.heartbeat(1, CAPACITY, u64::MAX);

    assert_eq!(answers.len(), 1, "only the best-effort job is refused");
    assert_eq!(answers[0].0, best_effort);
    assert_eq!(take_kept_assignments(&mut fixture).len(), 1);
}

#[test]
fn a_kept_job_is_not_given_up_after_a_stall() {
    let mut fixture = fixture_with_kept_jobs(1);
    let number = drive(&mut fixture, kept_job(one_task_job("a"), 1));
    fixture.now += ms(1_200);
    fixture.dispatcher.tick(fixture.now);

    assert!(fixture.take_answers().is_empty());
    assert!(fixture.dispatcher.has_open_runs(number));
}

#[test]
fn after_driving_stops_runs_are_withdrawn_and_block_their_tasks_until_they_end() {
    let mut fixture = fixture_with_kept_jobs(2);
    let number = drive(&mut fixture, kept_job(one_task_job("a"), 1));
    let runs = take_kept_assignments(&mut fixture);

    fixture.dispatcher.stop_driving(number);
    assert_eq!(fixture.take_withdrawals(), [runs[0].0]);
    assert!(fixture.dispatcher.has_detached_runs("a"));
    drive(&mut fixture, kept_job(one_task_job("a"), 2));
    assert!(
        take_kept_assignments(&mut fixture).is_empty(),
        "the first run may be in progress"
    );
    fixture.report_end(&run_of(&runs[0]), RunOutcome::Stopped);

    let again = take_kept_assignments(&mut fixture);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1.epoch, 2);
}

#[test]
fn a_kept_job_is_not_cancelled_by_name_or_by_a_submission_with_the_same_name() {
    let mut fixture = fixture_with_kept_jobs(1);
    let number = drive(&mut fixture, kept_job(one_task_job("a"), 1));

    assert!(!fixture.dispatcher.cancel_named("a"));
    assert_eq!(fixture.dispatcher.has_named_begun("a"), None);
    let other = fixture.submit(one_task_job("a"));

    assert_eq!(fixture.take_answers(), [(other, JobAnswer::GivenUp)]);
    assert!(fixture.dispatcher.has_begun(number));
}

#[test]
fn a_run_that_a_target_rejects_does_not_fail_a_kept_job() {
    let mut fixture = fixture_with_kept_jobs(1);
    drive(&mut fixture, kept_job(one_task_job("a"), 1));
    let runs = take_kept_assignments(&mut fixture);
    let rejected = RunOutcome::NotStarted(RunRefusal::Rejected);

    fixture.report_end(&run_of(&runs[0]), rejected);
    let actions = fixture.dispatcher.take_actions();
    let is_answer = |action: &DispatcherAction| matches!(action, DispatcherAction::Answer(..));
    assert!(!actions.iter().any(is_answer));
    fixture.heartbeat(1, CAPACITY, u64::MAX);

    assert_eq!(
        take_kept_assignments(&mut fixture).len(),
        1,
        "the task is retried"
    );
}

#[test]
fn the_estimate_of_a_kept_task_doubles_with_each_late_run() {
    let mut fixture = fixture_with_kept_jobs(2);
    drive(&mut fixture, kept_job(one_task_job("a"), 1));
    let mut estimates = Vec::new();
    // A run is overdue after 2.6 times its estimate plus 120 ms.
    for _ in 0..600 {
        fixture.now += ms(20);
        for session in [1, 2] {
            fixture.heartbeat(session, CAPACITY, u64::MAX);
        }
        fixture.dispatcher.tick(fixture.now);
        let actions = fixture.dispatcher.take_actions();
        for (session, run) in kept_runs(actions.clone()) {
            estimates.push(run.assignment.estimate_ms);
            fixture.current_run = Some((session, run.assignment));
        }
        let is_withdrawal = |action: &DispatcherAction| {
            matches!(
                action,
                DispatcherAction::Send(_, DispatcherMessage::Withdraw { .. })
            )
        };
        if actions.iter().any(is_withdrawal) {
            let run = fixture.current_run.take().unwrap();
            fixture.report_end(&run, RunOutcome::Stopped);
        }
    }

    assert_eq!(estimates[..5], [100, 200, 400, 800, 1_600]);
}

#[test]
fn kept_jobs_without_a_suitable_target_do_not_block_others() {
    let mut fixture = fixture_with_kept_jobs(1);
    for number in 0..40 {
        let elsewhere = JobRequest {
            service: "elsewhere".into(),
            priority: 0,
            ..one_task_job(&format!("elsewhere-{number}"))
        };
        let mut labelled = job(&format!("labelled-{number}"), vec![step(1, vec![])]);
        labelled.steps[0].required_label = Some("missing".into());
        labelled.priority = 0;
        drive(&mut fixture, kept_job(elsewhere, 1));
        drive(&mut fixture, kept_job(labelled, 1));
    }
    drive(&mut fixture, kept_job(one_task_job("a"), 1));
    fixture.submit(one_task_job("b"));

    let actions = fixture.dispatcher.take_actions();
    let is_best_effort = |action: &&DispatcherAction| {
        matches!(
            action,
            DispatcherAction::Send(_, DispatcherMessage::Assign(_))
        )
    };
    assert_eq!(actions.iter().filter(is_best_effort).count(), 1);
    assert_eq!(kept_runs(actions).len(), 1);
}

#[test]
fn a_kept_job_at_its_limit_per_target_does_not_block_others() {
    let mut fixture = fixture_with_kept_jobs(1);
    let mut spread = job("spread", vec![step(3, vec![])]);
    spread.steps[0].max_per_target = Some(1);
    drive(&mut fixture, kept_job(spread, 1));
    assert_eq!(take_kept_assignments(&mut fixture).len(), 1);

    drive(&mut fixture, kept_job(one_task_job("a"), 1));

    assert_eq!(take_kept_assignments(&mut fixture).len(), 1);
}

#[test]
fn a_kept_job_is_refused_if_the_backlog_exceeds_three_times_its_latency_objective() {
    let mut fixture = fixture_with_kept_jobs(1);
    fixture.heartbeat(1, NO_FREE_CPU, u64::MAX);
    // On the target with 8 cores, 20 tasks of 0.2 core-seconds take 0.5 s. The latency objective is 220 ms.
    let refusal = |fixture: &Fixture| {
        let request = one_task_job("next");
        fixture.dispatcher.find_kept_refusal(&request, fixture.now)
    };
    assert_eq!(refusal(&fixture), None);

    drive(&mut fixture, kept_job(job("a", vec![step(20, vec![])]), 1));
    assert_eq!(
        refusal(&fixture),
        None,
        "0.5 s of backlog and 0.1 s of its own work"
    );
    drive(&mut fixture, kept_job(job("b", vec![step(20, vec![])]), 1));

    assert_eq!(refusal(&fixture), Some(JobRefusal::NoCapacity));
}

/// Fails if an entry accepts kept jobs until their tasks take more memory than its box has.
#[test]
fn a_kept_job_is_refused_when_those_driven_here_take_too_much_memory() {
    let mut fixture = fixture_with_kept_jobs(1);
    let large = |id: &str| {
        let tasks = StepRequest {
            demand: Resources::default(),
            estimate: ms(0),
            ..step(100_000, vec![0])
        };
        job(id, vec![step(1, vec![]), tasks])
    };
    let refusal = |fixture: &Fixture, request: &JobRequest| {
        fixture.dispatcher.find_kept_refusal(request, fixture.now)
    };
    let fitting = MAX_KEPT_BYTES / large("a").open_bytes();
    for number in 0..fitting {
        let request = large(&number.to_string());
        assert_eq!(refusal(&fixture, &request), None);
        drive(&mut fixture, kept_job(request, 1));
    }

    assert_eq!(refusal(&fixture, &large("b")), Some(JobRefusal::NoMemory));

    assert_eq!(refusal(&fixture, &job("c", vec![step(1, vec![])])), None);
}

fn labelled_step(count: u32) -> StepRequest {
    StepRequest {
        required_label: Some("b".into()),
        ..step(count, vec![])
    }
}

/// Returns a dispatcher with two targets, of which the second has the label `b`, and a backlog of 10 s for that one.
fn fixture_with_labelled_backlog() -> Fixture {
    let mut fixture = fixture_with_kept_jobs(2);
    fixture.announce_target(2, &["b"]);
    let backlog = job("labelled", vec![labelled_step(400)]);
    drive(&mut fixture, kept_job(backlog, 1));
    fixture
}

/// Guards against refusals for want of capacity while all targets are idle but those that the backlog waits for.
#[test]
fn a_backlog_for_other_targets_does_not_refuse_a_kept_job() {
    let mut fixture = fixture_with_labelled_backlog();
    let refusal = |fixture: &Fixture, step| {
        let request = job("next", vec![step]);
        fixture.dispatcher.find_kept_refusal(&request, fixture.now)
    };

    assert_eq!(refusal(&fixture, step(1, vec![])), None);
    let labelled = refusal(&fixture, labelled_step(1));
    assert_eq!(labelled, Some(JobRefusal::NoCapacity));

    fixture.dispatcher.close_session(2, fixture.now);

    assert_eq!(refusal(&fixture, step(1, vec![])), None);
}

/// Guards against an estimate that counts on targets which a backlog of their own keeps busy.
#[test]
fn a_kept_job_is_refused_if_the_backlog_takes_too_long_on_the_targets_left() {
    let mut fixture = fixture_with_labelled_backlog();
    // 8 core-seconds take 0.5 s on both targets, but 1 s on the one that is left.
    let backlog = job("unlabelled", vec![step(40, vec![])]);
    drive(&mut fixture, kept_job(backlog, 1));

    let request = one_task_job("next");
    let refusal = fixture.dispatcher.find_kept_refusal(&request, fixture.now);

    assert_eq!(refusal, Some(JobRefusal::NoCapacity));
}

#[test]
fn a_less_urgent_backlog_does_not_refuse_a_kept_job() {
    let mut fixture = fixture_with_kept_jobs(1);
    fixture.heartbeat(1, NO_FREE_CPU, u64::MAX);
    let less_urgent = JobRequest {
        priority: 2,
        ..job("a", vec![step(400, vec![])])
    };
    drive(&mut fixture, kept_job(less_urgent, 1));

    let request = one_task_job("next");
    let refusal = fixture.dispatcher.find_kept_refusal(&request, fixture.now);

    assert_eq!(refusal, None);
}

#[test]
fn a_kept_job_is_refused_if_no_target_could_ever_run_it() {
    let mut fixture = fixture_with_kept_jobs(1);
    let mut large = one_task_job("a");
    large.steps[0].demand.cpu_milli = CAPACITY.cpu_milli + 1;
    let mut labelled = one_task_job("b");
    labelled.steps[0].required_label = Some("missing".into());
    let elsewhere = JobRequest {
        service: "elsewhere".into(),
        ..one_task_job("c")
    };

    for request in [large, labelled, elsewhere] {
        let refusal = fixture.dispatcher.find_kept_refusal(&request, fixture.now);
        assert_eq!(refusal, Some(JobRefusal::NoTarget), "{}", request.id);
    }
    fixture.dispatcher.begin_draining();
    let request = one_task_job("d");
    let refusal = fixture.dispatcher.find_kept_refusal(&request, fixture.now);
    assert_eq!(refusal, Some(JobRefusal::Draining));
}
