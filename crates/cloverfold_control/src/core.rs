//! The state of a control process.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_configuration::{AuditRecord, ConfigurationState, Offer, Version};
use cloverfold_consensus::{
    Entry, LogIndex, Member, Members, Outgoing, Payload, Replica, ReplicaId, Role,
};
use cloverfold_link::{LinkEvent, LinkId, LinkSender};
use cloverfold_peer::{DialedPeers, Directory, Hello, PeerMessage, PeerRole, ProcessClock};
use serde_json::json;
use tokio::sync::{oneshot, watch};

use crate::disk::{Disk, DiskEvent};

/// How often every process is told which version holds.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);
/// Without a sign of its group for this long, this process may not know the newest version.
const FRESH_SPAN: Duration = Duration::from_millis(800);
/// How long an entry that is gone is still named to guards.
const ENTRY_MEMORY: Duration = Duration::from_secs(20);
/// Writes that are slower than this are logged.
const SLOW_WRITE: Duration = Duration::from_millis(250);

/// A link and who is at its other end.
struct Link {
    sender: LinkSender<PeerMessage>,
    dialed: bool,
    hello: Option<Hello>,
}

/// An entry, and since when it is gone.
struct KnownEntry {
    links: usize,
    gone_at: Option<Duration>,
}

/// The founding of a group, while it is not done.
pub(crate) struct Founding {
    /// All founders, this process included.
    pub(crate) seeds: Vec<SocketAddr>,
}

/// What a control process believes.
pub(crate) struct ControlCore {
    clock: ProcessClock,
    own: Hello,
    replica_id: ReplicaId,
    replica: Replica,
    state: ConfigurationState,
    disk: Disk,
    dialed: DialedPeers,
    links: HashMap<LinkId, Link>,
    replica_links: HashMap<ReplicaId, LinkId>,
    entries: BTreeMap<SocketAddr, KnownEntry>,
    controls: BTreeSet<SocketAddr>,
    founding: Option<Founding>,
    /// Messages that wait for a batch to be synced.
    held_messages: BTreeMap<u64, Vec<Outgoing>>,
    writes: BTreeMap<u64, Duration>,
    offered: HashMap<Version, LogIndex>,
    next_token: u64,
    own_reads: HashMap<u64, oneshot::Sender<Option<LogIndex>>>,
    peer_reads: HashMap<u64, (LinkId, u64)>,
    applied: watch::Sender<LogIndex>,
    version: watch::Sender<Version>,
    noticed_at: Duration,
    is_told_fresh: bool,
    believed: (u64, Role, Option<ReplicaId>),
}

impl ControlCore {
    pub(crate) fn new(
        own: Hello,
        replica_id: ReplicaId,
        replica: Replica,
        disk: Disk,
        dialed: DialedPeers,
        founding: Option<Founding>,
    ) -> Self {
        let believed = (0, Role::Follower, None);
        Self {
            clock: ProcessClock::default(),
            own,
            replica_id,
            replica,
            state: ConfigurationState::default(),
            disk,
            dialed,
            links: HashMap::new(),
            replica_links: HashMap::new(),
            entries: BTreeMap::new(),
            controls: BTreeSet::new(),
            founding,
            held_messages: BTreeMap::new(),
            writes: BTreeMap::new(),
            offered: HashMap::new(),
            next_token: 1,
            own_reads: HashMap::new(),
            peer_reads: HashMap::new(),
            applied: watch::Sender::new(0),
            version: watch::Sender::new(0),
            noticed_at: Duration::ZERO,
            is_told_fresh: false,
            believed,
        }
    }

    /// Dials the seeds and takes up the state on disk.
    pub(crate) fn begin(&mut self, seeds: &[SocketAddr]) {
        self.dial_seeds(seeds);
        self.advance();
    }

    /// Dials further seeds; those of earlier settings are kept.
    pub(crate) fn dial_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            self.controls.insert(*seed);
            self.dialed.add(*seed);
        }
    }

    pub(crate) fn follow_version(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    pub(crate) fn follow_applied(&self) -> watch::Receiver<LogIndex> {
        self.applied.subscribe()
    }

    pub(crate) fn current_text(&self) -> Option<Vec<u8>> {
        self.state.current().map(|held| held.text.to_vec())
    }

    pub(crate) fn audit(&self) -> Vec<AuditRecord> {
        self.state.audit().cloned().collect()
    }

    pub(crate) fn held_version(&self) -> Version {
        self.state.version()
    }

    pub(crate) fn term(&self) -> u64 {
        self.replica.status().term
    }

    pub(crate) fn is_fresh(&self) -> bool {
        self.replica.is_fresh(FRESH_SPAN, self.clock.now())
    }

    pub(crate) fn describe(&self) -> serde_json::Value {
        let status = self.replica.status();
        let voters = status.members.voters.iter();
        let voters: Vec<_> = voters
            .map(|member| json!({ "replica": format!("{:016x}", member.id), "address": member.address }))
            .collect();
        json!({
            "name": self.own.name,
            "replica": format!("{:016x}", status.id),
            "role": format!("{:?}", status.role).to_lowercase(),
            "term": status.term,
            "leader": status.leader.map(|id| format!("{id:016x}")),
            "is_fresh": self.is_fresh(),
            "voters": voters,
            "last_index": status.last_index,
            "commit": status.commit,
            "version": self.state.version(),
            "processes": self.describe_processes(),
        })
    }

    /// Describes the processes in touch, each once, with the version in force there.
    fn describe_processes(&self) -> Vec<serde_json::Value> {
        let hellos = self.links.values().filter_map(|link| link.hello.as_ref());
        let by_name: BTreeMap<&str, &Hello> =
            hellos.map(|hello| (hello.name.as_str(), hello)).collect();
        let describe = |hello: &Hello| {
            let role = match hello.role {
                PeerRole::Entry => "entry",
                PeerRole::Guard => "guard",
                PeerRole::Control { .. } => "control",
            };
            json!({ "name": hello.name, "role": role, "address": hello.address, "version": hello.version })
        };
        by_name.into_values().map(describe).collect()
    }

    /// Appends an offer if this process leads, and passes it to the leader otherwise.
    pub(crate) fn offer(&mut self, offer: &Offer) {
        let version = offer.configuration.version;
        let status = self.replica.status();
        if status.role != Role::Leader {
            if let Some(leader) = status.leader.filter(|id| *id != self.replica_id) {
                self.send_to_replica(leader, &PeerMessage::Offer(offer.clone()));
            }
            return;
        }
        let is_under_way = self
            .offered
            .get(&version)
            .is_some_and(|&index| index > status.commit);
        if version <= self.state.version() || is_under_way {
            return;
        }
        let Ok(command) = postcard::to_stdvec(offer) else {
            log::error!(version; "an offer cannot be encoded");
            return;
        };
        if let Ok(index) = self.replica.propose(command, self.clock.now()) {
            self.offered.retain(|_, held| *held > status.commit);
            self.offered.insert(version, index);
        }
        self.advance();
    }

    /// Begins to prove the newest committed place; here or at the leader.
    pub(crate) fn begin_read(&mut self) -> oneshot::Receiver<Option<LogIndex>> {
        let (tx, rx) = oneshot::channel();
        let token = self.take_token();
        self.own_reads.insert(token, tx);
        let status = self.replica.status();
        match status.leader {
            Some(leader) if leader != self.replica_id => {
                if !self.send_to_replica(leader, &PeerMessage::Read { token }) {
                    self.finish_read(token, None);
                }
            }
            _ => {
                self.replica.begin_read(token, self.clock.now());
                self.advance();
            }
        }
        rx
    }

    fn take_token(&mut self) -> u64 {
        self.next_token += 1;
        self.own_reads.retain(|_, waiting| !waiting.is_closed());
        self.next_token
    }

    fn finish_read(&mut self, token: u64, index: Option<LogIndex>) {
        if let Some((link, token)) = self.peer_reads.remove(&token) {
            self.send(link, &PeerMessage::ReadReply { token, index });
        }
        if let Some(waiting) = self.own_reads.remove(&token) {
            // The operator may have left.
            let _ = waiting.send(index);
        }
    }

    /// Does what has fallen due.
    pub(crate) fn tick(&mut self) {
        let now = self.clock.now();
        self.replica.tick(now);
        self.try_to_found();
        self.advance();
        let gone = |entry: &KnownEntry| entry.gone_at.is_some_and(|at| now > at + ENTRY_MEMORY);
        let known = self.entries.len();
        self.entries.retain(|_, entry| !gone(entry));
        if self.entries.len() != known {
            self.send_directory();
        }
        let is_fresh = self.is_fresh();
        if now >= self.noticed_at + NOTICE_INTERVAL || is_fresh != self.is_told_fresh {
            self.send_notice();
        }
        self.log_slow_writes(now);
    }

    fn log_slow_writes(&mut self, now: Duration) {
        for (batch, since) in &mut self.writes {
            if now > *since + SLOW_WRITE {
                log::warn!(batch, waited_ms = (now - *since).as_millis() as u64; "the disk is slow");
                *since = now;
            }
        }
    }

    /// Takes an event of the disk.
    pub(crate) fn disk_event(&mut self, event: DiskEvent) {
        match event {
            DiskEvent::Synced(batch) => {
                self.replica.persisted(batch, self.clock.now());
                self.writes = self.writes.split_off(&(batch + 1));
                let later = self.held_messages.split_off(&(batch + 1));
                let due = std::mem::replace(&mut self.held_messages, later);
                for outgoing in due.into_values().flatten() {
                    self.send_to_replica(outgoing.to, &PeerMessage::Consensus(outgoing.message));
                }
                self.advance();
            }
            DiskEvent::Refusing => log::warn!("the disk refuses writes"),
        }
    }

    /// Takes an event of a link.
    pub(crate) fn link_event(&mut self, event: LinkEvent<PeerMessage>) {
        match event {
            LinkEvent::Opened {
                link,
                dialed,
                sender,
                ..
            } => {
                self.own.version = self.state.version();
                self.own.role = self.own_role();
                sender.send(&PeerMessage::Hello(self.own.clone()));
                let hello = None;
                self.links.insert(
                    link,
                    Link {
                        sender,
                        dialed,
                        hello,
                    },
                );
            }
            LinkEvent::Received { link, message } => self.receive(link, message),
            LinkEvent::Closed { link } => self.link_closed(link),
        }
        self.advance();
    }

    fn own_role(&self) -> PeerRole {
        PeerRole::Control {
            replica: self.replica_id,
            is_blank: self.replica.status().last_index == 0,
        }
    }

    fn receive(&mut self, link: LinkId, message: PeerMessage) {
        let now = self.clock.now();
        match message {
            PeerMessage::Hello(hello) => self.greet(link, hello),
            PeerMessage::Fetch => {
                if let Some(held) = self.state.current().cloned() {
                    self.send(link, &PeerMessage::Configuration(held));
                }
            }
            PeerMessage::Consensus(message) => {
                if let Some(from) = self.replica_at(link) {
                    self.replica.receive(from, message, now);
                }
            }
            PeerMessage::Offer(offer) => {
                if self.replica.status().role == Role::Leader {
                    self.offer(&offer);
                }
            }
            PeerMessage::Read { token } => {
                let own = self.take_token();
                self.peer_reads.insert(own, (link, token));
                self.replica.begin_read(own, now);
            }
            PeerMessage::ReadReply { token, index } => self.finish_read(token, index),
            PeerMessage::Holding { version, .. } => {
                let held = self
                    .links
                    .get_mut(&link)
                    .and_then(|held| held.hello.as_mut());
                if let Some(hello) = held {
                    hello.version = version;
                }
            }
            PeerMessage::ToRunner(_)
            | PeerMessage::ToDispatcher(_)
            | PeerMessage::Configuration(_)
            | PeerMessage::Directory(_)
            | PeerMessage::Invite { .. } => {}
        }
    }

    fn replica_at(&self, link: LinkId) -> Option<ReplicaId> {
        match self.links.get(&link)?.hello.as_ref()?.role {
            PeerRole::Control { replica, .. } => Some(replica),
            _ => None,
        }
    }

    fn greet(&mut self, link: LinkId, hello: Hello) {
        let now = self.clock.now();
        let Some(held) = self.links.get_mut(&link) else {
            return;
        };
        let dialed = held.dialed;
        let (role, address) = (hello.role, hello.address);
        log::info!(peer = hello.name.as_str(), address = address.to_string().as_str(), link; "a peer is in touch");
        held.hello = Some(hello);
        match role {
            PeerRole::Control { replica, .. } => {
                if self.controls.insert(address) {
                    self.send_directory();
                }
                self.dialed.add(address);
                if dialed {
                    self.replica_links.insert(replica, link);
                    self.replica.link_renewed(replica);
                    self.replica.add_listener(
                        Member {
                            id: replica,
                            address,
                        },
                        now,
                    );
                }
            }
            PeerRole::Entry => {
                let entry = self.entries.entry(address).or_insert(KnownEntry {
                    links: 0,
                    gone_at: None,
                });
                entry.links += 1;
                entry.gone_at = None;
                self.send_directory();
            }
            PeerRole::Guard => {}
        }
        if !matches!(role, PeerRole::Control { .. }) {
            self.send_notice_to(link);
            self.send(link, &PeerMessage::Directory(self.directory()));
        }
    }

    fn link_closed(&mut self, link: LinkId) {
        let Some(held) = self.links.remove(&link) else {
            return;
        };
        let now = self.clock.now();
        let Some(hello) = held.hello else {
            return;
        };
        log::info!(peer = hello.name.as_str(), link; "a peer is out of touch");
        match hello.role {
            PeerRole::Control { replica, .. }
                if self.replica_links.get(&replica) == Some(&link) =>
            {
                self.replica_links.remove(&replica);
                self.replica.remove_listener(replica, now);
            }
            PeerRole::Entry => {
                if let Some(entry) = self.entries.get_mut(&hello.address) {
                    entry.links = entry.links.saturating_sub(1);
                    if entry.links == 0 {
                        entry.gone_at = Some(now);
                    }
                }
            }
            PeerRole::Control { .. } | PeerRole::Guard => {}
        }
    }

    fn directory(&self) -> Directory {
        Directory {
            entries: self.entries.keys().copied().collect(),
            controls: self.list_controls(),
        }
    }

    /// Lists the voters first, then whoever else keeps the log, then the seeds.
    fn list_controls(&self) -> Vec<SocketAddr> {
        let mut controls: Vec<SocketAddr> = Vec::new();
        let voters = self
            .replica
            .members()
            .voters
            .iter()
            .map(|member| member.address);
        let linked = self.links.values().filter_map(|link| link.hello.as_ref());
        let linked = linked.filter(|hello| matches!(hello.role, PeerRole::Control { .. }));
        let linked = linked.map(|hello| hello.address);
        let own = std::iter::once(self.own.address);
        for address in voters.chain(own).chain(linked) {
            if !controls.contains(&address) {
                controls.push(address);
            }
        }
        controls
    }

    fn send(&self, link: LinkId, message: &PeerMessage) -> bool {
        self.links
            .get(&link)
            .is_some_and(|link| link.sender.send(message))
    }

    fn send_to_replica(&self, replica: ReplicaId, message: &PeerMessage) -> bool {
        let link = self.replica_links.get(&replica);
        link.is_some_and(|link| self.send(*link, message))
    }

    fn send_to_attached(&self, message: &PeerMessage) {
        for link in self.links.values() {
            let role = link.hello.as_ref().map(|hello| hello.role);
            if matches!(role, Some(PeerRole::Entry | PeerRole::Guard)) {
                link.sender.send(message);
            }
        }
    }

    fn send_directory(&self) {
        self.send_to_attached(&PeerMessage::Directory(self.directory()));
    }

    fn notice(&self) -> PeerMessage {
        PeerMessage::Holding {
            version: self.state.version(),
            is_fresh: self.is_fresh(),
        }
    }

    fn send_notice_to(&self, link: LinkId) {
        self.send(link, &self.notice());
    }

    fn send_notice(&mut self) {
        self.noticed_at = self.clock.now();
        self.is_told_fresh = self.is_fresh();
        self.send_to_attached(&self.notice());
    }

    /// Founds the group once all founders are in touch and blank; only the first of them does.
    fn try_to_found(&mut self) {
        let Some(founding) = &self.founding else {
            return;
        };
        if self.replica.status().last_index > 0 {
            self.founding = None;
            return;
        }
        let mut voters = Vec::new();
        for seed in &founding.seeds {
            if *seed == self.own.address {
                voters.push(Member {
                    id: self.replica_id,
                    address: *seed,
                });
                continue;
            }
            let mut links = self.links.values().filter(|link| link.dialed);
            let hello = links.find_map(|link| link.hello.as_ref().filter(|h| h.address == *seed));
            match hello.map(|hello| hello.role) {
                Some(PeerRole::Control {
                    replica,
                    is_blank: true,
                }) => {
                    voters.push(Member {
                        id: replica,
                        address: *seed,
                    });
                }
                _ => return,
            }
        }
        voters.sort_by_key(|member| member.id);
        log::info!(voters = voters.len(); "the group is founded");
        self.founding = None;
        let state = self.state.encode();
        self.replica.found(Members { voters }, state);
        self.advance();
    }

    /// Carries out what the replica wants.
    fn advance(&mut self) {
        let ready = self.replica.take_ready();
        if let Some(batch) = ready.batch {
            self.writes.insert(batch, self.clock.now());
            self.disk.write(batch, ready.records);
        }
        for outgoing in ready.messages {
            match ready.batch {
                Some(batch) if outgoing.after_sync => {
                    self.held_messages.entry(batch).or_default().push(outgoing);
                }
                _ => {
                    self.send_to_replica(outgoing.to, &PeerMessage::Consensus(outgoing.message));
                }
            }
        }
        if let Some(snapshot) = ready.restored {
            match ConfigurationState::decode(&snapshot.state) {
                Ok(state) => self.state = state,
                Err(cause) => log::error!("a snapshot cannot be read: {cause}"),
            }
            self.applied.send_replace(snapshot.index);
        }
        for entry in ready.committed {
            self.apply(entry);
        }
        for (token, index) in ready.reads {
            self.finish_read(token, index);
        }
        if self.state.version() != *self.version.borrow() {
            self.version.send_replace(self.state.version());
            self.send_notice();
        }
        self.note_beliefs();
    }

    fn apply(&mut self, entry: Entry) {
        let index = entry.index;
        match entry.payload {
            Payload::Command(command) => match postcard::from_bytes::<Offer>(&command) {
                Ok(offer) => {
                    let version = offer.configuration.version;
                    let source = offer.source.clone();
                    let before = self.state.version();
                    let outcome = self.state.apply(offer);
                    log::info!(
                        version, before, index, source = source.as_str(),
                        outcome = format!("{outcome:?}").as_str();
                        "a configuration is decided on"
                    );
                }
                Err(cause) => log::error!(index; "an entry cannot be read: {cause}"),
            },
            Payload::Members(members) => {
                let voters: Vec<String> = members
                    .voters
                    .iter()
                    .map(|member| member.address.to_string())
                    .collect();
                log::info!(index, voters = voters.join(",").as_str(); "the voters have changed");
                for member in &members.voters {
                    self.dialed.add(member.address);
                }
                self.send_directory();
            }
            Payload::Empty => {}
        }
        let state = &self.state;
        self.replica.offer_snapshot(index, || state.encode());
        self.applied.send_replace(index);
    }

    /// Logs a change of term, role or leader.
    fn note_beliefs(&mut self) {
        let status = self.replica.status();
        let belief = (status.term, status.role, status.leader);
        if belief == self.believed {
            return;
        }
        self.believed = belief;
        let leader = status
            .leader
            .map(|id| format!("{id:016x}"))
            .unwrap_or_default();
        log::info!(
            term = status.term, role = format!("{:?}", status.role).as_str(),
            leader = leader.as_str(), commit = status.commit;
            "the group has changed"
        );
    }
}
