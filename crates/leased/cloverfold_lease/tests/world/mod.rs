//! A simulation of runners with targets, dispatchers and clients, in steps of a few milliseconds.
//!
//! This file contains its state and the overlap check. `faults`, `stalls` and `suspensions` inject failures, `links` carries messages, and
//! `processes` and `clients` advance each participant by one step.

mod clients;
mod evacuations;
mod faults;
mod kept;
mod links;
mod processes;
mod stalls;
mod suspensions;
mod target;

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::{StallDetector, Timestamp};
use cloverfold_lease::{
    Dispatcher, JobNumber, JobRequest, Runner, TargetRegistration, TaskId, Timings,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use clients::Client;
use evacuations::Evacuations;
pub use kept::KeptJobFaults;
use kept::KeptJobWorld;
use links::Link;
use processes::new_dispatcher;
use suspensions::BoxClock;
pub use suspensions::{SuspendedClock, SuspendedClocks};
use target::Target;

const STEP_MS: u64 = 5;
const RUNNERS: usize = 4;
const DISPATCHERS: usize = 2;
const RESEND_MS: u64 = 1_300;
const CLIENT_TIMEOUT_MS: u64 = 1_500;
const RENEWAL_TIMEOUT_MS: u64 = 220;
const SETTLE_MS: u64 = 4_000;

/// The faults of a simulation and the session timeout.
#[derive(Clone, Copy)]
pub struct WorldFaults {
    /// Whether processes die, freeze and lose connections, and orders are delayed.
    pub has_faults: bool,
    /// Session timeout after an echo, in milliseconds.
    pub session_ms: u64,
    /// Whether operators evacuate data halls and end the evacuations.
    pub has_evacuations: bool,
    /// Faults of kept jobs; `None` without kept jobs.
    pub kept: Option<KeptJobFaults>,
    /// Whether all processes sometimes stall at once.
    pub has_global_stalls: bool,
    /// Behaviour of the process clocks during a suspension of their box; `None` without suspensions.
    pub suspended: Option<SuspendedClocks>,
}

impl WorldFaults {
    pub fn all() -> Self {
        Self {
            has_faults: true,
            session_ms: 500,
            has_evacuations: false,
            kept: None,
            has_global_stalls: false,
            suspended: None,
        }
    }

    pub fn with_kept_jobs(kept: KeptJobFaults) -> Self {
        Self {
            kept: Some(kept),
            ..Self::all()
        }
    }

    pub fn with_suspensions(clocks: SuspendedClocks) -> Self {
        Self {
            suspended: Some(clocks),
            ..Self::all()
        }
    }

    pub fn with_evacuations() -> Self {
        Self {
            has_evacuations: true,
            ..Self::all()
        }
    }

    pub fn with_global_stalls() -> Self {
        Self {
            has_global_stalls: true,
            ..Self::none()
        }
    }

    pub fn none() -> Self {
        Self {
            has_faults: false,
            session_ms: 500,
            has_evacuations: false,
            kept: None,
            has_global_stalls: false,
            suspended: None,
        }
    }

    fn timings(&self) -> Timings {
        Timings {
            session_timeout: Duration::from_millis(self.session_ms),
            ..Timings::default()
        }
    }
}

struct RunnerNode {
    runner: Option<Runner>,
    frozen_until: u64,
    clock: BoxClock,
    stalls: StallDetector,
    starts_at: u64,
    target: Target,
    renewal_due_at: u64,
    registered_at: u64,
    /// Delayed registrations of crashed incarnations, with their times of arrival.
    late_registrations: Vec<(u64, TargetRegistration)>,
}

struct DispatcherNode {
    dispatcher: Option<Dispatcher>,
    frozen_until: u64,
    clock: BoxClock,
    stalls: StallDetector,
    starts_at: u64,
    clients: BTreeMap<JobNumber, Client>,
    /// Requests that it has not read yet, with their senders.
    unread: Vec<(Client, JobRequest)>,
    /// When it was last active, on its clock.
    last_active_at: Timestamp,
}

pub struct World {
    now: u64,
    rng: SmallRng,
    faults: WorldFaults,
    runners: Vec<RunnerNode>,
    dispatchers: Vec<DispatcherNode>,
    links: BTreeMap<(usize, usize), Link>,
    next_link: u64,
    next_job: u64,
    submissions_until: u64,
    resends: Vec<(u64, String)>,
    evacuations: Option<Evacuations>,
    kept: Option<KeptJobWorld>,
    pub completed: u64,
    pub tasks_completed: u64,
    pub starts: u64,
    /// Number of times a runner left a dispatcher.
    pub departures: u64,
    /// Number of suspensions of a box.
    pub suspensions: u64,
    /// Number of stalls of all processes at once.
    pub stalls: u64,
}

/// Returns the point in time `value` milliseconds after the start of the clock.
fn at(value: u64) -> Timestamp {
    Timestamp::from_start(Duration::from_millis(value))
}

impl World {
    pub fn new(seed: u64, faults: WorldFaults) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let runners = (0..RUNNERS)
            .map(|index| RunnerNode {
                runner: Some(Runner::new(faults.timings(), 1_000)),
                frozen_until: 0,
                clock: BoxClock::default(),
                stalls: StallDetector::default(),
                starts_at: 0,
                target: Target::new(index, rng.random_range(0.98..=1.0)),
                renewal_due_at: 0,
                registered_at: 0,
                late_registrations: Vec::new(),
            })
            .collect();
        let dispatchers = (0..DISPATCHERS)
            .map(|index| DispatcherNode {
                dispatcher: Some(new_dispatcher(faults, seed + index as u64)),
                frozen_until: 0,
                clock: BoxClock::default(),
                stalls: StallDetector::default(),
                starts_at: 0,
                clients: BTreeMap::new(),
                unread: Vec::new(),
                last_active_at: Timestamp::ZERO,
            })
            .collect();
        Self {
            now: 0,
            rng,
            faults,
            runners,
            dispatchers,
            links: BTreeMap::new(),
            next_link: 1,
            next_job: 1,
            submissions_until: 0,
            resends: Vec::new(),
            kept: faults.kept.map(KeptJobWorld::new),
            evacuations: faults.has_evacuations.then(|| Evacuations::new(seed)),
            completed: 0,
            tasks_completed: 0,
            starts: 0,
            departures: 0,
            suspensions: 0,
            stalls: 0,
        }
    }

    /// Simulates `span_ms`; clients submit jobs until `SETTLE_MS` before the end.
    pub fn simulate(&mut self, span_ms: u64) {
        self.submissions_until = span_ms - SETTLE_MS;
        while self.now < span_ms {
            self.now += STEP_MS;
            if self.faults.has_faults {
                self.inject_faults();
            }
            self.stall_all_processes();
            self.suspend_boxes();
            self.detect_stalls();
            self.restart_processes();
            self.evacuate_halls();
            self.maintain_links();
            self.leave_dispatchers();
            self.submit_jobs();
            self.deliver();
            self.step_kept_jobs();
            self.run_targets();
            for index in 0..RUNNERS {
                self.step_runner(index);
            }
            for index in 0..DISPATCHERS {
                self.step_dispatcher(index);
            }
            self.time_out_clients();
            self.check_overlaps();
            self.check_kept_ends();
        }
    }

    fn random_bool(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn check_overlaps(&self) {
        let mut running: BTreeMap<&TaskId, usize> = BTreeMap::new();
        for (index, node) in self.runners.iter().enumerate() {
            for task in node.target.running() {
                if let Some(other) = running.insert(task, index) {
                    panic!(
                        "at {} ms {task:?} runs at runners {other} and {index}",
                        self.now
                    );
                }
            }
        }
    }
}
