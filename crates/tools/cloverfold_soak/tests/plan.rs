//! Plans are deterministic, survive a round trip through a file, and respect the limits on faults.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cloverfold_soak::plan::{
    Fault, Plan, PlanLength, TargetFault, generate_fault_free_plan, generate_plan, read_plan,
    write_plan,
};

fn generate(seed: u64) -> Plan {
    generate_plan(seed, PlanLength::new(60).unwrap())
}

/// Lists the times of disk losses.
fn list_disk_losses(plan: &Plan) -> Vec<u64> {
    let faults = plan.faults.iter();
    let losses = faults.filter(|planned| match planned.fault {
        Fault::LoseDisk { .. } => true,
        Fault::KillAll { lost_disk, .. } => lost_disk.is_some(),
        _ => false,
    });
    losses.map(|planned| planned.at).collect()
}

#[test]
fn same_seed_generates_same_plan() {
    assert_eq!(generate(7), generate(7));
    assert_ne!(generate(7), generate(8));
}

#[test]
fn plan_round_trips_through_file() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("plan.json");

    write_plan(&generate(7), &file).unwrap();

    assert_eq!(read_plan(&file).unwrap(), generate(7));
}

#[test]
fn plan_with_unknown_process_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("plan.json");
    let mut plan = generate(7);
    plan.jobs[0].entry = 3;

    write_plan(&plan, &file).unwrap();

    assert!(read_plan(&file).is_err());
}

#[test]
fn disk_losses_are_spaced_apart() {
    for seed in 0..300 {
        let losses = list_disk_losses(&generate(seed));
        let is_far = |pair: &[u64]| pair[1] - pair[0] >= 20_000;
        assert!(losses.windows(2).all(is_far), "seed {seed}: {losses:?}");
    }
}

#[test]
fn plans_end_without_faults() {
    for seed in 0..300 {
        let plan = generate(seed);
        let last = plan.faults.iter().map(|planned| planned.at).max().unwrap();
        assert!(last + 18_000 <= plan.length, "seed {seed}: {last} ms");
    }
}

#[test]
fn most_plans_delay_a_registration_of_a_crashed_incarnation() {
    let is_late = |fault: &Fault| {
        let is_scheduled = |registration: &Option<u64>| registration.is_some();
        matches!(fault, Fault::Target { fault: TargetFault::Crash { late_registration }, .. } if is_scheduled(late_registration))
    };
    let has_one = |seed: &u64| {
        generate(*seed)
            .faults
            .iter()
            .any(|planned| is_late(&planned.fault))
    };

    let with_one = (0..100).filter(has_one).count();

    assert!(with_one > 80, "{with_one} of 100");
}

#[test]
fn out_of_range_lengths_are_rejected() {
    assert!(PlanLength::new(23).is_none());
    assert!(PlanLength::new(601).is_none());
}

#[test]
fn fault_free_plan_has_only_planned_work() {
    let plan = generate_fault_free_plan(1, Duration::from_secs(10));

    assert!(!plan.faults.is_empty());
    assert!(plan.faults.iter().all(|planned| planned.fault.is_planned()));
}
