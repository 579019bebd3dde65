//! How a submission is answered.
//!
//! Owns no state and relies on nothing else.

use std::time::Duration;

/// When a refused job is worth submitting again.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a job was refused; it has not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum JobRefusal {
    /// No target had free capacity in time. Written `NoRoom`.
    NoCapacity,
    /// No target of the service is known.
    NoTarget,
    /// The process is stopping.
    Leaving,
    /// The process was stalled, so the age of the request is unknown.
    Stalled,
}

impl JobRefusal {
    /// Returns the name by which logs and answers call it; it is part of the outside interface.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoCapacity => "NoRoom",
            Self::NoTarget => "NoTarget",
            Self::Leaving => "Leaving",
            Self::Stalled => "Stalled",
        }
    }
}

/// The one answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// All tasks are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// Nothing has run and nothing will.
    Refused {
        /// Why.
        cause: JobRefusal,
        /// When it is worth asking again.
        retry_after: Duration,
    },
    /// Parts may have run; the rest was given up.
    GivenUp,
}

impl JobAnswer {
    /// Returns the answer to a job that is refused; it may be submitted again after [`RETRY_AFTER`].
    pub const fn refused(cause: JobRefusal) -> Self {
        Self::Refused {
            cause,
            retry_after: RETRY_AFTER,
        }
    }
}
