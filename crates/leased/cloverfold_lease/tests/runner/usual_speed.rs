//! The usual speed of a target as reported to dispatchers.

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    Assignment, DispatcherMessage, EndCause, EndedRun, RenewalAnswer, Runner, RunnerAction,
    RunnerMessage, StartAnswer, TargetRegistration, UsualSpeed,
};

use crate::fixture::{
    SESSION, assignment, echo, incarnation_id, ms, ready, registration, renew, take_starts, task,
};

/// A runner whose target executes one task after the other.
struct Simulation {
    runner: Runner,
    now: Timestamp,
    runs: u64,
    /// Speeds reported to the session, oldest first.
    reported: Vec<UsualSpeed>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            runner: ready(),
            now: Timestamp::from_start(ms(200)),
            runs: 0,
            reported: Vec::new(),
        }
    }

    /// Runs a task with an estimate of 100 ms and this duration.
    fn run(&mut self, duration_ms: u64) {
        self.runs += 1;
        let number = self.runs;
        self.runner.receive(SESSION, echo(self.now), self.now);
        let assigned = Assignment {
            run: number,
            estimate_ms: 100,
            ..assignment(0, self.now + ms(400))
        };
        self.runner
            .receive(SESSION, DispatcherMessage::Assign(assigned), self.now);
        let order = take_starts(&mut self.runner).remove(0);
        let clock = self.target_clock();
        self.runner
            .receive_start_answer(&order, StartAnswer::Started { clock }, self.now);
        self.now += ms(duration_ms);
        let ended = EndedRun {
            number,
            task: task(0),
            run: number,
            cause: EndCause::Done,
        };
        let answer = RenewalAnswer::Listed {
            start_time: None,
            clock: self.target_clock(),
            running: vec![],
            ended: vec![ended],
        };
        renew(&mut self.runner, self.now, answer);
        self.runner.tick(self.now);
        self.record_reported();
    }

    fn record_reported(&mut self) {
        for action in self.runner.take_actions() {
            if let RunnerAction::Send(SESSION, RunnerMessage::UsualSpeed(speed)) = action {
                self.reported.push(speed);
            }
        }
    }

    fn target_clock(&self) -> u64 {
        50_000
            + self
                .now
                .saturating_duration_since(Timestamp::ZERO)
                .as_millis() as u64
    }

    /// Restarts the target with this registration.
    fn restart(&mut self, registration: TargetRegistration) {
        self.runner
            .unregister(&incarnation_id("incarnation-1", None), self.now);
        self.runner.register(registration, self.now);
        self.runner.tick(self.now);
        self.record_reported();
    }

    fn newest_slowness(&self) -> Option<u32> {
        self.reported.last().map(|speed| speed.slowness_permille)
    }
}

#[test]
fn the_usual_slowness_is_reported() {
    let mut simulation = Simulation::new();

    for _ in 0..40 {
        simulation.run(180);
    }

    let slowness = simulation.newest_slowness().unwrap();
    assert!((1_790..=1_830).contains(&slowness), "{slowness}");
    assert_eq!(
        simulation.reported.len(),
        1,
        "an unchanged speed is not reported again"
    );
}

#[test]
fn too_few_runs_report_nothing() {
    let mut simulation = Simulation::new();

    for _ in 0..19 {
        simulation.run(180);
    }

    assert!(simulation.reported.is_empty());
}

#[test]
fn wrong_estimates_average_out() {
    let mut simulation = Simulation::new();

    for round in 0..60 {
        simulation.run(if round % 2 == 0 { 50 } else { 150 });
    }

    let slowness = simulation.newest_slowness().unwrap();
    assert!((900..=1_100).contains(&slowness), "{slowness}");
}

#[test]
fn outliers_do_not_change_the_usual_speed() {
    let mut simulation = Simulation::new();
    for _ in 0..40 {
        simulation.run(80);
    }
    let before = simulation.newest_slowness();

    for _ in 0..10 {
        simulation.run(400);
    }

    assert_eq!(simulation.newest_slowness(), before);
}

#[test]
fn a_restart_of_the_same_target_keeps_its_usual_speed() {
    let mut simulation = Simulation::new();
    for _ in 0..40 {
        simulation.run(180);
    }
    let before = simulation.newest_slowness();

    simulation.restart(registration(2));

    assert_eq!(simulation.newest_slowness(), before);
}

#[test]
fn a_target_with_other_labels_starts_a_new_estimate() {
    let mut simulation = Simulation::new();
    for _ in 0..40 {
        simulation.run(180);
    }

    simulation.restart(TargetRegistration {
        labels: vec!["fast".into()],
        ..registration(2)
    });

    assert_eq!(simulation.reported.last(), Some(&UsualSpeed::default()));
}
