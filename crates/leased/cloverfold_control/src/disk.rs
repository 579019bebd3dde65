//! The thread that writes and syncs records.
//!
//! A dedicated thread per store keeps the process responsive while a sync blocks for seconds or writes fail and are retried. It writes
//! batches in order.

use std::path::{Path, PathBuf};
use std::sync::mpsc as thread_mpsc;
use std::thread;
use std::time::Duration;

use cloverfold_consensus::{
    BatchNumber, DiskIdentity, Record, RecoveredState, ReplicaId, Store, StoreError,
};
use cloverfold_kept_jobs::GroupId;
use tokio::sync::mpsc;

/// Delay before a failed operation is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Batch {
    number: BatchNumber,
    records: Vec<Record>,
}

/// Identifies a replicated log of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogId {
    /// The log of the control processes.
    Control,
    /// The log of a group that keeps jobs.
    Jobs(GroupId),
}

/// A disk event of one log.
#[derive(Debug)]
pub(crate) struct LogEvent {
    /// The log.
    pub(crate) log: LogId,
    /// The event.
    pub(crate) event: DiskEvent,
}

/// An event reported by a disk thread.
#[derive(Debug)]
pub(crate) enum DiskEvent {
    /// The store is open and holds this state. Only sent after [`DiskWriter::open`].
    Opened(Box<RecoveredState>),
    /// This batch and all earlier ones are synced.
    Synced(BatchNumber),
    /// Opening or writing failed and will be retried.
    Failing,
}

/// Queues batches for a disk thread.
#[derive(Debug)]
pub(crate) struct DiskWriter {
    tx: thread_mpsc::Sender<Batch>,
}

impl DiskWriter {
    /// Starts the thread for an open store.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be spawned.
    pub(crate) fn start(store: Store, events: DiskEventSender) -> std::io::Result<Self> {
        let (tx, rx) = thread_mpsc::channel();
        let builder = thread::Builder::new().name("disk".into());
        builder.spawn(move || write_batches(store, &rx, &events))?;
        Ok(Self { tx })
    }

    /// Starts the thread, which opens the store of a replica itself so that a hanging disk does not block the process. Reports
    /// [`DiskEvent::Opened`], or nothing if the store belongs to another replica.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be spawned.
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

    /// Queues a batch. [`DiskEvent::Synced`] follows once it is synced.
    pub(crate) fn write(&self, number: BatchNumber, records: Vec<Record>) {
        // The thread ends only when the process stops; nothing waits for the batch then.
        let _ = self.tx.send(Batch { number, records });
    }
}

/// Reports the events of one log.
#[derive(Clone, Debug)]
pub(crate) struct DiskEventSender {
    log: LogId,
    tx: mpsc::UnboundedSender<LogEvent>,
}

impl DiskEventSender {
    pub(crate) fn new(log: LogId, tx: mpsc::UnboundedSender<LogEvent>) -> Self {
        Self { log, tx }
    }

    /// Returns whether the process has stopped receiving events.
    fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Reports an event; returns `false` if the process no longer receives events.
    fn send(&self, event: DiskEvent) -> bool {
        let log = self.log;
        self.tx.send(LogEvent { log, event }).is_ok()
    }
}

/// Opens a store, retrying until that succeeds. Returns `None` if the store belongs to another replica or the process stops.
fn open_store(
    folder: &Path,
    replica: ReplicaId,
    events: &DiskEventSender,
) -> Option<(Store, RecoveredState)> {
    loop {
        let (store, recovered) = match try_open_store(folder, replica) {
            Ok(opened) => opened,
            Err(cause) => {
                log::warn!("cannot open the store, retrying: {cause}");
                if !events.send(DiskEvent::Failing) {
                    return None;
                }
                thread::sleep(RETRY_DELAY);
                continue;
            }
        };
        let found = recovered.identity.map(|identity| identity.id);
        if found != Some(replica) {
            // The votes and the log in it belong to a replica that the others know under another identity.
            log::error!(folder = folder.display().to_string().as_str(); "the store belongs to another replica and is not used");
            return None;
        }
        return Some((store, recovered));
    }
}

/// Opens a store; writes the identity of this replica to a new one.
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

/// Writes batches until the process stops. Batches that wait at the same time share one sync.
fn write_batches(mut store: Store, rx: &thread_mpsc::Receiver<Batch>, events: &DiskEventSender) {
    while let Ok(mut batch) = rx.recv() {
        while let Ok(next) = rx.try_recv() {
            batch.number = next.number;
            batch.records.extend(next.records);
        }
        if events.is_closed() {
            // The batch was not acknowledged, and a restarted process may already be using the file.
            return;
        }
        while let Err(cause) = store.append(&batch.records) {
            log::warn!("cannot write to the disk, retrying: {cause}");
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
