//! A seed and a file give the same plan again, and a plan stays within what may be lost.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cloverfold_soak::plan::{
    Fault, Plan, PlanLength, TargetFault, generate_fault_free_plan, generate_plan, read_plan,
    write_plan,
};

fn draw(seed: u64) -> Plan {
    generate_plan(seed, PlanLength::new(60).unwrap())
}

/// When disks are lost.
fn list_lost_disks(plan: &Plan) -> Vec<u64> {
    let faults = plan.faults.iter();
    let lost = faults.filter(|planned| match planned.fault {
        Fault::LoseDisk { .. } => true,
        Fault::KillAll { lost_disk, .. } => lost_disk.is_some(),
        _ => false,
    });
    lost.map(|planned| planned.at).collect()
}

#[test]
fn the_same_seed_gives_the_same_plan() {
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
}

#[test]
fn a_plan_is_read_back_from_its_file() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("plan.json");

    write_plan(&draw(7), &file).unwrap();

    assert_eq!(read_plan(&file).unwrap(), draw(7));
}

#[test]
fn a_plan_that_names_what_is_not_there_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("plan.json");
    let mut plan = draw(7);
    plan.jobs[0].entry = 3;

    write_plan(&plan, &file).unwrap();

    assert!(read_plan(&file).is_err());
}

#[test]
fn no_more_disks_are_lost_at_once_than_one() {
    for seed in 0..300 {
        let lost = list_lost_disks(&draw(seed));
        let is_far = |pair: &[u64]| pair[1] - pair[0] >= 20_000;
        assert!(lost.windows(2).all(is_far), "seed {seed}: {lost:?}");
    }
}

#[test]
fn every_plan_leaves_its_end_alone() {
    for seed in 0..300 {
        let plan = draw(seed);
        let last = plan.faults.iter().map(|planned| planned.at).max().unwrap();
        assert!(last + 18_000 <= plan.length, "seed {seed}: {last} ms");
    }
}

#[test]
fn most_plans_have_a_late_registration_of_a_dead_incarnation() {
    let is_late = |fault: &Fault| {
        let has_time = |registration: &Option<u64>| registration.is_some();
        matches!(fault, Fault::Target { fault: TargetFault::Crash { late_registration }, .. } if has_time(late_registration))
    };
    let has_one = |seed: &u64| {
        draw(*seed)
            .faults
            .iter()
            .any(|planned| is_late(&planned.fault))
    };

    let with_one = (0..100).filter(has_one).count();

    assert!(with_one > 80, "{with_one} of 100");
}

#[test]
fn lengths_out_of_bounds_are_refused() {
    assert!(PlanLength::new(23).is_none());
    assert!(PlanLength::new(601).is_none());
}

#[test]
fn a_calm_plan_has_planned_work_alone() {
    let plan = generate_fault_free_plan(1, Duration::from_secs(10));

    assert!(!plan.faults.is_empty());
    assert!(plan.faults.iter().all(|planned| planned.fault.is_planned()));
}
