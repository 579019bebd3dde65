//! How fast a target usually is, as dispatchers are told.

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    Assignment, DispatcherMessage, EndCause, EndedRun, RenewalAnswer, Runner, RunnerAction,
    RunnerMessage, StartAnswer, TargetRegistration, UsualSpeed,
};

use crate::fixture::{
    SESSION, assignment, echo, incarnation_id, ms, ready, registration, renew, take_starts, task,
};

/// A runner whose target runs one task after the other.
struct Course {
    runner: Runner,
    now: Timestamp,
    runs: u64,
    /// What the session was told, oldest first.
    told: Vec<UsualSpeed>,
}

impl Course {
    fn new() -> Self {
        Self {
            runner: ready(),
            now: Timestamp::from_start(ms(200)),
            runs: 0,
            told: Vec::new(),
        }
    }

    /// Runs a task of an estimate of 100 ms that takes so long.
    fn run(&mut self, took_ms: u64) {
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
        self.now += ms(took_ms);
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
        self.record_told();
    }

    fn record_told(&mut self) {
        for action in self.runner.take_actions() {
            if let RunnerAction::Send(SESSION, RunnerMessage::UsualSpeed(speed)) = action {
                self.told.push(speed);
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

    /// The target restarts and registers like this.
    fn restart(&mut self, registration: TargetRegistration) {
        self.runner
            .unregister(&incarnation_id("incarnation-1", None), self.now);
        self.runner.register(registration, self.now);
        self.runner.tick(self.now);
        self.record_told();
    }

    fn newest_slowness(&self) -> Option<u32> {
        self.told.last().map(|speed| speed.slowness_permille)
    }
}

#[test]
fn dispatchers_learn_how_slow_a_target_is_by_nature() {
    let mut course = Course::new();

    for _ in 0..40 {
        course.run(180);
    }

    let slowness = course.newest_slowness().unwrap();
    assert!((1_790..=1_830).contains(&slowness), "{slowness}");
    assert_eq!(course.told.len(), 1, "nothing has changed since");
}

#[test]
fn a_few_runs_tell_nothing() {
    let mut course = Course::new();

    for _ in 0..19 {
        course.run(180);
    }

    assert!(course.told.is_empty());
}

#[test]
fn estimates_that_are_wrong_by_half_average_out() {
    let mut course = Course::new();

    for round in 0..60 {
        course.run(if round % 2 == 0 { 50 } else { 150 });
    }

    let slowness = course.newest_slowness().unwrap();
    assert!((900..=1_100).contains(&slowness), "{slowness}");
}

#[test]
fn trouble_does_not_change_what_is_usual() {
    let mut course = Course::new();
    for _ in 0..40 {
        course.run(80);
    }
    let before = course.newest_slowness();

    for _ in 0..10 {
        course.run(400);
    }

    assert_eq!(course.newest_slowness(), before);
}

#[test]
fn a_target_that_restarts_as_the_same_keeps_its_usual_speed() {
    let mut course = Course::new();
    for _ in 0..40 {
        course.run(180);
    }
    let before = course.newest_slowness();

    course.restart(registration(2));

    assert_eq!(course.newest_slowness(), before);
}

#[test]
fn a_target_of_another_kind_begins_anew() {
    let mut course = Course::new();
    for _ in 0..40 {
        course.run(180);
    }

    course.restart(TargetRegistration {
        labels: vec!["fast".into()],
        ..registration(2)
    });

    assert_eq!(course.told.last(), Some(&UsualSpeed::default()));
}
