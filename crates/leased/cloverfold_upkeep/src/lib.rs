//! Planned upkeep of boxes.
//!
//! An operator orders a *wave* ([`WaveOrder`]): each of its boxes is to have its upkeep, so many at once at most, within a span.
//! [`UpkeepState`] owns what the control processes replicate. [`UpkeepScheduler`] decides, at the leader, which box is next, when it is called and
//! when it is back. [`BoxInterface`] and [`WaveFormat`] are what the platform's adapter implements. Nothing here does I/O or reads a
//! clock; the log that orders the orders is `cloverfold_consensus`, the process around all of it `cloverfold_control`.

#![warn(clippy::disallowed_methods)]

mod box_list;
mod boxes;
mod calls;
mod choice;
mod choosing;
mod emptying;
mod holder;
mod load;
mod outlook;
mod pace;
mod progress;
mod request;
mod state;
mod wave;

pub use boxes::{
    BoxFuture, BoxInterface, BoxPage, BoxStatus, CallOutcome, ListError, ListedBox, UpkeepCall,
};
pub use calls::{MAX_CALL_DELAY, retry_backoff};
pub use choice::choose_next_box;
pub use holder::{
    SchedulerAction, SchedulerInput, SchedulerTimings, TARGET_HOLD_DURATION, UpkeepScheduler,
    WaveBox,
};
pub use load::{TargetLoad, TargetLoads};
pub use outlook::{WaitReason, WaveStatus};
pub use pace::{WavePace, plan_pace};
pub use request::{
    MAX_BOXES, MAX_NAME_BYTES, MAX_NAMES_BYTES, WaveFormat, WaveRequest, WaveRequestError,
};
pub use state::{BoxPhase, UpkeepState, Wave, WaveOutcome, WaveRecord};
pub use wave::{BoxName, HeldTarget, UpkeepCommand, WaveNumber, WaveOrder};
