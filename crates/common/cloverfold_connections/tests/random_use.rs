//! Random use of a ledger, against the sums that it must keep.

#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_connections::{BudgetLimits, ConnectionId, Ledger, Phase, Reservation};
use proptest::prelude::*;

const LIMITS: BudgetLimits = BudgetLimits {
    connections: 6,
    bytes: 1_000,
};

#[derive(Clone, Copy, Debug)]
enum Step {
    Open(usize),
    Take(usize, usize),
    GiveBack(usize),
    Enter(usize, Phase),
    Receive(usize, usize),
    Pass(u64),
    /// Closes the connections that the ledger has selected.
    Close,
}

fn step() -> impl Strategy<Value = Step> {
    let phase = prop_oneof![
        Just(Phase::Idle),
        Just(Phase::Receiving),
        Just(Phase::Handling),
        Just(Phase::Responding),
    ];
    prop_oneof![
        (1..300_usize).prop_map(Step::Open),
        (0..8_usize, 1..500_usize).prop_map(|(index, bytes)| Step::Take(index, bytes)),
        (0..8_usize).prop_map(Step::GiveBack),
        (0..8_usize, phase).prop_map(|(index, phase)| Step::Enter(index, phase)),
        (0..8_usize, 1..2_000_usize).prop_map(|(index, bytes)| Step::Receive(index, bytes)),
        (1..400_u64).prop_map(Step::Pass),
        Just(Step::Close),
    ]
}

/// The ledger, and what each open connection holds according to the answers of the ledger.
struct Model {
    ledger: Ledger,
    open: HashMap<ConnectionId, usize>,
    selected: Vec<ConnectionId>,
    now: Timestamp,
}

impl Model {
    /// Returns an open connection; `None` if there is none.
    fn pick(&self, index: usize) -> Option<ConnectionId> {
        let mut ids: Vec<_> = self.open.keys().copied().collect();
        ids.sort_unstable();
        (!ids.is_empty()).then(|| ids[index % ids.len()])
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Open(bytes) => {
                if let Ok(id) = self.ledger.open(bytes, self.now) {
                    self.open.insert(id, bytes);
                }
            }
            Step::Take(index, bytes) => {
                let Some(id) = self.pick(index) else { return };
                if self.ledger.take(id, bytes, self.now) == Reservation::Granted {
                    *self.open.get_mut(&id).unwrap() += bytes;
                }
            }
            Step::GiveBack(index) => {
                let Some(id) = self.pick(index) else { return };
                let bytes = std::mem::take(self.open.get_mut(&id).unwrap());
                self.ledger.give_back(id, bytes);
            }
            Step::Enter(index, phase) => {
                let Some(id) = self.pick(index) else { return };
                if !self.selected.contains(&id) {
                    self.ledger.enter(id, phase, self.now);
                }
            }
            Step::Receive(index, bytes) => {
                let Some(id) = self.pick(index) else { return };
                self.ledger.record_received(id, bytes, self.now);
            }
            Step::Pass(ms) => self.now += Duration::from_millis(ms),
            Step::Close => {
                for id in std::mem::take(&mut self.selected) {
                    let bytes = self.open.remove(&id).unwrap();
                    self.ledger.give_back(id, bytes);
                    self.ledger.remove(id);
                }
            }
        }
        for id in self.ledger.take_closures() {
            assert_ne!(self.ledger.phase(id), Some(Phase::Handling), "{step:?}");
            self.selected.push(id);
        }
    }

    fn check(&self) {
        assert_eq!(self.ledger.connections(), self.open.len());
        assert!(self.open.len() <= LIMITS.connections);
        let held: usize = self.open.values().sum();
        assert_eq!(self.ledger.held_bytes(), held);
        assert!(held <= LIMITS.bytes);
    }
}

proptest! {
    /// Fails if the sums drift, a limit is passed, or a request that is being handled is selected.
    #[test]
    fn the_sums_stay_exact_and_within_the_limits(steps in prop::collection::vec(step(), 1..200)) {
        let mut model = Model {
            ledger: Ledger::new(LIMITS),
            open: HashMap::new(),
            selected: Vec::new(),
            now: Timestamp::ZERO,
        };

        for step in steps {
            model.run(step);
            model.check();
        }
    }

    /// Fails if a connection is told to wait although nothing is being closed, so that it would wait for ever.
    #[test]
    fn who_waits_waits_for_a_closing(steps in prop::collection::vec(step(), 1..200), bytes in 1..1_000_usize) {
        let mut model = Model {
            ledger: Ledger::new(LIMITS),
            open: HashMap::new(),
            selected: Vec::new(),
            now: Timestamp::ZERO,
        };
        for step in steps {
            model.run(step);
        }

        for _ in 0..=LIMITS.connections {
            match model.ledger.open(bytes, model.now) {
                Ok(_) | Err(Reservation::Refused) => return Ok(()),
                Err(_) => {
                    model.selected.extend(model.ledger.take_closures());
                    prop_assert!(!model.selected.is_empty());
                    model.run(Step::Close);
                }
            }
        }
        prop_assert!(false, "never granted nor refused");
    }
}
