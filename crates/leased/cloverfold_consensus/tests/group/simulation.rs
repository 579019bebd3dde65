//! A simulated group: boxes with replicas, disks whose syncs the test controls, and a network whose deliveries the test controls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_consensus::{
    BatchNumber, Entry, LogIndex, Member, Members, Message, OutgoingMessage, Payload, ReadOutcome,
    ReadToken, Record, RecoveredState, Replica, ReplicaConfig, ReplicaId, Role, Store, Term,
};

/// Time between two ticks.
const STEP: Duration = Duration::from_millis(20);
/// Messages delivered per step while the network works.
const DELIVERIES: usize = 60;

/// A box with its disk and, while its process runs, its replica.
pub struct SimulatedBox {
    pub address: SocketAddr,
    /// Identity stored on the disk.
    pub id: ReplicaId,
    pub replica: Option<Replica>,
    /// Records that are synced to the disk.
    synced: Vec<Record>,
    /// Batches that are not synced yet, in order.
    pub unsynced: Vec<(BatchNumber, Vec<Record>)>,
    /// Messages that wait for a batch to be synced.
    waiting: BTreeMap<BatchNumber, Vec<OutgoingMessage>>,
}

impl SimulatedBox {
    fn member(&self) -> Member {
        Member {
            id: self.id,
            address: self.address,
        }
    }

    /// Returns the replica; panics if the process does not run.
    pub fn running(&self) -> &Replica {
        self.replica.as_ref().unwrap()
    }

    pub fn is_leader(&self) -> bool {
        self.running().status().role == Role::Leader
    }
}

#[derive(Clone)]
struct InFlightMessage {
    from: ReplicaId,
    to: ReplicaId,
    message: Message,
}

/// A group of boxes and the network between them. Checks continuously that committed entries never change, that each term has at most one
/// leader, and that reads are linearizable.
pub struct Group {
    pub boxes: Vec<SimulatedBox>,
    network: Vec<InFlightMessage>,
    /// Indexes of the boxes that are partitioned from the others.
    pub partitioned: Vec<usize>,
    now: Timestamp,
    next_id: ReplicaId,
    next_seed: u64,
    /// Committed entries, as the first replica applied them.
    committed: BTreeMap<LogIndex, (Term, Payload)>,
    leaders: BTreeMap<Term, ReplicaId>,
    /// The commit index at the start of each pending read.
    reads: BTreeMap<ReadToken, LogIndex>,
    next_token: ReadToken,
    next_command: u64,
}

fn address(index: usize) -> SocketAddr {
    format!("10.0.0.{}:7000", index + 1).parse().unwrap()
}

/// Returns the state that a store recovers from these records.
fn recover(records: &[Record]) -> RecoveredState {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = Store::open(folder.path()).unwrap();
    store.append(records).unwrap();
    drop(store);
    Store::open(folder.path()).unwrap().1
}

impl Group {
    /// Returns a group of running boxes whose bootstrap snapshot is synced on the first of them.
    pub fn bootstrap(size: usize) -> Self {
        let mut group = Self {
            boxes: Vec::new(),
            network: Vec::new(),
            partitioned: Vec::new(),
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
        let members = Members {
            voters: group.boxes.iter().map(SimulatedBox::member).collect(),
        };
        let first = group.boxes[0].replica.as_mut().unwrap();
        first.bootstrap(members, Vec::new());
        group.process_ready(0);
        // A process that crashes before this sync bootstraps again, which is outside the scope of the replica.
        group.sync(0);
        group
    }

    /// Adds a box with an empty disk and starts it.
    pub fn add_box(&mut self, index: usize) {
        let id = self.next_id;
        self.next_id += 1;
        self.boxes.push(SimulatedBox {
            address: address(index),
            id,
            replica: None,
            synced: Vec::new(),
            unsynced: Vec::new(),
            waiting: BTreeMap::new(),
        });
        let box_index = self.boxes.len() - 1;
        self.start(box_index);
    }

    /// Starts the process on a box from its synced records.
    pub fn start(&mut self, box_index: usize) {
        let config = ReplicaConfig {
            compaction_threshold: 8,
            max_batch_entries: 3,
            max_snapshot_bytes: Some(3),
            ..ReplicaConfig::default()
        };
        self.next_seed += 1;
        let started = &mut self.boxes[box_index];
        let state = recover(&started.synced);
        let replica = Replica::new(started.id, config, state, self.next_seed, self.now);
        started.replica = Some(replica);
        self.process_ready(box_index);
        self.connect(box_index);
    }

    /// Opens the links between a box and all others.
    fn connect(&mut self, box_index: usize) {
        let members: Vec<Member> = self.boxes.iter().map(SimulatedBox::member).collect();
        let connected = &members[box_index];
        for (index, other) in self.boxes.iter_mut().enumerate() {
            let Some(replica) = &mut other.replica else {
                continue;
            };
            if index == box_index {
                for member in &members {
                    replica.add_learner(member.clone());
                }
            } else {
                replica.link_reopened(connected.id);
                replica.add_learner(connected.clone());
            }
        }
        for index in 0..self.boxes.len() {
            self.process_ready(index);
        }
    }

    /// Crashes the process on a box, which loses its unsynced batches and its messages in flight.
    pub fn crash(&mut self, box_index: usize) {
        let crashed = &mut self.boxes[box_index];
        crashed.replica = None;
        crashed.unsynced.clear();
        crashed.waiting.clear();
        let id = crashed.id;
        self.network
            .retain(|in_flight| in_flight.from != id && in_flight.to != id);
        for other in &mut self.boxes {
            if let Some(replica) = &mut other.replica {
                replica.remove_learner(id);
            }
        }
    }

    /// Crashes the process on a box and wipes its disk; the next start gets a new identity.
    pub fn wipe(&mut self, box_index: usize) {
        self.crash(box_index);
        let id = self.next_id;
        self.next_id += 1;
        let wiped = &mut self.boxes[box_index];
        wiped.synced.clear();
        wiped.id = id;
    }

    fn find_box(&self, id: ReplicaId) -> Option<usize> {
        self.boxes.iter().position(|found| found.id == id)
    }

    /// Processes the ready batch of a replica and checks the invariants.
    fn process_ready(&mut self, box_index: usize) {
        let Some(replica) = &mut self.boxes[box_index].replica else {
            return;
        };
        let ready = replica.take_ready();
        let status = replica.status();
        self.write(box_index, ready.batch, ready.records);
        self.send(box_index, ready.batch, ready.messages);
        let last = ready.committed.last().map(|entry| entry.index);
        for entry in ready.committed {
            self.check_committed(entry);
        }
        for outcome in ready.reads {
            self.check_read(outcome);
        }
        if status.role == Role::Leader {
            let leader = *self.leaders.entry(status.term).or_insert(status.id);
            assert_eq!(leader, status.id, "two leaders in term {}", status.term);
        }
        if let Some(last) = last {
            self.compact(box_index, last);
        }
    }

    fn write(&mut self, box_index: usize, batch: Option<BatchNumber>, records: Vec<Record>) {
        if let Some(batch) = batch {
            self.boxes[box_index].unsynced.push((batch, records));
        }
    }

    fn send(
        &mut self,
        box_index: usize,
        batch: Option<BatchNumber>,
        messages: Vec<OutgoingMessage>,
    ) {
        let sender = &mut self.boxes[box_index];
        for outgoing in messages {
            match batch {
                Some(batch) if outgoing.after_sync => {
                    sender.waiting.entry(batch).or_default().push(outgoing);
                }
                _ => self.network.push(InFlightMessage {
                    from: sender.id,
                    to: outgoing.to,
                    message: outgoing.message,
                }),
            }
        }
    }

    fn check_committed(&mut self, entry: Entry) {
        let applied = (entry.term, entry.payload);
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| applied.clone());
        assert_eq!(
            *first, applied,
            "entry {} was committed with different content",
            entry.index
        );
    }

    fn check_read(&mut self, outcome: ReadOutcome) {
        let Some(at_least) = self.reads.remove(&outcome.token) else {
            return;
        };
        if let Some(index) = outcome.index {
            assert!(
                index >= at_least,
                "a read at index {index} succeeded although {at_least} was committed when it began"
            );
        }
    }

    fn compact(&mut self, box_index: usize, index: LogIndex) {
        let replica = self.boxes[box_index].replica.as_mut().unwrap();
        replica.maybe_compact(index, || index.to_le_bytes().to_vec());
        let ready = replica.take_ready();
        self.write(box_index, ready.batch, ready.records);
    }

    /// Syncs the oldest batch of a box.
    pub fn sync(&mut self, box_index: usize) {
        let synced = &mut self.boxes[box_index];
        if synced.unsynced.is_empty() || synced.replica.is_none() {
            return;
        }
        let (batch, records) = synced.unsynced.remove(0);
        synced.synced.extend(records);
        let later = synced.waiting.split_off(&(batch + 1));
        let due = std::mem::replace(&mut synced.waiting, later);
        let from = synced.id;
        let sent = due.into_values().flatten().map(|outgoing| InFlightMessage {
            from,
            to: outgoing.to,
            message: outgoing.message,
        });
        self.network.extend(sent);
        let replica = synced.replica.as_mut().unwrap();
        replica.mark_synced(batch, self.now);
        self.process_ready(box_index);
    }

    /// Delivers a message; a duplicate also stays in flight.
    pub fn deliver(&mut self, number: usize, is_duplicate: bool) {
        if self.network.is_empty() {
            return;
        }
        let number = number % self.network.len();
        let in_flight = if is_duplicate {
            self.network[number].clone()
        } else {
            self.network.remove(number)
        };
        let sender = self.find_box(in_flight.from);
        let receiver = self.find_box(in_flight.to);
        let (Some(sender), Some(receiver)) = (sender, receiver) else {
            return;
        };
        if self.partitioned.contains(&sender) != self.partitioned.contains(&receiver) {
            return;
        }
        if let Some(replica) = &mut self.boxes[receiver].replica {
            replica.receive(in_flight.from, in_flight.message, self.now);
            self.process_ready(receiver);
        }
    }

    pub fn drop_message(&mut self, number: usize) {
        if !self.network.is_empty() {
            self.network.remove(number % self.network.len());
        }
    }

    /// Advances the time by one step.
    pub fn tick_all(&mut self) {
        self.now += STEP;
        for box_index in 0..self.boxes.len() {
            if let Some(replica) = &mut self.boxes[box_index].replica {
                replica.tick(self.now);
                self.process_ready(box_index);
            }
        }
    }

    /// Advances the time by one step and delivers the oldest messages.
    pub fn tick_and_deliver(&mut self) {
        self.tick_all();
        for _ in 0..DELIVERIES {
            self.deliver(0, false);
        }
    }

    pub fn propose(&mut self, box_index: usize) {
        let command = self.next_command.to_le_bytes().to_vec();
        self.next_command += 1;
        if let Some(replica) = &mut self.boxes[box_index].replica {
            // A follower rejects the command, which is acceptable here.
            let _ = replica.propose(command, self.now);
            self.process_ready(box_index);
        }
    }

    pub fn read(&mut self, box_index: usize) {
        let newest = self.last_committed();
        let token = self.next_token;
        self.next_token += 1;
        if let Some(replica) = &mut self.boxes[box_index].replica {
            self.reads.insert(token, newest);
            replica.begin_read(token, self.now);
            self.process_ready(box_index);
        }
    }

    fn last_committed(&self) -> LogIndex {
        self.committed.keys().next_back().copied().unwrap_or(0)
    }

    /// Heals the partition, starts all crashed boxes and opens all links.
    fn start_all(&mut self) {
        self.partitioned.clear();
        for box_index in 0..self.boxes.len() {
            if self.boxes[box_index].replica.is_none() {
                self.start(box_index);
            }
        }
        for box_index in 0..self.boxes.len() {
            self.connect(box_index);
        }
    }

    /// Runs the group without failures for a while and returns whether it committed new entries.
    pub fn recover_all(&mut self) -> bool {
        self.start_all();
        let before = self.last_committed();
        for round in 0..600 {
            self.tick_and_deliver();
            for box_index in 0..self.boxes.len() {
                while !self.boxes[box_index].unsynced.is_empty() {
                    self.sync(box_index);
                }
            }
            if round % 20 == 19 {
                for box_index in 0..self.boxes.len() {
                    self.propose(box_index);
                }
            }
        }
        self.last_committed() > before
    }
}
