//! The thread that writes records and syncs them.
//!
//! It owns the [`Store`]. A sync may hang for seconds, and a disk may refuse writes for a while; on a thread of its own neither holds up
//! the process. Batches are written in order.

use std::sync::mpsc as thread_mpsc;
use std::thread;
use std::time::Duration;

use cloverfold_consensus::{BatchNumber, Record, Store};
use tokio::sync::mpsc;

/// Pause before a write that the disk has refused is tried again. Chosen, not measured.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Records to be written.
#[derive(Debug)]
struct Batch {
    number: BatchNumber,
    records: Vec<Record>,
}

/// What the disk's thread reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskEvent {
    /// This batch and all before it are synced.
    Synced(BatchNumber),
    /// The disk refuses writes; they are tried again.
    Refusing,
}

/// Hands batches to the disk's thread.
#[derive(Debug)]
pub(crate) struct Disk {
    tx: thread_mpsc::Sender<Batch>,
}

impl Disk {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it gives no thread.
    pub(crate) fn start(
        store: Store,
        events: mpsc::UnboundedSender<DiskEvent>,
    ) -> std::io::Result<Self> {
        let (tx, rx) = thread_mpsc::channel();
        let builder = thread::Builder::new().name("disk".into());
        builder.spawn(move || write_batches(store, &rx, &events))?;
        Ok(Self { tx })
    }

    /// Queues a batch; [`DiskEvent::Synced`] follows, however long that takes.
    pub(crate) fn write(&self, number: BatchNumber, records: Vec<Record>) {
        // The thread ends only when the process stops, and then nothing waits for the batch.
        let _ = self.tx.send(Batch { number, records });
    }
}

/// Writes batches until the process stops; all that wait at once share one sync.
fn write_batches(
    mut store: Store,
    rx: &thread_mpsc::Receiver<Batch>,
    events: &mpsc::UnboundedSender<DiskEvent>,
) {
    while let Ok(mut batch) = rx.recv() {
        while let Ok(next) = rx.try_recv() {
            batch.number = next.number;
            batch.records.extend(next.records);
        }
        while let Err(cause) = store.append(&batch.records) {
            log::warn!("the disk refuses a write: {cause}");
            if events.send(DiskEvent::Refusing).is_err() {
                return;
            }
            thread::sleep(RETRY_PAUSE);
        }
        if events.send(DiskEvent::Synced(batch.number)).is_err() {
            return;
        }
    }
}
