//! Simulation of the drivers and leaders of one group under a virtual clock, with lost and late messages, crashes, partitions and
//! leader changes.

#![allow(clippy::unwrap_used)]

mod checker;
mod entries;
mod events;
mod rng;
mod simulation;

use crate::simulation::{ProtocolBug, Simulation};

/// Number of simulated schedules.
const SEEDS: u64 = 200;

/// Simulates the schedule of a seed and returns the violations in its history.
fn simulate(seed: u64, bug: ProtocolBug) -> Vec<String> {
    let mut simulation = Simulation::new(seed, bug);
    simulation.run();
    simulation.history.find_violations(&simulation.table)
}

/// Returns the number of schedules whose history has a violation.
fn count_violating_seeds(bug: ProtocolBug) -> u64 {
    let violating = (0..SEEDS).filter(|seed| !simulate(*seed, bug).is_empty());
    violating.count() as u64
}

#[test]
fn every_history_keeps_the_invariants() {
    for seed in 0..SEEDS {
        let violations = simulate(seed, ProtocolBug::None);

        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

#[test]
fn the_schedules_cover_handovers_and_fenced_ends() {
    let mut handovers = 0;
    let mut fenced_ends = 0;
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, ProtocolBug::None);
        simulation.run();
        handovers += simulation.history.handovers;
        fenced_ends += simulation.history.fenced_ends;
    }

    assert!(handovers > SEEDS, "only {handovers} handovers");
    assert!(fenced_ends > 0, "no end was fenced");
}

#[test]
fn the_checker_detects_a_counted_end_of_an_earlier_epoch() {
    assert!(count_violating_seeds(ProtocolBug::RecordStaleEnds) > 0);
}

#[test]
fn the_checker_detects_a_handover_without_a_delay() {
    assert!(count_violating_seeds(ProtocolBug::NoHandoverDelay) > 0);
}

#[test]
fn the_checker_detects_an_acknowledgement_before_the_commit() {
    assert!(count_violating_seeds(ProtocolBug::AnswerBeforeCommit) > 0);
}

#[test]
fn the_checker_detects_an_accepted_stale_assignment() {
    assert!(count_violating_seeds(ProtocolBug::AcceptStaleAssignments) > 0);
}
