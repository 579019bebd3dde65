//! Simulation of successive schedulers and a platform that loses answers, carries out calls late and shows an outdated list. Schedulers
//! change at random.

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
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of steps within which all boxes must have begun. Faults stop after half of them.
const MAX_STEPS: u64 = 12_000;

fn timings() -> SchedulerTimings {
    SchedulerTimings {
        maintenance: MAINTENANCE,
        takeover_delay: LEASE + Duration::from_millis(1_600),
        list_lag: LIST_LAG,
        drain_time: Duration::from_secs(1),
        call_spacing: Duration::from_millis(20),
    }
}

/// Deterministic random numbers from a seed.
struct Rng(u64);

impl Rng {
    fn below(&mut self, end: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % end
    }
}

#[derive(Clone)]
struct PlatformBox {
    listed: ListedBox,
    /// The wave whose upkeep is in progress, and when it ends.
    upkeep: Option<(WaveNumber, Timestamp)>,
    incarnation: u32,
}

struct DelayedCall {
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
    delayed: Vec<DelayedCall>,
    history: VecDeque<(Timestamp, Vec<ListedBox>)>,
    limits: BTreeMap<WaveNumber, usize>,
    last_call: BTreeMap<BoxName, (u64, Timestamp)>,
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
            let platform_box = PlatformBox {
                listed,
                upkeep: None,
                incarnation: 0,
            };
            (name, platform_box)
        });
        Self {
            boxes: boxes.collect(),
            done: BTreeSet::new(),
            delayed: Vec::new(),
            history: VecDeque::new(),
            limits,
            last_call: BTreeMap::new(),
        }
    }

    /// Ends finished upkeeps, carries out the delayed calls that are due, and records the list.
    fn advance(&mut self, now: Timestamp, rng: &mut Rng) {
        for platform_box in self.boxes.values_mut() {
            if platform_box.upkeep.is_some_and(|(_, until)| now >= until) {
                platform_box.upkeep = None;
                platform_box.replace_target();
            } else if platform_box.upkeep.is_none() && rng.below(400) == 0 {
                platform_box.replace_target();
            }
        }
        let delayed = std::mem::take(&mut self.delayed);
        let (due, not_due) = delayed.into_iter().partition(|call| now >= call.at);
        self.delayed = not_due;
        let due: Vec<DelayedCall> = due;
        for call in due {
            self.carry_out(&call.key, now, rng);
        }
        let list = self
            .boxes
            .values()
            .map(|platform_box| platform_box.listed.clone());
        self.history.push_back((now, list.collect()));
        self.history.retain(|(at, _)| *at + LIST_LAG + STEP >= now);
    }

    fn carry_out(&mut self, key: &WaveBox, now: Timestamp, rng: &mut Rng) -> CallOutcome {
        if self.done.contains(key) {
            return CallOutcome::Begun;
        }
        let (wave, name) = key;
        let down = self.boxes.values();
        let down =
            down.filter(|platform_box| platform_box.upkeep.is_some_and(|(of, _)| of == *wave));
        let down = down.count();
        let platform_box = self.boxes.get_mut(name).unwrap();
        if platform_box.upkeep.is_some() {
            return CallOutcome::Busy;
        }
        assert!(
            down < self.limits[wave],
            "too many boxes are down for wave {wave}"
        );
        let extra = Duration::from_millis(rng.below(6_000));
        platform_box.upkeep = Some((*wave, now + MAINTENANCE + extra));
        platform_box.listed.status = BoxStatus::Upkeep;
        platform_box.listed.target = None;
        self.done.insert(key.clone());
        CallOutcome::Begun
    }

    /// Receives a call and returns its answer with the time of arrival.
    fn receive(
        &mut self,
        key: WaveBox,
        term: u64,
        now: Timestamp,
        is_faulty: bool,
        rng: &mut Rng,
    ) -> Answer {
        let last = self.last_call.insert(key.1.clone(), (term, now));
        if let Some((before, at)) = last {
            assert!(
                before == term || now >= at + LEASE,
                "an earlier scheduler may still be calling"
            );
        }
        let outcome = match rng.below(if is_faulty { 10 } else { 1 }) {
            1 => CallOutcome::TooMany,
            2 => CallOutcome::NotSent,
            3 => {
                self.carry_out(&key, now, rng);
                CallOutcome::Unanswered
            }
            4 => {
                let at = now + Duration::from_millis(rng.below(12_000));
                let key = key.clone();
                self.delayed.push(DelayedCall { at, key });
                CallOutcome::Unanswered
            }
            5 => CallOutcome::Unanswered,
            6 => CallOutcome::Busy,
            _ => self.carry_out(&key, now, rng),
        };
        let after = match outcome {
            CallOutcome::Unanswered => CALL_TIMEOUT,
            _ => Duration::from_millis(rng.below(300)),
        };
        let at = now + after;
        Answer { at, key, outcome }
    }
}

impl PlatformBox {
    /// Sets the box up with a new target.
    fn replace_target(&mut self) {
        self.incarnation += 1;
        self.listed.status = BoxStatus::Up;
        self.listed.target = Some(format!("{}.{}", self.listed.name, self.incarnation));
    }
}

struct Simulation {
    now: Timestamp,
    platform: Platform,
    state: UpkeepState,
    index: u64,
    /// Proposed commands that are not committed.
    proposed: Vec<UpkeepCommand>,
    answers: Vec<Answer>,
    /// Start time of the current reading, and its result.
    reading: Option<(Timestamp, Vec<ListedBox>)>,
    lag: Duration,
    scheduler: UpkeepScheduler,
    term: u64,
    rng: Rng,
}

impl Simulation {
    fn new(seed: u64, waves: &[WaveOrder], boxes: usize) -> Self {
        let mut state = UpkeepState::default();
        for order in waves {
            state.apply(UpkeepCommand::Order(order.clone()), order.wave);
        }
        let limits = waves
            .iter()
            .map(|order| (order.wave, order.most_down as usize));
        let mut rng = Rng(seed | 1);
        Self {
            now: Timestamp::ZERO,
            platform: Platform::new(boxes, limits.collect()),
            scheduler: UpkeepScheduler::new(timings(), &state, Timestamp::ZERO),
            state,
            index: 100,
            proposed: Vec::new(),
            answers: Vec::new(),
            reading: None,
            lag: Duration::from_millis(rng.below(LIST_LAG.as_millis() as u64)),
            term: 1,
            rng,
        }
    }

    /// Replaces the scheduler, which loses some of the proposed commands and all answers.
    fn change_scheduler(&mut self) {
        let proposed = std::mem::take(&mut self.proposed);
        for command in proposed {
            if self.rng.below(2) == 0 {
                self.apply(command);
            }
        }
        self.answers.clear();
        self.reading = None;
        self.term += 1;
        self.scheduler = UpkeepScheduler::new(timings(), &self.state, self.now);
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
            "a box counts as gone although none has left"
        );
        if matches!(command, UpkeepCommand::Begun { .. }) {
            let key = key.as_ref().unwrap();
            assert!(
                self.platform.done.contains(key),
                "a box counts as begun although its upkeep has not"
            );
        }
        self.index += 1;
        self.state.apply(command, self.index);
        if let Some(key) = key {
            self.scheduler.record_applied(&key);
        }
    }

    fn advance(&mut self, is_faulty: bool) {
        self.now += STEP;
        self.platform.advance(self.now, &mut self.rng);
        if is_faulty && self.rng.below(300) == 0 {
            self.change_scheduler();
        }
        self.deliver();
        let evacuated = BTreeSet::new();
        let loads = self.random_loads();
        let input = SchedulerInput {
            now: self.now,
            wall: self.now.since_start(),
            evacuated: &evacuated,
            loads: &loads,
        };
        for action in self.scheduler.next_actions(&self.state, &input) {
            self.carry_out(action, is_faulty);
        }
    }

    /// Returns random load reports of the guards.
    fn random_loads(&mut self) -> TargetLoads {
        let now = self.now;
        let mut loads = TargetLoads::new();
        for platform_box in self.platform.boxes.values() {
            let free_milli = self.rng.below(17) as i64 * 1_000;
            let load = TargetLoad {
                capacity_milli: 16_000,
                free_milli,
                is_empty: free_milli == 16_000,
                at: now,
            };
            loads.extend(
                platform_box
                    .listed
                    .target
                    .clone()
                    .map(|target| (target, load)),
            );
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
            let random = self.rng.below(u64::MAX);
            self.scheduler
                .record_call_outcome(&answer.key, answer.outcome, self.now, random);
        }
        if let Some((started_at, boxes)) = self.reading.take() {
            self.scheduler.record_list(&self.state, boxes, started_at);
        }
    }

    fn carry_out(&mut self, action: SchedulerAction, is_faulty: bool) {
        match action {
            SchedulerAction::Propose(command) => self.proposed.push(command),
            SchedulerAction::HoldTarget(_)
            | SchedulerAction::QueryLoad(_)
            | SchedulerAction::BoxSelected(_) => {}
            SchedulerAction::ReadList if is_faulty && self.rng.below(4) == 0 => {
                self.scheduler.record_list_failure(self.now, self.rng.0);
            }
            SchedulerAction::ReadList => {
                let listed_at = self
                    .now
                    .saturating_duration_since(Timestamp::ZERO + self.lag);
                let listed_at = Timestamp::from_start(listed_at);
                let mut lists = self.platform.history.iter();
                let list = lists.find(|(at, _)| *at >= listed_at).unwrap();
                self.reading = Some((self.now, list.1.clone()));
            }
            SchedulerAction::Call(key) => {
                let answer =
                    self.platform
                        .receive(key, self.term, self.now, is_faulty, &mut self.rng);
                self.answers.push(answer);
            }
        }
    }

    fn are_all_waves_over(&self) -> bool {
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
    fn the_down_limit_holds_and_all_boxes_begin_despite_faults(
        seed in any::<u64>(),
        boxes in 1_usize..9,
        most_down in 1_u32..4,
        other_most_down in 1_u32..4,
        span_s in 1_u64..120,
    ) {
        let waves = [order(1, 0..boxes, most_down, span_s), order(2, boxes / 2..boxes, other_most_down, 40)];
        let mut simulation = Simulation::new(seed, &waves, boxes);

        let mut steps = 0;
        while !simulation.are_all_waves_over() && steps < MAX_STEPS {
            simulation.advance(steps < MAX_STEPS / 2);
            steps += 1;
        }

        prop_assert!(simulation.are_all_waves_over(), "some waves are not over: {:?}", simulation.state.waves());
        let expected = boxes + (boxes - boxes / 2);
        prop_assert_eq!(simulation.platform.done.len(), expected);
    }
}

#[test]
fn without_faults_all_boxes_begin_in_time_with_the_fewest_down_at_once() {
    let mut simulation = Simulation::new(7, &[order(1, 0..12, 4, 120)], 24);
    let mut peak_down = 0;
    let mut last_start = Timestamp::ZERO;

    while !simulation.are_all_waves_over() {
        let before = simulation.platform.done.len();
        simulation.advance(false);
        if simulation.platform.done.len() > before {
            last_start = simulation.now;
        }
        let boxes = simulation.platform.boxes.values();
        peak_down = peak_down.max(
            boxes
                .filter(|platform_box| platform_box.upkeep.is_some())
                .count(),
        );
    }

    assert!(last_start <= Timestamp::from_start(Duration::from_secs(120)));
    assert!(peak_down <= 2, "{peak_down} boxes were down at once");
}

#[test]
fn without_an_open_wave_the_scheduler_takes_no_action() {
    let mut scheduler = UpkeepScheduler::new(timings(), &UpkeepState::default(), Timestamp::ZERO);
    let evacuated = BTreeSet::new();

    for second in 0..100 {
        let now = Timestamp::from_start(Duration::from_secs(second));
        let input = SchedulerInput {
            now,
            wall: now.since_start(),
            evacuated: &evacuated,
            loads: &BTreeMap::new(),
        };
        assert_eq!(scheduler.next_actions(&UpkeepState::default(), &input), []);
    }
}
