//! `cloverfold-guard`: the one small process beside each target.

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
use cloverfold_programs::report_outcome;
use cloverfold_telemetry::start_logging;
use eyre::{Result, WrapErr};

/// A guard has little to do at a time; each further thread costs wake-ups.
const TRAFFIC_THREADS: usize = 1;

/// Guards one target: starts its tasks at most once, and coordinates jobs.
#[derive(FromArgs)]
struct Args {
    /// settings file, JSON with comments
    #[argh(positional)]
    settings: PathBuf,
    /// stand beside a target that leases its runs; the settings are those of a leased guard
    #[argh(switch)]
    leased: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    report_outcome(start(&args))
}

fn start(args: &Args) -> Result<()> {
    if args.leased {
        return run_leased(&args.settings);
    }
    let settings = GuardSettings::read(&args.settings)?;
    start_logging(&settings.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(TRAFFIC_THREADS)
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")?;
    runtime.block_on(run(settings))
}

async fn run(settings: GuardSettings) -> Result<()> {
    let drain_timeout = settings.drain_timeout();
    let running = start_guard(settings).await?;
    running.run_until_signal(drain_timeout).await?;
    Ok(())
}

fn run_leased(file: &Path) -> Result<()> {
    let settings = LeasedGuardSettings::read(file)?;
    start_logging(&settings.log)?;
    start_leased_runtime()?.block_on(async {
        let process = start_leased_guard(&settings, Arc::new(Platform::default()))?;
        let watch = SettingsWatch::start(file)?;
        let take = |settings| process.reload(&settings);
        watch.run_until_stop(LeasedGuardSettings::read, take).await;
        process.stop().await;
        Ok(())
    })
}
