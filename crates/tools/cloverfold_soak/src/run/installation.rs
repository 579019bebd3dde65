//! The installation under test: programs, proxies and targets, with the state that callers, operators, observers and faults share.

use std::collections::HashSet;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cloverfold_stand_ins::READINESS_PATH;
use cloverfold_stand_ins::target::{FakeTarget, TargetConfig};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::layout::{Layout, Side};
use super::links::Links;
use super::programs::{Program, Programs};
use super::recorder::Recorder;
use super::target_faults::send_heartbeats;
use super::{SoakError, operators};
use crate::plan::{ENTRY_COUNT, GUARD_COUNT, HALLS, list_processes};
use crate::records::{OrderAnswer, Process};

/// Timeout for the installation to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Polling interval for readiness.
const START_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Delay from readiness to the start of the plan, in which all guards find all entries.
const SETTLE_DELAY: Duration = Duration::from_secs(2);
/// The configuration that the installation starts with.
const FIRST_VERSION: u64 = 1;

/// A process and its current incarnation.
pub(crate) struct ProcessSlot {
    pub(crate) process: Process,
    /// `None` while the soak keeps the process down. Locked during a fault or a planned stop of the process.
    pub(crate) program: tokio::sync::Mutex<Option<Program>>,
    incarnation: AtomicU64,
}

/// The installation under test.
pub(crate) struct Installation {
    programs: Programs,
    pub(crate) layout: Layout,
    pub(crate) links: Links,
    pub(crate) slots: Vec<ProcessSlot>,
    pub(crate) targets: Vec<Arc<FakeTarget>>,
    /// Locked during a fault of the target, so that each target has at most one at a time.
    pub(crate) target_fault_locks: Vec<tokio::sync::Mutex<()>>,
    pub(crate) recorder: Recorder,
    /// Readiness of each entry as the load balancer sees it.
    pub(crate) ready: [AtomicBool; ENTRY_COUNT],
    next_version: AtomicU64,
    reserved_halls: Mutex<HashSet<String>>,
    is_bootstrapped: AtomicBool,
    heartbeats: Mutex<JoinSet<()>>,
}

impl Installation {
    /// Starts the installation and waits until it is ready.
    pub(crate) async fn start(programs: &Programs, folder: &Path) -> Result<Self, SoakError> {
        let io_error = |what: &str| {
            let what = what.to_owned();
            move |cause: io::Error| SoakError::Io(what, cause)
        };
        let layout = Layout::allocate(folder).map_err(io_error("addresses"))?;
        let links = Links::start(&layout).map_err(io_error("proxies"))?;
        let targets = start_targets(&layout).map_err(io_error("targets"))?;
        let mut installation = Self::new(programs, layout, links, targets);
        for slot in &installation.slots {
            let program = installation.start_program(slot);
            *slot.program.lock().await = Some(program.map_err(io_error("a program"))?);
        }
        installation.become_ready().await?;
        Ok(installation)
    }

    fn new(
        programs: &Programs,
        layout: Layout,
        links: Links,
        targets: Vec<Arc<FakeTarget>>,
    ) -> Self {
        let slot = |process| ProcessSlot {
            process,
            program: tokio::sync::Mutex::new(None),
            incarnation: AtomicU64::new(0),
        };
        Self {
            programs: programs.clone(),
            layout,
            links,
            slots: list_processes().into_iter().map(slot).collect(),
            targets,
            target_fault_locks: (0..GUARD_COUNT)
                .map(|_| tokio::sync::Mutex::new(()))
                .collect(),
            recorder: new_recorder(),
            ready: [const { AtomicBool::new(false) }; ENTRY_COUNT],
            next_version: AtomicU64::new(FIRST_VERSION + 1),
            reserved_halls: Mutex::default(),
            is_bootstrapped: AtomicBool::new(false),
            heartbeats: Mutex::default(),
        }
    }

    /// Sends the first configuration, waits until all entries are ready, and starts the history.
    async fn become_ready(&mut self) -> Result<(), SoakError> {
        for target in self.targets.clone() {
            let mut heartbeats = self
                .heartbeats
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            heartbeats.spawn(send_heartbeats(target));
        }
        let until = Instant::now() + START_TIMEOUT;
        operators::send_until_acknowledged(self, 0, FIRST_VERSION).await;
        if self.newest_acknowledged().is_none() {
            return Err(SoakError::NotReady(
                "the first configuration was not acknowledged",
            ));
        }
        self.is_bootstrapped.store(true, Ordering::Relaxed);
        while !self.are_entries_ready().await {
            if Instant::now() > until {
                return Err(SoakError::NotReady("an entry is not ready"));
            }
            sleep(START_POLL_INTERVAL).await;
            // The checker counts the time bounds of an acknowledgement from the start of the history.
            operators::send_until_acknowledged(self, 0, FIRST_VERSION).await;
        }
        sleep(SETTLE_DELAY).await;
        let orders = std::mem::take(&mut self.recorder.lock().configuration_orders);
        self.recorder = new_recorder();
        let initial_orders = orders.into_iter().map(|mut order| {
            order.sent_at = Duration::ZERO;
            order.answer = order.answer.map(|(_, answer)| (Duration::ZERO, answer));
            order
        });
        self.recorder
            .lock()
            .configuration_orders
            .extend(initial_orders);
        Ok(())
    }

    async fn are_entries_ready(&self) -> bool {
        for entry in 0..ENTRY_COUNT {
            let answer = operators::send(
                self.layout.ready(entry),
                http::Method::GET,
                READINESS_PATH,
                "",
            );
            if !matches!(answer.await, Some((http::StatusCode::OK, _))) {
                return false;
            }
            self.ready[entry].store(true, Ordering::Relaxed);
        }
        true
    }

    /// Starts a new incarnation of a process.
    pub(crate) fn start_program(&self, slot: &ProcessSlot) -> io::Result<Program> {
        let may_found = !self.is_bootstrapped.load(Ordering::Relaxed);
        let settings = self.layout.write_settings(slot.process, may_found)?;
        let (program, arguments) = match slot.process {
            Process::Control(_) => (&self.programs.cloverfold, "control"),
            Process::Entry(_) => (&self.programs.cloverfold, "leased-entry"),
            Process::Guard(_) => (&self.programs.guard, "--leased"),
        };
        slot.incarnation.fetch_add(1, Ordering::Relaxed);
        let log = self.layout.log(slot.process);
        Program::start(program, &[arguments], &settings, &log)
    }

    pub(crate) fn slot(&self, process: Process) -> Option<&ProcessSlot> {
        self.slots.iter().find(|slot| slot.process == process)
    }

    /// Returns the incarnation number of a process.
    pub(crate) fn incarnation(&self, process: Process) -> u64 {
        self.slot(process)
            .map_or(0, |slot| slot.incarnation.load(Ordering::Relaxed))
    }

    /// Restarts the processes that exited without a fault or a planned stop; returns them.
    pub(crate) fn restart_exited(&self) -> Vec<Process> {
        let mut ended = Vec::new();
        for slot in &self.slots {
            let Ok(mut program) = slot.program.try_lock() else {
                continue;
            };
            if program.as_mut().is_some_and(Program::has_exited) {
                ended.push(slot.process);
                // The caller records the exit; a failed restart needs no report of its own.
                *program = self.start_program(slot).ok();
            }
        }
        ended
    }

    /// Returns the first ready entry from the preferred one on, or the preferred one if none is ready.
    pub(crate) fn choose_entry(&self, preferred: usize) -> usize {
        let mut entries = (0..ENTRY_COUNT).map(|offset| (preferred + offset) % ENTRY_COUNT);
        let ready = entries.find(|entry| self.ready[*entry].load(Ordering::Relaxed));
        ready.unwrap_or(preferred % ENTRY_COUNT)
    }

    pub(crate) fn next_version(&self) -> u64 {
        self.next_version.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn newest_acknowledged(&self) -> Option<u64> {
        let history = self.recorder.lock();
        let orders = history.configuration_orders.iter();
        let acknowledged = orders.filter(|order| {
            let is_acknowledged = matches!(order.answer, Some((_, OrderAnswer::Acknowledged)));
            order.is_valid && is_acknowledged
        });
        acknowledged.map(|order| order.version).max()
    }

    /// Returns whether a valid configuration with this version was sent.
    pub(crate) fn was_sent(&self, version: u64) -> bool {
        let history = self.recorder.lock();
        let mut orders = history.configuration_orders.iter();
        orders.any(|order| order.version == version && order.is_valid)
    }

    /// Reserves a data hall for one operator until the reservation is dropped; returns `None` if the hall is already reserved.
    pub(crate) fn reserve_hall(&self, hall: &str) -> Option<HallReservation<'_>> {
        let mut halls = self
            .reserved_halls
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        halls.insert(hall.to_owned()).then(|| HallReservation {
            halls: &self.reserved_halls,
            hall: hall.to_owned(),
        })
    }
}

fn new_recorder() -> Recorder {
    let halls = (0..GUARD_COUNT).map(|index| HALLS[index % HALLS.len()].to_owned());
    Recorder::new(halls.collect())
}

fn start_targets(layout: &Layout) -> io::Result<Vec<Arc<FakeTarget>>> {
    let start = |index: usize| {
        let guard = Process::Guard(index);
        FakeTarget::start(TargetConfig {
            name: format!("target-{index}"),
            hall: layout.hall(guard).to_owned(),
            address: layout.target(index, Side::Inner),
            advertised_address: layout.target(index, Side::Outer),
            registration_address: layout.interface(guard, Side::Outer),
        })
    };
    (0..GUARD_COUNT).map(start).collect()
}

/// The reservation of a data hall, which ends on drop.
pub(crate) struct HallReservation<'a> {
    halls: &'a Mutex<HashSet<String>>,
    hall: String,
}

impl Drop for HallReservation<'_> {
    fn drop(&mut self) {
        let mut halls = self.halls.lock().unwrap_or_else(PoisonError::into_inner);
        halls.remove(&self.hall);
    }
}
