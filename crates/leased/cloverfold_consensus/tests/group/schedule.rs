//! Random schedules of what may happen to a group.

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

use crate::simulation::Group;

/// One step of a schedule; numbers are taken modulo what there is.
#[derive(Clone, Debug)]
pub enum Step {
    /// Time passes; some messages arrive, and the disks of some boxes (one bit each) sync.
    Round {
        deliveries: usize,
        syncing: u8,
    },
    Repeat(usize),
    Lose(usize),
    Propose(usize),
    Read(usize),
    Crash(usize),
    Start(usize),
    Cut(usize),
    Heal,
}

/// Returns steps, each kind with its weight.
pub fn steps() -> impl Strategy<Value = Step> {
    let place = 0..5_usize;
    prop_oneof![
        30 => (0..24_usize, any::<u8>())
            .prop_map(|(deliveries, syncing)| Step::Round { deliveries, syncing }),
        2 => (0..64_usize).prop_map(Step::Repeat),
        2 => (0..64_usize).prop_map(Step::Lose),
        6 => place.clone().prop_map(Step::Propose),
        6 => place.clone().prop_map(Step::Read),
        1 => place.clone().prop_map(Step::Crash),
        3 => place.clone().prop_map(Step::Start),
        1 => place.prop_map(Step::Cut),
        1 => Just(Step::Heal),
    ]
}

/// Plays a schedule.
pub fn play(group: &mut Group, schedule: Vec<Step>) {
    for step in schedule {
        let size = group.boxes.len();
        match step {
            Step::Round {
                deliveries,
                syncing,
            } => {
                group.tick_all();
                for number in 0..deliveries {
                    group.deliver(number * 7, false);
                }
                for place in (0..size).filter(|place| syncing & (1 << place) != 0) {
                    group.sync(place);
                }
            }
            Step::Repeat(number) => group.deliver(number, true),
            Step::Lose(number) => group.lose(number),
            Step::Propose(place) => group.propose(place % size),
            Step::Read(place) => group.read(place % size),
            Step::Crash(place) => group.crash(place % size),
            Step::Start(place) => {
                if group.boxes[place % size].replica.is_none() {
                    group.start(place % size);
                }
            }
            Step::Cut(place) => group.cut = vec![place % size],
            Step::Heal => group.cut.clear(),
        }
    }
}

/// Returns a runner that draws the same schedules in every run.
pub fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}
