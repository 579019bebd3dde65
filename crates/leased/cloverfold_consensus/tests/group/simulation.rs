//! Boxes with replicas, disks that sync when a test lets them, and a network that a test drives.

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
/// Messages that are delivered in a step while everything works.
const DELIVERIES: usize = 60;

/// One box: its disk, and the replica on it if its process runs.
pub struct SimulatedBox {
    pub address: SocketAddr,
    /// Identity of the replica on its disk.
    pub id: ReplicaId,
    pub replica: Option<Replica>,
    /// What its disk holds.
    synced: Vec<Record>,
    /// Batches that its disk has not synced yet, in order.
    pub unsynced: Vec<(BatchNumber, Vec<Record>)>,
    /// Messages that wait for a batch.
    waiting: BTreeMap<BatchNumber, Vec<OutgoingMessage>>,
}

impl SimulatedBox {
    fn member(&self) -> Member {
        Member {
            id: self.id,
            address: self.address,
        }
    }

    /// Returns the replica, which must run.
    pub fn running(&self) -> &Replica {
        self.replica.as_ref().unwrap()
    }

    pub fn leads(&self) -> bool {
        self.running().status().role == Role::Leader
    }
}

/// A message under way.
#[derive(Clone)]
struct Transit {
    from: ReplicaId,
    to: ReplicaId,
    message: Message,
}

/// A group of boxes and the network between them. It checks as it runs that nothing committed changes, that a term has one leader, and
/// that no read is older than what was committed when it began.
pub struct Group {
    pub boxes: Vec<SimulatedBox>,
    network: Vec<Transit>,
    /// Places of the boxes that no message of the others reaches.
    pub cut: Vec<usize>,
    now: Timestamp,
    next_id: ReplicaId,
    next_seed: u64,
    /// The entry at each committed place, as the first replica applied it.
    committed: BTreeMap<LogIndex, (Term, Payload)>,
    leaders: BTreeMap<Term, ReplicaId>,
    /// For each read under way, what was committed when it began.
    reads: BTreeMap<ReadToken, LogIndex>,
    next_token: ReadToken,
    next_command: u64,
}

fn address(index: usize) -> SocketAddr {
    format!("10.0.0.{}:7000", index + 1).parse().unwrap()
}

/// Returns what a store recovers from these records.
fn recover(records: &[Record]) -> RecoveredState {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = Store::open(folder.path()).unwrap();
    store.append(records).unwrap();
    drop(store);
    Store::open(folder.path()).unwrap().1
}

impl Group {
    /// Returns a group of running boxes whose first snapshot is synced on the first of them.
    pub fn bootstrap(size: usize) -> Self {
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
        let members = Members {
            voters: group.boxes.iter().map(SimulatedBox::member).collect(),
        };
        let first = group.boxes[0].replica.as_mut().unwrap();
        first.bootstrap(members, Vec::new());
        group.settle(0);
        // A process that dies before this bootstraps again; that is not the replica's part.
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
        let place = self.boxes.len() - 1;
        self.start(place);
    }

    /// Starts the process on a box from what its disk holds.
    pub fn start(&mut self, place: usize) {
        let config = ReplicaConfig {
            compaction_threshold: 8,
            max_batch_entries: 3,
            max_snapshot_bytes: Some(3),
            ..ReplicaConfig::default()
        };
        self.next_seed += 1;
        let started = &mut self.boxes[place];
        let state = recover(&started.synced);
        let replica = Replica::new(started.id, config, state, self.next_seed, self.now);
        started.replica = Some(replica);
        self.settle(place);
        self.connect(place);
    }

    /// Opens the links between the process on a box and all others.
    fn connect(&mut self, place: usize) {
        let members: Vec<Member> = self.boxes.iter().map(SimulatedBox::member).collect();
        let newcomer = &members[place];
        for (index, other) in self.boxes.iter_mut().enumerate() {
            let Some(replica) = &mut other.replica else {
                continue;
            };
            if index == place {
                for member in &members {
                    replica.add_learner(member.clone());
                }
            } else {
                replica.link_reopened(newcomer.id);
                replica.add_learner(newcomer.clone());
            }
        }
        for index in 0..self.boxes.len() {
            self.settle(index);
        }
    }

    /// Ends the process on a box; what its disk has not synced is lost, and so is what is under way on its links.
    pub fn crash(&mut self, place: usize) {
        let crashed = &mut self.boxes[place];
        crashed.replica = None;
        crashed.unsynced.clear();
        crashed.waiting.clear();
        let id = crashed.id;
        self.network
            .retain(|transit| transit.from != id && transit.to != id);
        for other in &mut self.boxes {
            if let Some(replica) = &mut other.replica {
                replica.remove_learner(id);
            }
        }
    }

    /// Ends the process on a box and empties its disk: what starts there is another replica.
    pub fn wipe(&mut self, place: usize) {
        self.crash(place);
        let id = self.next_id;
        self.next_id += 1;
        let wiped = &mut self.boxes[place];
        wiped.synced.clear();
        wiped.id = id;
    }

    fn place_of(&self, id: ReplicaId) -> Option<usize> {
        self.boxes.iter().position(|found| found.id == id)
    }

    /// Carries out what a replica wants and checks what it shows.
    fn settle(&mut self, place: usize) {
        let Some(replica) = &mut self.boxes[place].replica else {
            return;
        };
        let ready = replica.take_ready();
        let status = replica.status();
        self.write(place, ready.batch, ready.records);
        self.send(place, ready.batch, ready.messages);
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
            self.compact(place, last);
        }
    }

    fn write(&mut self, place: usize, batch: Option<BatchNumber>, records: Vec<Record>) {
        if let Some(batch) = batch {
            self.boxes[place].unsynced.push((batch, records));
        }
    }

    fn send(&mut self, place: usize, batch: Option<BatchNumber>, messages: Vec<OutgoingMessage>) {
        let sender = &mut self.boxes[place];
        for outgoing in messages {
            match batch {
                Some(batch) if outgoing.after_sync => {
                    sender.waiting.entry(batch).or_default().push(outgoing);
                }
                _ => self.network.push(Transit {
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
            "place {} was committed otherwise",
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
                "a read of place {index} after {at_least} was acknowledged"
            );
        }
    }

    fn compact(&mut self, place: usize, index: LogIndex) {
        let replica = self.boxes[place].replica.as_mut().unwrap();
        replica.maybe_compact(index, || index.to_le_bytes().to_vec());
        let ready = replica.take_ready();
        self.write(place, ready.batch, ready.records);
    }

    /// Lets the disk of a box sync its oldest batch.
    pub fn sync(&mut self, place: usize) {
        let synced = &mut self.boxes[place];
        if synced.unsynced.is_empty() || synced.replica.is_none() {
            return;
        }
        let (batch, records) = synced.unsynced.remove(0);
        synced.synced.extend(records);
        let later = synced.waiting.split_off(&(batch + 1));
        let due = std::mem::replace(&mut synced.waiting, later);
        let from = synced.id;
        let sent = due.into_values().flatten().map(|outgoing| Transit {
            from,
            to: outgoing.to,
            message: outgoing.message,
        });
        self.network.extend(sent);
        let replica = synced.replica.as_mut().unwrap();
        replica.mark_synced(batch, self.now);
        self.settle(place);
    }

    /// Delivers one of the messages under way; a repeated one stays under way.
    pub fn deliver(&mut self, number: usize, is_repeated: bool) {
        if self.network.is_empty() {
            return;
        }
        let number = number % self.network.len();
        let transit = if is_repeated {
            self.network[number].clone()
        } else {
            self.network.remove(number)
        };
        let sender = self.place_of(transit.from);
        let receiver = self.place_of(transit.to);
        let (Some(sender), Some(receiver)) = (sender, receiver) else {
            return;
        };
        if self.cut.contains(&sender) != self.cut.contains(&receiver) {
            return;
        }
        if let Some(replica) = &mut self.boxes[receiver].replica {
            replica.receive(transit.from, transit.message, self.now);
            self.settle(receiver);
        }
    }

    /// Loses one of the messages under way.
    pub fn lose(&mut self, number: usize) {
        if !self.network.is_empty() {
            self.network.remove(number % self.network.len());
        }
    }

    /// Lets a step of time pass.
    pub fn tick_all(&mut self) {
        self.now += STEP;
        for place in 0..self.boxes.len() {
            if let Some(replica) = &mut self.boxes[place].replica {
                replica.tick(self.now);
                self.settle(place);
            }
        }
    }

    /// Lets a step of time pass, and delivers the oldest messages.
    pub fn tick_and_deliver(&mut self) {
        self.tick_all();
        for _ in 0..DELIVERIES {
            self.deliver(0, false);
        }
    }

    pub fn propose(&mut self, place: usize) {
        let command = self.next_command.to_le_bytes().to_vec();
        self.next_command += 1;
        if let Some(replica) = &mut self.boxes[place].replica {
            // A follower refuses, which is as good here.
            let _ = replica.propose(command, self.now);
            self.settle(place);
        }
    }

    pub fn read(&mut self, place: usize) {
        let newest = self.last_committed();
        let token = self.next_token;
        self.next_token += 1;
        if let Some(replica) = &mut self.boxes[place].replica {
            self.reads.insert(token, newest);
            replica.begin_read(token, self.now);
            self.settle(place);
        }
    }

    fn last_committed(&self) -> LogIndex {
        self.committed.keys().next_back().copied().unwrap_or(0)
    }

    /// Starts every box that doesn't run and opens all links.
    fn start_all(&mut self) {
        self.cut.clear();
        for place in 0..self.boxes.len() {
            if self.boxes[place].replica.is_none() {
                self.start(place);
            }
        }
        for place in 0..self.boxes.len() {
            self.connect(place);
        }
    }

    /// Lets everything work for a while and returns whether something new was committed.
    pub fn recover_all(&mut self) -> bool {
        self.start_all();
        let before = self.last_committed();
        for round in 0..600 {
            self.tick_and_deliver();
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
        self.last_committed() > before
    }
}
