//! Answers to job submissions.

use std::time::Duration;

/// Delay after which a refused job may be submitted again.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a job was refused; none of its tasks has run or will run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum JobRefusal {
    /// No target had free capacity in time. Written `NoRoom`.
    NoCapacity,
    /// No target of the service accepts work.
    NoTarget,
    /// The process is draining. Written `Leaving`.
    Draining,
    /// The process was stalled, so the request may be outdated.
    Stalled,
    /// Open jobs and clients take all the memory reserved for them.
    NoMemory,
}

impl JobRefusal {
    /// Returns the stable name that is used in logs and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoCapacity => "NoRoom",
            Self::NoTarget => "NoTarget",
            Self::Draining => "Leaving",
            Self::Stalled => "Stalled",
            Self::NoMemory => "NoMemory",
        }
    }
}

/// Final answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// None of the tasks has run or will run.
    Refused {
        /// Why.
        cause: JobRefusal,
        /// Delay after which the job may be submitted again.
        retry_after: Duration,
    },
    /// Some tasks may have run; the others were given up.
    GivenUp,
}

impl JobAnswer {
    /// Returns the answer to a refused job, with [`RETRY_AFTER`].
    pub const fn refused(cause: JobRefusal) -> Self {
        Self::Refused {
            cause,
            retry_after: RETRY_AFTER,
        }
    }
}
