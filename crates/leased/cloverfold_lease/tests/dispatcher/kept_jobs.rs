//! Kept jobs: driven with an epoch and recorded progress, never shed, and refused only before they are accepted.

use cloverfold_kept_jobs::{TaskProgress, first_run_of};
use cloverfold_lease::{
    Assignment, DispatcherAction, DispatcherMessage, JobAnswer, JobNumber, JobRefusal, JobRequest,
    KeptAssignment, KeptJob, RunOutcome, RunRefusal, SessionId,
};

use crate::fixture::{CAPACITY, FULL, Fixture, job, ms, one_task_job, step};

/// A dispatcher whose runners know kept jobs.
fn fixture(targets: SessionId) -> Fixture {
    let mut fixture = Fixture::new(targets);
    for session in 1..=targets {
        fixture.dispatcher.set_supports_kept_jobs(session);
    }
    fixture
}

fn kept(request: JobRequest, epoch: u64) -> KeptJob {
    KeptJob {
        request,
        epoch,
        progress: vec![],
    }
}

fn drive(fixture: &mut Fixture, job: KeptJob) -> JobNumber {
    let now = fixture.now;
    fixture.dispatcher.drive(job, now)
}

fn kept_runs(actions: Vec<DispatcherAction>) -> Vec<(SessionId, KeptAssignment)> {
    let runs = actions.into_iter().filter_map(|action| match action {
        DispatcherAction::Send(session, DispatcherMessage::AssignKept(run)) => Some((session, run)),
        _ => None,
    });
    runs.collect()
}

fn assigned(fixture: &mut Fixture) -> Vec<(SessionId, KeptAssignment)> {
    kept_runs(fixture.dispatcher.take_actions())
}

fn run_of(kept: &(SessionId, KeptAssignment)) -> (SessionId, Assignment) {
    (kept.0, kept.1.assignment.clone())
}

#[test]
fn a_kept_job_is_assigned_with_its_epoch_and_the_places_of_its_tasks() {
    let mut fixture = fixture(1);
    let steps = vec![step(1, vec![]), step(2, vec![])];

    drive(&mut fixture, kept(job("a", steps), 3));

    let runs = assigned(&mut fixture);
    let places: Vec<u32> = runs.iter().map(|(_, run)| run.index_in_job).collect();
    assert_eq!(places, [0, 1, 2]);
    assert!(runs.iter().all(|(_, run)| run.epoch == 3));
    let first = first_run_of(3);
    assert!(runs.iter().all(|(_, run)| run.assignment.run == first));
}

#[test]
fn a_kept_job_goes_only_to_runners_that_record_its_ends() {
    let mut fixture = Fixture::new(2);
    fixture.dispatcher.set_supports_kept_jobs(2);

    drive(&mut fixture, kept(job("a", vec![step(3, vec![])]), 1));

    let sessions: Vec<SessionId> = assigned(&mut fixture).iter().map(|run| run.0).collect();
    assert_eq!(sessions, [2, 2, 2]);
}

#[test]
fn recorded_progress_is_not_done_again_and_opens_the_next_step() {
    let mut fixture = fixture(1);
    let steps = vec![step(2, vec![]), step(1, vec![0])];
    let done = TaskProgress {
        is_done: true,
        failures: 0,
        last_run: 7,
    };
    let progress = vec![(0, done), (1, done)];

    let resumed = KeptJob {
        progress,
        ..kept(job("a", steps), 2)
    };
    let number = drive(&mut fixture, resumed);

    let runs = assigned(&mut fixture);
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].1.index_in_job, 2);
    fixture.end(&run_of(&runs[0]), RunOutcome::Done);
    assert_eq!(fixture.answers(), [(number, JobAnswer::Completed)]);
}

#[test]
fn recorded_failures_count_among_the_attempts() {
    let mut fixture = fixture(2);
    let failed_once = TaskProgress {
        is_done: false,
        failures: 1,
        last_run: 7,
    };
    let resumed = KeptJob {
        progress: vec![(0, failed_once)],
        ..kept(one_task_job("a"), 2)
    };
    let number = drive(&mut fixture, resumed);
    let runs = assigned(&mut fixture);

    fixture.end(&run_of(&runs[0]), RunOutcome::Failed);

    assert_eq!(fixture.answers(), [(number, JobAnswer::Failed)]);
}

#[test]
fn a_kept_job_is_never_shed_however_long_it_waits() {
    let mut fixture = fixture(1);
    fixture.heartbeat(1, FULL, u64::MAX);
    drive(&mut fixture, kept(one_task_job("a"), 1));
    let best_effort = fixture.submit(one_task_job("b"));

    fixture.pass(60_000, &[1]);
    let answers = fixture.answers();
    fixture.heartbeat(1, CAPACITY, u64::MAX);

    assert_eq!(answers.len(), 1, "only the best-effort job is refused");
    assert_eq!(answers[0].0, best_effort);
    assert_eq!(assigned(&mut fixture).len(), 1);
}

#[test]
fn a_stall_gives_up_no_kept_job() {
    let mut fixture = fixture(1);
    let number = drive(&mut fixture, kept(one_task_job("a"), 1));
    fixture.now += ms(1_200);
    fixture.dispatcher.tick(fixture.now);

    assert!(fixture.answers().is_empty());
    assert!(fixture.dispatcher.has_open_runs(number));
}

#[test]
fn a_kept_job_that_is_driven_no_more_is_withdrawn_and_blocks_its_tasks_until_its_runs_are_over() {
    let mut fixture = fixture(2);
    let number = drive(&mut fixture, kept(one_task_job("a"), 1));
    let runs = assigned(&mut fixture);

    fixture.dispatcher.stop_driving(number);
    assert_eq!(fixture.withdrawn(), [runs[0].0]);
    assert!(fixture.dispatcher.has_detached_runs("a"));
    drive(&mut fixture, kept(one_task_job("a"), 2));
    assert!(
        assigned(&mut fixture).is_empty(),
        "the first may be at work"
    );
    fixture.end(&run_of(&runs[0]), RunOutcome::Stopped);

    let again = assigned(&mut fixture);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1.epoch, 2);
}

#[test]
fn a_kept_job_is_not_cancelled_by_its_name_nor_by_a_submission_of_the_same_name() {
    let mut fixture = fixture(1);
    let number = drive(&mut fixture, kept(one_task_job("a"), 1));

    assert!(!fixture.dispatcher.cancel_named("a"));
    assert!(!fixture.dispatcher.is_open("a"));
    let other = fixture.submit(one_task_job("a"));

    assert_eq!(fixture.answers(), [(other, JobAnswer::GivenUp)]);
    assert!(fixture.dispatcher.has_begun(number));
}

#[test]
fn a_run_that_a_target_rejects_does_not_fail_a_kept_job() {
    let mut fixture = fixture(1);
    drive(&mut fixture, kept(one_task_job("a"), 1));
    let runs = assigned(&mut fixture);
    let rejected = RunOutcome::NotStarted(RunRefusal::Rejected);

    fixture.end(&run_of(&runs[0]), rejected);
    let actions = fixture.dispatcher.take_actions();
    let is_answer = |action: &DispatcherAction| matches!(action, DispatcherAction::Answer(..));
    assert!(!actions.iter().any(is_answer));
    fixture.heartbeat(1, CAPACITY, u64::MAX);

    assert_eq!(assigned(&mut fixture).len(), 1, "it is tried again");
}

#[test]
fn the_estimate_of_a_kept_task_doubles_with_each_run_that_takes_too_long() {
    let mut fixture = fixture(2);
    drive(&mut fixture, kept(one_task_job("a"), 1));
    let mut estimates = Vec::new();
    // The task should take 100 ms; a run of it is overdue after 2.6 times that and 120 ms.
    for _ in 0..600 {
        fixture.now += ms(20);
        for session in [1, 2] {
            fixture.heartbeat(session, CAPACITY, u64::MAX);
        }
        fixture.dispatcher.tick(fixture.now);
        let actions = fixture.dispatcher.take_actions();
        for (session, run) in kept_runs(actions.clone()) {
            estimates.push(run.assignment.estimate_ms);
            fixture.run = Some((session, run.assignment));
        }
        let is_withdrawal = |action: &DispatcherAction| {
            matches!(
                action,
                DispatcherAction::Send(_, DispatcherMessage::Withdraw { .. })
            )
        };
        if actions.iter().any(is_withdrawal) {
            let run = fixture.run.take().unwrap();
            fixture.end(&run, RunOutcome::Stopped);
        }
    }

    assert_eq!(estimates[..5], [100, 200, 400, 800, 1_600]);
}

#[test]
fn kept_jobs_that_fit_nowhere_hold_up_nothing_else() {
    let mut fixture = fixture(1);
    for number in 0..40 {
        let elsewhere = JobRequest {
            service: "elsewhere".into(),
            priority: 0,
            ..one_task_job(&format!("elsewhere-{number}"))
        };
        let mut labelled = job(&format!("labelled-{number}"), vec![step(1, vec![])]);
        labelled.steps[0].required_label = Some("missing".into());
        labelled.priority = 0;
        drive(&mut fixture, kept(elsewhere, 1));
        drive(&mut fixture, kept(labelled, 1));
    }
    drive(&mut fixture, kept(one_task_job("a"), 1));
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
fn a_kept_job_that_waits_for_its_own_tasks_holds_up_nothing_else() {
    let mut fixture = fixture(1);
    let mut spread = job("spread", vec![step(3, vec![])]);
    spread.steps[0].max_per_target = Some(1);
    drive(&mut fixture, kept(spread, 1));
    assert_eq!(assigned(&mut fixture).len(), 1);

    drive(&mut fixture, kept(one_task_job("a"), 1));

    assert_eq!(assigned(&mut fixture).len(), 1);
}

#[test]
fn a_kept_job_is_refused_when_the_backlog_is_longer_than_three_times_its_objective() {
    let mut fixture = fixture(1);
    fixture.heartbeat(1, FULL, u64::MAX);
    // One target of 8 cores: each job of 40 tasks of 0.2 core-seconds takes it 1 s; the objective is 220 ms.
    let refusal = |fixture: &Fixture| {
        let request = one_task_job("next");
        fixture.dispatcher.find_kept_refusal(&request, fixture.now)
    };
    assert_eq!(refusal(&fixture), None);

    drive(&mut fixture, kept(job("a", vec![step(20, vec![])]), 1));
    assert_eq!(
        refusal(&fixture),
        None,
        "0.5 s of work and 0.1 s of its own"
    );
    drive(&mut fixture, kept(job("b", vec![step(20, vec![])]), 1));

    assert_eq!(refusal(&fixture), Some(JobRefusal::NoCapacity));
}

#[test]
fn a_less_urgent_backlog_does_not_refuse_a_kept_job() {
    let mut fixture = fixture(1);
    fixture.heartbeat(1, FULL, u64::MAX);
    let less_urgent = JobRequest {
        priority: 2,
        ..job("a", vec![step(400, vec![])])
    };
    drive(&mut fixture, kept(less_urgent, 1));

    let request = one_task_job("next");
    let refusal = fixture.dispatcher.find_kept_refusal(&request, fixture.now);

    assert_eq!(refusal, None);
}

#[test]
fn a_kept_job_is_refused_when_no_target_could_ever_run_it() {
    let mut fixture = fixture(1);
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
    fixture.dispatcher.start_draining();
    let request = one_task_job("d");
    let refusal = fixture.dispatcher.find_kept_refusal(&request, fixture.now);
    assert_eq!(refusal, Some(JobRefusal::Leaving));
}
