//! `cloverfold-guard`: the guard process beside each target of a claims installation or, with `--leased`, of a leased one.
//!
//! Runs the process from reading its settings to its graceful shutdown. `cloverfold_claims_process` and `cloverfold_leased_guard`
//! implement the two kinds of guard.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use argh::FromArgs;
use cloverfold_claims_process::start_guard;
use cloverfold_claims_settings::GuardSettings;
use cloverfold_leased_guard::start_leased_guard;
use cloverfold_leased_process::{SettingsWatch, start_leased_runtime};
use cloverfold_leased_settings::LeasedGuardSettings;
use cloverfold_platform::Platform;
use cloverfold_programs::{RuntimeThreads, report_outcome, start_runtime};
use cloverfold_settings::{SettingsWithPaths, read_settings};
use cloverfold_telemetry::start_logging;
use eyre::Result;

/// Worker threads of a claims guard's runtime. Each further thread adds wake-ups to an idle guard.
const GUARD_WORKER_THREADS: usize = 1;

/// Start the tasks of one target, and coordinate jobs.
#[derive(FromArgs)]
struct Args {
    /// settings file, JSON with comments
    #[argh(positional)]
    settings: PathBuf,
    /// run as the guard of a leased installation; the settings are those of a leased guard
    #[argh(switch)]
    leased: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = if args.leased {
        run_leased_guard(&args.settings)
    } else {
        run_guard(&args.settings)
    };
    report_outcome(result)
}

/// Runs the guard of a claims installation until a signal or an operator stops it.
fn run_guard(file: &Path) -> Result<()> {
    let settings = GuardSettings::read(file)?;
    start_logging(&settings.log)?;
    start_runtime(RuntimeThreads::Fixed(GUARD_WORKER_THREADS))?.block_on(async {
        let drain_timeout = settings.drain_timeout;
        let running = start_guard(settings).await?;
        running.run_until_signal(drain_timeout).await?;
        Ok(())
    })
}

/// Runs the guard of a leased installation until a signal stops it, and reloads changed settings.
fn run_leased_guard(file: &Path) -> Result<()> {
    let settings: LeasedGuardSettings = read_settings(file)?;
    start_logging(&settings.log)?;
    start_leased_runtime()?.block_on(async {
        let process = start_leased_guard(&settings, Arc::new(Platform::default()))?;
        let watch = SettingsWatch::start(file)?;
        watch
            .run_until_stop(|settings| process.reload(&settings))
            .await;
        process.stop().await;
        Ok(())
    })
}
