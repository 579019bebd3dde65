//! The thread that writes records and syncs them.
//!
//! It owns the [`Store`]. A sync may hang for seconds, and a disk may refuse writes for a while; on a thread of its own neither holds up
//! the process. Batches are written in order.

use std::path::{Path, PathBuf};
use std::sync::mpsc as thread_mpsc;
use std::thread;
use std::time::Duration;

use cloverfold_consensus::{
    BatchNumber, DiskIdentity, Record, RecoveredState, ReplicaId, Store, StoreError,
};
use cloverfold_kept_jobs::GroupId;
use tokio::sync::mpsc;

/// Pause before a write that the disk has refused is tried again. Chosen, not measured.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Records to be written.
#[derive(Debug)]
struct Batch {
    number: BatchNumber,
    records: Vec<Record>,
}

/// Which log of the process a thread writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogId {
    /// The log of configurations.
    Control,
    /// The log of a group that keeps jobs.
    Jobs(GroupId),
}

/// What the thread of a log reports.
#[derive(Debug)]
pub(crate) struct LogEvent {
    /// The log.
    pub(crate) log: LogId,
    /// What has happened.
    pub(crate) event: DiskEvent,
}

/// What a disk's thread reports.
#[derive(Debug)]
pub(crate) enum DiskEvent {
    /// The store is open; this is what it has. Only from [`Disk::open`].
    Opened(Box<RecoveredState>),
    /// This batch and all before it are synced.
    Synced(BatchNumber),
    /// The disk refuses writes; they are tried again.
    Failing,
}

/// Hands batches to the disk's thread.
#[derive(Debug)]
pub(crate) struct DiskWriter {
    tx: thread_mpsc::Sender<Batch>,
}

impl DiskWriter {
    /// Starts the thread for a store that is open.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it gives no thread.
    pub(crate) fn start(store: Store, events: DiskEventSender) -> std::io::Result<Self> {
        let (tx, rx) = thread_mpsc::channel();
        let builder = thread::Builder::new().name("disk".into());
        builder.spawn(move || write_batches(store, &rx, &events))?;
        Ok(Self { tx })
    }

    /// Starts the thread, which opens the store of a replica itself: a disk that hangs does not hold up the process. Reports
    /// [`DiskEvent::Opened`], or nothing if the store is that of another replica.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it gives no thread.
    pub(crate) fn open(
        folder: PathBuf,
        replica: ReplicaId,
        events: DiskEventSender,
    ) -> std::io::Result<Self> {
        let (tx, rx) = thread_mpsc::channel();
        let builder = thread::Builder::new().name("disk".into());
        builder.spawn(move || {
            let Some((store, recovered)) = open_store(&folder, replica, &events) else {
                return;
            };
            if events.send(DiskEvent::Opened(Box::new(recovered))) {
                write_batches(store, &rx, &events);
            }
        })?;
        Ok(Self { tx })
    }

    /// Queues a batch; [`DiskEvent::Synced`] follows, however long that takes.
    pub(crate) fn write(&self, number: BatchNumber, records: Vec<Record>) {
        // The thread ends only when the process stops, and then nothing waits for the batch.
        let _ = self.tx.send(Batch { number, records });
    }
}

/// Where the thread of a log reports.
#[derive(Clone, Debug)]
pub(crate) struct DiskEventSender {
    log: LogId,
    tx: mpsc::UnboundedSender<LogEvent>,
}

impl DiskEventSender {
    /// Reports for this log.
    pub(crate) fn new(log: LogId, tx: mpsc::UnboundedSender<LogEvent>) -> Self {
        Self { log, tx }
    }

    /// Returns whether the process has stopped.
    fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Reports an event; returns `false` if the process stops.
    fn send(&self, event: DiskEvent) -> bool {
        let log = self.log;
        self.tx.send(LogEvent { log, event }).is_ok()
    }
}

/// Opens a store, however often that must be tried. Returns `None` if it is that of another replica or if the process stops.
fn open_store(
    folder: &Path,
    replica: ReplicaId,
    events: &DiskEventSender,
) -> Option<(Store, RecoveredState)> {
    loop {
        let (store, recovered) = match try_open_store(folder, replica) {
            Ok(opened) => opened,
            Err(cause) => {
                log::warn!("a store cannot be opened: {cause}");
                if !events.send(DiskEvent::Failing) {
                    return None;
                }
                thread::sleep(RETRY_DELAY);
                continue;
            }
        };
        let found = recovered.identity.map(|identity| identity.id);
        if found != Some(replica) {
            // Its votes and log are those of a replica that the others know under another identity.
            log::error!(folder = folder.display().to_string().as_str(); "a store is that of another replica and is not used");
            return None;
        }
        return Some((store, recovered));
    }
}

/// Opens a store; a new one is marked as this replica's.
fn try_open_store(
    folder: &Path,
    replica: ReplicaId,
) -> Result<(Store, RecoveredState), StoreError> {
    let (mut store, mut recovered) = Store::open(folder)?;
    if recovered.identity.is_none() {
        let (id, may_bootstrap) = (replica, false);
        store.append(&[Record::Identity { id, may_bootstrap }])?;
        recovered.identity = Some(DiskIdentity { id, may_bootstrap });
    }
    Ok((store, recovered))
}

/// Writes batches until the process stops; all that wait at once share one sync.
fn write_batches(mut store: Store, rx: &thread_mpsc::Receiver<Batch>, events: &DiskEventSender) {
    while let Ok(mut batch) = rx.recv() {
        while let Ok(next) = rx.try_recv() {
            batch.number = next.number;
            batch.records.extend(next.records);
        }
        if events.is_closed() {
            // Nobody was or will be told that this batch is written; another life of the process may use the file by now.
            return;
        }
        while let Err(cause) = store.append(&batch.records) {
            log::warn!("the disk refuses a write: {cause}");
            if !events.send(DiskEvent::Failing) {
                return;
            }
            thread::sleep(RETRY_DELAY);
        }
        if !events.send(DiskEvent::Synced(batch.number)) {
            return;
        }
    }
}
