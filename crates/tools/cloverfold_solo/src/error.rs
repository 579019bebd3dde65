//! The errors of the solo system.
//!
//! Owns nothing; the start and the measurement of the system return them.

use cloverfold_claim::BootstrapError;
use cloverfold_claims_process::ProcessError;
use cloverfold_load::LoadError;
use cloverfold_net::KeyError;
use cloverfold_settings::SettingsError;

/// Why the solo system could not start or be measured.
#[derive(Debug, thiserror::Error)]
pub enum SoloError {
    /// Files or sockets could not be made.
    #[error("the solo system cannot be set up: {0}")]
    System(#[from] std::io::Error),
    /// Keys could not be made.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The settings that were made are wrong.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A process could not start.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The cell could not be founded.
    #[error(transparent)]
    Found(#[from] BootstrapError),
    /// The load could not be run or a page not be read.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// A process, or the lead, did not become ready in time.
    #[error("{0} did not become ready in time")]
    NotReady(String),
}
