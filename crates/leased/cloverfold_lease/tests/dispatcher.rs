//! Single rules of a dispatcher, spoken to by hand.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    Assignment, Dispatcher, DispatcherAction, DispatcherEvent, DispatcherMessage, FreeCapacity,
    HealthLimits, JobAnswer, JobNumber, JobRefusal, JobRequest, Objective, Resources, RunOutcome,
    RunRefusal, RunnerMessage, SessionId, StepRequest, TargetDescription, Timings,
};

const CAPACITY: Resources = Resources {
    cpu_milli: 8_000,
    memory_mb: 8_000,
    accelerators: 0,
};
const DEMAND: Resources = Resources {
    cpu_milli: 2_000,
    memory_mb: 64,
    accelerators: 0,
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// The point in time `value` milliseconds after the start of the clock.
fn at(value: u64) -> Timestamp {
    Timestamp::from_start(ms(value))
}

fn step(count: u32, depends_on: Vec<usize>) -> StepRequest {
    StepRequest {
        count,
        demand: DEMAND,
        estimate: ms(100),
        depends_on,
        required_label: None,
        preferred_label: None,
        most_per_target: None,
    }
}

fn job(id: &str, steps: Vec<StepRequest>) -> JobRequest {
    JobRequest {
        id: id.into(),
        queue: "queue".into(),
        service: "service".into(),
        spec: "spec".into(),
        steps,
        priority: 1,
        max_attempts: 2,
        objective: Objective {
            stretch: 1.6,
            allowance: ms(60),
        },
        patience: None,
    }
}

struct Bench {
    dispatcher: Dispatcher,
    now: Timestamp,
}

impl Bench {
    /// A dispatcher with sessions 1 to `targets`, each with an empty target.
    fn new(targets: SessionId) -> Self {
        let dispatcher = Dispatcher::new(Timings::default(), HealthLimits::default(), 3);
        let mut bench = Self {
            dispatcher,
            now: at(1_000),
        };
        bench.dispatcher.tick(bench.now);
        for session in 1..=targets {
            bench
                .dispatcher
                .open_session(session, &format!("runner-{session}"), bench.now);
            bench.heartbeat(session, CAPACITY, 0);
            bench.offer(session, &["a"]);
        }
        bench.dispatcher.take_actions();
        bench
    }

    fn tell(&mut self, session: SessionId, message: RunnerMessage) {
        self.dispatcher.receive(session, message, self.now);
    }

    fn heartbeat(&mut self, session: SessionId, free: Resources, assignments_seen: u64) {
        let free_capacity = FreeCapacity {
            free,
            assignments_seen,
            slowness_permille: 0,
        };
        self.tell(
            session,
            RunnerMessage::Heartbeat {
                clock: self.now,
                free_capacity,
            },
        );
    }

    /// A runner reports room and how slowly its target's runs get on.
    fn report(&mut self, session: SessionId, free: Resources, slowness_permille: u32) {
        let free_capacity = FreeCapacity {
            free,
            assignments_seen: u64::MAX,
            slowness_permille,
        };
        self.tell(session, RunnerMessage::FreeCapacity(free_capacity));
    }

    fn withdrawn(&mut self) -> Vec<SessionId> {
        let actions = self.dispatcher.take_actions().into_iter();
        actions
            .filter_map(|action| match action {
                DispatcherAction::Send(session, DispatcherMessage::Withdraw { .. }) => {
                    Some(session)
                }
                _ => None,
            })
            .collect()
    }

    fn offer(&mut self, session: SessionId, labels: &[&str]) {
        let description = TargetDescription {
            incarnation: format!("target-{session}"),
            service: "service".into(),
            capacity: CAPACITY,
            labels: labels.iter().map(|&label| label.into()).collect(),
        };
        self.tell(session, RunnerMessage::Target(Some(description)));
    }

    fn submit(&mut self, request: JobRequest) -> JobNumber {
        self.dispatcher.submit(request, self.now)
    }

    /// Lets time pass in which all runners live.
    fn pass(&mut self, span: u64, sessions: &[SessionId]) {
        let until = self.now + ms(span);
        while self.now < until {
            self.now += ms(20);
            for session in sessions {
                let clock = self.now;
                let free = Resources {
                    cpu_milli: 0,
                    ..CAPACITY
                };
                let free_capacity = FreeCapacity {
                    free,
                    assignments_seen: u64::MAX,
                    slowness_permille: 0,
                };
                self.tell(
                    *session,
                    RunnerMessage::Heartbeat {
                        clock,
                        free_capacity,
                    },
                );
            }
            self.dispatcher.tick(self.now);
        }
    }

    fn assigned(&mut self) -> Vec<(SessionId, Assignment)> {
        let actions = self.dispatcher.take_actions().into_iter();
        actions
            .filter_map(|action| match action {
                DispatcherAction::Send(session, DispatcherMessage::Assign(assignment)) => {
                    Some((session, assignment))
                }
                _ => None,
            })
            .collect()
    }

    fn answers(&mut self) -> Vec<(JobNumber, JobAnswer)> {
        let actions = self.dispatcher.take_actions().into_iter();
        actions
            .filter_map(|action| match action {
                DispatcherAction::Answer(number, answer) => Some((number, answer)),
                _ => None,
            })
            .collect()
    }

    fn end(&mut self, run: &(SessionId, Assignment), outcome: RunOutcome) {
        let free_capacity = FreeCapacity {
            free: CAPACITY,
            assignments_seen: u64::MAX,
            slowness_permille: 0,
        };
        let (session, assignment) = run;
        let message = RunnerMessage::Ended {
            task: assignment.task.clone(),
            run: assignment.run,
            outcome,
            ran_ms: 100,
            free_capacity,
        };
        self.tell(*session, message);
    }
}

#[test]
fn a_job_is_complete_when_all_tasks_of_all_steps_are_done() {
    let mut bench = Bench::new(2);
    let number = bench.submit(job("a", vec![step(2, vec![]), step(1, vec![0])]));
    let first = bench.assigned();
    assert_eq!(first.len(), 2, "the second step waits for the first");
    bench.end(&first[0], RunOutcome::Done);
    assert!(bench.assigned().is_empty());
    bench.end(&first[1], RunOutcome::Done);
    let second = bench.assigned();
    assert_eq!(second.len(), 1);

    bench.end(&second[0], RunOutcome::Done);

    assert_eq!(bench.answers(), [(number, JobAnswer::Completed)]);
}

#[test]
fn a_job_that_cannot_be_offered_in_a_quarter_of_its_objective_is_refused() {
    let mut bench = Bench::new(1);
    bench.heartbeat(
        1,
        Resources {
            cpu_milli: 0,
            ..CAPACITY
        },
        0,
    );
    let number = bench.submit(job("a", vec![step(1, vec![])]));

    // The objective is 1.6 x 100 + 60 = 220 ms; a quarter of it 55 ms.
    bench.pass(55, &[1]);

    let answers = bench.answers();
    let [(answered, JobAnswer::Refused { cause, retry_after })] = answers[..] else {
        panic!("{answers:?}");
    };
    assert_eq!((answered, cause), (number, JobRefusal::NoRoom));
    assert!(retry_after > Duration::ZERO);
}

#[test]
fn with_too_much_work_a_job_is_refused_after_a_tenth_of_its_objective() {
    let mut bench = Bench::new(1);
    bench.report(1, Resources::default(), 1_000);
    let long = StepRequest {
        estimate: ms(1_000),
        ..step(1, vec![])
    };
    bench.submit(job("a", vec![long]));

    // The objective is 1.6 x 1,000 + 60 = 1,660 ms.
    bench.pass(160, &[1]);
    assert!(bench.answers().is_empty(), "it may wait for a tenth");
    bench.pass(40, &[1]);

    assert!(matches!(
        bench.answers()[..],
        [(_, JobAnswer::Refused { .. })]
    ));
}

#[test]
fn a_job_is_given_up_before_its_caller_leaves() {
    let mut bench = Bench::new(1);
    let patient = JobRequest {
        patience: Some(ms(200)),
        ..job("a", vec![step(1, vec![])])
    };
    let number = bench.submit(patient);
    assert_eq!(bench.assigned().len(), 1);

    bench.pass(190, &[1]);

    assert_eq!(bench.answers(), [(number, JobAnswer::GivenUp)]);
}

#[test]
fn a_refused_job_never_runs() {
    let mut bench = Bench::new(1);
    bench.heartbeat(
        1,
        Resources {
            cpu_milli: 0,
            ..CAPACITY
        },
        0,
    );
    bench.submit(job("a", vec![step(1, vec![])]));
    bench.pass(80, &[1]);
    assert_eq!(bench.answers().len(), 1);

    bench.heartbeat(1, CAPACITY, 0);

    assert!(bench.assigned().is_empty());
}

#[test]
fn without_a_target_and_while_leaving_jobs_are_refused_at_once() {
    let mut bench = Bench::new(0);
    let number = bench.submit(job("a", vec![step(1, vec![])]));
    let answers = bench.answers();
    assert!(matches!(
        answers[..],
        [(n, JobAnswer::Refused { cause: JobRefusal::NoTarget, .. })] if n == number
    ));
    let mut bench = Bench::new(1);
    bench.dispatcher.leave();
    bench.submit(job("b", vec![step(1, vec![])]));
    assert!(matches!(
        bench.answers()[..],
        [(
            _,
            JobAnswer::Refused {
                cause: JobRefusal::Leaving,
                ..
            }
        )]
    ));
}

#[test]
fn what_comes_first_by_priority_is_placed_first() {
    let mut bench = Bench::new(1);
    bench.heartbeat(
        1,
        Resources {
            cpu_milli: 0,
            ..CAPACITY
        },
        0,
    );
    bench.submit(job("late", vec![step(1, vec![])]));
    bench.submit(JobRequest {
        priority: 0,
        ..job("urgent", vec![step(1, vec![])])
    });
    bench.dispatcher.take_actions();

    bench.heartbeat(
        1,
        Resources {
            cpu_milli: 2_000,
            ..CAPACITY
        },
        0,
    );

    let assigned = bench.assigned();
    assert_eq!(assigned.len(), 1);
    assert_eq!(assigned[0].1.task.job, "urgent");
}

#[test]
fn targets_are_filled_evenly_and_never_beyond_what_was_reported() {
    let mut bench = Bench::new(3);
    bench.submit(job("a", vec![step(20, vec![])]));

    let assigned = bench.assigned();

    for session in 1..=3 {
        let there = assigned.iter().filter(|(held, _)| *held == session).count();
        assert_eq!(there, 4, "8,000 thousandths take four tasks of 2,000");
    }
}

#[test]
fn labels_and_spreading_are_kept() {
    let mut bench = Bench::new(2);
    bench.offer(2, &["b"]);
    let labelled = StepRequest {
        required_label: Some("b".into()),
        ..step(2, vec![])
    };
    bench.submit(job("labelled", vec![labelled]));
    assert!(bench.assigned().iter().all(|(session, _)| *session == 2));
    let mut bench = Bench::new(2);
    let spread = StepRequest {
        most_per_target: Some(1),
        ..step(3, vec![])
    };
    bench.submit(job("spread", vec![spread]));
    let mut places: Vec<SessionId> = bench
        .assigned()
        .iter()
        .map(|(session, _)| *session)
        .collect();
    places.sort_unstable();
    assert_eq!(places, [1, 2]);
}

#[test]
fn a_failed_run_is_tried_elsewhere_and_its_job_fails_after_the_attempts() {
    let mut bench = Bench::new(2);
    let number = bench.submit(job("a", vec![step(1, vec![])]));
    let first = bench.assigned().remove(0);
    bench.end(&first, RunOutcome::Failed);
    let second = bench.assigned().remove(0);
    assert_ne!(second.0, first.0);
    assert!(second.1.run > first.1.run);

    bench.end(&second, RunOutcome::Failed);

    assert_eq!(bench.answers(), [(number, JobAnswer::Failed)]);
}

#[test]
fn a_run_that_stood_still_is_begun_elsewhere_and_is_no_failure_of_its_task() {
    let mut bench = Bench::new(2);
    bench.submit(job("a", vec![step(1, vec![])]));
    let first = bench.assigned().remove(0);

    bench.end(&first, RunOutcome::Stuck);

    let second = bench.assigned().remove(0);
    assert_ne!(second.0, first.0);
    assert!(second.1.run > first.1.run);
    assert!(bench.answers().is_empty());
    assert_eq!(bench.dispatcher.counts().failed, 0);
}

#[test]
fn a_job_that_comes_again_is_not_started_while_an_earlier_run_may_be_at_work() {
    let mut bench = Bench::new(1);
    let first = bench.submit(job("same", vec![step(1, vec![])]));
    let run = bench.assigned().remove(0);
    bench.dispatcher.cancel(first);
    bench.dispatcher.take_actions();

    bench.submit(job("same", vec![step(1, vec![])]));

    assert!(bench.assigned().is_empty());
    bench.end(&run, RunOutcome::Stopped);
    assert_eq!(bench.assigned().len(), 1);
}

#[test]
fn runs_of_a_lost_session_wait_until_they_are_surely_over() {
    let mut bench = Bench::new(2);
    let long = StepRequest {
        estimate: ms(1_000),
        ..step(1, vec![])
    };
    bench.submit(job("a", vec![long]));
    let run = bench.assigned().remove(0);
    let other = 3 - run.0;
    let echoed_at = bench.now;
    bench.dispatcher.close_session(run.0, bench.now);
    let limit = Timings::default().runs_over_after();
    let live = |bench: &mut Bench| {
        bench.now += ms(20);
        bench.heartbeat(other, CAPACITY, u64::MAX);
        bench.dispatcher.tick(bench.now);
    };
    while bench.now + ms(20) < echoed_at + limit {
        live(&mut bench);
        assert!(
            bench.assigned().is_empty(),
            "{:?} after the last echo",
            bench.now.saturating_duration_since(echoed_at)
        );
    }

    live(&mut bench);
    live(&mut bench);

    assert_eq!(bench.assigned().len(), 1);
}

#[test]
fn a_runner_that_offers_its_target_again_settles_its_lost_session() {
    let mut bench = Bench::new(1);
    bench.submit(job("a", vec![step(1, vec![])]));
    bench.assigned();
    bench.dispatcher.close_session(1, bench.now);
    bench.dispatcher.open_session(9, "runner-1", bench.now);
    bench.heartbeat(9, CAPACITY, 0);
    assert!(bench.assigned().is_empty());

    bench.offer(9, &["a"]);

    assert_eq!(bench.assigned().len(), 1);
}

#[test]
fn a_target_that_fails_run_after_run_gets_a_pause_and_a_hung_run_is_withdrawn() {
    let mut bench = Bench::new(1);
    for number in 0..4 {
        bench.submit(JobRequest {
            max_attempts: 1,
            ..job(&format!("{number}"), vec![step(1, vec![])])
        });
        if let Some(run) = bench.assigned().pop() {
            bench.end(&run, RunOutcome::Failed);
        }
        bench.dispatcher.take_actions();
    }
    assert_eq!(bench.dispatcher.counts().pauses, 1);
    assert_eq!(bench.dispatcher.ready_targets(bench.now), 0);
    let mut bench = Bench::new(1);
    bench.submit(job("hung", vec![step(1, vec![])]));
    bench.assigned();
    bench.pass(420, &[1]);
    let withdrawn = bench.dispatcher.take_actions().into_iter().any(|action| {
        matches!(
            action,
            DispatcherAction::Send(1, DispatcherMessage::Withdraw { .. })
        )
    });
    assert!(withdrawn);
}

#[test]
fn a_slow_target_is_used_only_when_no_other_has_room() {
    let mut bench = Bench::new(2);
    bench.report(1, CAPACITY, 2_500);
    bench.report(2, CAPACITY, 900);

    bench.submit(job("a", vec![step(1, vec![])]));

    assert_eq!(bench.assigned()[0].0, 2);
}

#[test]
fn a_long_run_at_a_slow_target_begins_anew_where_it_ends_sooner() {
    let mut bench = Bench::new(2);
    let long = StepRequest {
        estimate: ms(1_000),
        ..step(1, vec![])
    };
    bench.submit(job("a", vec![long]));
    let (slow, _) = bench.assigned().remove(0);
    let sound = 3 - slow;
    bench.now += ms(100);
    let full = Resources {
        cpu_milli: 0,
        ..CAPACITY
    };

    bench.report(slow, full, 5_000);
    bench.report(sound, full, 1_000);
    bench.dispatcher.tick(bench.now);
    assert!(bench.withdrawn().is_empty(), "nowhere is it sooner");
    bench.report(sound, CAPACITY, 1_000);
    bench.dispatcher.tick(bench.now);

    let actions = bench.dispatcher.take_actions();
    let moved = |action: &DispatcherAction| {
        matches!(
            action,
            DispatcherAction::Report(DispatcherEvent::RunMoved {
                slowness_permille: 5_000,
                ..
            })
        )
    };
    assert!(actions.iter().any(moved), "operators are told why");
    let withdrawn = |action: &DispatcherAction| matches!(action, DispatcherAction::Send(session, DispatcherMessage::Withdraw { .. }) if *session == slow);
    assert_eq!(actions.iter().filter(|action| withdrawn(action)).count(), 1);
    assert_eq!(bench.dispatcher.counts().stragglers, 1);
}

#[test]
fn a_run_at_a_slow_target_that_is_nearly_over_stays_there() {
    let mut bench = Bench::new(2);
    bench.submit(job("a", vec![step(1, vec![])]));
    let (slow, assignment) = bench.assigned().remove(0);
    let estimate = u64::from(assignment.estimate_ms);
    bench.now += ms(estimate * 2);

    bench.report(slow, CAPACITY, 3_000);
    bench.dispatcher.tick(bench.now);

    assert!(bench.withdrawn().is_empty());
}

#[test]
fn a_stale_run_number_is_raised_far_enough() {
    let mut bench = Bench::new(1);
    bench.submit(job("a", vec![step(1, vec![])]));
    let run = bench.assigned().remove(0);

    bench.end(&run, RunOutcome::NotStarted(RunRefusal::Stale));

    assert!(bench.assigned()[0].1.run > run.1.run + 10);
}

#[test]
fn a_process_that_stood_still_gives_up_its_jobs_before_it_starts_anything() {
    let mut bench = Bench::new(1);
    bench.heartbeat(
        1,
        Resources {
            cpu_milli: 0,
            ..CAPACITY
        },
        0,
    );
    let number = bench.submit(job("a", vec![step(1, vec![])]));
    bench.dispatcher.take_actions();
    bench.now += ms(900);

    bench.heartbeat(1, CAPACITY, 0);

    let actions = bench.dispatcher.take_actions();
    assert!(actions.contains(&DispatcherAction::Answer(number, JobAnswer::GivenUp)));
    let assigns = |action: &DispatcherAction| {
        matches!(
            action,
            DispatcherAction::Send(_, DispatcherMessage::Assign(_))
        )
    };
    assert!(!actions.iter().any(assigns));
}

#[test]
fn a_job_whose_only_run_was_given_back_is_refused_and_not_worked_on() {
    let mut bench = Bench::new(1);
    let number = bench.submit(job("a", vec![step(1, vec![])]));
    let run = bench.assigned().remove(0);
    bench.pass(60, &[1]);
    assert!(bench.answers().is_empty(), "it may be at work");

    bench.end(&run, RunOutcome::NotStarted(RunRefusal::NoRoom));
    bench.heartbeat(
        1,
        Resources {
            cpu_milli: 0,
            ..CAPACITY
        },
        u64::MAX,
    );
    bench.dispatcher.tick(bench.now);

    let answers = bench.answers();
    assert!(
        matches!(answers[..], [(n, JobAnswer::Refused { cause: JobRefusal::NoRoom, .. })] if n == number),
        "{answers:?}"
    );
}

#[test]
fn a_job_whose_session_was_lost_may_have_run_and_is_never_refused() {
    let mut bench = Bench::new(2);
    let long = StepRequest {
        estimate: ms(1_000),
        ..step(1, vec![])
    };
    let number = bench.submit(job("a", vec![long]));
    let run = bench.assigned().remove(0);
    let other = 3 - run.0;
    bench.dispatcher.close_session(run.0, bench.now);

    // Its run is surely over after 1.3 s; no other target has room, and its time is over after 9.8 s.
    bench.pass(12_000, &[other]);

    assert_eq!(bench.answers(), [(number, JobAnswer::GivenUp)]);
}

#[test]
fn runs_without_an_estimate_that_are_done_speak_for_their_target() {
    let mut bench = Bench::new(1);
    let unestimated = StepRequest {
        estimate: Duration::ZERO,
        ..step(1, vec![])
    };
    let mut run_once = |id: &str, outcome: RunOutcome| {
        bench.submit(JobRequest {
            max_attempts: 1,
            ..job(id, vec![unestimated.clone()])
        });
        let run = bench.assigned().pop().unwrap();
        bench.end(&run, outcome);
        bench.dispatcher.take_actions();
    };

    // One failure in five: far below the share from which a target is paused.
    for round in 0..4 {
        run_once(&format!("failed-{round}"), RunOutcome::Failed);
        for index in 0..4 {
            run_once(&format!("done-{round}-{index}"), RunOutcome::Done);
        }
    }

    assert_eq!(bench.dispatcher.counts().pauses, 0);
}
