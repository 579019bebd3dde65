//! What the platform shows of boxes, and the calls for their upkeep.
//!
//! [`BoxInterface`] is what a control process needs of the platform; the platform's adapter implements it.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use crate::wave::{BoxName, WaveNumber};

/// What the platform shows of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoxStatus {
    /// It runs.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It has its upkeep.
    Upkeep,
    /// It does not run.
    Down,
}

/// One box of the platform's list. The list may be seconds old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedBox {
    /// Its name.
    pub name: BoxName,
    /// What it is shown as.
    pub status: BoxStatus,
    /// The pool that it belongs to.
    pub pool: String,
    /// The data hall that it stands in.
    pub hall: String,
    /// Its kind, its rack.
    pub labels: Vec<String>,
    /// The incarnation of its target, if it has one.
    pub target: Option<String>,
}

/// One page of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BoxPage {
    /// The boxes on it.
    pub boxes: Vec<ListedBox>,
    /// Names the next page; `None` on the last.
    pub next: Option<String>,
}

/// Why a page could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The platform takes no more readings at present.
    #[error("too many readings")]
    TooMany,
    /// There is no usable answer.
    #[error("{0}")]
    Failed(String),
}

/// A call for the upkeep of a box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpkeepCall {
    /// The platform's interface.
    pub address: SocketAddr,
    /// The box.
    pub name: BoxName,
    /// The wave.
    pub wave: WaveNumber,
    /// Who calls.
    pub holder: String,
    /// Rises with each holder.
    pub fencing_token: u64,
    /// Longest wait for the answer.
    pub timeout: Duration,
}

/// What became of a call for the upkeep of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The upkeep has begun, now or before.
    Begun,
    /// It was certainly not received.
    NotSent,
    /// The platform takes no more calls at present; it has done nothing.
    TooMany,
    /// The box is not up, or is about to go; nothing was done.
    Busy,
    /// The box is none of this wave's; nothing was done.
    NotOfWave,
    /// A holder with a higher token has called; nothing was done.
    Fenced,
    /// There is no such box.
    NoSuchBox,
    /// It may have been done, or may still be done.
    Unanswered,
}

impl CallOutcome {
    /// Returns the name that log lines and metrics use; it never changes.
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

/// An answer of the platform that is on its way.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The platform's interface for boxes.
pub trait BoxInterface: Send + Sync {
    /// Reads one page of the list, the first if `page` is `None`.
    fn read_boxes<'a>(
        &'a self,
        address: SocketAddr,
        page: Option<&'a str>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<BoxPage, ListError>>;

    /// Calls for the upkeep of a box.
    fn call_upkeep<'a>(&'a self, call: &'a UpkeepCall) -> BoxFuture<'a, CallOutcome>;
}
