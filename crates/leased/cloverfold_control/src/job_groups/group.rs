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

/// Entries after which the log of a group is compacted. Chosen, not measured: a table of some megabytes is written every 20 s at 50
/// syncs a second.
const COMPACTION_THRESHOLD: usize = 1_024;
/// Entries in one message: with [`MAX_ENTRY_BYTES`](super::batches::MAX_ENTRY_BYTES) half of the longest frame.
const MAX_BATCH_ENTRIES: usize = 8;

/// Bytes of a table in one message; a full table has some 50 MB. Chosen, not measured: an eighth of the longest frame.
const MAX_SNAPSHOT_BYTES: usize = 1024 * 1024;

/// Age of an unsynced write from which on a leader gives up its lead if the others' disks are faster. Chosen, not measured: twice the span
/// after which it takes no new jobs.
const LEADER_DISK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long the committed index waits to be written with the next entry. A write of its own takes the disk a sync, for which the next
/// entry waits: with 9 ms a sync half of the jobs of a loaded site were accepted after some 50 ms instead of 20.
const COMMIT_DELAY: Duration = Duration::from_millis(100);

/// What all groups of a process have in common.
#[derive(Clone, Debug)]
pub(crate) struct GroupSettings {
    /// The identity of this process's disk.
    pub(crate) replica: ReplicaId,
    /// How many voters a group should have.
    pub(crate) voters: usize,
    /// How long ended jobs are remembered.
    pub(crate) retention: Duration,
}

/// One replica of one group.
pub(crate) struct GroupHost {
    pub(super) id: GroupId,
    retention: Duration,
    pub(super) host: ReplicaHost,
    /// After all applied entries.
    pub(super) table: JobTable,
    /// `Some` while this replica leads.
    pub(super) leader_state: Option<LeaderState>,
    pub(super) effects: Vec<GroupEffect>,
    pub(super) counts: JobCounts,
}

impl GroupHost {
    /// Goes on from what the disk has. A founder whose log is empty begins the group.
    ///
    /// All founders begin with the same members and state, so their logs agree. A disk that was lost has another identity and is no
    /// founder: it never votes before the group has added it.
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
            log::info!(group = id, members = founders.voters.len(); "a group that keeps jobs begins");
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

    /// Returns what is to be done and clears it.
    pub(crate) fn take_effects(&mut self) -> Vec<GroupEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Does the work that has fallen due.
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

    /// Decision: when a leader gives up its lead. Rule: once its disk has not synced a write for [`LEADER_DISK_TIMEOUT`] that the majority has
    /// synced. Inputs: the age of the oldest write, the committed and the synced index. Reason: a leader whose disk hangs takes no new
    /// jobs, while those of the others work. Where all disks are slow nobody is ahead, and the leader stays.
    fn step_down_if_disk_hangs(&mut self, now: Timestamp) {
        let hangs = self.host.is_disk_stuck(LEADER_DISK_TIMEOUT, now);
        if self.leader_state.is_some() && hangs && self.host.replica.is_disk_behind() {
            log::warn!(group = self.id; "the disk hangs: another process is to lead the group");
            self.host.replica.step_down(now);
        }
    }

    /// Handles a message of another replica.
    pub(crate) fn receive(&mut self, from: ReplicaId, message: Message, now: Timestamp) {
        self.host.replica.receive(from, message, now);
        self.advance(now);
    }

    /// Handles an event of the disk.
    pub(crate) fn disk_event(&mut self, event: &DiskEvent, now: Timestamp) {
        let messages = self.host.disk_event(event, now);
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

    /// Carries out what the replica wants, and appends what waits.
    pub(super) fn advance(&mut self, now: Timestamp) {
        loop {
            self.process_ready(now);
            if !self.propose_waiting(now) {
                return;
            }
        }
    }

    fn process_ready(&mut self, now: Timestamp) {
        let wanted = self.host.write_wanted(now);
        self.send(wanted.messages);
        self.update_role(now);
        if let Some(snapshot) = wanted.restored {
            self.restore(&snapshot);
        }
        for entry in wanted.committed {
            self.apply(entry, now);
        }
        for outcome in wanted.reads {
            let leader_state = self.leader_state.as_mut();
            let reads = leader_state.map_or(Vec::new(), |l| l.reads.finish(outcome.token));
            for read in reads {
                self.finish_read(read, outcome.index.is_some(), now);
            }
        }
    }

    /// Appends the next commands and begins the next proof, if that is possible; returns whether anything changed.
    fn propose_waiting(&mut self, now: Timestamp) -> bool {
        let Some(leader_state) = &mut self.leader_state else {
            return false;
        };
        let mut has_changed = false;
        if let Some((entry, callers)) = leader_state.batches.take_next() {
            let appended = self.host.replica.propose(entry, now);
            // It was leading a moment ago; if not, `update_role` ends this term.
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

    /// Begins or ends to lead.
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
            log::info!(group = self.id, term = ended.term; "this process no longer leads a group that keeps jobs");
            self.reject_waiting(ended);
        }
        if let Some(term) = term {
            log::info!(group = self.id, term; "this process leads a group that keeps jobs");
            self.leader_state = Some(LeaderState::new(term, &self.table, now));
        }
    }

    /// Refuses the calls that had no effect. Those whose commands were appended get no answer: they may be committed yet.
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
            Err(cause) => log::error!(group = self.id; "a snapshot cannot be read: {cause}"),
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

/// Returns the members that a group begins with.
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
