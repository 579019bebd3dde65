//! Planned upkeep (maintenance) of boxes.
//!
//! An operator orders a *wave* ([`WaveOrder`]): a set of boxes whose upkeep must begin within a span, with a limit on how many may be down
//! at once. [`UpkeepState`] is the state that the control processes replicate. [`UpkeepScheduler`] runs at the leader and decides which
//! box is next, when its upkeep is called for and when it is back. The platform's adapter implements [`BoxInterface`] and [`WaveFormat`].
//!
//! Nothing in this crate does I/O or reads a clock. The log is in `cloverfold_consensus`, the process in `cloverfold_control`.

#![warn(clippy::disallowed_methods)]

mod box_list;
mod boxes;
mod calls;
mod down_boxes;
mod draining;
mod load;
mod pace;
mod ranking;
mod request;
mod scheduler;
mod selection;
mod state;
mod wave;
mod wave_status;

pub use boxes::{
    BoxFuture, BoxInterface, BoxPage, BoxStatus, CallOutcome, ListError, ListedBox, UpkeepCall,
};
pub use calls::{MAX_CALL_DELAY, retry_backoff};
pub use load::{TargetLoad, TargetLoads};
pub use pace::{WavePace, plan_pace};
pub use ranking::select_next_box;
pub use request::{
    MAX_BOXES, MAX_NAME_BYTES, MAX_NAMES_BYTES, WaveFormat, WaveRequest, WaveRequestError,
};
pub use scheduler::{
    SchedulerAction, SchedulerInput, SchedulerTimings, TARGET_HOLD_DURATION, UpkeepScheduler,
    WaveBox,
};
pub use state::{BoxPhase, UpkeepState, Wave, WaveOutcome, WaveRecord};
pub use wave::{BoxName, TargetHold, UpkeepCommand, WaveNumber, WaveOrder};
pub use wave_status::{WaitReason, WaveStatus};
