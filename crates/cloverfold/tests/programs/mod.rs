//! Real programs as processes of their own.

// Each test file uses a part.
#![allow(dead_code)]

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

pub const CLOVERFOLD: &str = env!("CARGO_BIN_EXE_cloverfold");
pub const GUARD: &str = env!("CARGO_BIN_EXE_cloverfold-guard");
/// Bounds waits for what must come; nothing is measured by it.
const PATIENCE: Duration = Duration::from_secs(120);

/// A program that runs, and the file that its log lines go to.
pub struct Program {
    child: Child,
    log: PathBuf,
}

impl Program {
    pub fn start(program: &str, arguments: &[&str], settings: &Path) -> Self {
        let log = settings.with_extension("log");
        let output = File::options().create(true).append(true).open(&log);
        let errors = File::options().create(true).append(true).open(&log);
        let child = Command::new(program)
            .args(arguments)
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

    /// Waits for a log line with this message; returns it.
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

    pub fn stop(mut self) -> Option<i32> {
        self.signal(Signal::TERM);
        self.child.wait().unwrap().code()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn wait_until<T>(what: &str, mut find: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    while began.elapsed() < PATIENCE {
        if let Some(found) = find() {
            return found;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("{what} does not come");
}

/// Runs an operator's command to its end.
pub fn run(arguments: &[&str]) -> Output {
    Command::new(CLOVERFOLD).args(arguments).output().unwrap()
}
