//! Errors of starting a process.

use cloverfold_app::BuildError;
use cloverfold_net::NetError;
use cloverfold_settings::SettingsError;

/// Why a process could not start.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// A settings file is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The network endpoint could not be opened.
    #[error(transparent)]
    Net(#[from] NetError),
    /// The process could not be built or started.
    #[error(transparent)]
    Build(#[from] BuildError),
    /// The cell's file does not contain this guard.
    #[error("id: the cell's file names no guard {0}; add it there or correct the id")]
    UnknownGuard(u16),
}
