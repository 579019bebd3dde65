//! Holders against a small platform that loses answers, carries calls out late and shows an old list; holders change at any point.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_upkeep::{
    BoxName, BoxStatus, CallOutcome, ListedBox, SchedulerAction, SchedulerInput, SchedulerTimings,
    TargetLoad, TargetLoads, UpkeepCommand, UpkeepScheduler, UpkeepState, WaveBox, WaveNumber,
    WaveOrder,
};
use proptest::prelude::*;

const STEP: Duration = Duration::from_millis(50);
const MAINTENANCE: Duration = Duration::from_secs(2);
const LEASE: Duration = Duration::from_secs(3);
const LIST_LAG: Duration = Duration::from_secs(3);
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Steps after which all boxes must have begun, whatever failed; faults end at half of it.
const MOST_STEPS: u64 = 12_000;

fn timings() -> SchedulerTimings {
    SchedulerTimings {
        maintenance: MAINTENANCE,
        takeover_delay: LEASE + Duration::from_millis(1_600),
        list_lag: LIST_LAG,
        drain_time: Duration::from_secs(1),
        call_spacing: Duration::from_millis(20),
    }
}

/// Numbers that follow from a seed.
struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % sides
    }
}

#[derive(Clone)]
struct PlatformBox {
    listed: ListedBox,
    /// The wave whose upkeep it has, and when that is over.
    upkeep: Option<(WaveNumber, Timestamp)>,
    incarnation: u32,
}

struct LateCall {
    at: Timestamp,
    key: WaveBox,
}

struct Answer {
    at: Timestamp,
    key: WaveBox,
    outcome: CallOutcome,
}

struct Platform {
    boxes: BTreeMap<BoxName, PlatformBox>,
    done: BTreeSet<WaveBox>,
    late: Vec<LateCall>,
    history: VecDeque<(Timestamp, Vec<ListedBox>)>,
    limits: BTreeMap<WaveNumber, usize>,
    last_caller: BTreeMap<BoxName, (u64, Timestamp)>,
}

impl Platform {
    fn new(count: usize, limits: BTreeMap<WaveNumber, usize>) -> Self {
        let boxes = (0..count).map(|index| {
            let name = format!("box-{index}");
            let listed = ListedBox {
                name: name.clone(),
                status: BoxStatus::Up,
                pool: "send".into(),
                hall: format!("hall-{}", index % 3),
                labels: vec![format!("rack-{}", index / 2)],
                target: Some(format!("{name}.0")),
            };
            let held = PlatformBox {
                listed,
                upkeep: None,
                incarnation: 0,
            };
            (name, held)
        });
        Self {
            boxes: boxes.collect(),
            done: BTreeSet::new(),
            late: Vec::new(),
            history: VecDeque::new(),
            limits,
            last_caller: BTreeMap::new(),
        }
    }

    /// Ends the upkeeps that are over, carries out what is late, and remembers the list.
    fn pass(&mut self, now: Timestamp, dice: &mut Dice) {
        for held in self.boxes.values_mut() {
            if held.upkeep.is_some_and(|(_, until)| now >= until) {
                held.upkeep = None;
                held.renew();
            } else if held.upkeep.is_none() && dice.roll(400) == 0 {
                held.renew();
            }
        }
        let late = std::mem::take(&mut self.late);
        let (due, later) = late.into_iter().partition(|call| now >= call.at);
        self.late = later;
        let due: Vec<LateCall> = due;
        for call in due {
            self.carry_out(&call.key, now, dice);
        }
        let list = self.boxes.values().map(|held| held.listed.clone());
        self.history.push_back((now, list.collect()));
        self.history.retain(|(at, _)| *at + LIST_LAG + STEP >= now);
    }

    fn carry_out(&mut self, key: &WaveBox, now: Timestamp, dice: &mut Dice) -> CallOutcome {
        if self.done.contains(key) {
            return CallOutcome::Begun;
        }
        let (wave, name) = key;
        let down = self.boxes.values();
        let down = down.filter(|held| held.upkeep.is_some_and(|(of, _)| of == *wave));
        let down = down.count();
        let held = self.boxes.get_mut(name).unwrap();
        if held.upkeep.is_some() {
            return CallOutcome::Busy;
        }
        assert!(
            down < self.limits[wave],
            "too many are down for wave {wave}"
        );
        let extra = Duration::from_millis(dice.roll(6_000));
        held.upkeep = Some((*wave, now + MAINTENANCE + extra));
        held.listed.status = BoxStatus::Upkeep;
        held.listed.target = None;
        self.done.insert(key.clone());
        CallOutcome::Begun
    }

    /// Receives a call; returns its answer and when it comes.
    fn receive(
        &mut self,
        key: WaveBox,
        holder: u64,
        now: Timestamp,
        is_faulty: bool,
        dice: &mut Dice,
    ) -> Answer {
        let last = self.last_caller.insert(key.1.clone(), (holder, now));
        if let Some((before, at)) = last {
            assert!(before == holder || now >= at + LEASE, "holders take turns");
        }
        let outcome = match dice.roll(if is_faulty { 10 } else { 1 }) {
            1 => CallOutcome::TooMany,
            2 => CallOutcome::NotSent,
            3 => {
                self.carry_out(&key, now, dice);
                CallOutcome::Unanswered
            }
            4 => {
                let at = now + Duration::from_millis(dice.roll(12_000));
                let key = key.clone();
                self.late.push(LateCall { at, key });
                CallOutcome::Unanswered
            }
            5 => CallOutcome::Unanswered,
            6 => CallOutcome::Busy,
            _ => self.carry_out(&key, now, dice),
        };
        let after = match outcome {
            CallOutcome::Unanswered => CALL_LIMIT,
            _ => Duration::from_millis(dice.roll(300)),
        };
        let at = now + after;
        Answer { at, key, outcome }
    }
}

impl PlatformBox {
    /// Gives the box a new target.
    fn renew(&mut self) {
        self.incarnation += 1;
        self.listed.status = BoxStatus::Up;
        self.listed.target = Some(format!("{}.{}", self.listed.name, self.incarnation));
    }
}

struct World {
    now: Timestamp,
    platform: Platform,
    state: UpkeepState,
    index: u64,
    /// Proposed and not committed yet.
    proposed: Vec<UpkeepCommand>,
    answers: Vec<Answer>,
    /// When a reading began, and what it shows.
    reading: Option<(Timestamp, Vec<ListedBox>)>,
    lag: Duration,
    holder: UpkeepScheduler,
    term: u64,
    dice: Dice,
}

impl World {
    fn new(seed: u64, waves: &[WaveOrder], boxes: usize) -> Self {
        let mut state = UpkeepState::default();
        for order in waves {
            state.apply(UpkeepCommand::Order(order.clone()), order.wave);
        }
        let limits = waves
            .iter()
            .map(|order| (order.wave, order.most_down as usize));
        let mut dice = Dice(seed | 1);
        Self {
            now: Timestamp::ZERO,
            platform: Platform::new(boxes, limits.collect()),
            holder: UpkeepScheduler::new(timings(), &state, Timestamp::ZERO),
            state,
            index: 100,
            proposed: Vec::new(),
            answers: Vec::new(),
            reading: None,
            lag: Duration::from_millis(dice.roll(LIST_LAG.as_millis() as u64)),
            term: 1,
            dice,
        }
    }

    /// Commits what was proposed; a change of holders loses some of it and every answer.
    fn change_holder(&mut self) {
        let proposed = std::mem::take(&mut self.proposed);
        for command in proposed {
            if self.dice.roll(2) == 0 {
                self.apply(command);
            }
        }
        self.answers.clear();
        self.reading = None;
        self.term += 1;
        self.holder = UpkeepScheduler::new(timings(), &self.state, self.now);
    }

    fn apply(&mut self, command: UpkeepCommand) {
        let key = match &command {
            UpkeepCommand::Order(_) => None,
            UpkeepCommand::Call { wave, name }
            | UpkeepCommand::Begun { wave, name }
            | UpkeepCommand::Back { wave, name }
            | UpkeepCommand::Gone { wave, name }
            | UpkeepCommand::Refused { wave, name } => Some((*wave, name.clone())),
        };
        assert!(
            !matches!(command, UpkeepCommand::Gone { .. }),
            "no box has left"
        );
        if matches!(command, UpkeepCommand::Begun { .. }) {
            let key = key.as_ref().unwrap();
            assert!(self.platform.done.contains(key), "none has begun");
        }
        self.index += 1;
        self.state.apply(command, self.index);
        if let Some(key) = key {
            self.holder.record_applied(&key);
        }
    }

    fn advance(&mut self, is_faulty: bool) {
        self.now += STEP;
        self.platform.pass(self.now, &mut self.dice);
        if is_faulty && self.dice.roll(300) == 0 {
            self.change_holder();
        }
        self.deliver();
        let evacuated = BTreeSet::new();
        let loads = self.list_loads();
        let moment = SchedulerInput {
            now: self.now,
            wall: self.now.since_start(),
            evacuated: &evacuated,
            loads: &loads,
        };
        for step in self.holder.next_actions(&self.state, &moment) {
            self.carry_out(step, is_faulty);
        }
    }

    /// What guards tell: any load at all.
    fn list_loads(&mut self) -> TargetLoads {
        let now = self.now;
        let mut loads = TargetLoads::new();
        for held in self.platform.boxes.values() {
            let free_milli = self.dice.roll(17) as i64 * 1_000;
            let load = TargetLoad {
                capacity_milli: 16_000,
                free_milli,
                is_empty: free_milli == 16_000,
                at: now,
            };
            loads.extend(held.listed.target.clone().map(|target| (target, load)));
        }
        loads
    }

    fn deliver(&mut self) {
        for command in std::mem::take(&mut self.proposed) {
            self.apply(command);
        }
        let answers = std::mem::take(&mut self.answers);
        for answer in answers {
            if self.now < answer.at {
                self.answers.push(answer);
                continue;
            }
            let random = self.dice.roll(u64::MAX);
            self.holder
                .record_call_outcome(&answer.key, answer.outcome, self.now, random);
        }
        if let Some((began, boxes)) = self.reading.take() {
            self.holder.record_list(&self.state, boxes, began);
        }
    }

    fn carry_out(&mut self, step: SchedulerAction, is_faulty: bool) {
        match step {
            SchedulerAction::Propose(command) => self.proposed.push(command),
            SchedulerAction::HoldTarget(_)
            | SchedulerAction::QueryLoad(_)
            | SchedulerAction::BoxChosen(_) => {}
            SchedulerAction::ReadList if is_faulty && self.dice.roll(4) == 0 => {
                self.holder.record_list_failure(self.now, self.dice.0);
            }
            SchedulerAction::ReadList => {
                let shown = self
                    .now
                    .saturating_duration_since(Timestamp::ZERO + self.lag);
                let shown = Timestamp::from_start(shown);
                let mut lists = self.platform.history.iter();
                let list = lists.find(|(at, _)| *at >= shown).unwrap();
                self.reading = Some((self.now, list.1.clone()));
            }
            SchedulerAction::Call(key) => {
                let answer =
                    self.platform
                        .receive(key, self.term, self.now, is_faulty, &mut self.dice);
                self.answers.push(answer);
            }
        }
    }

    fn are_all_over(&self) -> bool {
        self.state.open_waves().next().is_none()
    }
}

fn order(
    wave: WaveNumber,
    boxes: std::ops::Range<usize>,
    most_down: u32,
    span_s: u64,
) -> WaveOrder {
    WaveOrder {
        wave,
        boxes: boxes.map(|index| format!("box-{index}")).collect(),
        span: Duration::from_secs(span_s),
        most_down,
        source: "control-a".into(),
        received_at: Duration::ZERO,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn never_too_many_are_down_and_all_begin_whatever_is_lost(
        seed in any::<u64>(),
        boxes in 1_usize..9,
        most_down in 1_u32..4,
        other_most_down in 1_u32..4,
        span_s in 1_u64..120,
    ) {
        let waves = [order(1, 0..boxes, most_down, span_s), order(2, boxes / 2..boxes, other_most_down, 40)];
        let mut world = World::new(seed, &waves, boxes);

        let mut steps = 0;
        while !world.are_all_over() && steps < MOST_STEPS {
            world.advance(steps < MOST_STEPS / 2);
            steps += 1;
        }

        prop_assert!(world.are_all_over(), "some have not begun: {:?}", world.state.waves());
        let expected = boxes + (boxes - boxes / 2);
        prop_assert_eq!(world.platform.done.len(), expected);
    }
}

#[test]
fn in_calm_all_boxes_begin_in_time_and_no_more_are_down_than_that_needs() {
    let mut world = World::new(7, &[order(1, 0..12, 4, 120)], 24);
    let mut most = 0;
    let mut last_begun = Timestamp::ZERO;

    while !world.are_all_over() {
        let before = world.platform.done.len();
        world.advance(false);
        if world.platform.done.len() > before {
            last_begun = world.now;
        }
        let held = world.platform.boxes.values();
        most = most.max(held.filter(|held| held.upkeep.is_some()).count());
    }

    assert!(last_begun <= Timestamp::from_start(Duration::from_secs(120)));
    assert!(most <= 2, "{most} were down at once");
}

#[test]
fn without_an_open_wave_nothing_is_read_and_nothing_is_called() {
    let mut holder = UpkeepScheduler::new(timings(), &UpkeepState::default(), Timestamp::ZERO);
    let evacuated = BTreeSet::new();

    for second in 0..100 {
        let now = Timestamp::from_start(Duration::from_secs(second));
        let moment = SchedulerInput {
            now,
            wall: now.since_start(),
            evacuated: &evacuated,
            loads: &BTreeMap::new(),
        };
        assert_eq!(holder.next_actions(&UpkeepState::default(), &moment), []);
    }
}
