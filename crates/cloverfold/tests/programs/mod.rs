//! Runs the built binaries as child processes, with addresses and settings for tests.

// Each test file uses only some of the items.
#![allow(dead_code)]

pub mod addresses;

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

pub use addresses::Addresses;

pub const CLOVERFOLD: &str = env!("CARGO_BIN_EXE_cloverfold");
pub const GUARD: &str = env!("CARGO_BIN_EXE_cloverfold-guard");
/// Longest wait for an event that must occur.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running program and its log file.
pub struct Program {
    child: Child,
    log: PathBuf,
}

impl Program {
    /// Starts a program with a settings file, and appends its output to a log file beside the settings.
    pub fn start(program: &str, arguments: &[&str], settings: &Path) -> Self {
        let mut command = Command::new(program);
        command.args(arguments);
        Self::run(command, settings)
    }

    /// Starts a program that may open at most `descriptors` files and sockets.
    pub fn start_with_descriptors(
        program: &str,
        arguments: &[&str],
        settings: &Path,
        descriptors: usize,
    ) -> Self {
        let mut command = Command::new("sh");
        let script = format!("ulimit -n {descriptors} && exec \"$0\" \"$@\"");
        command.args(["-c", &script, program]).args(arguments);
        Self::run(command, settings)
    }

    fn run(mut command: Command, settings: &Path) -> Self {
        let log = settings.with_extension("log");
        let output = File::options().create(true).append(true).open(&log);
        let errors = File::options().create(true).append(true).open(&log);
        let child = command
            .arg(settings)
            .stdout(output.unwrap())
            .stderr(errors.unwrap())
            .spawn()
            .unwrap();
        Self { child, log }
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Returns whether the program has not exited.
    pub fn is_running(&self) -> bool {
        let status = std::fs::read_to_string(self.proc_file("stat")).unwrap_or_default();
        let state = status.rsplit_once(") ").map(|(_, rest)| rest);
        state.is_some_and(|state| !state.starts_with('Z'))
    }

    /// Returns the most resident memory that the program has had, in KiB.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(self.proc_file("status")).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.unwrap().trim().trim_end_matches(" kB");
        peak.parse().unwrap()
    }

    /// Returns the processor time that the program has used, in ticks of the system.
    pub fn processor_ticks(&self) -> u64 {
        let status = std::fs::read_to_string(self.proc_file("stat")).unwrap();
        let (_, fields) = status.rsplit_once(") ").unwrap();
        let mut fields = fields.split(' ').skip(11);
        let mut ticks = || fields.next().unwrap().parse::<u64>().unwrap();
        ticks() + ticks()
    }

    /// Returns the number of open files and sockets.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(self.proc_file("fd")).unwrap().count()
    }

    fn proc_file(&self, name: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{name}", self.child.id()))
    }

    /// Waits for a log line whose message contains this text, and returns the line.
    pub fn wait_for_line(&self, message: &str) -> Value {
        wait_until(message, || {
            let text = std::fs::read_to_string(&self.log).unwrap();
            let lines = text
                .lines()
                .filter_map(|line| serde_json::from_str::<Value>(line).ok());
            lines.into_iter().find(|line| {
                line["message"]
                    .as_str()
                    .is_some_and(|found| found.contains(message))
            })
        })
    }

    /// Returns what the program has logged.
    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap()
    }

    /// Stops the program with SIGTERM and returns its exit code.
    pub fn stop(mut self) -> Option<i32> {
        self.signal(Signal::TERM);
        self.child.wait().unwrap().code()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // An error means that the program has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Polls until `find` returns a value, and fails the test after a timeout.
pub fn wait_until<T>(what: &str, mut find: impl FnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    while started_at.elapsed() < WAIT_TIMEOUT {
        if let Some(found) = find() {
            return found;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out waiting for {what}");
}

/// Returns a configuration without routes or services.
pub fn empty_configuration(version: u64) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[],"Services":[],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

/// Runs an operator command and returns its output.
pub fn run_command(arguments: &[&str]) -> Output {
    Command::new(CLOVERFOLD).args(arguments).output().unwrap()
}
