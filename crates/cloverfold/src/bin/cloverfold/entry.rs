//! `cloverfold entry`: runs an entry of a claims installation.
//!
//! Runs the process from reading its settings to its graceful shutdown. `cloverfold_claims_process` implements the process.

use std::path::PathBuf;

use argh::FromArgs;
use cloverfold_claims_process::start_entry;
use cloverfold_claims_settings::EntrySettings;
use cloverfold_programs::{RuntimeThreads, start_runtime};
use cloverfold_settings::SettingsWithPaths;
use cloverfold_telemetry::start_logging;
use eyre::Result;

/// Run an entry of a claims installation, which serves callers.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct EntryCommand {
    /// settings file, JSON with comments
    #[argh(positional)]
    settings: PathBuf,
}

impl EntryCommand {
    pub(crate) fn run(self) -> Result<()> {
        let settings = EntrySettings::read(&self.settings)?;
        start_logging(&settings.log)?;
        start_runtime(RuntimeThreads::PerCore)?.block_on(async {
            let drain_timeout = settings.drain_timeout;
            let running = start_entry(settings).await?;
            running.run_until_signal(drain_timeout).await?;
            Ok(())
        })
    }
}
