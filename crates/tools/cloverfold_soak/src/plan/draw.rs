//! Draws a plan from a seed.
//!
//! Rule: spans with several faults at once take turns with spans that have planned work alone, since a planned stop promises to cut
//! nothing only where no fault is near. The end is left alone, so that service can be seen to come back.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{
    CONTROL_COUNT, CallerBehavior, ENTRY_COUNT, Fault, GUARD_COUNT, HALLS, Millis, OperatorOrder,
    Plan, PlannedFault, PlannedJob, PlannedOrder, TargetFault,
};
use crate::records::Process;

/// Left alone at the end: the bound for service to be back, what the last fault may last, and a few seconds to see it.
const TAIL: Millis = 18_000;
/// Shortest soak: a few seconds of faults and the tail.
const SHORTEST: Millis = 24_000;
/// Longest soak; what is remembered grows with it.
const LONGEST: Millis = 600_000;
/// Mean pause between two jobs.
const JOB_PAUSE: Millis = 45;
/// A span of faults.
const STORM: std::ops::Range<Millis> = 6_000..11_000;
/// A span of planned work: what is near a fault, the longest stop, and what may come of it.
const PLANNED_WORK: Millis = 12_000;
/// From the beginning of such a span to the first work: faults may last so long, and are near for 3 s.
const BEFORE_PLANNED_WORK: Millis = 5_500;

/// How long a soak lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanLength(Millis);

impl PlanLength {
    /// Takes a length in whole seconds; `None` unless it is from 24 to 600.
    pub fn new(seconds: u64) -> Option<Self> {
        let length = seconds.checked_mul(1_000)?;
        (SHORTEST..=LONGEST)
            .contains(&length)
            .then_some(Self(length))
    }
}

/// Generates the plan of a seed.
pub fn generate_plan(seed: u64, length: PlanLength) -> Plan {
    let mut draw = Draw::new(seed, length.0);
    let busy = length.0 - TAIL;
    draw.draw_jobs(length.0);
    draw.draw_orders(busy);
    draw.draw_spans(busy);
    draw.finish()
}

/// Generates a plan without faults: jobs, configuration changes, one evacuation, and one planned stop of each kind of process.
pub fn generate_fault_free_plan(seed: u64, length: Duration) -> Plan {
    let length = length.as_millis() as Millis;
    let mut draw = Draw::new(seed, length);
    draw.draw_jobs(length);
    for at in [500, 1_500] {
        draw.order(at, OperatorOrder::Race);
    }
    draw.order(2_000, OperatorOrder::Unsound);
    let hall = HALLS[2].to_owned();
    draw.order(1_000, OperatorOrder::Evacuate { hall, lasts: 4_000 });
    let processes = [Process::Entry(0), Process::Guard(0), Process::Control(0)];
    for process in processes {
        draw.fault(3_500, Fault::Stop { process, away: 300 });
    }
    draw.finish()
}

/// A plan that is being drawn.
pub(super) struct Draw {
    pub(super) rng: SmallRng,
    plan: Plan,
    pub(super) last_lost_disk: Option<Millis>,
}

impl Draw {
    fn new(seed: u64, length: Millis) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            plan: Plan {
                seed,
                length,
                jobs: Vec::new(),
                faults: Vec::new(),
                orders: Vec::new(),
            },
            last_lost_disk: None,
        }
    }

    fn finish(mut self) -> Plan {
        self.plan.jobs.sort_by_key(|job| job.at);
        self.plan.faults.sort_by_key(|fault| fault.at);
        self.plan.orders.sort_by_key(|order| order.at);
        self.plan
    }

    pub(super) fn fault(&mut self, at: Millis, fault: Fault) {
        self.plan.faults.push(PlannedFault { at, fault });
    }

    fn order(&mut self, at: Millis, order: OperatorOrder) {
        let control = self.rng.random_range(0..CONTROL_COUNT);
        self.plan.orders.push(PlannedOrder { at, control, order });
    }

    fn draw_jobs(&mut self, until: Millis) {
        let mut at = 0;
        while at < until {
            let burst = if self.rng.random_bool(0.02) { 25 } else { 1 };
            for _ in 0..burst {
                let job = self.draw_job(at);
                self.plan.jobs.push(job);
            }
            at += self
                .rng
                .random_range(1..2 * JOB_PAUSE * u64::from(burst.min(4) as u32));
        }
    }

    fn draw_job(&mut self, at: Millis) -> PlannedJob {
        let manner = match self.rng.random_range(0..100) {
            0..10 => CallerBehavior::Leaves {
                after: self.rng.random_range(5..600),
            },
            10..30 => CallerBehavior::Insistent,
            _ => CallerBehavior::Patient,
        };
        // Some run on for longer than any session and lease, so that a run that ought to be over is still there when the next begins.
        let (tasks, work) = if self.rng.random_bool(0.12) {
            (1..3, 1_000..2_500)
        } else {
            (1..6, 30..500)
        };
        PlannedJob {
            at,
            entry: self.rng.random_range(0..ENTRY_COUNT),
            tasks: self.rng.random_range(tasks),
            work: self.rng.random_range(work),
            manner,
        }
    }

    fn draw_orders(&mut self, busy: Millis) {
        let mut at = 500;
        while at < busy {
            let order = match self.rng.random_range(0..100) {
                0..45 => OperatorOrder::Configure,
                45..65 => OperatorOrder::Race,
                65..75 => OperatorOrder::Repeat,
                75..83 => OperatorOrder::Unsound,
                83..90 => OperatorOrder::Unreadable,
                _ => OperatorOrder::Evacuate {
                    hall: HALLS[self.rng.random_range(0..HALLS.len())].to_owned(),
                    lasts: self.rng.random_range(3_000..7_000),
                },
            };
            self.order(at, order);
            at += self.rng.random_range(100..2_500);
        }
    }

    /// Draws spans of faults and of planned work in turn.
    fn draw_spans(&mut self, busy: Millis) {
        let mut from = 1_500;
        let mut is_storm = self.rng.random_bool(0.7);
        while from < busy {
            let length = if is_storm {
                self.rng.random_range(STORM)
            } else {
                PLANNED_WORK
            };
            let until = (from + length).min(busy);
            if is_storm {
                self.draw_storm(from, until);
            } else {
                self.draw_planned_work(from, until);
            }
            from = until;
            is_storm = !is_storm;
        }
    }

    fn draw_planned_work(&mut self, from: Millis, until: Millis) {
        let first = from + BEFORE_PLANNED_WORK;
        if first + 2_000 > until {
            return;
        }
        let works = self.rng.random_range(1..4);
        for _ in 0..works {
            let at = first + self.rng.random_range(0..1_000);
            let work = if self.rng.random_bool(0.25) {
                Fault::Target {
                    target: self.rng.random_range(0..GUARD_COUNT),
                    fault: TargetFault::Leave,
                    lasts: self.rng.random_range(300..1_500),
                }
            } else {
                Fault::Stop {
                    process: self.draw_process(),
                    away: self.rng.random_range(0..1_000),
                }
            };
            self.fault(at, work);
        }
    }
}
