//! `cloverfold entry`: serves callers.

use std::path::PathBuf;

use argh::FromArgs;
use cloverfold_claims_process::start_entry;
use cloverfold_claims_settings::EntrySettings;
use cloverfold_telemetry::start_logging;
use eyre::Result;

/// Serve callers on an entry box.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct Entry {
    /// settings file, JSON with comments
    #[argh(positional)]
    settings: PathBuf,
}

impl Entry {
    pub(crate) fn run(self) -> Result<()> {
        let settings = EntrySettings::read(&self.settings)?;
        start_logging(&settings.log)?;
        crate::start_runtime()?.block_on(async {
            let drain_timeout = settings.drain_timeout();
            let running = start_entry(settings).await?;
            running.run_until_signal(drain_timeout).await?;
            Ok(())
        })
    }
}
