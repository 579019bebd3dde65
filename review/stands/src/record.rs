//! The record of a play: what was sent, answered and run, with times in milliseconds since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Milliseconds since the start of the play.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn write(&self, line: &str) {
        let text = format!("{:>8.3} s  {line}\n", self.now() as f64 / 1000.0);
        let _ = lock(&self.file).write_all(text.as_bytes());
    }
}
