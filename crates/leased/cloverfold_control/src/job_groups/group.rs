//! One replica of a group that keeps jobs.

use std::time::Duration;

use cloverfold_base::{Timestamp, random_u64};
use cloverfold_consensus::{
    Entry, Member, Members, Message, OutgoingMessage, Payload, RecoveredState, Replica,
    ReplicaConfig, ReplicaId, Role, Snapshot,
};
use cloverfold_kept_jobs::{CallRefusal, GroupId, JobGroups, JobReply, JobTable};

use super::GroupEffect;
use super::leader::LeaderState;
use crate::disk::{DiskEvent, DiskWriter};
use crate::job_counts::JobCounts;
use crate::replica_host::ReplicaHost;

/// Number of log entries that triggers compaction. At 50 syncs per second, the table of some megabytes is written every 20 s.
const COMPACTION_THRESHOLD: usize = 1_024;
/// Maximum number of entries in one message; with [`MAX_ENTRY_BYTES`](super::batches::MAX_ENTRY_BYTES), half of the longest frame.
const MAX_BATCH_ENTRIES: usize = 8;

/// Maximum size of a snapshot's state in one message, an eighth of the longest frame. A full table has about 50 MB.
const MAX_SNAPSHOT_BYTES: usize = 1024 * 1024;

/// Age of an unsynced write from which on a leader steps down if the other disks are faster. Twice the timeout for refusing new jobs.
const LEADER_DISK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long the commit index waits to be written together with the next entry. Writing it alone costs a sync, which delays the next entry.
const COMMIT_DELAY: Duration = Duration::from_millis(100);

/// Settings shared by all groups of a process.
#[derive(Clone, Debug)]
pub(crate) struct GroupSettings {
    /// The replica identity of this process.
    pub(crate) replica: ReplicaId,
    /// Target number of voters of a group.
    pub(crate) voters: usize,
    /// How long ended jobs are retained.
    pub(crate) retention: Duration,
}

/// One replica of one group.
pub(crate) struct GroupHost {
    pub(super) id: GroupId,
    retention: Duration,
    pub(super) host: ReplicaHost,
    /// The jobs after all applied entries.
    pub(super) table: JobTable,
    /// `Some` while this replica leads.
    pub(super) leader_state: Option<LeaderState>,
    pub(super) effects: Vec<GroupEffect>,
    pub(super) counts: JobCounts,
}

impl GroupHost {
    /// Opens a replica from the state recovered from disk. A founder with an empty log bootstraps the group.
    ///
    /// All founders bootstrap with the same members and state, so their logs agree. A replacement disk has a new identity and is not a
    /// founder, so it does not vote before the group has added it.
    pub(crate) fn open(
        id: GroupId,
        groups: &JobGroups,
        settings: &GroupSettings,
        disk: DiskWriter,
        recovered: RecoveredState,
        now: Timestamp,
    ) -> Self {
        let config = ReplicaConfig {
            voters: settings.voters,
            compaction_threshold: COMPACTION_THRESHOLD,
            max_batch_entries: MAX_BATCH_ENTRIES,
            max_snapshot_bytes: Some(MAX_SNAPSHOT_BYTES),
            commit_delay: COMMIT_DELAY,
            ..ReplicaConfig::default()
        };
        let mut replica = Replica::new(settings.replica, config, recovered, random_u64(), now);
        let founders = founding_members(groups);
        if founders.contains(settings.replica) && replica.status().last_index == 0 {
            log::info!(group = id, members = founders.voters.len(); "bootstrapping a group of kept jobs");
            replica.bootstrap(founders, Vec::new());
        }
        let mut group = Self {
            id,
            retention: settings.retention,
            host: ReplicaHost::new(replica, disk),
            table: JobTable::default(),
            leader_state: None,
            effects: Vec::new(),
            counts: JobCounts::default(),
        };
        group.advance(now);
        group
    }

    pub(crate) fn take_effects(&mut self) -> Vec<GroupEffect> {
        std::mem::take(&mut self.effects)
    }

    pub(crate) fn tick(&mut self, now: Timestamp) {
        self.host.replica.tick(now);
        self.step_down_if_disk_hangs(now);
        self.advance(now);
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.tick(&self.table, self.retention, now);
            self.advance(now);
        }
        self.answer_due_watches(now);
        self.host.log_slow(now);
    }

    /// Steps down if this leader's disk has not synced a write for [`LEADER_DISK_TIMEOUT`] that a majority has synced: such a leader
    /// accepts no new jobs, while the others could. If all disks are slow, no majority is ahead and the leader stays.
    fn step_down_if_disk_hangs(&mut self, now: Timestamp) {
        let is_stuck = self.host.is_disk_stuck(LEADER_DISK_TIMEOUT, now);
        if self.leader_state.is_some() && is_stuck && self.host.replica.is_disk_behind() {
            log::warn!(group = self.id; "the disk has not synced a write in time; stepping down as leader of the group");
            self.host.replica.step_down(now);
        }
    }

    pub(crate) fn receive(&mut self, from: ReplicaId, message: Message, now: Timestamp) {
        self.host.replica.receive(from, message, now);
        self.advance(now);
    }

    pub(crate) fn handle_disk_event(&mut self, event: &DiskEvent, now: Timestamp) {
        let messages = self.host.handle_disk_event(event, now);
        self.send(messages);
        self.advance(now);
    }

    /// Records that another replica is connected.
    pub(crate) fn connected(&mut self, member: Member) {
        self.host.replica.link_reopened(member.id);
        self.host.replica.add_learner(member);
    }

    /// Records that the link to another replica is closed.
    pub(crate) fn disconnected(&mut self, replica: ReplicaId) {
        self.host.replica.remove_learner(replica);
    }

    /// Processes the output of the replica and appends queued commands until there is nothing left to do.
    pub(super) fn advance(&mut self, now: Timestamp) {
        loop {
            self.process_ready(now);
            if !self.propose_waiting(now) {
                return;
            }
        }
    }

    fn process_ready(&mut self, now: Timestamp) {
        let ready = self.host.write_ready(now);
        self.send(ready.messages);
        self.update_role(now);
        if let Some(snapshot) = ready.restored {
            self.restore(&snapshot);
        }
        for entry in ready.committed {
            self.apply(entry, now);
        }
        for outcome in ready.reads {
            let leader_state = self.leader_state.as_mut();
            let reads = leader_state.map_or(Vec::new(), |l| l.reads.finish(outcome.token));
            for read in reads {
                self.finish_read(read, outcome.index.is_some(), now);
            }
        }
    }

    /// Appends the next entry and starts the next read if possible; returns whether anything changed.
    fn propose_waiting(&mut self, now: Timestamp) -> bool {
        let Some(leader_state) = &mut self.leader_state else {
            return false;
        };
        let mut has_changed = false;
        if let Some((entry, callers)) = leader_state.batches.take_next() {
            let appended = self.host.replica.propose(entry, now);
            // Fails only if this replica has just lost its leadership, which `update_role` handles.
            if let Ok(index) = appended {
                leader_state
                    .batches
                    .mark_proposed(index, leader_state.term, callers, now);
            }
            has_changed = true;
        }
        if let Some(token) = leader_state.reads.start_next() {
            self.host.replica.begin_read(token, now);
            has_changed = true;
        }
        has_changed
    }

    fn send(&mut self, messages: Vec<OutgoingMessage>) {
        let messages = messages.into_iter();
        let sends = messages.map(|sent| GroupEffect::Send(sent.to, Box::new(sent.message)));
        self.effects.extend(sends);
    }

    /// Creates or drops the leader state after a change of role or term.
    fn update_role(&mut self, now: Timestamp) {
        let status = self.host.replica.status();
        let term = (status.role == Role::Leader).then_some(status.term);
        if self
            .leader_state
            .as_ref()
            .map(|leader_state| leader_state.term)
            == term
        {
            return;
        }
        if let Some(ended) = self.leader_state.take() {
            log::info!(group = self.id, term = ended.term; "lost leadership of a group of kept jobs");
            self.reject_waiting(ended);
        }
        if let Some(term) = term {
            log::info!(group = self.id, term; "became leader of a group of kept jobs");
            self.leader_state = Some(LeaderState::new(term, &self.table, now));
        }
    }

    /// Refuses the pending calls that had no effect. Calls whose commands were appended get no reply, because they may still be committed.
    fn reject_waiting(&mut self, mut ended: LeaderState) {
        let refused = JobReply::Refused(CallRefusal::NoLeader);
        for caller in ended.batches.take_waiting_callers() {
            self.answer(caller, refused.clone());
        }
        for read in ended.reads.take_all() {
            self.answer(read.caller, refused.clone());
        }
        for caller in ended.watches.take_all() {
            self.answer(caller, refused.clone());
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        match JobTable::decode(&snapshot.state) {
            Ok(table) => self.table = table,
            Err(cause) => log::error!(group = self.id; "cannot decode a snapshot: {cause}"),
        }
    }

    fn apply(&mut self, entry: Entry, now: Timestamp) {
        match entry.payload {
            Payload::Command(commands) => {
                self.apply_commands(entry.index, entry.term, &commands, now);
            }
            Payload::Members(members) => {
                let voters = members.voters.iter();
                let dials = voters.map(|member| GroupEffect::Dial(member.address));
                self.effects.extend(dials);
            }
            Payload::Empty => {}
        }
        let table = &self.table;
        self.host
            .replica
            .maybe_compact(entry.index, || table.encode());
    }
}

fn founding_members(groups: &JobGroups) -> Members {
    let founders = groups.founders.iter();
    let mut voters: Vec<Member> = founders
        .map(|founder| Member {
            id: founder.replica,
            address: founder.address,
        })
        .collect();
    voters.sort_by_key(|member| member.id);
    Members { voters }
}
