//! The program `cloverfold_soak`: runs plans and reports violated guarantees.

use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::{Duration, SystemTime};

use argh::{EarlyExit, FromArgs};
use cloverfold_soak::checker::{Bounds, Violation};
use cloverfold_soak::plan::{Plan, PlanLength, generate_plan, read_plan, write_plan};
use cloverfold_soak::run::{Counts, Programs, SoakReport, run_plan, write_findings};
use eyre::{Result, WrapErr, bail, eyre};
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code if there is no violation.
const EXIT_OK: u8 = 0;
/// Exit code if a guarantee was violated.
const EXIT_VIOLATION: u8 = 1;
/// Exit code if the soak itself could not run.
const EXIT_FAILURE: u8 = 2;
/// Default length of a soak, in seconds.
const DEFAULT_SECONDS: u64 = 60;

/// Run the real programs under faults generated from a seed; exits with 0 if all guarantees held, 1 if one was violated, 2 if the soak could not run.
#[derive(FromArgs)]
struct Arguments {
    /// kind of the installation; only `leased` is supported
    #[argh(option)]
    installation: String,
    /// seed of the plan; derived from the time if omitted
    #[argh(option)]
    seed: Option<u64>,
    /// duration of the soak in seconds, 24 to 600; 60 if omitted
    #[argh(option)]
    seconds: Option<u64>,
    /// file with a plan to run instead of generating one
    #[argh(option)]
    plan: Option<PathBuf>,
    /// file of seeds to run one after the other, one per line: the seed, the length in seconds, and a comment after a hash
    #[argh(option)]
    seeds: Option<PathBuf>,
    /// folder of the programs; if omitted, they are built in the folder of this program
    #[argh(option)]
    programs: Option<PathBuf>,
    /// folder for settings, logs and findings; a new temporary folder if omitted
    #[argh(option)]
    folder: Option<PathBuf>,
    /// print JSON lines instead of text
    #[argh(switch)]
    json: bool,
}

fn main() -> ExitCode {
    let raw_arguments: Vec<String> = std::env::args().skip(1).collect();
    let raw_arguments: Vec<&str> = raw_arguments.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["cloverfold_soak"], &raw_arguments) {
        Ok(arguments) => arguments,
        Err(early_exit) => return print_early_exit(&early_exit),
    };
    match run(&arguments) {
        Ok(true) => ExitCode::from(EXIT_OK),
        Ok(false) => ExitCode::from(EXIT_VIOLATION),
        Err(cause) => {
            eprintln!("the soak could not run: {cause:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Prints the requested help, or the error in the arguments.
fn print_early_exit(early_exit: &EarlyExit) -> ExitCode {
    if early_exit.status.is_ok() {
        println!("{}", early_exit.output);
        return ExitCode::SUCCESS;
    }
    eprintln!("{}", early_exit.output);
    ExitCode::from(EXIT_FAILURE)
}

/// Runs all requested plans; returns whether there was no violation.
fn run(arguments: &Arguments) -> Result<bool> {
    if arguments.installation != "leased" {
        bail!(
            "--installation {}: only `leased` is supported",
            arguments.installation
        );
    }
    let plans = list_plans(arguments)?;
    let programs = find_programs(arguments.programs.as_deref())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let mut has_passed = true;
    for plan in plans {
        has_passed &= runtime.block_on(run_one(&plan, &programs, arguments))?;
    }
    Ok(has_passed)
}

fn list_plans(arguments: &Arguments) -> Result<Vec<Plan>> {
    let seconds = arguments.seconds.unwrap_or(DEFAULT_SECONDS);
    match (&arguments.plan, &arguments.seeds) {
        (Some(_), Some(_)) => bail!("--plan and --seeds cannot be combined"),
        (Some(file), None) => Ok(vec![read_plan(file)?]),
        (None, Some(file)) => {
            let text = std::fs::read_to_string(file).wrap_err(file.display().to_string())?;
            let plans: Vec<Plan> = text
                .lines()
                .filter_map(read_seed_line)
                .collect::<Result<_>>()?;
            if plans.is_empty() {
                bail!("{}: contains no seeds", file.display());
            }
            Ok(plans)
        }
        (None, None) => {
            let seed = arguments.seed.unwrap_or_else(seed_from_time);
            Ok(vec![generate(seed, seconds)?])
        }
    }
}

fn generate(seed: u64, seconds: u64) -> Result<Plan> {
    let length = PlanLength::new(seconds).ok_or_else(|| eyre!("--seconds: must be 24 to 600"))?;
    Ok(generate_plan(seed, length))
}

/// Reads a line of a seed file; returns `None` if it is empty or a comment.
fn read_seed_line(line: &str) -> Option<Result<Plan>> {
    let mut words = line.split('#').next()?.split_whitespace();
    let seed = words.next()?;
    let seconds = words.next().unwrap_or("60");
    let read = |word: &str| {
        word.parse::<u64>()
            .wrap_err_with(|| format!("seeds: {line}"))
    };
    Some(read(seed).and_then(|seed| generate(seed, read(seconds)?)))
}

fn seed_from_time() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Returns the programs in a folder, or builds those next to this program.
fn find_programs(folder: Option<&Path>) -> Result<Programs> {
    let program = std::env::current_exe()?;
    let build_folder = program
        .parent()
        .ok_or_else(|| eyre!("the path of this program has no parent folder"))?;
    if folder.is_none() {
        build_programs(build_folder)?;
    }
    let folder = folder.unwrap_or(build_folder);
    let programs = Programs {
        cloverfold: folder.join("cloverfold"),
        guard: folder.join("cloverfold-guard"),
    };
    for program in [&programs.cloverfold, &programs.guard] {
        if !program.is_file() {
            bail!(
                "{}: program not found; build it or set --programs",
                program.display()
            );
        }
    }
    Ok(programs)
}

/// Builds the programs in the profile of this program, if cargo has started it.
fn build_programs(build_folder: &Path) -> Result<()> {
    let Some(cargo) = std::env::var_os("CARGO") else {
        return Ok(());
    };
    let mut build = Command::new(cargo);
    build.args(["build", "--locked", "--quiet", "-p", "cloverfold", "--bins"]);
    if build_folder.ends_with("release") {
        build.arg("--release");
    }
    let status = build.status().wrap_err("cargo build")?;
    if !status.success() {
        bail!("the programs cannot be built");
    }
    Ok(())
}

/// Runs one plan; returns whether there was no violation.
async fn run_one(plan: &Plan, programs: &Programs, arguments: &Arguments) -> Result<bool> {
    // The process ID separates the folders of runs of the same seed.
    let own = format!("{}-{}", plan.seed, std::process::id());
    let run_folder = match &arguments.folder {
        Some(folder) => folder.join(own),
        None => std::env::temp_dir().join(format!("cloverfold-soak-{own}")),
    };
    std::fs::create_dir_all(&run_folder).wrap_err(run_folder.display().to_string())?;
    write_plan(plan, &run_folder.join("plan.json"))?;
    let (is_json, bounds) = (arguments.json, Bounds::default());
    let on_progress = |at: Duration, counts: Counts| report_progress(plan, at, counts, is_json);
    let report = tokio::select! {
        report = run_plan(plan, programs, &run_folder, &bounds, on_progress) => report?,
        // Dropping the run kills all child processes.
        () = wait_interrupt() => bail!("interrupted"),
    };
    let has_passed = report.violations.is_empty();
    if has_passed && arguments.folder.is_none() {
        std::fs::remove_dir_all(&run_folder)?;
    } else {
        write_findings(plan, &report, &run_folder)?;
    }
    summarize(plan, &report, &run_folder, is_json);
    Ok(has_passed)
}

async fn wait_interrupt() {
    let signals = (
        signal(SignalKind::interrupt()),
        signal(SignalKind::terminate()),
    );
    if let (Ok(mut interrupt), Ok(mut terminate)) = signals {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    } else {
        std::future::pending::<()>().await;
    }
}

fn report_progress(plan: &Plan, at: Duration, counts: Counts, is_json: bool) {
    if is_json {
        let line = json!({ "seed": plan.seed, "at_s": at.as_secs_f64(), "counts": counts });
        println!("{line}");
    } else {
        eprintln!(
            "seed {} {:5.1} of {:.0} s: {} sends, {} completed, {} refused, {} without an answer, {} runs, {} disturbances",
            plan.seed,
            at.as_secs_f64(),
            Duration::from_millis(plan.length).as_secs_f64(),
            counts.sends,
            counts.completed,
            counts.refused,
            counts.unanswered,
            counts.runs,
            counts.disturbances,
        );
    }
}

fn summarize(plan: &Plan, report: &SoakReport, folder: &Path, is_json: bool) {
    let counts = Counts::of(&report.history);
    let folder = folder.display().to_string();
    if is_json {
        let line = json!({
            "seed": plan.seed, "length_ms": plan.length, "counts": counts, "violations": report.violations,
            "folder": folder,
        });
        println!("{line}");
        return;
    }
    for violation in report.violations.iter().take(10) {
        println!("seed {}: {violation}", plan.seed);
    }
    let verdict = describe_verdict(&report.violations, &folder);
    println!(
        "seed {}: {verdict}; {} sends, {} completed, {} runs, {} disturbances, {} configurations sent, {} probes",
        plan.seed,
        counts.sends,
        counts.completed,
        counts.runs,
        counts.disturbances,
        counts.configurations,
        counts.probes,
    );
}

fn describe_verdict(violations: &[Violation], folder: &str) -> String {
    match violations.len() {
        0 => "all guarantees held".into(),
        count => format!("{count} violations of guarantees, see {folder}"),
    }
}
