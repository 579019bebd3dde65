//! Tests of a group of replicas under random schedules: lost, duplicated and reordered messages, crashes at every sync point, tolerated
//! disk losses, partitions and membership changes.

#![allow(clippy::unwrap_used)]

mod schedule;
mod simulation;

use cloverfold_consensus::{ReplicaId, Role, Term};
use proptest::prelude::*;

use crate::schedule::{run_schedule, runner, steps};
use crate::simulation::{Group, SimulatedBox};

fn leader_term(group: &Group) -> Term {
    let leader = group.boxes.iter().find(|b| b.is_leader()).unwrap();
    leader.running().status().term
}

#[test]
fn committed_entries_never_change_and_the_group_always_recovers() {
    let schedules = (
        prop_oneof![Just(3_usize), Just(5)],
        prop::collection::vec(steps(), 100..500),
    );
    runner(300)
        .run(&schedules, |(size, schedule)| {
            let mut group = Group::bootstrap(size);
            run_schedule(&mut group, schedule);
            prop_assert!(group.recover_all(), "the group commits again");
            Ok(())
        })
        .unwrap();
}

#[test]
fn losing_one_disk_at_a_time_keeps_committed_entries_and_replaces_the_voter() {
    let schedule = || prop::collection::vec(steps(), 0..150);
    let schedules = prop::collection::vec((0..3_usize, schedule(), schedule()), 1..4);
    runner(250)
        .run(&schedules, |rounds| {
            let mut group = Group::bootstrap(3);
            prop_assert!(group.recover_all());
            for (box_index, before, after) in rounds {
                run_schedule(&mut group, before);
                group.wipe(box_index);
                run_schedule(&mut group, after);
                prop_assert!(group.recover_all(), "the group commits again");
                let members = group.boxes[box_index].running().members().clone();
                let mut ids: Vec<ReplicaId> = group.boxes.iter().map(|b| b.id).collect();
                ids.sort_unstable();
                let voters: Vec<ReplicaId> =
                    members.voters.iter().map(|member| member.id).collect();
                prop_assert_eq!(
                    voters,
                    ids,
                    "the new replica is a voter, the lost one is not"
                );
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_learner_at_another_address_replaces_a_lost_voter() {
    let mut group = Group::bootstrap(3);
    assert!(group.recover_all());
    group.add_box(3);
    let added = group.boxes[3].id;
    group.crash(0);
    let removed = group.boxes.remove(0).id;

    assert!(group.recover_all());

    let members = group.boxes[0].running().members();
    assert!(members.contains(added), "{members:?}");
    assert!(!members.contains(removed), "{members:?}");
    assert_eq!(members.voters.len(), 3);
}

#[test]
fn a_replica_returning_from_a_partition_does_not_depose_the_leader() {
    let mut group = Group::bootstrap(3);
    assert!(group.recover_all());
    let term = leader_term(&group);
    let isolated = group.boxes.iter().position(|b| !b.is_leader());
    group.partitioned = vec![isolated.unwrap()];
    for _ in 0..200 {
        group.tick_and_deliver();
        for box_index in 0..3 {
            group.sync(box_index);
        }
    }

    assert!(group.recover_all());

    assert_eq!(leader_term(&group), term, "no election was needed");
}

#[test]
fn a_replica_with_an_empty_disk_never_elects_itself() {
    let mut group = Group::bootstrap(3);
    assert!(group.recover_all());
    group.wipe(0);
    group.start(0);
    group.crash(1);
    group.crash(2);
    for _ in 0..200 {
        group.tick_all();
    }

    let status = group.boxes[0].running().status();

    assert_eq!(status.role, Role::Follower);
}

#[test]
fn a_group_whose_disks_take_a_second_to_sync_still_elects_a_leader() {
    const SYNC_STEPS: usize = 50;
    const STEPS: usize = 3_000;
    let mut group = Group::bootstrap(3);
    assert!(group.recover_all());
    for box_index in 0..3 {
        group.crash(box_index);
    }
    for box_index in 0..3 {
        group.start(box_index);
    }
    let mut waited = [0; 3];
    let mut has_leader = false;
    for _ in 0..STEPS {
        group.tick_and_deliver();
        for (box_index, steps) in waited.iter_mut().enumerate() {
            let is_busy = !group.boxes[box_index].unsynced.is_empty();
            *steps = if is_busy { *steps + 1 } else { 0 };
            if *steps == SYNC_STEPS {
                *steps = 0;
                group.sync(box_index);
            }
        }
        has_leader |= group.boxes.iter().any(SimulatedBox::is_leader);
    }

    assert!(has_leader, "no election was won in {STEPS} steps");
}
