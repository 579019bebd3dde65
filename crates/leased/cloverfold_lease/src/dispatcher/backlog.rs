//! How long a job waits for the work that is served before it.
//!
//! Work that requires a label occupies only the targets with that label. Where it takes longer than the rest takes on the other targets, a job
//! that can use those does not wait for it.

/// Work, and the processors of the targets that can do it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backlog {
    pub(super) core_seconds: f64,
    pub(super) cores: f64,
}

impl Backlog {
    /// Returns how long its processors take for it, in seconds.
    fn seconds(&self) -> f64 {
        self.core_seconds / self.cores
    }

    /// Returns how long a job waits for this work, in seconds. `confined` are the parts of it that are confined to targets which the job does
    /// not require.
    pub(super) fn seconds_ahead(mut self, mut confined: Vec<Backlog>) -> f64 {
        if self.core_seconds == 0.0 {
            return 0.0;
        }
        confined.sort_by(|a, b| b.seconds().total_cmp(&a.seconds()));
        for part in confined {
            if part.seconds() <= self.seconds() {
                break;
            }
            self.core_seconds = (self.core_seconds - part.core_seconds).max(0.0);
            self.cores -= part.cores;
        }
        self.seconds()
    }
}
