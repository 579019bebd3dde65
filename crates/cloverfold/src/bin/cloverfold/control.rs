//! `cloverfold control`: runs a control process of a leased installation.
//!
//! Runs the process from reading its settings to its graceful shutdown. `cloverfold_control` implements the process.

use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;
use cloverfold_control::start_control;
use cloverfold_leased_process::{SettingsWatch, start_leased_runtime};
use cloverfold_leased_settings::ControlSettings;
use cloverfold_platform::Platform;
use cloverfold_settings::read_settings;
use cloverfold_telemetry::start_logging;
use eyre::Result;

/// Run a control process, which replicates the configuration with the other control processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub(crate) struct ControlCommand {
    /// settings file, JSON with comments
    #[argh(positional)]
    settings: PathBuf,
}

impl ControlCommand {
    /// Runs the process until a signal stops it, and reloads changed settings.
    pub(crate) fn run(self) -> Result<()> {
        let settings: ControlSettings = read_settings(&self.settings)?;
        start_logging(&settings.log)?;
        start_leased_runtime()?.block_on(async {
            let process = start_control(&settings, Arc::new(Platform::default()))?;
            let watch = SettingsWatch::start(&self.settings)?;
            watch
                .run_until_stop(|settings| process.reload(&settings))
                .await;
            process.stop().await;
            Ok(())
        })
    }
}
