//! `cloverfold solo`: every role of an installation in one process.
//!
//! `cloverfold_solo` runs and measures a claims installation; `cloverfold_leased_solo` runs a leased one.

use std::env::args;
use std::time::Duration;

use argh::FromArgs;
use cloverfold_leased_solo::{LeasedSolo, SoloSize};
use cloverfold_programs::{RuntimeThreads, start_runtime};
use cloverfold_settings::{LogLevel, LogSettings};
use cloverfold_solo::{SoloConfig, SoloLoad, SoloSystem, measure_load};
use cloverfold_telemetry::start_logging;
use eyre::{Result, bail, eyre};
use tokio::signal::ctrl_c;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Run every role in this process, submit sample jobs, and print a report.
#[derive(FromArgs)]
#[argh(subcommand, name = "solo")]
pub(crate) struct SoloCommand {
    /// number of guards, each with a sample target of 8 slots
    #[argh(option, default = "11")]
    guards: usize,
    /// mean utilization of all slots, as a fraction
    #[argh(option, default = "0.7")]
    load: f64,
    /// time during which jobs arrive, in seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// maximum number of tasks of a job
    #[argh(option, default = "4")]
    tasks: usize,
    /// seed of the sample jobs
    #[argh(option, default = "1")]
    seed: u64,
    /// placement policy; an unknown name prints the list of policies
    #[argh(option, default = "String::from(\"packed\")")]
    placement: String,
    /// distribute the coordination of jobs over all guards, as a baseline
    #[argh(switch)]
    no_lead: bool,
    /// factor that multiplies the rate of the first workspace
    #[argh(option, default = "1.0")]
    overload: f64,
    /// serve queued work in the order of arrival, as a baseline
    #[argh(switch)]
    fifo: bool,
    /// serve requests until stopped, instead of submitting sample jobs
    #[argh(switch)]
    serve: bool,
    /// with --serve: run a leased installation, with control processes and at most 200 guards
    #[argh(switch)]
    leased: bool,
}

impl SoloCommand {
    pub(crate) fn run(self) -> Result<()> {
        if self.guards == 0 || self.tasks == 0 || self.load.is_nan() || self.load <= 0.0 {
            bail!("--guards, --tasks and --load must be above 0");
        }
        if self.leased && (!self.serve || self.guards > MAX_LEASED_GUARDS) {
            bail!("--leased needs --serve, and at most {MAX_LEASED_GUARDS} guards");
        }
        start_logging(&LogSettings {
            level: LogLevel::Error,
            ..LogSettings::default()
        })?;
        if self.leased {
            return start_runtime(RuntimeThreads::PerCore)?.block_on(self.run_leased());
        }
        let config = SoloConfig {
            guards: self.guards,
            placement: parse_placement(&self.placement)?,
            has_lead: !self.no_lead,
            queueing: if self.fifo { "fifo" } else { "fair" },
            ..SoloConfig::default()
        };
        start_runtime(RuntimeThreads::PerCore)?.block_on(self.run_system(config))
    }

    async fn run_leased(&self) -> Result<()> {
        // `run` has rejected more than MAX_LEASED_GUARDS guards.
        let guards = self.guards as u8;
        let size = SoloSize {
            guards,
            ..SoloSize::default()
        };
        let solo = LeasedSolo::start(size).await?;
        serve_leased(&solo).await?;
        solo.stop().await;
        Ok(())
    }

    async fn run_system(&self, config: SoloConfig) -> Result<()> {
        let system = SoloSystem::start(config).await?;
        if self.serve {
            serve(&system).await?;
        } else {
            self.measure(&system).await?;
        }
        if !system.stop().await {
            bail!("the system did not stop in time");
        }
        Ok(())
    }

    async fn measure(&self, system: &SoloSystem) -> Result<()> {
        println!(
            "{} guards x 8 slots, {} entries, {:.0} % load, jobs of 1 to {} tasks of 50-500 ms, {} s, {} placement",
            self.guards,
            system.config().entries,
            self.load * 100.0,
            self.tasks,
            self.seconds,
            self.placement,
        );
        let load = SoloLoad {
            utilization: self.load,
            overload: self.overload,
            job_size: (1, self.tasks),
            length: Duration::from_secs(self.seconds),
            seed: self.seed,
        };
        let measured = measure_load(system, &load).await?;
        print!("{}{}", measured.load, measured.waste);
        Ok(())
    }
}

/// Largest number of guards of a leased installation; each has its own loopback address.
const MAX_LEASED_GUARDS: usize = 200;

/// Names of the placement policies, as in the cell's settings.
const PLACEMENTS: [&str; 5] = [
    "packed",
    "least_loaded",
    "two_choices",
    "round_robin",
    "random",
];

fn parse_placement(name: &str) -> Result<&'static str> {
    let found = PLACEMENTS.into_iter().find(|policy| *policy == name);
    found.ok_or_else(|| eyre!("--placement must be one of {}", PLACEMENTS.join(", ")))
}

/// Prints how to submit a job by hand and waits for Ctrl-C or SIGTERM.
async fn serve(system: &SoloSystem) -> Result<()> {
    // Listens before it prints anything, since whoever reads the output may send SIGTERM at once.
    let mut sigterm = signal(SignalKind::terminate())?;
    let entries = system.entry_addresses();
    let caller = &system.config().workspaces[0].caller;
    println!(
        "entries: {entries:?}; settings and keys: {}",
        system.folder().display()
    );
    println!("metrics pages: {:?}", system.metrics_addresses());
    println!("try, and end with Ctrl-C:");
    println!(
        "  curl -s http://{}/v1/jobs -H 'Cloverfold-Customer: {}' -H 'Authorization: Bearer {}' \\",
        entries[0], caller.workspace, caller.key
    );
    println!("    -d '{{\"service\":\"sample\",\"tasks\":[{{\"duration_ms\":100}}]}}'");
    wait_for_stop_signal(&mut sigterm).await
}

/// Prints how to use a leased installation by hand and waits for Ctrl-C or SIGTERM.
async fn serve_leased(solo: &LeasedSolo) -> Result<()> {
    // Listens before it prints anything, as in `serve`.
    let mut sigterm = signal(SignalKind::terminate())?;
    let (entries, operators) = (solo.entry_addresses(), solo.operator_addresses());
    let queue = solo.queue();
    let host = queue.host();
    let (path, kept_path) = (
        queue.job_path("00000000000000a1"),
        queue.job_path("00000000000000a2"),
    );
    println!("entries: {entries:?}; control: {operators:?}");
    println!("state: {}", solo.folder().display());
    println!("try, and end with Ctrl-C:");
    println!(
        "  curl -s http://{}{path} -H 'Host: {host}' -d '{}'",
        entries[0],
        queue.job(4, 200, false)
    );
    println!(
        "  curl -s http://{}{kept_path} -H 'Host: {host}' -d '{}'   # a job that is kept",
        entries[0],
        queue.job(4, 200, true)
    );
    println!(
        "  curl -s http://{}{kept_path} -H 'Host: {host}'",
        entries.last().unwrap_or(&entries[0])
    );
    // Prints the path that started this process, since the binary may not be on `PATH`.
    let program = args().next().unwrap_or_else(|| "cloverfold".into());
    println!("  {program} configuration --at {} status", operators[0]);
    println!("  {program} jobs --at {} list", operators[0]);
    println!("  {program} evacuation --at {} start hall-b", operators[0]);
    wait_for_stop_signal(&mut sigterm).await
}

async fn wait_for_stop_signal(sigterm: &mut Signal) -> Result<()> {
    tokio::select! {
        interrupted = ctrl_c() => interrupted?,
        _ = sigterm.recv() => {}
    }
    Ok(())
}
