//! `cloverfold leased-entry`: runs an entry of a leased installation.
//!
//! Runs the process from reading its settings to its graceful shutdown. `cloverfold_leased_entry` implements the process.

use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;
use cloverfold_leased_entry::start_leased_entry;
use cloverfold_leased_process::{SettingsWatch, start_leased_runtime};
use cloverfold_leased_settings::LeasedEntrySettings;
use cloverfold_platform::Platform;
use cloverfold_settings::read_settings;
use cloverfold_telemetry::start_logging;
use eyre::Result;

/// Run an entry of a leased installation, which serves callers whose jobs may be repeated.
#[derive(FromArgs)]
#[argh(subcommand, name = "leased-entry")]
pub(crate) struct LeasedEntryCommand {
    /// settings file, JSON with comments
    #[argh(positional)]
    settings: PathBuf,
}

impl LeasedEntryCommand {
    /// Runs the process until a signal stops it, and reloads changed settings.
    pub(crate) fn run(self) -> Result<()> {
        let settings: LeasedEntrySettings = read_settings(&self.settings)?;
        start_logging(&settings.log)?;
        start_leased_runtime()?.block_on(async {
            let process = start_leased_entry(&settings, Arc::new(Platform::default()))?;
            let watch = SettingsWatch::start(&self.settings)?;
            watch
                .run_until_stop(|settings| process.reload(&settings))
                .await;
            process.stop().await;
            Ok(())
        })
    }
}
