//! Scheduler of the upkeep, which runs at the leader of the control processes' log for as long as it leads.
//!
//! [`UpkeepScheduler`] owns the state that is not replicated. It does no I/O and reads no clock. For every open wave, the one with the
//! earliest deadline first, it decides in this order:
//!
//! 1. A box that counts as down is called until its upkeep has begun, and then watched until it is up again (`down_boxes`).
//! 2. While fewer boxes of the wave are down than its pace and its order allow, the next box is selected
//!    ([`select_next_box`](crate::select_next_box)), its target is held for [`SchedulerTimings::drain_time`], and the call is proposed to
//!    the log.
//! 3. A call is sent only after its log entry is applied, so that every later scheduler counts the box as down.
//!
//! A box in several waves goes down for one wave at a time and counts as down in all of them. A box that an earlier scheduler may have
//! called is not called until [`SchedulerTimings::takeover_delay`] has passed since this one started.
//!
//! Together these rules ensure that no more boxes than an order allows are ever down, whichever scheduler called, and even if answers are
//! lost or calls are carried out late.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cloverfold_base::{Timestamp, UnixTime};

use crate::box_list::BoxList;
use crate::boxes::{CallOutcome, ListedBox};
use crate::calls::{BoxCalls, retry_backoff};
use crate::down_boxes::BoxInUpkeep;
use crate::draining::Draining;
use crate::load::TargetLoads;
use crate::state::{UpkeepState, Wave};
use crate::wave::{BoxName, UpkeepCommand, WaveNumber};
use crate::wave_status::WaveStatus;

/// Time after which a command that has not been applied is proposed again.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a guard holds its target after each hold message; three times [`HOLD_INTERVAL`].
pub const TARGET_HOLD_DURATION: Duration = Duration::from_millis(1_500);
/// Interval between the hold messages for a target.
pub(crate) const HOLD_INTERVAL: Duration = Duration::from_millis(500);
/// Estimated time from the end of a box's upkeep to the selection of the next box.
const CYCLE_OVERHEAD: Duration = Duration::from_millis(1_500);

/// Key of a box in a wave.
pub type WaveBox = (WaveNumber, BoxName);

/// Time parameters of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerTimings {
    /// Duration of a box's upkeep.
    pub maintenance: Duration,
    /// Time after its start during which a scheduler does not call boxes that an earlier one may have called.
    pub takeover_delay: Duration,
    /// Maximum lag of the platform's list.
    pub list_lag: Duration,
    /// Time for which a target is held before its box is called.
    pub drain_time: Duration,
    /// Minimum interval between two calls.
    pub call_spacing: Duration,
}

impl SchedulerTimings {
    /// Returns the time from the selection of a box to the selection of its successor.
    pub fn cycle(&self) -> Duration {
        self.maintenance + self.drain_time + CYCLE_OVERHEAD
    }
}

/// An action that the process must carry out for the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerAction {
    /// Propose a command to the log.
    Propose(UpkeepCommand),
    /// Make an upkeep call for a box if this process still leads, then call [`UpkeepScheduler::record_call_outcome`].
    Call(WaveBox),
    /// Read the whole list, then call [`UpkeepScheduler::record_list`] or [`UpkeepScheduler::record_list_failure`].
    ReadList,
    /// Tell the guard to hold the target with this incarnation.
    HoldTarget(String),
    /// Log that this box is selected; its target is held from now on.
    BoxSelected(WaveBox),
    /// Ask the guard for the load of the target with this incarnation.
    QueryLoad(String),
}

/// Input of a scheduling step.
#[derive(Clone, Debug)]
pub struct SchedulerInput<'a> {
    /// Time by the monotonic clock.
    pub now: Timestamp,
    /// Time by the wall clock.
    pub wall: UnixTime,
    /// The evacuated data halls.
    pub evacuated: &'a BTreeSet<String>,
    /// Loads of targets that guards have reported.
    pub loads: &'a TargetLoads,
}

/// Scheduler of the upkeep, with the state that is not replicated.
#[derive(Clone, Debug)]
pub struct UpkeepScheduler {
    pub(crate) timings: SchedulerTimings,
    started_at: Timestamp,
    /// Boxes that earlier schedulers may have called.
    possibly_called: BTreeSet<BoxName>,
    pub(crate) list: BoxList,
    pub(crate) calls: BTreeMap<WaveBox, BoxCalls>,
    pub(crate) draining: BTreeMap<WaveBox, Draining>,
    /// Time of the last proposal of each command that has not been applied, by box.
    proposed: BTreeMap<WaveBox, Timestamp>,
    /// Boxes whose upkeep has begun.
    pub(crate) in_upkeep: BTreeMap<WaveBox, BoxInUpkeep>,
    /// When this scheduler first saw each wave.
    pub(crate) first_seen_at: BTreeMap<WaveNumber, Timestamp>,
    next_call_at: Timestamp,
    consecutive_refusals: u32,
    /// When the guards were last asked for their loads.
    pub(crate) loads_queried_at: Option<Timestamp>,
    pub(crate) wave_statuses: BTreeMap<WaveNumber, WaveStatus>,
}

impl UpkeepScheduler {
    /// Creates a scheduler that starts now. All commands of earlier schedulers must be applied to `state`.
    pub fn new(timings: SchedulerTimings, state: &UpkeepState, now: Timestamp) -> Self {
        let phases = state.waves().values().flat_map(|wave| wave.phases.keys());
        Self {
            timings,
            started_at: now,
            possibly_called: phases.cloned().collect(),
            list: BoxList::default(),
            calls: BTreeMap::new(),
            draining: BTreeMap::new(),
            proposed: BTreeMap::new(),
            in_upkeep: BTreeMap::new(),
            first_seen_at: BTreeMap::new(),
            next_call_at: now,
            consecutive_refusals: 0,
            loads_queried_at: None,
            wave_statuses: BTreeMap::new(),
        }
    }

    /// Returns the status of each open wave as of the last scheduling step.
    pub fn wave_statuses(&self) -> &BTreeMap<WaveNumber, WaveStatus> {
        &self.wave_statuses
    }

    /// Runs a scheduling step and returns the actions to carry out.
    pub fn next_actions(
        &mut self,
        state: &UpkeepState,
        input: &SchedulerInput,
    ) -> Vec<SchedulerAction> {
        self.remove_finished(state);
        let mut actions = Vec::new();
        let mut open: Vec<(WaveNumber, &Wave)> = state.open_waves().collect();
        open.sort_by_key(|(_, wave)| wave.order.received_at + wave.order.span);
        for (number, wave) in &open {
            self.first_seen_at.entry(*number).or_insert(input.now);
            self.advance_boxes(*number, wave, input.now, &mut actions);
        }
        for (number, wave) in &open {
            self.select_boxes(*number, wave, state, input, &mut actions);
        }
        self.request_list(state, input.now, &mut actions);
        self.query_loads(state, input.now, &mut actions);
        actions
    }

    /// Records the outcome of a call.
    pub fn record_call_outcome(
        &mut self,
        key: &WaveBox,
        outcome: CallOutcome,
        now: Timestamp,
        random: u64,
    ) {
        if let Some(calls) = self.calls.get_mut(key) {
            calls.record_outcome(outcome, now, random);
        }
        // The platform as a whole accepts no calls, so all calls back off.
        if matches!(outcome, CallOutcome::TooMany | CallOutcome::NotSent) {
            self.consecutive_refusals += 1;
            self.next_call_at = now + retry_backoff(self.consecutive_refusals, random);
        } else {
            self.consecutive_refusals = 0;
        }
    }

    /// Stores a complete reading of the list that started at `started_at`.
    pub fn record_list(
        &mut self,
        state: &UpkeepState,
        boxes: Vec<ListedBox>,
        started_at: Timestamp,
    ) {
        let open = state.open_waves();
        let wave_boxes = open.flat_map(|(_, wave)| wave.order.boxes.iter());
        self.list.record_reading(boxes, started_at, wave_boxes);
    }

    /// Records that the list could not be read completely.
    pub fn record_list_failure(&mut self, now: Timestamp, random: u64) {
        self.list.record_reading_failure(now, random);
    }

    /// Proposes a command for a box unless one was proposed recently.
    pub(crate) fn propose(
        &mut self,
        key: &WaveBox,
        command: UpkeepCommand,
        now: Timestamp,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let proposed = self.proposed.get(key);
        if proposed.is_some_and(|at| now < *at + PROPOSAL_RETRY_INTERVAL) {
            return;
        }
        self.proposed.insert(key.clone(), now);
        actions.push(SchedulerAction::Propose(command));
    }

    /// Records that a command for a box was applied, so that the next one may be proposed at once.
    pub fn record_applied(&mut self, key: &WaveBox) {
        self.proposed.remove(key);
    }

    /// Returns whether a call may be sent now, and reserves the call slot if so.
    pub(crate) fn reserve_call(&mut self, name: &str, now: Timestamp) -> bool {
        let may_call = now >= self.next_call_at && self.is_takeover_safe(name, now);
        if may_call {
            self.next_call_at = now + self.timings.call_spacing;
        }
        may_call
    }

    /// Returns whether no earlier scheduler can still be calling a box.
    pub(crate) fn is_takeover_safe(&self, name: &str, now: Timestamp) -> bool {
        now >= self.started_at + self.timings.takeover_delay || !self.possibly_called.contains(name)
    }

    fn remove_finished(&mut self, state: &UpkeepState) {
        let is_open = |number: &WaveNumber| {
            let wave = state.waves().get(number);
            wave.is_some_and(|wave| !wave.is_over())
        };
        self.calls.retain(|(number, _), _| is_open(number));
        self.draining.retain(|(number, _), _| is_open(number));
        self.proposed.retain(|(number, _), _| is_open(number));
        self.in_upkeep.retain(|(number, _), _| is_open(number));
        self.first_seen_at.retain(|number, _| is_open(number));
        self.wave_statuses.retain(|number, _| is_open(number));
    }

    /// Returns the boxes that are or may be down, and those that are draining.
    pub(crate) fn unavailable_boxes(&self, state: &UpkeepState) -> BTreeSet<BoxName> {
        let phases = state.waves().values().flat_map(|wave| &wave.phases);
        let down = phases.filter(|(_, phase)| phase.is_down());
        let draining = self.draining.keys().map(|(_, name)| name.clone());
        down.map(|(name, _)| name.clone()).chain(draining).collect()
    }

    fn request_list(
        &mut self,
        state: &UpkeepState,
        now: Timestamp,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let mut open = state.open_waves();
        let is_selecting = open.any(|(_, wave)| wave.waiting().next().is_some());
        let maintenance = self.timings.maintenance;
        let in_upkeep = self.in_upkeep.values();
        let mut return_due_at = in_upkeep
            .map(|in_upkeep| in_upkeep.reading_due_at(maintenance))
            .min();
        if self.list.has_unconfirmed_missing() {
            return_due_at = Some(now);
        }
        if self.list.is_due(is_selecting, return_due_at, now) {
            self.list.record_reading_start();
            actions.push(SchedulerAction::ReadList);
        }
    }
}
