//! Generates a plan from a seed.
//!
//! Phases with concurrent faults alternate with phases of planned work only, because a planned stop guarantees to interrupt nothing only
//! if no fault is near. The end of a plan has no faults, so that the checker can observe the recovery.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{
    CONTROL_COUNT, CallerBehavior, ENTRY_COUNT, Fault, GUARD_COUNT, HALLS, Millis, Order, Plan,
    PlannedFault, PlannedJob, PlannedOrder, TargetFault,
};
use crate::records::Process;

/// Fault-free time at the end: the recovery bound, the longest last fault, and a few seconds of observation.
const FAULT_FREE_TAIL: Millis = 18_000;
/// Shortest soak: a few seconds of faults and the fault-free tail.
const MIN_LENGTH: Millis = 24_000;
/// Longest soak; bounds the memory of the history.
const MAX_LENGTH: Millis = 600_000;
/// Mean interval between two jobs.
const MEAN_JOB_INTERVAL: Millis = 45;
/// Length of a fault phase.
const FAULT_PHASE: std::ops::Range<Millis> = 6_000..11_000;
/// Length of a planned phase: the lead-in, the longest stop and its consequences.
const PLANNED_PHASE: Millis = 12_000;
/// Time from the start of a planned phase to its first work: the end of earlier faults, and the quiet period of 3 s.
const PLANNED_PHASE_LEAD_IN: Millis = 5_500;

/// Duration of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanLength(Millis);

impl PlanLength {
    /// Creates a length from whole seconds; `None` unless it is from 24 to 600.
    pub fn new(seconds: u64) -> Option<Self> {
        let length = seconds.checked_mul(1_000)?;
        (MIN_LENGTH..=MAX_LENGTH)
            .contains(&length)
            .then_some(Self(length))
    }
}

/// Generates the plan of a seed.
pub fn generate_plan(seed: u64, length: PlanLength) -> Plan {
    let mut generator = PlanGenerator::new(seed, length.0);
    let active_until = length.0 - FAULT_FREE_TAIL;
    generator.generate_jobs(length.0);
    generator.generate_orders(active_until);
    generator.generate_phases(active_until);
    generator.finish()
}

/// Generates a plan without faults: jobs, configuration changes, one evacuation, and one planned stop of each kind of process.
pub fn generate_fault_free_plan(seed: u64, length: Duration) -> Plan {
    let length = length.as_millis() as Millis;
    let mut generator = PlanGenerator::new(seed, length);
    generator.generate_jobs(length);
    for at in [500, 1_500] {
        generator.add_order(at, Order::Race);
    }
    generator.add_order(2_000, Order::Invalid);
    let hall = HALLS[2].to_owned();
    generator.add_order(
        1_000,
        Order::Evacuate {
            hall,
            duration: 4_000,
        },
    );
    let processes = [Process::Entry(0), Process::Guard(0), Process::Control(0)];
    for process in processes {
        generator.add_fault(
            3_500,
            Fault::Stop {
                process,
                downtime: 300,
            },
        );
    }
    generator.finish()
}

/// Builds a plan from a seeded random number generator.
pub(super) struct PlanGenerator {
    pub(super) rng: SmallRng,
    plan: Plan,
    pub(super) last_disk_loss: Option<Millis>,
}

impl PlanGenerator {
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
            last_disk_loss: None,
        }
    }

    fn finish(mut self) -> Plan {
        self.plan.jobs.sort_by_key(|job| job.at);
        self.plan.faults.sort_by_key(|fault| fault.at);
        self.plan.orders.sort_by_key(|order| order.at);
        self.plan
    }

    pub(super) fn add_fault(&mut self, at: Millis, fault: Fault) {
        self.plan.faults.push(PlannedFault { at, fault });
    }

    fn add_order(&mut self, at: Millis, order: Order) {
        let control = self.rng.random_range(0..CONTROL_COUNT);
        self.plan.orders.push(PlannedOrder { at, control, order });
    }

    fn generate_jobs(&mut self, until: Millis) {
        let mut at = 0;
        while at < until {
            let burst = if self.rng.random_bool(0.02) { 25 } else { 1 };
            for _ in 0..burst {
                let job = self.generate_job(at);
                self.plan.jobs.push(job);
            }
            at += self
                .rng
                .random_range(1..2 * MEAN_JOB_INTERVAL * u64::from(burst.min(4) as u32));
        }
    }

    fn generate_job(&mut self, at: Millis) -> PlannedJob {
        let behavior = match self.rng.random_range(0..100) {
            0..10 => CallerBehavior::Disconnects {
                after: self.rng.random_range(5..600),
            },
            10..30 => CallerBehavior::Insistent,
            _ => CallerBehavior::Patient,
        };
        // Some tasks outlast every session and lease, so that a run that should have ended may overlap the next run.
        let (tasks, task_duration) = if self.rng.random_bool(0.12) {
            (1..3, 1_000..2_500)
        } else {
            (1..6, 30..500)
        };
        PlannedJob {
            at,
            entry: self.rng.random_range(0..ENTRY_COUNT),
            tasks: self.rng.random_range(tasks),
            task_duration: self.rng.random_range(task_duration),
            behavior,
        }
    }

    fn generate_orders(&mut self, active_until: Millis) {
        let mut at = 500;
        while at < active_until {
            let order = match self.rng.random_range(0..100) {
                0..45 => Order::Configure,
                45..65 => Order::Race,
                65..75 => Order::Repeat,
                75..83 => Order::Invalid,
                83..90 => Order::Malformed,
                _ => Order::Evacuate {
                    hall: HALLS[self.rng.random_range(0..HALLS.len())].to_owned(),
                    duration: self.rng.random_range(3_000..7_000),
                },
            };
            self.add_order(at, order);
            at += self.rng.random_range(100..2_500);
        }
    }

    /// Generates fault phases and planned phases in turn.
    fn generate_phases(&mut self, active_until: Millis) {
        let mut from = 1_500;
        let mut is_fault_phase = self.rng.random_bool(0.7);
        while from < active_until {
            let length = if is_fault_phase {
                self.rng.random_range(FAULT_PHASE)
            } else {
                PLANNED_PHASE
            };
            let until = (from + length).min(active_until);
            if is_fault_phase {
                self.generate_fault_phase(from, until);
            } else {
                self.generate_planned_phase(from, until);
            }
            from = until;
            is_fault_phase = !is_fault_phase;
        }
    }

    fn generate_planned_phase(&mut self, from: Millis, until: Millis) {
        let first = from + PLANNED_PHASE_LEAD_IN;
        if first + 2_000 > until {
            return;
        }
        let operation_count = self.rng.random_range(1..4);
        for _ in 0..operation_count {
            let at = first + self.rng.random_range(0..1_000);
            let operation = if self.rng.random_bool(0.25) {
                Fault::Target {
                    target: self.rng.random_range(0..GUARD_COUNT),
                    fault: TargetFault::PlannedRestart,
                    duration: self.rng.random_range(300..1_500),
                }
            } else {
                Fault::Stop {
                    process: self.choose_process(),
                    downtime: self.rng.random_range(0..1_000),
                }
            };
            self.add_fault(at, operation);
        }
    }
}
