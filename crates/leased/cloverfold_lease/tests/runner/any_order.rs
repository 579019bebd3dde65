//! Incarnations of a target under one name, whose registrations arrive in any order, more than once or never. Renewals can stay unanswered,
//! and the runner can restart. The runner must end up with the live incarnation and must never offer one that has reported draining.

use cloverfold_lease::{
    RenewalAnswer, Runner, StartTimeMs, TargetRegistration, Timings, UnavailableReason,
};
use proptest::prelude::*;

use crate::fixture::{SESSION, answered_by, at, echo, incarnation_id, list, registration};

/// Start times of the successive incarnations; the wall clock is set back once.
const START_TIMES: [StartTimeMs; 4] = [5_000, 9_000, 2_000, 7_000];
/// Duration of the fault-free period at the end, in milliseconds; the target registers every 300 ms.
const SETTLE_MS: u64 = 4_000;
const STEP_MS: u64 = 15;

/// One step of a simulation.
#[derive(Clone, Debug)]
enum Event {
    /// The target restarts.
    RestartTarget,
    /// It sends a registration.
    Register,
    /// It begins to drain.
    Drain,
    /// A registration in flight arrives; if duplicated, it stays in flight and can arrive again.
    Deliver {
        selector: prop::sample::Index,
        is_duplicated: bool,
    },
    /// A renewal or probe is sent, and answered or not.
    Renew { is_answered: bool },
    /// The runner's process restarts.
    RestartRunner,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => Just(Event::RestartTarget),
        4 => Just(Event::Register),
        1 => Just(Event::Drain),
        5 => (any::<prop::sample::Index>(), any::<bool>())
            .prop_map(|(selector, is_duplicated)| Event::Deliver { selector, is_duplicated }),
        6 => prop::bool::weighted(0.8).prop_map(|is_answered| Event::Renew { is_answered }),
        1 => Just(Event::RestartRunner),
    ]
}

/// A target that restarts repeatedly, its runner, and the registrations in flight between them.
struct Simulation {
    runner: Runner,
    now_ms: u64,
    restarts: u64,
    /// Index of the live incarnation.
    incarnation: usize,
    sequence: u64,
    is_draining: bool,
    started_ms: u64,
    in_flight: Vec<TargetRegistration>,
    /// The newest registration of the live incarnation that this process of the runner has received.
    newest: Option<TargetRegistration>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            runner: Runner::new(Timings::default(), 1_000),
            now_ms: 100,
            restarts: 0,
            incarnation: 0,
            sequence: 0,
            is_draining: false,
            started_ms: 0,
            in_flight: Vec::new(),
            newest: None,
        }
    }

    fn start_time(&self) -> StartTimeMs {
        START_TIMES[self.incarnation]
    }

    fn clock(&self) -> u64 {
        self.now_ms - self.started_ms
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::RestartTarget if self.incarnation + 1 < START_TIMES.len() => {
                self.restart_target();
            }
            Event::RestartTarget => {}
            Event::Register => {
                let registration = self.next_registration();
                self.in_flight.push(registration);
            }
            Event::Drain => self.is_draining = true,
            Event::Deliver { .. } if self.in_flight.is_empty() => {}
            Event::Deliver {
                selector,
                is_duplicated,
            } => {
                let index = selector.index(self.in_flight.len());
                let registration = self.in_flight[index].clone();
                if !is_duplicated {
                    self.in_flight.remove(index);
                }
                self.deliver(registration);
            }
            Event::Renew { is_answered } => self.renew(*is_answered),
            Event::RestartRunner => self.restart_runner(),
        }
        self.pass_time();
    }

    fn restart_target(&mut self) {
        self.incarnation += 1;
        self.sequence = 0;
        self.is_draining = false;
        self.started_ms = self.now_ms;
        self.newest = None;
    }

    fn restart_runner(&mut self) {
        self.restarts += 1;
        self.runner = Runner::new(Timings::default(), 1_000 + 20_000 * self.restarts);
        self.newest = None;
    }

    fn next_registration(&mut self) -> TargetRegistration {
        self.sequence += 1;
        TargetRegistration {
            incarnation: incarnation_id("target", Some(self.start_time())),
            is_draining: self.is_draining,
            clock: Some(self.clock()),
            sequence: self.sequence,
            ..registration(1)
        }
    }

    fn deliver(&mut self, registration: TargetRegistration) {
        self.runner.register(registration.clone(), at(self.now_ms));
        let is_live = registration.incarnation.start_time == Some(self.start_time());
        let known = self.newest.as_ref().map_or(0, |known| known.sequence);
        if is_live && registration.sequence >= known {
            self.newest = Some(registration);
        }
    }

    fn renew(&mut self, is_answered: bool) {
        let Some(order) = self.runner.plan_renewal(at(self.now_ms)) else {
            return;
        };
        let answer = if is_answered {
            answered_by(self.start_time(), list(self.clock(), vec![], &[]))
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

    /// Returns whether the runner offers the live incarnation although its newest received registration reports draining.
    fn offers_draining_target(&self) -> bool {
        let known = self.runner.target_incarnation_id();
        let is_live = known.is_some_and(|known| known.start_time == Some(self.start_time()));
        let is_known_draining = self
            .newest
            .as_ref()
            .is_some_and(|registration| registration.is_draining);
        is_live && is_known_draining && self.runner.has_ready_target()
    }

    /// Drops the registrations in flight and continues without faults.
    fn settle(&mut self) {
        self.in_flight.clear();
        let until = self.now_ms + SETTLE_MS;
        while self.now_ms < until {
            if self.now_ms % 300 < STEP_MS {
                let registration = self.next_registration();
                self.deliver(registration);
            }
            self.renew(true);
            self.pass_time();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn the_live_incarnation_becomes_the_target_and_a_draining_one_is_never_offered(
        events in proptest::collection::vec(event(), 1..80)
    ) {
        let mut simulation = Simulation::new();
        for event in &events {
            simulation.apply(event);
            prop_assert!(!simulation.offers_draining_target());
        }

        simulation.settle();

        let live = incarnation_id("target", Some(simulation.start_time()));
        prop_assert_eq!(simulation.runner.target_incarnation_id(), Some(&live));
        let expected = simulation.is_draining.then_some(UnavailableReason::Draining);
        prop_assert_eq!(simulation.runner.find_unavailable_reason(), expected);
    }
}
