//! Child processes that run the real programs.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::time::{Instant, sleep};

/// Polling interval for an exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Paths of the programs under test.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The program `cloverfold`.
    pub cloverfold: PathBuf,
    /// The program `cloverfold-guard`.
    pub guard: PathBuf,
}

/// A running program, which is killed on drop.
pub(crate) struct Program {
    child: Child,
}

impl Program {
    /// Starts a program with a settings file and appends its output to a log.
    pub(crate) fn start(
        program: &Path,
        arguments: &[&str],
        settings: &Path,
        log: &Path,
    ) -> std::io::Result<Self> {
        let output = File::options().create(true).append(true).open(log)?;
        let errors = output.try_clone()?;
        let child = Command::new(program)
            .args(arguments)
            .arg(settings)
            .stdout(output)
            .stderr(errors)
            .spawn()?;
        Ok(Self { child })
    }

    /// Sends a signal unless the process has exited.
    pub(crate) fn signal(&mut self, signal: Signal) {
        // The process id is not reused before the child is waited for.
        let is_running = !self.has_exited();
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid.filter(|_| is_running) {
            // An error means that the process has just exited.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns whether the process has exited.
    pub(crate) fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the exit; returns whether the process exited within the limit.
    pub(crate) async fn wait_exit(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while !self.has_exited() {
            if Instant::now() >= until {
                return false;
            }
            sleep(EXIT_POLL_INTERVAL).await;
        }
        true
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // An error means that the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
