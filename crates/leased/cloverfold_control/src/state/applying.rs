//! What the replica wants carried out, and what the group has decided.

use std::time::Duration;

use cloverfold_configuration::{ConfigurationState, Proposal};
use cloverfold_consensus::{Entry, Member, Members, Payload};
use cloverfold_peer::{PeerMessage, PeerRole};

use super::{ControlState, SLOW_WRITE};
use crate::disk::DiskEvent;

impl ControlState {
    pub(super) fn log_slow_writes(&mut self, now: Duration) {
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
                self.replica
                    .persisted(batch, self.clock.now().since_start());
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

    /// Founds the group once all founders are in touch and blank; only the first of them does.
    pub(super) fn try_to_found(&mut self) {
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
                    has_empty_log: true,
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
        self.replica.bootstrap(Members { voters }, state);
        self.advance();
    }

    /// Carries out what the replica wants.
    pub(super) fn advance(&mut self) {
        let ready = self.replica.take_ready();
        if let Some(batch) = ready.batch {
            self.writes.insert(batch, self.clock.now().since_start());
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

    pub(super) fn apply(&mut self, entry: Entry) {
        let index = entry.index;
        match entry.payload {
            Payload::Command(command) => match postcard::from_bytes::<Proposal>(&command) {
                Ok(proposal) => {
                    let version = proposal.configuration.version;
                    let source = proposal.source.clone();
                    let before = self.state.version();
                    let outcome = self.state.apply(proposal);
                    log::info!(
                        version, before, index, source = source.as_str(),
                        outcome = outcome.as_str();
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
        self.replica.maybe_compact(index, || state.encode());
        self.applied.send_replace(index);
    }

    /// Logs a change of term, role or leader.
    pub(super) fn note_beliefs(&mut self) {
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
            term = status.term, role = status.role.as_str(),
            leader = leader.as_str(), commit = status.commit;
            "the group has changed"
        );
    }
}
