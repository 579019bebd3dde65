//! Waves of upkeep: submission of orders to the log, and the scheduler while this process leads.
//!
//! A process that does not lead forwards an order to the leader. The leader appends it unless its number is known or already in the log, or
//! a connected control process runs an older build that cannot apply it, whose state would diverge permanently. `cloverfold_upkeep`
//! implements the effect of an order.
//!
//! The leader runs the scheduler from a read barrier in its term on until its term or role changes. By then it has applied every call that
//! an earlier leader announced. The term is the fencing token, since no two leaders share one.

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

/// The state for waves of upkeep that is not replicated.
#[derive(Debug, Default)]
pub(super) struct UpkeepRuntime {
    uncommitted: UncommittedEntries<WaveNumber>,
    /// The running scheduler and its term.
    scheduler: Option<(Term, UpkeepScheduler)>,
    /// The targets of guards, by the guard's address.
    pub(super) targets: HashMap<SocketAddr, KnownTarget>,
    /// The waves that were logged as late.
    late: BTreeSet<WaveNumber>,
    /// Number of calls and list readings, by outcome.
    outcomes: BTreeMap<&'static str, u64>,
}

impl ControlState {
    /// Returns the waves as known locally.
    pub(crate) fn upkeep(&self) -> &UpkeepState {
        &self.state.upkeep
    }

    /// Creates an order for an operator's call.
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

    /// Appends an order of a wave if this process leads, otherwise forwards it to the leader. Drops it if neither is possible; the process
    /// that received it resubmits it.
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

    /// Appends an order forwarded by a peer, if this process leads. Other commands come only from the scheduler.
    pub(super) fn handle_upkeep_command(&mut self, command: &UpkeepCommand) {
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
            log::warn!(wave = order.wave, process = name; "cannot accept a wave of upkeep: a control process runs an older build");
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
            log::error!("cannot encode an upkeep command");
            return None;
        };
        self.host.replica.propose(command, self.clock.now()).ok()
    }

    pub(super) fn apply_upkeep(&mut self, command: UpkeepCommand, index: LogIndex) {
        let described = describe_command(&command);
        let has_changed = self.state.upkeep.apply(command, index);
        if let Some((key, step)) = described {
            let (wave, name) = (key.0, key.1.as_str());
            if has_changed {
                log::info!(wave, name, step, index; "the upkeep of a box changed its phase");
            }
            if let Some((_, scheduler)) = &mut self.upkeep_runtime.scheduler {
                scheduler.record_applied(&key);
            }
        } else if let Some(record) = self.upkeep().audit().last() {
            log::info!(
                wave = record.wave, outcome = record.outcome.as_str(), boxes = record.boxes, index,
                source = record.source.as_str();
                "applied an order of a wave of upkeep"
            );
        }
    }

    /// Returns the term in which this process leads; `None` if it does not lead.
    pub(crate) fn leading_term(&self) -> Option<Term> {
        let status = self.host.replica.status();
        (status.role == Role::Leader).then_some(status.term)
    }

    /// Returns whether any wave is open according to the local state.
    pub(crate) fn has_open_wave(&self) -> bool {
        self.upkeep().open_waves().next().is_some()
    }

    /// Stops a scheduler of any other term; returns whether a scheduler of this term is running.
    pub(crate) fn runs_upkeep_scheduler(&mut self, term: Option<Term>) -> bool {
        let scheduler = &mut self.upkeep_runtime.scheduler;
        if let Some((ended, _)) = scheduler.take_if(|(running, _)| Some(*running) != term) {
            log::info!(term = ended; "stopped the upkeep scheduler");
        }
        scheduler.is_some()
    }

    /// Starts the scheduler for a term.
    pub(crate) fn start_upkeep_scheduler(&mut self, term: Term, timings: SchedulerTimings) {
        let scheduler = UpkeepScheduler::new(timings, self.upkeep(), self.clock.now());
        self.upkeep_runtime.scheduler = Some((term, scheduler));
        log::info!(term; "started the upkeep scheduler");
    }

    /// Performs the scheduler's actions on the log and on guards; returns those on the platform.
    pub(crate) fn take_upkeep_actions(&mut self) -> Vec<SchedulerAction> {
        let evacuated = self.evacuations().halls().halls;
        let loads = self.list_loads();
        let input = SchedulerInput {
            now: self.clock.now(),
            wall: unix_now(),
            evacuated: &evacuated,
            loads: &loads,
        };
        let Some((_, scheduler)) = &mut self.upkeep_runtime.scheduler else {
            return Vec::new();
        };
        let actions = scheduler.next_actions(&self.state.upkeep, &input);
        self.log_late_waves();
        let mut calls = Vec::new();
        for action in actions {
            match action {
                SchedulerAction::BoxSelected((wave, name)) => {
                    log::info!(wave, name = name.as_str(); "selected the next box for upkeep; draining it");
                }
                SchedulerAction::Propose(command) => {
                    log_drained(&command);
                    // The scheduler proposes the command again if it was not appended.
                    let _ = self.append_upkeep(command);
                }
                SchedulerAction::HoldTarget(target) => {
                    self.send_hold(&target, TARGET_HOLD_DURATION);
                }
                SchedulerAction::QueryLoad(target) => self.send_hold(&target, Duration::ZERO),
                SchedulerAction::Call(_) | SchedulerAction::ReadList => calls.push(action),
            }
        }
        self.advance();
        calls
    }

    /// Records the outcome of an upkeep call for a box.
    pub(crate) fn record_upkeep_call(&mut self, term: Term, key: &WaveBox, outcome: CallOutcome) {
        self.count_upkeep(outcome.as_str());
        let (wave, name) = (key.0, key.1.as_str());
        log::info!(wave, name, outcome = outcome.as_str(), term; "upkeep call ended");
        let now = self.clock.now();
        if let Some((running_term, scheduler)) = &mut self.upkeep_runtime.scheduler
            && *running_term == term
        {
            scheduler.record_call_outcome(key, outcome, now, random_u64());
        }
    }

    /// Records a complete list of boxes whose reading started at `began_at`, or `None` if the reading failed.
    pub(crate) fn record_box_list(
        &mut self,
        term: Term,
        boxes: Option<Vec<ListedBox>>,
        began_at: cloverfold_base::Timestamp,
    ) {
        let now = self.clock.now();
        let Some((running_term, scheduler)) = &mut self.upkeep_runtime.scheduler else {
            return;
        };
        if *running_term != term {
            return;
        }
        match boxes {
            Some(boxes) => scheduler.record_list(&self.state.upkeep, boxes, began_at),
            None => scheduler.record_list_failure(now, random_u64()),
        }
    }

    /// Counts the outcome of a call or list reading.
    pub(crate) fn count_upkeep(&mut self, outcome: &'static str) {
        *self.upkeep_runtime.outcomes.entry(outcome).or_default() += 1;
    }

    /// Returns the number of calls and list readings since the start, by outcome.
    pub(crate) fn upkeep_outcomes(&self) -> &BTreeMap<&'static str, u64> {
        &self.upkeep_runtime.outcomes
    }

    /// Returns the scheduler's status of an open wave; `None` if this process does not run the scheduler.
    pub(crate) fn wave_status(&self, wave: WaveNumber) -> Option<&WaveStatus> {
        let (_, scheduler) = self.upkeep_runtime.scheduler.as_ref()?;
        scheduler.wave_statuses().get(&wave)
    }

    /// Logs each wave once that is expected to miss its deadline.
    fn log_late_waves(&mut self) {
        let Some((_, scheduler)) = &self.upkeep_runtime.scheduler else {
            return;
        };
        for (wave, status) in scheduler.wave_statuses() {
            if let Some(late_by) = status.late_by.filter(|_| status.waiting > 0)
                && self.upkeep_runtime.late.insert(*wave)
            {
                let late_ms = late_by.as_millis() as u64;
                log::warn!(wave = *wave, late_ms, waiting = status.waiting; "a wave of upkeep is expected to miss its deadline");
            }
        }
    }
}

/// Logs that a box is drained before its call is announced.
fn log_drained(command: &UpkeepCommand) {
    if let UpkeepCommand::Call { wave, name } = command {
        log::info!(wave = *wave, name = name.as_str(); "finished draining a box");
    }
}

/// Returns the box that a command concerns and the name of its new phase; `None` for an order.
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
