//! A group of replicas under random schedules: messages lost, repeated and reordered, crashes at every sync point, disks
//! lost within what is tolerated, cuts, and members replaced.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_consensus::{
    Entry, LogIndex, Member, Members, Message, Outgoing, Payload, ReadOutcome, Record,
    RecoveredState, Replica, ReplicaConfig, ReplicaId, Role, Snapshot, Term,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng};

const STEP: Duration = Duration::from_millis(20);

/// One box: its disk, and the process on it if it runs.
struct Box_ {
    address: std::net::SocketAddr,
    id: ReplicaId,
    synced: Vec<Record>,
    unsynced: Vec<(u64, Vec<Record>)>,
    held: BTreeMap<u64, Vec<Outgoing>>,
    process: Option<Replica>,
    applied: Vec<(LogIndex, Term, Payload)>,
    highest_read: LogIndex,
}

struct Group {
    boxes: Vec<Box_>,
    network: Vec<(ReplicaId, ReplicaId, Message)>,
    cut: Vec<usize>,
    now: Timestamp,
    next_id: ReplicaId,
    next_seed: u64,
    /// The entry at each committed place, as the first replica applied it.
    committed: BTreeMap<LogIndex, (Term, Payload)>,
    leaders: BTreeMap<Term, ReplicaId>,
    /// Reads under way: token, what was committed when it began.
    reads: BTreeMap<u64, LogIndex>,
    next_token: u64,
    next_command: u64,
}

fn address(index: usize) -> std::net::SocketAddr {
    format!("10.0.0.{}:7000", index + 1).parse().unwrap()
}

fn recover(records: &[Record]) -> RecoveredState {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = cloverfold_consensus::Store::open(folder.path()).unwrap();
    store.append(records).unwrap();
    drop(store);
    cloverfold_consensus::Store::open(folder.path()).unwrap().1
}

impl Group {
    fn bootstrap(size: usize) -> Self {
        let mut group = Self {
            boxes: Vec::new(),
            network: Vec::new(),
            cut: Vec::new(),
            now: Timestamp::ZERO,
            next_id: 1,
            next_seed: 1,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_token: 1,
            next_command: 1,
        };
        for index in 0..size {
            group.add_box(index);
        }
        let voters = group.boxes.iter().map(|held| Member {
            id: held.id,
            address: held.address,
        });
        let members = Members {
            voters: voters.collect(),
        };
        group.boxes[0]
            .process
            .as_mut()
            .unwrap()
            .bootstrap(members, Vec::new());
        group.settle(0);
        // A founder that dies before this founds anew; that is the process's part.
        group.sync(0);
        group
    }

    fn add_box(&mut self, index: usize) {
        let id = self.next_id;
        self.next_id += 1;
        self.boxes.push(Box_ {
            address: address(index),
            id,
            synced: Vec::new(),
            unsynced: Vec::new(),
            held: BTreeMap::new(),
            process: None,
            applied: Vec::new(),
            highest_read: 0,
        });
        let place = self.boxes.len() - 1;
        self.start(place);
    }

    fn start(&mut self, place: usize) {
        let held = &mut self.boxes[place];
        let config = ReplicaConfig {
            keep_entries: 8,
            batch: 3,
            ..ReplicaConfig::default()
        };
        let state = recover(&held.synced);
        self.next_seed += 1;
        held.applied.clear();
        held.process = Some(Replica::new(
            held.id,
            config,
            state,
            self.next_seed,
            self.now,
        ));
        self.settle(place);
        self.meet(place);
    }

    /// Lets a process that starts greet the others, and they it.
    fn meet(&mut self, place: usize) {
        let known: Vec<Member> = self
            .boxes
            .iter()
            .map(|held| Member {
                id: held.id,
                address: held.address,
            })
            .collect();
        let newcomer = known[place].clone();
        for (index, held) in self.boxes.iter_mut().enumerate() {
            let Some(process) = &mut held.process else {
                continue;
            };
            if index == place {
                for member in &known {
                    process.add_learner(member.clone());
                }
            } else {
                process.link_reopened(newcomer.id);
                process.add_learner(newcomer.clone());
            }
        }
        for index in 0..self.boxes.len() {
            self.settle(index);
        }
    }

    fn crash(&mut self, place: usize) {
        let held = &mut self.boxes[place];
        held.process = None;
        held.unsynced.clear();
        held.held.clear();
        let id = held.id;
        self.network
            .retain(|(from, to, _)| *from != id && *to != id);
        for other in &mut self.boxes {
            if let Some(process) = &mut other.process {
                process.remove_learner(id);
            }
        }
    }

    /// The disk is lost: what starts there is another replica.
    fn wipe(&mut self, place: usize) {
        self.crash(place);
        let id = self.next_id;
        self.next_id += 1;
        let held = &mut self.boxes[place];
        held.synced.clear();
        held.id = id;
        held.highest_read = 0;
    }

    fn place_of(&self, id: ReplicaId) -> Option<usize> {
        self.boxes.iter().position(|held| held.id == id)
    }

    /// Carries out what a replica wants and checks what it shows.
    fn settle(&mut self, place: usize) {
        let now = self.now;
        let held = &mut self.boxes[place];
        let Some(process) = &mut held.process else {
            return;
        };
        let ready = process.take_ready();
        let status = process.status();
        if let Some(batch) = ready.batch {
            held.unsynced.push((batch, ready.records));
        }
        for outgoing in ready.messages {
            match ready.batch {
                Some(batch) if outgoing.after_sync => {
                    held.held.entry(batch).or_default().push(outgoing);
                }
                _ => self.network.push((held.id, outgoing.to, outgoing.message)),
            }
        }
        if let Some(Snapshot { index, .. }) = ready.restored {
            held.applied.retain(|(applied, _, _)| *applied <= index);
        }
        let mut last = 0;
        for Entry {
            index,
            term,
            payload,
        } in ready.committed
        {
            let first = self
                .committed
                .entry(index)
                .or_insert((term, payload.clone()));
            assert_eq!(
                *first,
                (term, payload.clone()),
                "place {index} was committed otherwise"
            );
            held.applied.push((index, term, payload));
            last = index;
        }
        let process = held.process.as_mut().unwrap();
        if last > 0 {
            process.maybe_compact(last, || last.to_le_bytes().to_vec());
        }
        for ReadOutcome { token, index } in ready.reads {
            let Some(at_least) = self.reads.remove(&token) else {
                continue;
            };
            if let Some(index) = index {
                assert!(
                    index >= at_least,
                    "a read of place {index} after {at_least} was acknowledged"
                );
            }
        }
        if status.role == Role::Leader {
            let leader = *self.leaders.entry(status.term).or_insert(status.id);
            assert_eq!(leader, status.id, "two leaders in term {}", status.term);
        }
        let more = held.process.as_mut().unwrap().take_ready();
        if let Some(batch) = more.batch {
            held.unsynced.push((batch, more.records));
        }
        let _ = now;
    }

    fn sync(&mut self, place: usize) {
        let held = &mut self.boxes[place];
        if held.unsynced.is_empty() || held.process.is_none() {
            return;
        }
        let (batch, records) = held.unsynced.remove(0);
        held.synced.extend(records);
        let later = held.held.split_off(&(batch + 1));
        let due = std::mem::replace(&mut held.held, later);
        let id = held.id;
        let sent = due
            .into_values()
            .flatten()
            .map(|outgoing| (id, outgoing.to, outgoing.message));
        self.network.extend(sent);
        held.process.as_mut().unwrap().persisted(batch, self.now);
        self.settle(place);
    }

    fn deliver(&mut self, number: usize, is_kept: bool) {
        if self.network.is_empty() {
            return;
        }
        let number = number % self.network.len();
        let (from, to, message) = if is_kept {
            self.network[number].clone()
        } else {
            self.network.remove(number)
        };
        let (Some(sender), Some(receiver)) = (self.place_of(from), self.place_of(to)) else {
            return;
        };
        if self.cut.contains(&sender) != self.cut.contains(&receiver) {
            return;
        }
        if let Some(process) = &mut self.boxes[receiver].process {
            process.receive(from, message, self.now);
            self.settle(receiver);
        }
    }

    fn tick_all(&mut self) {
        self.now += STEP;
        for place in 0..self.boxes.len() {
            if let Some(process) = &mut self.boxes[place].process {
                process.tick(self.now);
                self.settle(place);
            }
        }
    }

    fn propose(&mut self, place: usize) {
        let command = self.next_command.to_le_bytes().to_vec();
        self.next_command += 1;
        if let Some(process) = &mut self.boxes[place].process {
            // A follower refuses, which is as good here.
            let _ = process.propose(command, self.now);
            self.settle(place);
        }
    }

    fn read(&mut self, place: usize) {
        let newest = self.committed.keys().next_back().copied().unwrap_or(0);
        let token = self.next_token;
        self.next_token += 1;
        if let Some(process) = &mut self.boxes[place].process {
            self.reads.insert(token, newest);
            process.begin_read(token, self.now);
            self.settle(place);
        }
    }

    /// Lets everything work for a while and returns whether something new was committed everywhere it can be.
    fn recover_all(&mut self) -> bool {
        self.cut.clear();
        for place in 0..self.boxes.len() {
            if self.boxes[place].process.is_none() {
                self.start(place);
            }
        }
        for place in 0..self.boxes.len() {
            self.meet(place);
        }
        let before = self.committed.keys().next_back().copied().unwrap_or(0);
        for round in 0..600 {
            self.tick_all();
            for _ in 0..60 {
                self.deliver(0, false);
            }
            for place in 0..self.boxes.len() {
                while !self.boxes[place].unsynced.is_empty() {
                    self.sync(place);
                }
            }
            if round % 20 == 19 {
                for place in 0..self.boxes.len() {
                    self.propose(place);
                }
            }
        }
        self.committed.keys().next_back().copied().unwrap_or(0) > before
    }
}

#[derive(Clone, Debug)]
enum Step {
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

fn steps() -> impl Strategy<Value = Step> {
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

fn play(group: &mut Group, schedule: Vec<Step>) {
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
            Step::Lose(number) => {
                if !group.network.is_empty() {
                    group.network.remove(number % group.network.len());
                }
            }
            Step::Propose(place) => group.propose(place % size),
            Step::Read(place) => group.read(place % size),
            Step::Crash(place) => group.crash(place % size),
            Step::Start(place) => {
                if group.boxes[place % size].process.is_none() {
                    group.start(place % size);
                }
            }
            Step::Cut(place) => group.cut = vec![place % size],
            Step::Heal => group.cut.clear(),
        }
    }
}

/// The same schedules in every run.
fn runner(cases: u32) -> proptest::test_runner::TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    proptest::test_runner::TestRunner::new_with_rng(config, rng)
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
                let members = group.boxes[place]
                    .process
                    .as_ref()
                    .unwrap()
                    .members()
                    .clone();
                let mut ids: Vec<ReplicaId> = group.boxes.iter().map(|held| held.id).collect();
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

    let members = group.boxes[0].process.as_ref().unwrap().members();
    assert!(members.contains(newcomer), "{members:?}");
    assert!(!members.contains(gone), "{members:?}");
    assert_eq!(members.voters.len(), 3);
}

#[test]
fn a_replica_that_was_cut_off_does_not_disturb_the_leader_when_it_returns() {
    let mut group = Group::bootstrap(3);
    assert!(group.recover_all());
    let leader = |group: &Group| {
        let leads = |held: &&Box_| held.process.as_ref().unwrap().status().role == Role::Leader;
        let held = group.boxes.iter().find(leads).unwrap();
        held.process.as_ref().unwrap().status().term
    };
    let term = leader(&group);
    let cut = group
        .boxes
        .iter()
        .position(|held| held.process.as_ref().unwrap().status().role != Role::Leader);
    group.cut = vec![cut.unwrap()];
    for _ in 0..200 {
        group.tick_all();
        for _ in 0..60 {
            group.deliver(0, false);
        }
        for place in 0..3 {
            group.sync(place);
        }
    }

    assert!(group.recover_all());

    assert_eq!(leader(&group), term, "no election was needed");
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

    let status = group.boxes[0].process.as_ref().unwrap().status();

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
        group.tick_all();
        for _ in 0..60 {
            group.deliver(0, false);
        }
        for (place, steps) in waited.iter_mut().enumerate() {
            let is_busy = !group.boxes[place].unsynced.is_empty();
            *steps = if is_busy { *steps + 1 } else { 0 };
            if *steps == SYNC_STEPS {
                *steps = 0;
                group.sync(place);
            }
        }
        let leads = |held: &Box_| held.process.as_ref().unwrap().status().role == Role::Leader;
        has_leader |= group.boxes.iter().any(leads);
    }

    assert!(has_leader, "no election was won in {STEPS} steps");
}
