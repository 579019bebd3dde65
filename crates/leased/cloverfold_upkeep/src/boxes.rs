//! The platform's interface for boxes: their list, and upkeep calls.
//!
//! The platform's adapter implements [`BoxInterface`] for the control processes.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use crate::wave::{BoxName, WaveNumber};

/// Status of a box in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoxStatus {
    /// The box is running.
    Up,
    /// The box is moving to another pool.
    Moving,
    /// The upkeep of the box is in progress.
    Upkeep,
    /// The box is not running.
    Down,
}

/// A box in the platform's list, which may be seconds old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedBox {
    /// Name of the box.
    pub name: BoxName,
    /// Status of the box.
    pub status: BoxStatus,
    /// The pool to which it belongs.
    pub pool: String,
    /// The data hall in which it is located.
    pub hall: String,
    /// Labels such as its kind and its rack.
    pub labels: Vec<String>,
    /// The incarnation of its target, if it has one.
    pub target: Option<String>,
}

/// One page of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BoxPage {
    /// The boxes on it.
    pub boxes: Vec<ListedBox>,
    /// Token of the next page; `None` on the last page.
    pub next: Option<String>,
}

/// The reason why a page of the list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The platform's rate limit for readings is exceeded.
    #[error("too many readings")]
    TooMany,
    /// No usable answer was received.
    #[error("{0}")]
    Failed(String),
}

/// An upkeep call for a box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpkeepCall {
    /// Address of the platform's interface.
    pub address: SocketAddr,
    /// The box.
    pub name: BoxName,
    /// The wave.
    pub wave: WaveNumber,
    /// Name of the calling control process.
    pub holder: String,
    /// Fencing token; it rises with each scheduler.
    pub fencing_token: u64,
    /// Timeout for the answer.
    pub timeout: Duration,
}

/// The outcome of an upkeep call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The upkeep has begun, by this call or an earlier one.
    Begun,
    /// The platform did not receive the call.
    NotSent,
    /// The platform's rate limit for calls is exceeded; the call had no effect.
    TooMany,
    /// The box is not up, or is about to move; the call had no effect.
    Busy,
    /// The box does not belong to the wave; the call had no effect.
    NotOfWave,
    /// A caller with a higher fencing token has called; the call had no effect.
    Fenced,
    /// The platform knows no such box.
    NoSuchBox,
    /// No answer was received; the call may have taken effect or may still do so.
    Unanswered,
}

impl CallOutcome {
    /// Returns the stable name used in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Begun => "Begun",
            Self::NotSent => "NotSent",
            Self::TooMany => "TooMany",
            Self::Busy => "Busy",
            Self::NotOfWave => "NotOfWave",
            Self::Fenced => "Fenced",
            Self::NoSuchBox => "NoSuchBox",
            Self::Unanswered => "Unanswered",
        }
    }
}

/// A pending answer of the platform.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The platform's interface for boxes.
pub trait BoxInterface: Send + Sync {
    /// Reads one page of the list; the first if `page` is `None`.
    fn read_boxes<'a>(
        &'a self,
        address: SocketAddr,
        page: Option<&'a str>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<BoxPage, ListError>>;

    /// Makes an upkeep call for a box.
    fn call_upkeep<'a>(&'a self, call: &'a UpkeepCall) -> BoxFuture<'a, CallOutcome>;
}
