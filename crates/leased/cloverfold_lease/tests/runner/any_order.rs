//! Incarnations of a target under one name, with registrations that come in any order, twice or never, renewals without an answer, and a
//! runner that restarts between: the runner ends up with the one that lives, and never offers one that has said that it drains.

use cloverfold_lease::{
    RenewalAnswer, Runner, StartTimeMs, TargetRegistration, Timings, UnavailableReason,
};
use proptest::prelude::*;

use crate::fixture::{SESSION, at, echo, incarnation_id, list, registration, told_by};

/// Starts of the incarnations in turn: the clock by which they are told is put back between two.
const BORN: [StartTimeMs; 4] = [5_000, 9_000, 2_000, 7_000];
/// How long everything is left alone at the end, in milliseconds; the target registers each 300.
const QUIET_MS: u64 = 4_000;
const STEP_MS: u64 = 15;

/// What happens next.
#[derive(Clone, Debug)]
enum Event {
    /// The target starts again.
    StartAgain,
    /// It registers; the word is under way.
    Register,
    /// It drains from now on.
    Drain,
    /// A word that is under way arrives, and stays under way if it is to come again.
    Deliver {
        which: prop::sample::Index,
        again: bool,
    },
    /// A renewal or question goes out, and is answered or not.
    Renew { is_answered: bool },
    /// The runner's process starts again.
    RestartRunner,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => Just(Event::StartAgain),
        4 => Just(Event::Register),
        1 => Just(Event::Drain),
        5 => (any::<prop::sample::Index>(), any::<bool>())
            .prop_map(|(which, again)| Event::Deliver { which, again }),
        6 => prop::bool::weighted(0.8).prop_map(|is_answered| Event::Renew { is_answered }),
        1 => Just(Event::RestartRunner),
    ]
}

/// One target that starts again and again, the runner beside it, and what is under way between them.
struct Course {
    runner: Runner,
    now_ms: u64,
    restarts: u64,
    /// Which incarnation lives.
    incarnation: usize,
    sequence: u64,
    is_draining: bool,
    began_ms: u64,
    under_way: Vec<TargetRegistration>,
    /// The newest word of the living incarnation that the runner's present process has got.
    newest: Option<TargetRegistration>,
}

impl Course {
    fn new() -> Self {
        Self {
            runner: Runner::new(Timings::default(), 1_000),
            now_ms: 100,
            restarts: 0,
            incarnation: 0,
            sequence: 0,
            is_draining: false,
            began_ms: 0,
            under_way: Vec::new(),
            newest: None,
        }
    }

    fn start_time(&self) -> StartTimeMs {
        BORN[self.incarnation]
    }

    fn clock(&self) -> u64 {
        self.now_ms - self.began_ms
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::StartAgain if self.incarnation + 1 < BORN.len() => self.start_again(),
            Event::StartAgain => {}
            Event::Register => {
                let word = self.write_registration();
                self.under_way.push(word);
            }
            Event::Drain => self.is_draining = true,
            Event::Deliver { .. } if self.under_way.is_empty() => {}
            Event::Deliver { which, again } => {
                let index = which.index(self.under_way.len());
                let word = self.under_way[index].clone();
                if !again {
                    self.under_way.remove(index);
                }
                self.deliver(word);
            }
            Event::Renew { is_answered } => self.renew(*is_answered),
            Event::RestartRunner => self.restart_runner(),
        }
        self.pass_time();
    }

    fn start_again(&mut self) {
        self.incarnation += 1;
        self.sequence = 0;
        self.is_draining = false;
        self.began_ms = self.now_ms;
        self.newest = None;
    }

    fn restart_runner(&mut self) {
        self.restarts += 1;
        self.runner = Runner::new(Timings::default(), 1_000 + 20_000 * self.restarts);
        self.newest = None;
    }

    fn write_registration(&mut self) -> TargetRegistration {
        self.sequence += 1;
        TargetRegistration {
            incarnation: incarnation_id("target", Some(self.start_time())),
            is_draining: self.is_draining,
            clock: Some(self.clock()),
            sequence: self.sequence,
            ..registration(1)
        }
    }

    fn deliver(&mut self, word: TargetRegistration) {
        self.runner.register(word.clone(), at(self.now_ms));
        let is_alive = word.incarnation.start_time == Some(self.start_time());
        let known = self.newest.as_ref().map_or(0, |known| known.sequence);
        if is_alive && word.sequence >= known {
            self.newest = Some(word);
        }
    }

    fn renew(&mut self, is_answered: bool) {
        let Some(order) = self.runner.plan_renewal(at(self.now_ms)) else {
            return;
        };
        let answer = if is_answered {
            told_by(self.start_time(), list(self.clock(), vec![], &[]))
        } else {
            RenewalAnswer::Unanswered
        };
        let now = at(self.now_ms + 1);
        self.runner.receive_renewal_answer(&order, answer, now);
    }

    fn pass_time(&mut self) {
        self.now_ms += STEP_MS;
        let now = at(self.now_ms);
        self.runner.receive(SESSION, echo(now), now);
        self.runner.tick(now);
        self.runner.take_actions();
    }

    /// Returns whether the runner offers the living incarnation although the newest word that it got says that it drains.
    fn offers_leaving(&self) -> bool {
        let known = self.runner.target_incarnation_id();
        let is_alive = known.is_some_and(|known| known.start_time == Some(self.start_time()));
        let is_leaving = self.newest.as_ref().is_some_and(|word| word.is_draining);
        is_alive && is_leaving && self.runner.has_ready_target()
    }

    /// Loses what is under way, and plays on while the target registers and answers as usual.
    fn quiet_down(&mut self) {
        self.under_way.clear();
        let until = self.now_ms + QUIET_MS;
        while self.now_ms < until {
            if self.now_ms % 300 < STEP_MS {
                let word = self.write_registration();
                self.deliver(word);
            }
            self.renew(true);
            self.pass_time();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn the_living_incarnation_is_found_and_a_leaving_one_never_offered(
        events in proptest::collection::vec(event(), 1..80)
    ) {
        let mut course = Course::new();
        for event in &events {
            course.apply(event);
            prop_assert!(!course.offers_leaving());
        }

        course.quiet_down();

        let living = incarnation_id("target", Some(course.start_time()));
        prop_assert_eq!(course.runner.target_incarnation_id(), Some(&living));
        let expected = course.is_draining.then_some(UnavailableReason::Draining);
        prop_assert_eq!(course.runner.find_unavailable_reason(), expected);
    }
}
