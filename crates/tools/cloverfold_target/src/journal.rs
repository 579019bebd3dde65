//! The journal of all starts at a target.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// One start of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRecord {
    /// `<submission>/<index>`.
    pub task: String,
    /// Time of the start.
    pub started_at: Instant,
    /// Time of the end, if the task has ended.
    pub ended_at: Option<Instant>,
    /// Body of the task.
    pub body: Vec<u8>,
}

/// The starts at a target in order. Clones share one journal.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    starts: Arc<Mutex<Vec<StartRecord>>>,
}

impl Journal {
    /// Records a start and returns its index.
    pub fn record_start(&self, task: &str, body: &[u8]) -> usize {
        let mut starts = self.lock();
        starts.push(StartRecord {
            task: task.into(),
            started_at: Instant::now(),
            ended_at: None,
            body: body.to_vec(),
        });
        starts.len() - 1
    }

    /// Records the end of the start with this index.
    pub fn record_end(&self, index: usize) {
        if let Some(start) = self.lock().get_mut(index) {
            start.ended_at = Some(Instant::now());
        }
    }

    /// Lists all starts.
    pub fn list_starts(&self) -> Vec<StartRecord> {
        self.lock().clone()
    }

    /// Returns the number of starts.
    pub fn count_starts(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<StartRecord>> {
        self.starts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
