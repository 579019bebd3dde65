//! A child process of a cluster.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use rustix::process::Pid;

use super::readiness::wait_until;

/// A process of a cluster, which is killed when this is dropped.
pub(super) struct Process {
    pub(super) binary: &'static str,
    pub(super) args: Vec<PathBuf>,
    pub(super) child: Option<Child>,
}

impl Process {
    pub(super) fn start(&mut self) {
        let child = Command::new(self.binary)
            .args(&self.args)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    pub(super) fn pid(&self) -> Pid {
        let child = self.child.as_ref().expect("the process runs");
        Pid::from_child(child)
    }

    pub(super) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Waits until a stopping process exits, and returns whether it exited cleanly.
    pub(super) async fn wait_for_exit(&mut self) -> bool {
        let mut child = self.child.take().expect("the process runs");
        let mut status = None;
        wait_until("a process exits", async || {
            status = child.try_wait().unwrap();
            status.is_some()
        })
        .await;
        status.unwrap().success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
