//! The errors of starting a process.
//!
//! Owns nothing; starts of processes and operators' endpoints return them.

use cloverfold_app::BuildError;
use cloverfold_net::NetError;
use cloverfold_settings::SettingsError;

/// Why a process could not start.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// A settings file is unusable.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The endpoint to other processes could not be opened.
    #[error(transparent)]
    Net(#[from] NetError),
    /// The process could not be built from its plugins, or the system refused something.
    #[error(transparent)]
    Build(#[from] BuildError),
    /// The cell's file does not name this guard.
    #[error("id: the cell's file names no guard {0}; add it there or correct the id")]
    UnknownGuard(u16),
}
