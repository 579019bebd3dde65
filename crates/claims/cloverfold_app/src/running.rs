//! A running process and its drain.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use cloverfold_net::Network;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;

use crate::error::BuildError;
use crate::lifecycle::{Lifecycle, Phase};

/// A background task or a drain step.
pub(crate) type BoxedFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A running process; dropping it aborts its tasks.
pub struct RunningApp {
    pub(crate) name: String,
    pub(crate) http_address: SocketAddr,
    pub(crate) network: Network,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) drain_steps: Vec<BoxedFuture>,
    /// Held only to abort the tasks on drop.
    pub(crate) _tasks: JoinSet<()>,
}

impl RunningApp {
    /// Returns the address of the HTTP server.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the network endpoint to other processes.
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// Waits for SIGTERM, SIGINT or an operator's `leave` message, then calls [`RunningApp::stop`].
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if a signal handler cannot be installed.
    pub async fn run_until_signal(self, drain_timeout: Duration) -> Result<bool, BuildError> {
        let signal_error = |cause| BuildError::System {
            what: "listening for signals".into(),
            cause,
        };
        let mut term = signal(SignalKind::terminate()).map_err(signal_error)?;
        let mut int = signal(SignalKind::interrupt()).map_err(signal_error)?;
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
            () = self.lifecycle.wait_for(Phase::Draining) => {}
        }
        Ok(self.stop(drain_timeout).await)
    }

    /// Drains and stops the process; returns whether the drain steps and message handlers ended within `drain_timeout`.
    pub async fn stop(self, drain_timeout: Duration) -> bool {
        log::info!(process = self.name; "draining");
        self.lifecycle.advance_to(Phase::Draining);
        let mut steps = JoinSet::new();
        for step in self.drain_steps {
            steps.spawn(step);
        }
        let network = self.network.clone();
        let draining = async {
            steps.join_all().await;
            network.wait_for_handlers().await;
        };
        let is_drained = tokio::time::timeout(drain_timeout, draining).await.is_ok();
        if !is_drained {
            log::error!(process = self.name; "the drain timed out; abandoning the remaining work");
        }
        self.lifecycle.advance_to(Phase::Stopped);
        self.network.close().await;
        log::info!(process = self.name; "stopped");
        is_drained
    }
}
