//! The record of every start at a target.
//!
//! Owns the starts of one target. Relies on the target to record each start and end.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// One start as the target saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRecord {
    /// `<submission>/<index>`.
    pub task: String,
    /// When it started.
    pub started_at: Instant,
    /// When it ended, if it did.
    pub ended_at: Option<Instant>,
    /// Body of the task.
    pub body: Vec<u8>,
}

/// The starts at a target in their order; clones share one record.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    starts: Arc<Mutex<Vec<StartRecord>>>,
}

impl Journal {
    /// Records a start and returns its number.
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

    /// Records the end of the start with this number.
    pub fn record_end(&self, number: usize) {
        if let Some(start) = self.lock().get_mut(number) {
            start.ended_at = Some(Instant::now());
        }
    }

    /// Lists all starts, as the system tests check.
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
