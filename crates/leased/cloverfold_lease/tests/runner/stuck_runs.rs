//! Runs that are stuck or slow at a target that looks well.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    Assignment, DispatcherMessage, EndCause, FreeCapacity, ListedRun, Resources, RunOutcome,
    Runner, RunnerAction, RunnerMessage, StartAnswer, TargetRegistration, UnavailableReason,
};

use crate::fixture::{
    SESSION, TARGET_CLOCK, assignment, at, echo, ends, list, ms, registered, registration, row,
    stops,
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

/// A runner, its target's answers, and a clock that they share.
struct Bench {
    runner: Runner,
    now: Timestamp,
    actions: Vec<RunnerAction>,
}

impl Bench {
    fn new() -> Self {
        let registration = TargetRegistration {
            capacity: CAPACITY,
            ..registration(1)
        };
        let mut bench = Self {
            runner: registered(registration, at(0)),
            now: at(0),
            actions: Vec::new(),
        };
        bench.list(&[], &[]);
        bench.runner.open_session(SESSION, bench.now);
        bench
    }

    /// A bench whose target was seen to tell the progress of a run.
    fn with_progress() -> Self {
        let mut bench = Self::new();
        bench.start(100, 60);
        bench.list(&[(100, 10)], &[]);
        bench.list(&[(100, 60)], &[]);
        bench.list(&[], &[(1, 100, EndCause::Done)]);
        bench.actions.clear();
        bench
    }

    /// The target lists runs with their progress, and ends; afterwards a tick passes.
    fn list(&mut self, running: &[(u32, u8)], ended: &[(u64, u32, EndCause)]) {
        let rows = running.iter();
        let rows = rows.map(|&(index, percent)| row(index, Some(percent)));
        self.renew(rows.collect(), ended);
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

    /// Lets time pass in steps of 40 ms; the target lists the same again and again.
    fn stand(&mut self, span: Duration, running: &[(u32, u8)]) {
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
    let mut bench = Bench::with_progress();
    bench.start(1, 60);
    bench.list(&[(1, 30)], &[]);

    bench.stand(ms(160), &[(1, 30)]);

    assert_eq!(bench.stops(), [1]);
    bench.list(&[], &[(2, 1, EndCause::Stopped)]);
    assert_eq!(bench.outcomes(), [(1, RunOutcome::Stuck)]);
    assert_eq!(bench.runner.counts().stuck, 1);
}

#[test]
fn a_run_that_ends_while_it_is_stopped_as_stuck_is_done() {
    let mut bench = Bench::with_progress();
    bench.start(1, 60);
    bench.stand(ms(200), &[(1, 30)]);
    assert_eq!(bench.stops(), [1]);

    bench.list(&[], &[(2, 1, EndCause::Done)]);

    assert_eq!(bench.outcomes(), [(1, RunOutcome::Done)]);
}

#[test]
fn a_run_at_a_target_ten_times_slower_than_usual_gets_on() {
    let mut bench = Bench::with_progress();
    bench.start(1, 900);

    for percent in 0..40 {
        bench.stand(ms(80), &[(1, percent)]);
    }

    assert!(bench.stops().is_empty());
}

#[test]
fn a_target_that_tells_no_progress_is_not_judged_by_it() {
    let mut bench = Bench::with_progress();
    bench.start(1, 60);

    for _ in 0..10 {
        bench.now += ms(40);
        bench.renew(vec![row(1, None)], &[]);
    }

    assert_eq!(bench.runner.counts().stuck, 0);
}

#[test]
fn a_target_that_always_tells_the_same_progress_is_not_judged_by_it() {
    let mut bench = Bench::new();
    bench.start(1, 60);

    bench.stand(ms(400), &[(1, 50)]);

    assert!(bench.stops().is_empty());
}

#[test]
fn a_runner_that_itself_stood_still_takes_no_run_for_stuck() {
    let mut bench = Bench::with_progress();
    bench.start(1, 60);
    bench.list(&[(1, 30)], &[]);

    bench.now += ms(450);
    bench.list(&[(1, 30)], &[]);

    assert!(bench.stops().is_empty());
}

#[test]
fn a_target_whose_runs_are_stuck_is_paused_then_on_probation_and_then_trusted() {
    let mut bench = Bench::with_progress();
    let stuck = [(1, 0), (2, 0), (3, 0)];
    for (index, _) in stuck {
        bench.start(index, 60);
    }

    bench.stand(ms(160), &stuck);

    assert!(!bench.runner.has_ready_target(), "all sessions get it back");
    let reason = bench.runner.find_unavailable_reason();
    assert_eq!(reason, Some(UnavailableReason::StuckRuns));
    let ends = [1, 2, 3].map(|index| (u64::from(index) + 1, index, EndCause::Stopped));
    bench.list(&[], &ends);
    bench.stand(ms(1_000), &[]);
    assert!(
        bench.runner.has_ready_target(),
        "it is on probation after a pause"
    );
    assert_eq!(free(&bench), Some(CAPACITY.cpu_milli / 6), "in part");
    bench.start(4, 60);
    bench.list(&[], &[(5, 4, EndCause::Done)]);
    assert_eq!(free(&bench), Some(CAPACITY.cpu_milli), "and then trusted");
}

#[test]
fn runs_that_get_on_slowly_are_told_as_slowness_before_any_of_them_ends() {
    let mut bench = Bench::with_progress();
    let runs: Vec<u32> = (1..=6).collect();
    for index in &runs {
        bench.start(*index, 1_000);
    }

    // A run of 1,000 ms gets on by 4 % in 40 ms; these take five times as long. Whole percents over 80 ms tell a half to the double.
    for percent in [0, 1, 2, 2, 3, 4, 5, 6, 6, 7] {
        bench.now += ms(40);
        let rows: Vec<(u32, u8)> = runs.iter().map(|index| (*index, percent)).collect();
        bench.list(&rows, &[]);
    }

    let slowness = free_capacity(&bench).unwrap().slowness_permille;
    assert!((2_500..=10_000).contains(&slowness), "{slowness}");
}

#[test]
fn one_run_that_takes_longer_than_its_estimate_makes_no_slow_target() {
    let mut bench = Bench::with_progress();
    for index in 1..=6 {
        bench.start(index, 1_000);
    }

    for step in 0..10_u8 {
        bench.now += ms(40);
        let row = |index: u32| (index, if index == 1 { step / 2 } else { step * 4 });
        let rows: Vec<(u32, u8)> = (1..=6).map(row).collect();
        bench.list(&rows, &[]);
    }

    let slowness = free_capacity(&bench).unwrap().slowness_permille;
    assert!((800..1_300).contains(&slowness), "{slowness}");
}

/// Returns the free processors that were last reported to the session.
fn free(bench: &Bench) -> Option<i64> {
    free_capacity(bench).map(|free_capacity| free_capacity.free.cpu_milli)
}

/// Returns the free capacity that was last reported to the session.
fn free_capacity(bench: &Bench) -> Option<FreeCapacity> {
    let actions = bench.actions.iter().enumerate();
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
