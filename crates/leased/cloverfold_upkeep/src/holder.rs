//! The holder of the upkeep: the leader of the control processes' log, for as long as it leads.
//!
//! Decision: what the holder does next. Rule, in this order, for every wave that is not over, the one with the earliest end first:
//!
//! 1. a box that counts as down is driven on: called until its upkeep has begun, watched until it is up again (`progress`);
//! 2. while fewer boxes of the wave are down than its pace and its order allow, the next box is chosen ([`choose_next_box`](crate::choose_next_box)), its target held
//!    for [`SchedulerTimings::drain_time`], and its call announced in the log;
//! 3. a call is sent only once its announcement is applied, so that every later holder counts the box as down.
//!
//! A box of several waves goes down for one at a time and counts in all of them. A box that an earlier holder may have called is not
//! called before [`SchedulerTimings::takeover_delay`] has passed since this one began.
//!
//! Inputs: the replicated state, the list of boxes, the outcomes of the calls, the evacuated halls, the time. Reason: at most as many
//! boxes as an order allows may ever be down, whichever holder called, whichever answer is lost, and however late a call is done.
//!
//! [`UpkeepScheduler`] owns what only this holder knows. It does no I/O and reads no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cloverfold_base::{Timestamp, UnixTime};

use crate::box_list::BoxList;
use crate::boxes::{CallOutcome, ListedBox};
use crate::calls::{BoxCalls, retry_backoff};
use crate::emptying::Emptying;
use crate::load::TargetLoads;
use crate::outlook::WaveStatus;
use crate::progress::AwayBox;
use crate::state::{UpkeepState, Wave};
use crate::wave::{BoxName, UpkeepCommand, WaveNumber};

/// After this a command that is not applied yet is proposed again. Chosen, not measured.
const PROPOSE_AGAIN_AFTER: Duration = Duration::from_millis(500);
/// How long the guard of a held target leaves it alone after the last word. Chosen, not measured: three times [`HOLD_INTERVAL`].
pub const TARGET_HOLD_DURATION: Duration = Duration::from_millis(1_500);
/// How often a guard is told to hold its target. Chosen, not measured.
pub(crate) const HOLD_INTERVAL: Duration = Duration::from_millis(500);
/// What a box needs between the end of its upkeep and the choice of the next one. Chosen, not measured.
const OVERHEAD: Duration = Duration::from_millis(1_500);

/// A box in a wave.
pub type WaveBox = (WaveNumber, BoxName);

/// The spans that a holder keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerTimings {
    /// How long a box is away for its upkeep.
    pub maintenance: Duration,
    /// How long after its beginning a holder leaves a box alone that an earlier one may have called.
    pub takeover_delay: Duration,
    /// How old the platform's list may be.
    pub list_lag: Duration,
    /// How long a target is held before its box is called.
    pub drain_time: Duration,
    /// Shortest span between two calls.
    pub call_spacing: Duration,
}

impl SchedulerTimings {
    /// Returns how long a box takes from its choice until the next can be chosen.
    pub fn cycle(&self) -> Duration {
        self.maintenance + self.drain_time + OVERHEAD
    }
}

/// What the process is to do for the holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerAction {
    /// Propose a command to the log.
    Propose(UpkeepCommand),
    /// Call for the upkeep of a box, if this process still leads; [`UpkeepScheduler::record_call_outcome`] follows.
    Call(WaveBox),
    /// Read the whole list; [`UpkeepScheduler::record_list`] or [`UpkeepScheduler::record_list_failure`] follows.
    ReadList,
    /// Tell the guard of this incarnation to hold its target.
    HoldTarget(String),
    /// Log that this box is next; its target is held from now on.
    BoxChosen(WaveBox),
    /// Ask the guard of this incarnation what is free at its target.
    QueryLoad(String),
}

/// The present, as the process sees it.
#[derive(Clone, Debug)]
pub struct SchedulerInput<'a> {
    /// By the steady clock.
    pub now: Timestamp,
    /// By the wall clock.
    pub wall: UnixTime,
    /// The evacuated data halls.
    pub evacuated: &'a BTreeSet<String>,
    /// What guards told of their targets.
    pub loads: &'a TargetLoads,
}

/// What only the holder knows.
#[derive(Clone, Debug)]
pub struct UpkeepScheduler {
    pub(crate) timings: SchedulerTimings,
    began_at: Timestamp,
    /// Boxes that earlier holders may have called.
    foreign: BTreeSet<BoxName>,
    pub(crate) list: BoxList,
    pub(crate) calls: BTreeMap<WaveBox, BoxCalls>,
    pub(crate) emptying: BTreeMap<WaveBox, Emptying>,
    /// Commands that are proposed and not applied yet, by the box, and when they were proposed last.
    proposed: BTreeMap<WaveBox, Timestamp>,
    /// The boxes whose upkeep has begun.
    pub(crate) away: BTreeMap<WaveBox, AwayBox>,
    /// When this holder saw a wave first.
    pub(crate) seen_at: BTreeMap<WaveNumber, Timestamp>,
    next_call_at: Timestamp,
    refusals_in_a_row: u32,
    /// When guards were asked last what is free.
    pub(crate) asked_at: Option<Timestamp>,
    pub(crate) wave_statuses: BTreeMap<WaveNumber, WaveStatus>,
}

impl UpkeepScheduler {
    /// Creates the holder that begins now, with all commands of earlier holders applied.
    pub fn new(timings: SchedulerTimings, state: &UpkeepState, now: Timestamp) -> Self {
        let phases = state.waves().values().flat_map(|wave| wave.phases.keys());
        Self {
            timings,
            began_at: now,
            foreign: phases.cloned().collect(),
            list: BoxList::default(),
            calls: BTreeMap::new(),
            emptying: BTreeMap::new(),
            proposed: BTreeMap::new(),
            away: BTreeMap::new(),
            seen_at: BTreeMap::new(),
            next_call_at: now,
            refusals_in_a_row: 0,
            asked_at: None,
            wave_statuses: BTreeMap::new(),
        }
    }

    /// Returns how each open wave goes on, as of the last steps.
    pub fn wave_statuses(&self) -> &BTreeMap<WaveNumber, WaveStatus> {
        &self.wave_statuses
    }

    /// Returns what to do now.
    pub fn next_actions(
        &mut self,
        state: &UpkeepState,
        moment: &SchedulerInput,
    ) -> Vec<SchedulerAction> {
        self.forget_finished(state);
        let mut steps = Vec::new();
        let mut open: Vec<(WaveNumber, &Wave)> = state.open_waves().collect();
        open.sort_by_key(|(_, wave)| wave.order.received_at + wave.order.span);
        for (number, wave) in &open {
            self.seen_at.entry(*number).or_insert(moment.now);
            self.drive_on(*number, wave, moment.now, &mut steps);
        }
        for (number, wave) in &open {
            self.begin_boxes(*number, wave, state, moment, &mut steps);
        }
        self.read_list(state, moment.now, &mut steps);
        self.ask_loads(state, moment.now, &mut steps);
        steps
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
            calls.end(outcome, now, random);
        }
        // The platform as a whole takes no calls at present: all wait.
        if matches!(outcome, CallOutcome::TooMany | CallOutcome::NotSent) {
            self.refusals_in_a_row += 1;
            self.next_call_at = now + retry_backoff(self.refusals_in_a_row, random);
        } else {
            self.refusals_in_a_row = 0;
        }
    }

    /// Takes over a complete reading of the list that began at a time.
    pub fn record_list(&mut self, state: &UpkeepState, boxes: Vec<ListedBox>, began_at: Timestamp) {
        let open = state.open_waves();
        let awaited = open.flat_map(|(_, wave)| wave.order.boxes.iter());
        self.list.take(boxes, began_at, awaited);
    }

    /// Records that the list could not be read whole.
    pub fn record_list_failure(&mut self, now: Timestamp, random: u64) {
        self.list.fail(now, random);
    }

    /// Proposes a command about a box unless the same was proposed a moment ago.
    pub(crate) fn propose(
        &mut self,
        key: &WaveBox,
        command: UpkeepCommand,
        now: Timestamp,
        steps: &mut Vec<SchedulerAction>,
    ) {
        let proposed = self.proposed.get(key);
        if proposed.is_some_and(|at| now < *at + PROPOSE_AGAIN_AFTER) {
            return;
        }
        self.proposed.insert(key.clone(), now);
        steps.push(SchedulerAction::Propose(command));
    }

    /// Records that a command about a box was applied; the next one may be proposed at once.
    pub fn record_applied(&mut self, key: &WaveBox) {
        self.proposed.remove(key);
    }

    /// Returns whether a call may go out now, and counts it.
    pub(crate) fn take_call(&mut self, name: &str, now: Timestamp) -> bool {
        let may_call = now >= self.next_call_at && self.may_touch(name, now);
        if may_call {
            self.next_call_at = now + self.timings.call_spacing;
        }
        may_call
    }

    /// Returns whether no earlier holder can be calling a box any more.
    pub(crate) fn may_touch(&self, name: &str, now: Timestamp) -> bool {
        now >= self.began_at + self.timings.takeover_delay || !self.foreign.contains(name)
    }

    fn forget_finished(&mut self, state: &UpkeepState) {
        let is_open = |number: &WaveNumber| {
            let wave = state.waves().get(number);
            wave.is_some_and(|wave| !wave.is_over())
        };
        self.calls.retain(|(number, _), _| is_open(number));
        self.emptying.retain(|(number, _), _| is_open(number));
        self.proposed.retain(|(number, _), _| is_open(number));
        self.away.retain(|(number, _), _| is_open(number));
        self.seen_at.retain(|number, _| is_open(number));
        self.wave_statuses.retain(|number, _| is_open(number));
    }

    /// Returns the boxes that are down, may be, or are about to go.
    pub(crate) fn list_away(&self, state: &UpkeepState) -> BTreeSet<BoxName> {
        let phases = state.waves().values().flat_map(|wave| &wave.phases);
        let down = phases.filter(|(_, phase)| phase.is_down());
        let emptying = self.emptying.keys().map(|(_, name)| name.clone());
        down.map(|(name, _)| name.clone()).chain(emptying).collect()
    }

    fn read_list(&mut self, state: &UpkeepState, now: Timestamp, steps: &mut Vec<SchedulerAction>) {
        let mut open = state.open_waves();
        let is_choosing = open.any(|(_, wave)| wave.waiting().next().is_some());
        let maintenance = self.timings.maintenance;
        let away = self.away.values();
        let mut return_due_at = away.map(|away| away.reading_due_at(maintenance)).min();
        if self.list.has_doubtful() {
            return_due_at = Some(now);
        }
        if self.list.is_due(is_choosing, return_due_at, now) {
            self.list.begin_reading();
            steps.push(SchedulerAction::ReadList);
        }
    }
}
