//! Random schedules of events in a group.

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

use crate::simulation::Group;

/// One step of a schedule. Box and message numbers are taken modulo the number of boxes or messages.
#[derive(Clone, Debug)]
pub enum Step {
    /// Advances the time, delivers some messages and syncs the disks selected by the bits of `synced_disks`.
    Round {
        deliveries: usize,
        synced_disks: u8,
    },
    DuplicateMessage(usize),
    DropMessage(usize),
    Propose(usize),
    Read(usize),
    Crash(usize),
    Start(usize),
    Partition(usize),
    Heal,
}

/// Returns a strategy for weighted random steps.
pub fn steps() -> impl Strategy<Value = Step> {
    let box_index = 0..5_usize;
    prop_oneof![
        30 => (0..24_usize, any::<u8>())
            .prop_map(|(deliveries, synced_disks)| Step::Round { deliveries, synced_disks }),
        2 => (0..64_usize).prop_map(Step::DuplicateMessage),
        2 => (0..64_usize).prop_map(Step::DropMessage),
        6 => box_index.clone().prop_map(Step::Propose),
        6 => box_index.clone().prop_map(Step::Read),
        1 => box_index.clone().prop_map(Step::Crash),
        3 => box_index.clone().prop_map(Step::Start),
        1 => box_index.prop_map(Step::Partition),
        1 => Just(Step::Heal),
    ]
}

pub fn run_schedule(group: &mut Group, schedule: Vec<Step>) {
    for step in schedule {
        let size = group.boxes.len();
        match step {
            Step::Round {
                deliveries,
                synced_disks,
            } => {
                group.tick_all();
                for number in 0..deliveries {
                    group.deliver(number * 7, false);
                }
                for box_index in (0..size).filter(|box_index| synced_disks & (1 << box_index) != 0)
                {
                    group.sync(box_index);
                }
            }
            Step::DuplicateMessage(number) => group.deliver(number, true),
            Step::DropMessage(number) => group.drop_message(number),
            Step::Propose(box_index) => group.propose(box_index % size),
            Step::Read(box_index) => group.read(box_index % size),
            Step::Crash(box_index) => group.crash(box_index % size),
            Step::Start(box_index) => {
                if group.boxes[box_index % size].replica.is_none() {
                    group.start(box_index % size);
                }
            }
            Step::Partition(box_index) => group.partitioned = vec![box_index % size],
            Step::Heal => group.partitioned.clear(),
        }
    }
}

/// Returns a test runner with a fixed seed, which generates the same schedules in every run.
pub fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}
