//! A group of replicas under random schedules: messages lost, repeated and reordered, crashes at every sync point, disks
//! lost within what is tolerated, cuts, and members replaced.

#![allow(clippy::unwrap_used)]

mod schedule;
mod simulation;

use cloverfold_consensus::{ReplicaId, Role, Term};
use proptest::prelude::*;

use crate::schedule::{play, runner, steps};
use crate::simulation::{Group, SimulatedBox};

fn term_of_leader(group: &Group) -> Term {
    let leader = group.boxes.iter().find(|b| b.leads()).unwrap();
    leader.running().status().term
}

#[test]
fn nothing_committed_changes_and_the_group_always_recovers() {
    let schedules = (
        prop_oneof![Just(3_usize), Just(5)],
        prop::collection::vec(steps(), 100..500),
    );
    runner(300)
        .run(&schedules, |(size, schedule)| {
            let mut group = Group::bootstrap(size);
            play(&mut group, schedule);
            prop_assert!(group.recover_all(), "the group commits again");
            Ok(())
        })
        .unwrap();
}

#[test]
fn one_lost_disk_at_a_time_loses_nothing_and_is_replaced_without_an_operator() {
    let schedule = || prop::collection::vec(steps(), 0..150);
    let schedules = prop::collection::vec((0..3_usize, schedule(), schedule()), 1..4);
    runner(250)
        .run(&schedules, |rounds| {
            let mut group = Group::bootstrap(3);
            prop_assert!(group.recover_all());
            for (place, before, after) in rounds {
                play(&mut group, before);
                group.wipe(place);
                play(&mut group, after);
                prop_assert!(group.recover_all(), "the group commits again");
                let members = group.boxes[place].running().members().clone();
                let mut ids: Vec<ReplicaId> = group.boxes.iter().map(|b| b.id).collect();
                ids.sort_unstable();
                let voters: Vec<ReplicaId> =
                    members.voters.iter().map(|member| member.id).collect();
                prop_assert_eq!(voters, ids, "the new replica votes, the lost one does not");
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_replacement_at_another_address_takes_the_place_of_a_voter_that_is_gone() {
    let mut group = Group::bootstrap(3);
    assert!(group.recover_all());
    group.add_box(3);
    let newcomer = group.boxes[3].id;
    group.crash(0);
    let gone = group.boxes.remove(0).id;

    assert!(group.recover_all());

    let members = group.boxes[0].running().members();
    assert!(members.contains(newcomer), "{members:?}");
    assert!(!members.contains(gone), "{members:?}");
    assert_eq!(members.voters.len(), 3);
}

#[test]
fn a_replica_that_was_cut_off_does_not_disturb_the_leader_when_it_returns() {
    let mut group = Group::bootstrap(3);
    assert!(group.recover_all());
    let term = term_of_leader(&group);
    let cut = group.boxes.iter().position(|b| !b.leads());
    group.cut = vec![cut.unwrap()];
    for _ in 0..200 {
        group.tick_and_deliver();
        for place in 0..3 {
            group.sync(place);
        }
    }

    assert!(group.recover_all());

    assert_eq!(term_of_leader(&group), term, "no election was needed");
}

#[test]
fn a_blank_replica_never_elects_itself() {
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
    for place in 0..3 {
        group.crash(place);
    }
    for place in 0..3 {
        group.start(place);
    }
    let mut waited = [0; 3];
    let mut has_leader = false;
    for _ in 0..STEPS {
        group.tick_and_deliver();
        for (place, steps) in waited.iter_mut().enumerate() {
            let is_busy = !group.boxes[place].unsynced.is_empty();
            *steps = if is_busy { *steps + 1 } else { 0 };
            if *steps == SYNC_STEPS {
                *steps = 0;
                group.sync(place);
            }
        }
        has_leader |= group.boxes.iter().any(SimulatedBox::leads);
    }

    assert!(has_leader, "no election was won in {STEPS} steps");
}
