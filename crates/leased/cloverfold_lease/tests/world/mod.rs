//! The simulated world: runners with targets, dispatchers and clients, in steps of a few milliseconds.
//!
//! This file holds its state and the check for overlaps; `faults`, `stalls` and `suspensions` have what fails, `links` what is under way,
//! `processes` and `clients` what each does in a step.

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
pub use kept::KeptFaults;
use kept::KeptWorld;
use links::Link;
use processes::new_dispatcher;
use suspensions::BoxClock;
pub use suspensions::{SuspendedClock, SuspendedClocks};
use target::Target;

const STEP_MS: u64 = 5;
const RUNNERS: usize = 4;
const DISPATCHERS: usize = 2;
const RESEND_MS: u64 = 1_300;
const CLIENT_PATIENCE_MS: u64 = 1_500;
const RENEWAL_TIMEOUT_MS: u64 = 220;
const QUIET_MS: u64 = 4_000;

/// Which faults come, and how long a session is valid.
#[derive(Clone, Copy)]
pub struct WorldFaults {
    /// Whether processes die, freeze and are cut off, and orders come late.
    pub is_troubled: bool,
    /// How long a session is valid after an echo, in milliseconds.
    pub session_ms: u64,
    /// Whether operators evacuate data halls and take them back.
    pub has_evacuations: bool,
    /// How kept jobs are treated; `None` in a world without them.
    pub kept: Option<KeptFaults>,
    /// Whether all processes stand still at once now and then.
    pub has_world_stalls: bool,
    /// What the clocks of processes show while their box is suspended; `None` in a world in which none is.
    pub suspended: Option<SuspendedClocks>,
}

impl WorldFaults {
    pub fn all() -> Self {
        Self {
            is_troubled: true,
            session_ms: 500,
            has_evacuations: false,
            kept: None,
            has_world_stalls: false,
            suspended: None,
        }
    }

    pub fn with_kept_jobs(kept: KeptFaults) -> Self {
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

    pub fn with_world_stalls() -> Self {
        Self {
            has_world_stalls: true,
            ..Self::none()
        }
    }

    pub fn none() -> Self {
        Self {
            is_troubled: false,
            session_ms: 500,
            has_evacuations: false,
            kept: None,
            has_world_stalls: false,
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
    /// Registrations of crashed incarnations that were held up on their way, and when they arrive.
    late_registrations: Vec<(u64, TargetRegistration)>,
}

struct DispatcherNode {
    dispatcher: Option<Dispatcher>,
    frozen_until: u64,
    clock: BoxClock,
    stalls: StallDetector,
    starts_at: u64,
    clients: BTreeMap<JobNumber, Client>,
    /// Requests that it has not read, and who sent them.
    unread: Vec<(Client, JobRequest)>,
    /// When it did anything last, on its clock.
    called_at: Timestamp,
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
    jobs_until: u64,
    resends: Vec<(u64, String)>,
    evacuations: Option<Evacuations>,
    kept: Option<KeptWorld>,
    pub completed: u64,
    pub tasks_completed: u64,
    pub starts: u64,
    /// How often a runner has left a dispatcher.
    pub left: u64,
    /// How often a box was suspended.
    pub suspensions: u64,
    /// How often all processes stood still at once.
    pub stalls: u64,
}

/// The point in time `value` milliseconds after the start of the clock.
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
                called_at: Timestamp::ZERO,
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
            jobs_until: 0,
            resends: Vec::new(),
            kept: faults.kept.map(KeptWorld::new),
            evacuations: faults.has_evacuations.then(|| Evacuations::new(seed)),
            completed: 0,
            tasks_completed: 0,
            starts: 0,
            left: 0,
            suspensions: 0,
            stalls: 0,
        }
    }

    /// Plays a span; jobs come until `QUIET_MS` before its end.
    pub fn play(&mut self, span_ms: u64) {
        self.jobs_until = span_ms - QUIET_MS;
        while self.now < span_ms {
            self.now += STEP_MS;
            if self.faults.is_troubled {
                self.trouble();
            }
            self.stall_world();
            self.suspend_boxes();
            self.notice_stalls();
            self.restart_processes();
            self.evacuate_halls();
            self.keep_links();
            self.leave_dispatchers();
            self.submit_jobs();
            self.deliver();
            self.step_kept();
            self.run_targets();
            for index in 0..RUNNERS {
                self.step_runner(index);
            }
            for index in 0..DISPATCHERS {
                self.step_dispatcher(index);
            }
            self.lose_patience();
            self.check_overlaps();
            self.check_kept_ends();
        }
    }

    fn draw(&mut self, chance: f64) -> bool {
        self.rng.random_bool(chance)
    }

    fn check_overlaps(&self) {
        let mut at_work: BTreeMap<&TaskId, usize> = BTreeMap::new();
        for (index, node) in self.runners.iter().enumerate() {
            for task in node.target.running() {
                if let Some(other) = at_work.insert(task, index) {
                    panic!("at {} ms {task:?} runs at {other} and at {index}", self.now);
                }
            }
        }
    }
}
