//! Waves of upkeep: their orders on the way into the log, and the holder while this process leads.
//!
//! Decision: what becomes of an order before the log. Rule: a process that doesn't lead passes it to the leader. The leader appends it
//! unless its number is known or stands in the log already, or a connected control process is of a build that cannot apply it: that
//! one's state would differ for good. What an applied order changes is decided by `cloverfold_upkeep`.
//!
//! Decision: who holds the upkeep. Rule: the leader of the log from a proof in its term on, until it sees another term or role; the
//! term is the fencing token. Reason: every announced call of an earlier holder is applied by then, and no two leaders share a term.
//!
//! Owns, in [`UpkeepRuntime`], the holder and what is counted for the metrics.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::{random_u64, unix_now};
use cloverfold_consensus::{LogIndex, Role, Term};
use cloverfold_peer::{Hello, PeerMessage};
use cloverfold_upkeep::{
    CallOutcome, ListedBox, SchedulerAction, SchedulerInput, SchedulerTimings,
    TARGET_HOLD_DURATION, UpkeepCommand, UpkeepScheduler, UpkeepState, WaveBox, WaveNumber,
    WaveOrder, WaveRequest, WaveStatus,
};

use super::ControlState;
use super::replicated::Command;
use super::uncommitted::UncommittedEntries;
use super::upkeep_targets::KnownTarget;

/// What a process does for waves of upkeep.
#[derive(Debug, Default)]
pub(super) struct UpkeepRuntime {
    uncommitted: UncommittedEntries<WaveNumber>,
    /// The holder, and the term that it holds in.
    holder: Option<(Term, UpkeepScheduler)>,
    /// The guards' targets, by the guard's address.
    pub(super) targets: HashMap<SocketAddr, KnownTarget>,
    /// The waves that were logged as late.
    late: BTreeSet<WaveNumber>,
    /// How many calls and readings have ended how, by the name of the outcome.
    outcomes: BTreeMap<&'static str, u64>,
}

impl ControlState {
    /// Returns the waves as they are known here.
    pub(crate) fn upkeep(&self) -> &UpkeepState {
        &self.state.upkeep
    }

    /// Makes an order of an operator's call.
    pub(crate) fn create_wave_order(&self, request: WaveRequest) -> WaveOrder {
        WaveOrder {
            wave: request.wave,
            boxes: request.boxes,
            span: request.span,
            most_down: request.most_down,
            source: self.own.name.clone(),
            received_at: unix_now(),
        }
    }

    /// Appends an order of a wave if this process leads, and passes it to the leader otherwise. Where neither is possible it is dropped;
    /// the process that received it submits it again.
    pub(crate) fn submit_wave(&mut self, order: &WaveOrder) {
        if self.host.replica.status().role == Role::Leader {
            self.append_wave(order);
            return;
        }
        let leader = self.find_other_leader();
        let link = leader.and_then(|leader| self.replica_links.get(&leader));
        if let Some(&link) = link
            && self
                .links
                .hello(link)
                .is_some_and(Hello::supports_kept_jobs)
        {
            let command = UpkeepCommand::Order(order.clone());
            self.links.send(link, &PeerMessage::UpkeepCommand(command));
        }
    }

    /// Appends an order that a peer passed on, if this process leads. Other commands come from the holder alone.
    pub(super) fn receive_upkeep_command(&mut self, command: &UpkeepCommand) {
        if let UpkeepCommand::Order(order) = command
            && self.host.replica.status().role == Role::Leader
        {
            self.append_wave(order);
        }
    }

    fn append_wave(&mut self, order: &WaveOrder) {
        let commit = self.host.replica.status().commit;
        if self.upkeep().order_outcome(order).is_some()
            || self
                .upkeep_runtime
                .uncommitted
                .is_uncommitted(&order.wave, commit)
        {
            return;
        }
        if let Some(name) = self.find_incompatible_control(Hello::supports_kept_jobs) {
            log::warn!(wave = order.wave, process = name; "no wave is possible: a control process is of an older build");
            return;
        }
        if let Some(index) = self.append_upkeep(UpkeepCommand::Order(order.clone())) {
            self.upkeep_runtime
                .uncommitted
                .record(order.wave, index, commit);
        }
        self.advance();
    }

    fn append_upkeep(&mut self, command: UpkeepCommand) -> Option<LogIndex> {
        let Ok(command) = Command::Upkeep(command).encode() else {
            log::error!("a command of upkeep cannot be encoded");
            return None;
        };
        self.host.replica.propose(command, self.clock.now()).ok()
    }

    /// Applies a command that is committed.
    pub(super) fn apply_upkeep(&mut self, command: UpkeepCommand, index: LogIndex) {
        let described = describe_command(&command);
        let is_change = self.state.upkeep.apply(command, index);
        if let Some((key, step)) = described {
            let (wave, name) = (key.0, key.1.as_str());
            if is_change {
                log::info!(wave, name, step, index; "the upkeep of a box goes on");
            }
            if let Some((_, holder)) = &mut self.upkeep_runtime.holder {
                holder.record_applied(&key);
            }
        } else if let Some(record) = self.upkeep().audit().last() {
            log::info!(
                wave = record.wave, outcome = record.outcome.as_str(), boxes = record.boxes, index,
                source = record.source.as_str();
                "a wave of upkeep is decided on"
            );
        }
    }

    /// Returns the term that this process leads in; `None` if it doesn't lead.
    pub(crate) fn leading_term(&self) -> Option<Term> {
        let status = self.host.replica.status();
        (status.role == Role::Leader).then_some(status.term)
    }

    /// Returns whether any wave is not over here.
    pub(crate) fn has_open_wave(&self) -> bool {
        self.upkeep().open_waves().next().is_some()
    }

    /// Returns whether this process holds the upkeep in a term; a holder of another term ends.
    pub(crate) fn holds_upkeep(&mut self, term: Option<Term>) -> bool {
        let holder = &mut self.upkeep_runtime.holder;
        if let Some((ended, _)) = holder.take_if(|(held, _)| Some(*held) != term) {
            log::info!(term = ended; "this process holds the upkeep no longer");
        }
        holder.is_some()
    }

    /// Begins to hold the upkeep in a term.
    pub(crate) fn hold_upkeep(&mut self, term: Term, timings: SchedulerTimings) {
        let holder = UpkeepScheduler::new(timings, self.upkeep(), self.clock.now());
        self.upkeep_runtime.holder = Some((term, holder));
        log::info!(term; "this process holds the upkeep");
    }

    /// Carries out what the holder wants of the log and of guards; returns what it wants of the platform.
    pub(crate) fn take_upkeep_steps(&mut self) -> Vec<SchedulerAction> {
        let evacuated = self.evacuations().halls().halls;
        let loads = self.list_loads();
        let moment = SchedulerInput {
            now: self.clock.now(),
            wall: unix_now(),
            evacuated: &evacuated,
            loads: &loads,
        };
        let Some((_, holder)) = &mut self.upkeep_runtime.holder else {
            return Vec::new();
        };
        let steps = holder.next_actions(&self.state.upkeep, &moment);
        self.log_late_waves();
        let mut calls = Vec::new();
        for step in steps {
            match step {
                SchedulerAction::BoxChosen((wave, name)) => {
                    log::info!(wave, name = name.as_str(); "a box is next and is emptied");
                }
                SchedulerAction::Propose(command) => {
                    log_emptied(&command);
                    // One that is not appended is proposed again.
                    let _ = self.append_upkeep(command);
                }
                SchedulerAction::HoldTarget(target) => {
                    self.send_hold(&target, TARGET_HOLD_DURATION);
                }
                SchedulerAction::QueryLoad(target) => self.send_hold(&target, Duration::ZERO),
                SchedulerAction::Call(_) | SchedulerAction::ReadList => calls.push(step),
            }
        }
        self.advance();
        calls
    }

    /// Records the outcome of a call for the upkeep of a box.
    pub(crate) fn upkeep_call_ended(&mut self, term: Term, key: &WaveBox, outcome: CallOutcome) {
        self.count_upkeep(outcome.as_str());
        let (wave, name) = (key.0, key.1.as_str());
        log::info!(wave, name, outcome = outcome.as_str(), term; "a call for upkeep has ended");
        let now = self.clock.now();
        if let Some((held, holder)) = &mut self.upkeep_runtime.holder
            && *held == term
        {
            holder.record_call_outcome(key, outcome, now, random_u64());
        }
    }

    /// Records a complete reading of the list that began at a time, or that it failed.
    pub(crate) fn boxes_read(
        &mut self,
        term: Term,
        boxes: Option<Vec<ListedBox>>,
        began_at: cloverfold_base::Timestamp,
    ) {
        let now = self.clock.now();
        let Some((held, holder)) = &mut self.upkeep_runtime.holder else {
            return;
        };
        if *held != term {
            return;
        }
        match boxes {
            Some(boxes) => holder.record_list(&self.state.upkeep, boxes, began_at),
            None => holder.record_list_failure(now, random_u64()),
        }
    }

    /// Counts an outcome of a call or reading.
    pub(crate) fn count_upkeep(&mut self, outcome: &'static str) {
        *self.upkeep_runtime.outcomes.entry(outcome).or_default() += 1;
    }

    /// Returns how many calls and readings have ended how since the start.
    pub(crate) fn upkeep_outcomes(&self) -> &BTreeMap<&'static str, u64> {
        &self.upkeep_runtime.outcomes
    }

    /// Returns how the holder sees an open wave; `None` if this process doesn't hold the upkeep.
    pub(crate) fn outlook(&self, wave: WaveNumber) -> Option<&WaveStatus> {
        let (_, holder) = self.upkeep_runtime.holder.as_ref()?;
        holder.wave_statuses().get(&wave)
    }

    /// Logs once of each wave that it is expected to miss its time.
    fn log_late_waves(&mut self) {
        let Some((_, holder)) = &self.upkeep_runtime.holder else {
            return;
        };
        for (wave, outlook) in holder.wave_statuses() {
            if let Some(late_by) = outlook.late_by.filter(|_| outlook.waiting > 0)
                && self.upkeep_runtime.late.insert(*wave)
            {
                let late_ms = late_by.as_millis() as u64;
                log::warn!(wave = *wave, late_ms, waiting = outlook.waiting; "a wave of upkeep will be late");
            }
        }
    }
}

/// Logs that a box is empty, or was held for long enough, when its call is about to be announced.
fn log_emptied(command: &UpkeepCommand) {
    if let UpkeepCommand::Call { wave, name } = command {
        log::info!(wave = *wave, name = name.as_str(); "a box is emptied");
    }
}

/// Returns the box that a command is about, and the name of what it changes; `None` of an order.
fn describe_command(command: &UpkeepCommand) -> Option<(WaveBox, &'static str)> {
    match command {
        UpkeepCommand::Order(_) => None,
        UpkeepCommand::Call { wave, name } => Some(((*wave, name.clone()), "called")),
        UpkeepCommand::Begun { wave, name } => Some(((*wave, name.clone()), "begun")),
        UpkeepCommand::Back { wave, name } => Some(((*wave, name.clone()), "back")),
        UpkeepCommand::Gone { wave, name } => Some(((*wave, name.clone()), "gone")),
        UpkeepCommand::Refused { wave, name } => Some(((*wave, name.clone()), "refused")),
    }
}
