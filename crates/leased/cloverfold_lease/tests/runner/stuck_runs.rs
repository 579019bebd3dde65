//! Stuck or slow runs at a target that answers normally.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    Assignment, DispatcherMessage, EndCause, FreeCapacity, ListedRun, Resources, RunOutcome,
    Runner, RunnerAction, RunnerMessage, StartAnswer, TargetRegistration, UnavailableReason,
};

use crate::fixture::{
    SESSION, TARGET_CLOCK, assignment, at, echo, ends, list, listed_run, ms, registered,
    registration, stops,
};

const CAPACITY: Resources = Resources {
    cpu_milli: 12_000,
    memory_mb: 1_000,
    accelerators: 0,
};
const DEMAND: Resources = Resources {
    cpu_milli: 1_500,
    memory_mb: 10,
    accelerators: 0,
};

/// A runner with its target's answers and a common clock.
struct Harness {
    runner: Runner,
    now: Timestamp,
    actions: Vec<RunnerAction>,
}

impl Harness {
    fn new() -> Self {
        let registration = TargetRegistration {
            capacity: CAPACITY,
            ..registration(1)
        };
        let mut harness = Self {
            runner: registered(registration, at(0)),
            now: at(0),
            actions: Vec::new(),
        };
        harness.list(&[], &[]);
        harness.runner.open_session(SESSION, harness.now);
        harness
    }

    /// Returns a harness whose target has reported the progress of a run.
    fn with_progress() -> Self {
        let mut harness = Self::new();
        harness.start(100, 60);
        harness.list(&[(100, 10)], &[]);
        harness.list(&[(100, 60)], &[]);
        harness.list(&[], &[(1, 100, EndCause::Done)]);
        harness.actions.clear();
        harness
    }

    /// Renews the lease with a list of runs with their progress and of ends, then ticks.
    fn list(&mut self, running: &[(u32, u8)], ended: &[(u64, u32, EndCause)]) {
        let runs = running.iter();
        let runs = runs.map(|&(index, percent)| listed_run(index, Some(percent)));
        self.renew(runs.collect(), ended);
        self.runner.tick(self.now);
        self.runner.receive(SESSION, echo(self.now), self.now);
        self.actions.extend(self.runner.take_actions());
    }

    /// Renews the lease; the answer lists these runs and ends.
    fn renew(&mut self, running: Vec<ListedRun>, ended: &[(u64, u32, EndCause)]) {
        let order = self.runner.plan_renewal(self.now).unwrap();
        let clock = TARGET_CLOCK + self.now.since_start().as_millis() as u64;
        let answer = list(clock, running, ended);
        self.runner.receive_renewal_answer(&order, answer, self.now);
    }

    /// Assigns a run whose start the target acknowledges at once.
    fn start(&mut self, index: u32, estimate_ms: u32) {
        let assignment = Assignment {
            demand: DEMAND,
            estimate_ms,
            ..assignment(index, self.now + ms(400))
        };
        let message = DispatcherMessage::Assign(assignment);
        self.runner.receive(SESSION, message, self.now);
        for action in self.runner.take_actions() {
            if let RunnerAction::Start(order) = &action {
                let answer = StartAnswer::Started {
                    clock: TARGET_CLOCK,
                };
                self.runner.receive_start_answer(order, answer, self.now);
            }
        }
    }

    /// Advances the clock in steps of 40 ms with the same list each time.
    fn advance_without_progress(&mut self, span: Duration, running: &[(u32, u8)]) {
        let end = self.now + span;
        while self.now < end {
            self.now += ms(40);
            self.list(running, &[]);
        }
    }

    fn stops(&self) -> Vec<u32> {
        stops(&self.actions)
    }

    fn outcomes(&self) -> Vec<(u32, RunOutcome)> {
        ends(&self.actions)
    }
}

#[test]
fn a_stuck_run_is_stopped_and_reported_as_stuck() {
    let mut harness = Harness::with_progress();
    harness.start(1, 60);
    harness.list(&[(1, 30)], &[]);

    harness.advance_without_progress(ms(160), &[(1, 30)]);

    assert_eq!(harness.stops(), [1]);
    harness.list(&[], &[(2, 1, EndCause::Stopped)]);
    assert_eq!(harness.outcomes(), [(1, RunOutcome::Stuck)]);
    assert_eq!(harness.runner.counts().stuck, 1);
}

#[test]
fn a_run_that_completes_while_it_is_stopped_as_stuck_is_done() {
    let mut harness = Harness::with_progress();
    harness.start(1, 60);
    harness.advance_without_progress(ms(200), &[(1, 30)]);
    assert_eq!(harness.stops(), [1]);

    harness.list(&[], &[(2, 1, EndCause::Done)]);

    assert_eq!(harness.outcomes(), [(1, RunOutcome::Done)]);
}

#[test]
fn a_run_at_a_ten_times_slower_target_is_not_stuck() {
    let mut harness = Harness::with_progress();
    harness.start(1, 900);

    for percent in 0..40 {
        harness.advance_without_progress(ms(80), &[(1, percent)]);
    }

    assert!(harness.stops().is_empty());
}

#[test]
fn a_target_without_progress_reports_is_not_judged() {
    let mut harness = Harness::with_progress();
    harness.start(1, 60);

    for _ in 0..10 {
        harness.now += ms(40);
        harness.renew(vec![listed_run(1, None)], &[]);
    }

    assert_eq!(harness.runner.counts().stuck, 0);
}

#[test]
fn a_target_with_constant_progress_is_not_judged() {
    let mut harness = Harness::new();
    harness.start(1, 60);

    harness.advance_without_progress(ms(400), &[(1, 50)]);

    assert!(harness.stops().is_empty());
}

#[test]
fn a_stalled_runner_does_not_consider_runs_stuck() {
    let mut harness = Harness::with_progress();
    harness.start(1, 60);
    harness.list(&[(1, 30)], &[]);

    harness.now += ms(450);
    harness.list(&[(1, 30)], &[]);

    assert!(harness.stops().is_empty());
}

#[test]
fn a_target_with_stuck_runs_is_paused_then_on_probation_then_fully_offered() {
    let mut harness = Harness::with_progress();
    let stuck = [(1, 0), (2, 0), (3, 0)];
    for (index, _) in stuck {
        harness.start(index, 60);
    }

    harness.advance_without_progress(ms(160), &stuck);

    assert!(
        !harness.runner.has_ready_target(),
        "the pause withdraws the target from all sessions"
    );
    let reason = harness.runner.find_unavailable_reason();
    assert_eq!(reason, Some(UnavailableReason::StuckRuns));
    let ends = [1, 2, 3].map(|index| (u64::from(index) + 1, index, EndCause::Stopped));
    harness.list(&[], &ends);
    harness.advance_without_progress(ms(1_000), &[]);
    assert!(
        harness.runner.has_ready_target(),
        "it is on probation after a pause"
    );
    assert_eq!(
        free(&harness),
        Some(CAPACITY.cpu_milli / 6),
        "only a part is offered on probation"
    );
    harness.start(4, 60);
    harness.list(&[], &[(5, 4, EndCause::Done)]);
    assert_eq!(
        free(&harness),
        Some(CAPACITY.cpu_milli),
        "then the whole capacity is offered"
    );
}

#[test]
fn slow_progress_is_reported_as_slowness_before_any_run_ends() {
    let mut harness = Harness::with_progress();
    let runs: Vec<u32> = (1..=6).collect();
    for index in &runs {
        harness.start(*index, 1_000);
    }

    // A run of 1,000 ms advances by 4 % in 40 ms; these are five times slower. Whole percents over 80 ms measure half to twice the speed.
    for percent in [0, 1, 2, 2, 3, 4, 5, 6, 6, 7] {
        harness.now += ms(40);
        let running: Vec<(u32, u8)> = runs.iter().map(|index| (*index, percent)).collect();
        harness.list(&running, &[]);
    }

    let slowness = free_capacity(&harness).unwrap().slowness_permille;
    assert!((2_500..=10_000).contains(&slowness), "{slowness}");
}

#[test]
fn one_slow_run_does_not_make_the_target_slow() {
    let mut harness = Harness::with_progress();
    for index in 1..=6 {
        harness.start(index, 1_000);
    }

    for step in 0..10_u8 {
        harness.now += ms(40);
        let progress = |index: u32| (index, if index == 1 { step / 2 } else { step * 4 });
        let running: Vec<(u32, u8)> = (1..=6).map(progress).collect();
        harness.list(&running, &[]);
    }

    let slowness = free_capacity(&harness).unwrap().slowness_permille;
    assert!((800..1_300).contains(&slowness), "{slowness}");
}

/// Returns the free processors last reported to the session.
fn free(harness: &Harness) -> Option<i64> {
    free_capacity(harness).map(|free_capacity| free_capacity.free.cpu_milli)
}

/// Returns the free capacity last reported to the session.
fn free_capacity(harness: &Harness) -> Option<FreeCapacity> {
    let actions = harness.actions.iter().enumerate();
    let reports = actions.filter_map(|(order, action)| match action {
        RunnerAction::Send(
            _,
            RunnerMessage::FreeCapacity(free_capacity)
            | RunnerMessage::Heartbeat { free_capacity, .. }
            | RunnerMessage::Ended { free_capacity, .. },
        ) => Some((order, *free_capacity)),
        _ => None,
    });
    reports
        .max_by_key(|(order, _)| *order)
        .map(|(_, free_capacity)| free_capacity)
}
