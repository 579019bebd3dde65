//! The thread that writes and syncs.

use std::sync::mpsc as thread_mpsc;
use std::thread;
use std::time::Duration;

use cloverfold_consensus::{Record, Store};
use tokio::sync::mpsc;

/// Pause before a write is tried again that the disk has refused.
const RETRY: Duration = Duration::from_millis(100);

/// A batch of records and its number.
type Batch = (u64, Vec<Record>);

/// What the disk says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskEvent {
    /// This batch and all before it are synced.
    Synced(u64),
    /// It refuses writes; they are tried again.
    Refusing,
}

/// Hands batches to the disk's thread.
#[derive(Debug)]
pub(crate) struct Disk {
    tx: thread_mpsc::Sender<Batch>,
}

impl Disk {
    /// Starts the thread.
    pub(crate) fn start(
        store: Store,
        events: mpsc::UnboundedSender<DiskEvent>,
    ) -> std::io::Result<Self> {
        let (tx, rx) = thread_mpsc::channel();
        let builder = thread::Builder::new().name("disk".into());
        builder.spawn(move || write_batches(store, &rx, &events))?;
        Ok(Self { tx })
    }

    /// Queues a batch.
    pub(crate) fn write(&self, batch: u64, records: Vec<Record>) {
        // The thread ends only with the last sender.
        let _ = self.tx.send((batch, records));
    }
}

/// Writes all batches that wait with one sync.
fn write_batches(
    mut store: Store,
    rx: &thread_mpsc::Receiver<Batch>,
    events: &mpsc::UnboundedSender<DiskEvent>,
) {
    while let Ok((mut last, mut records)) = rx.recv() {
        while let Ok((batch, more)) = rx.try_recv() {
            last = batch;
            records.extend(more);
        }
        while let Err(cause) = store.append(&records) {
            log::warn!("the disk refuses a write: {cause}");
            if events.send(DiskEvent::Refusing).is_err() {
                return;
            }
            thread::sleep(RETRY);
        }
        if events.send(DiskEvent::Synced(last)).is_err() {
            return;
        }
    }
}
