//! Errors of starting and measuring a solo system.

use cloverfold_claim::BootstrapError;
use cloverfold_claims_process::ProcessError;
use cloverfold_load::LoadError;
use cloverfold_net::KeyError;
use cloverfold_settings::SettingsError;

/// Errors of starting or measuring a solo system.
#[derive(Debug, thiserror::Error)]
pub enum SoloError {
    /// Files or sockets could not be created.
    #[error("the solo system cannot be set up: {0}")]
    System(#[from] std::io::Error),
    /// Keys could not be generated.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The generated settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A process could not start.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The cell could not be bootstrapped.
    #[error(transparent)]
    Bootstrap(#[from] BootstrapError),
    /// The load could not be run, or a metrics page could not be read.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// A process, or the lead, did not become ready in time.
    #[error("{0} did not become ready in time")]
    NotReady(String),
}
