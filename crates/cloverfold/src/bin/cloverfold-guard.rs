//! `cloverfold-guard`: the one small process beside each target.

use std::path::PathBuf;

use argh::FromArgs;
use cloverfold_app::start_logging;
use cloverfold_process::start_guard;
use cloverfold_settings::GuardSettings;
use eyre::{Result, WrapErr};

/// A guard has little to do at a time; each further thread costs wake-ups.
const TRAFFIC_THREADS: usize = 1;

/// Guards one target: starts its tasks at most once, and coordinates jobs.
#[derive(FromArgs)]
struct Args {
    /// settings file, JSON with comments
    #[argh(positional)]
    settings: PathBuf,
}

fn main() -> Result<()> {
    let args: Args = argh::from_env();
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
