//! The installation: programs, proxies and targets, and what everybody who plays needs to know of it.

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

/// How long the installation may take until it serves.
const START_PATIENCE: Duration = Duration::from_secs(60);
/// How often that is looked for.
const START_POLL: Duration = Duration::from_millis(300);
/// From the first readiness to the beginning: all guards have found all entries by then.
const SETTLE: Duration = Duration::from_secs(2);
/// The configuration that the installation starts with.
const FIRST_VERSION: u64 = 1;

/// A process and its present life.
pub(crate) struct Slot {
    pub(crate) process: Process,
    /// `None` while it is away by the soak's doing. Locked by whoever does something to it.
    pub(crate) program: tokio::sync::Mutex<Option<Program>>,
    life: AtomicU64,
}

/// Everything that is played with.
pub(crate) struct Installation {
    programs: Programs,
    pub(crate) layout: Layout,
    pub(crate) links: Links,
    pub(crate) slots: Vec<Slot>,
    pub(crate) targets: Vec<Arc<FakeTarget>>,
    /// Locked by the one fault that a target has.
    pub(crate) target_care: Vec<tokio::sync::Mutex<()>>,
    pub(crate) recorder: Recorder,
    /// What the balancer thinks of each entry.
    pub(crate) ready: [AtomicBool; ENTRY_COUNT],
    next_version: AtomicU64,
    hall_care: Mutex<HashSet<String>>,
    is_founded: AtomicBool,
    heartbeats: Mutex<JoinSet<()>>,
}

impl Installation {
    /// Starts everything and waits until it serves.
    pub(crate) async fn start(programs: &Programs, folder: &Path) -> Result<Self, SoakError> {
        let failed = |what: &str| {
            let what = what.to_owned();
            move |cause: io::Error| SoakError::Io(what, cause)
        };
        let layout = Layout::draw(folder).map_err(failed("addresses"))?;
        let links = Links::start(&layout).map_err(failed("proxies"))?;
        let targets = start_targets(&layout).map_err(failed("targets"))?;
        let mut installation = Self::new(programs, layout, links, targets);
        for slot in &installation.slots {
            let program = installation.start_program(slot);
            *slot.program.lock().await = Some(program.map_err(failed("a program"))?);
        }
        installation.begin_to_serve().await?;
        Ok(installation)
    }

    fn new(
        programs: &Programs,
        layout: Layout,
        links: Links,
        targets: Vec<Arc<FakeTarget>>,
    ) -> Self {
        let slot = |process| Slot {
            process,
            program: tokio::sync::Mutex::new(None),
            life: AtomicU64::new(0),
        };
        Self {
            programs: programs.clone(),
            layout,
            links,
            slots: list_processes().into_iter().map(slot).collect(),
            targets,
            target_care: (0..GUARD_COUNT)
                .map(|_| tokio::sync::Mutex::new(()))
                .collect(),
            recorder: new_recorder(),
            ready: [const { AtomicBool::new(false) }; ENTRY_COUNT],
            next_version: AtomicU64::new(FIRST_VERSION + 1),
            hall_care: Mutex::default(),
            is_founded: AtomicBool::new(false),
            heartbeats: Mutex::default(),
        }
    }

    /// Brings the first configuration into force, waits until all entries are ready, and begins to record.
    async fn begin_to_serve(&mut self) -> Result<(), SoakError> {
        for target in self.targets.clone() {
            let mut heartbeats = self
                .heartbeats
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            heartbeats.spawn(send_heartbeats(target));
        }
        let until = Instant::now() + START_PATIENCE;
        operators::send_until_acknowledged(self, 0, FIRST_VERSION).await;
        if self.newest_acknowledged().is_none() {
            return Err(SoakError::NotServing(
                "the first configuration is not taken",
            ));
        }
        self.is_founded.store(true, Ordering::Relaxed);
        while !self.are_entries_ready().await {
            if Instant::now() > until {
                return Err(SoakError::NotServing("an entry is not ready"));
            }
            sleep(START_POLL).await;
            // An acknowledgement is judged from the beginning of the records on.
            operators::send_until_acknowledged(self, 0, FIRST_VERSION).await;
        }
        sleep(SETTLE).await;
        let orders = std::mem::take(&mut self.recorder.lock().configuration_orders);
        self.recorder = new_recorder();
        let at_start = orders.into_iter().map(|mut order| {
            order.sent_at = Duration::ZERO;
            order.answer = order.answer.map(|(_, answer)| (Duration::ZERO, answer));
            order
        });
        self.recorder.lock().configuration_orders.extend(at_start);
        Ok(())
    }

    async fn are_entries_ready(&self) -> bool {
        for entry in 0..ENTRY_COUNT {
            let asked = operators::send(
                self.layout.ready(entry),
                http::Method::GET,
                READINESS_PATH,
                "",
            );
            if !matches!(asked.await, Some((http::StatusCode::OK, _))) {
                return false;
            }
            self.ready[entry].store(true, Ordering::Relaxed);
        }
        true
    }

    /// Starts the next life of a process.
    pub(crate) fn start_program(&self, slot: &Slot) -> io::Result<Program> {
        let may_found = !self.is_founded.load(Ordering::Relaxed);
        let settings = self.layout.write_settings(slot.process, may_found)?;
        let (program, arguments) = match slot.process {
            Process::Control(_) => (&self.programs.cloverfold, "control"),
            Process::Entry(_) => (&self.programs.cloverfold, "leased-entry"),
            Process::Guard(_) => (&self.programs.guard, "--leased"),
        };
        slot.life.fetch_add(1, Ordering::Relaxed);
        let log = self.layout.log(slot.process);
        Program::start(program, &[arguments], &settings, &log)
    }

    pub(crate) fn slot(&self, process: Process) -> Option<&Slot> {
        self.slots.iter().find(|slot| slot.process == process)
    }

    /// Returns the number of a process's present life.
    pub(crate) fn life(&self, process: Process) -> u64 {
        self.slot(process)
            .map_or(0, |slot| slot.life.load(Ordering::Relaxed))
    }

    /// Starts processes again that have ended though nobody does anything to them; returns which.
    pub(crate) fn take_own_ends(&self) -> Vec<Process> {
        let mut ended = Vec::new();
        for slot in &self.slots {
            let Ok(mut held) = slot.program.try_lock() else {
                continue;
            };
            if held.as_mut().is_some_and(Program::has_exited) {
                ended.push(slot.process);
                // The end itself is recorded, which is what counts.
                *held = self.start_program(slot).ok();
            }
        }
        ended
    }

    /// Returns the wanted entry, or the next one that is ready; the wanted one if none is.
    pub(crate) fn choose_entry(&self, wanted: usize) -> usize {
        let mut entries = (0..ENTRY_COUNT).map(|step| (wanted + step) % ENTRY_COUNT);
        let ready = entries.find(|entry| self.ready[*entry].load(Ordering::Relaxed));
        ready.unwrap_or(wanted % ENTRY_COUNT)
    }

    pub(crate) fn next_version(&self) -> u64 {
        self.next_version.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn newest_acknowledged(&self) -> Option<u64> {
        let history = self.recorder.lock();
        let orders = history.configuration_orders.iter();
        let acknowledged = orders.filter(|order| {
            let is_taken = matches!(order.answer, Some((_, OrderAnswer::Acknowledged)));
            order.is_valid && is_taken
        });
        acknowledged.map(|order| order.version).max()
    }

    /// Returns whether a valid configuration of this version was sent.
    pub(crate) fn was_sent(&self, version: u64) -> bool {
        let history = self.recorder.lock();
        let mut orders = history.configuration_orders.iter();
        orders.any(|order| order.version == version && order.is_valid)
    }

    /// Lets one operator care for a hall until the result is dropped; `None` if another one does.
    pub(crate) fn care_for_hall(&self, hall: &str) -> Option<HallCare<'_>> {
        let mut halls = self
            .hall_care
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        halls.insert(hall.to_owned()).then(|| HallCare {
            halls: &self.hall_care,
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

/// One operator's care for a hall.
pub(crate) struct HallCare<'a> {
    halls: &'a Mutex<HashSet<String>>,
    hall: String,
}

impl Drop for HallCare<'_> {
    fn drop(&mut self) {
        let mut halls = self.halls.lock().unwrap_or_else(PoisonError::into_inner);
        halls.remove(&self.hall);
    }
}
