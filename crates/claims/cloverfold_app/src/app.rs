//! A process put together from plugins, and its run.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_net::{Network, Router};
use prometheus_client::registry::Registry;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;
use volo_http::server::route::Router as HttpRouter;

use crate::control::ControlThread;
use crate::lifecycle::{Lifecycle, Phase};
use crate::ops_http::{HttpServer, OpsState, build_ops_router};
use crate::resources::Resources;
use crate::traffic::TrafficGauges;

type BoxedFuture = Pin<Box<dyn Future<Output = ()> + Send>>;
type ReadyCheck = Box<dyn Fn() -> Result<(), String> + Send + Sync>;

/// A capability that adds itself to a process.
pub trait Plugin {
    /// Registers the capability's resources, handlers, metrics, tasks and drain steps.
    ///
    /// # Errors
    ///
    /// Says what the capability needs and does not find.
    fn build(self, app: &mut App) -> Result<(), BuildError>;
}

/// Why a process could not be put together or started.
#[derive(Debug, thiserror::Error)]
pub enum BuildError {
    /// A plugin that provides this type must be added earlier.
    #[error("no plugin added so far provides {0}")]
    MissingResource(&'static str),
    /// A value from the settings does not fit.
    #[error("{0}")]
    Unfit(String),
    /// The system refused something.
    #[error("{what}: {cause}")]
    System {
        /// What was attempted.
        what: String,
        /// The system's error.
        cause: std::io::Error,
    },
}

/// A process that is being put together.
pub struct App {
    name: String,
    network: Network,
    control: ControlThread,
    lifecycle: Lifecycle,
    resources: Resources,
    router: Router,
    registry: Registry,
    http_routes: HttpRouter,
    ready_checks: Vec<ReadyCheck>,
    tasks: Vec<BoxedFuture>,
    drain_steps: Vec<BoxedFuture>,
}

impl App {
    /// Begins a process with a name for logs.
    ///
    /// # Errors
    ///
    /// Says that the system gave no thread for control state.
    pub fn new(name: &str, network: Network) -> Result<Self, BuildError> {
        let control = ControlThread::start(name).map_err(|cause| BuildError::System {
            what: "starting the control thread".into(),
            cause,
        })?;
        let mut registry = Registry::with_prefix("cloverfold");
        network.metrics().register(&mut registry);
        let gauges = TrafficGauges::register(&mut registry);
        let tasks: Vec<BoxedFuture> = vec![Box::pin(gauges.follow(network.clone()))];
        Ok(Self {
            name: name.into(),
            network,
            control,
            lifecycle: Lifecycle::default(),
            resources: Resources::default(),
            router: Router::default(),
            registry,
            http_routes: HttpRouter::new(),
            ready_checks: Vec::new(),
            tasks,
            drain_steps: Vec::new(),
        })
    }

    /// Adds a capability.
    ///
    /// # Errors
    ///
    /// Passes on what the plugin misses.
    pub fn add_plugin<P: Plugin>(&mut self, plugin: P) -> Result<&mut Self, BuildError> {
        plugin.build(self)?;
        Ok(self)
    }

    /// Shares a value with later plugins.
    pub fn insert_resource<T: Send + Sync + 'static>(&mut self, value: T) -> Arc<T> {
        let value = Arc::new(value);
        self.resources.insert(value.clone());
        value
    }

    /// Finds a value that an earlier plugin shares.
    ///
    /// # Errors
    ///
    /// Names the type that no plugin provides.
    pub fn resource<T: Send + Sync + 'static>(&self) -> Result<Arc<T>, BuildError> {
        let missing = BuildError::MissingResource(std::any::type_name::<T>());
        self.resources.get::<T>().ok_or(missing)
    }

    /// Returns the endpoint to other processes.
    pub fn network(&self) -> Network {
        self.network.clone()
    }

    /// Returns the control thread.
    pub fn control(&self) -> ControlThread {
        self.control.clone()
    }

    /// Returns the process's life cycle.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle.clone()
    }

    /// Returns the router to register message handlers in.
    pub fn router(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Returns the registry to add metrics to.
    pub fn registry(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// Adds HTTP routes.
    pub fn add_http_routes(&mut self, routes: HttpRouter) {
        let held = std::mem::take(&mut self.http_routes);
        self.http_routes = held.merge(routes);
    }

    /// Adds a reason for which the process may not be ready.
    pub fn add_ready_check<F>(&mut self, check: F)
    where
        F: Fn() -> Result<(), String> + Send + Sync + 'static,
    {
        self.ready_checks.push(Box::new(check));
    }

    /// Adds a background task; it is dropped when the process has stopped.
    pub fn add_task(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.push(Box::pin(task));
    }

    /// Adds what must be over before a planned stop may end; all steps run side by side.
    pub fn add_drain_step(&mut self, step: impl Future<Output = ()> + Send + 'static) {
        self.drain_steps.push(Box::pin(step));
    }

    /// Starts to serve peers and HTTP.
    ///
    /// # Errors
    ///
    /// Says that the HTTP address cannot be listened on.
    pub async fn start(self, http_address: SocketAddr) -> Result<Running, BuildError> {
        let listen_error = |cause| BuildError::System {
            what: format!("http_address {http_address}"),
            cause,
        };
        let http = HttpServer::bind(http_address).await.map_err(listen_error)?;
        let http_address = http.address().map_err(listen_error)?;
        let ops = OpsState::new(self.lifecycle.clone(), self.registry, self.ready_checks);
        let routes = build_ops_router(Arc::new(ops)).merge(self.http_routes);

        let mut tasks = JoinSet::new();
        tasks.spawn(self.network.clone().serve(Arc::new(self.router)));
        tasks.spawn(self.network.clone().close_unused_connections());
        tasks.spawn(http.serve(routes, self.lifecycle.clone()));
        for task in self.tasks {
            tasks.spawn(task);
        }
        log::info!(process = self.name, http = http_address.to_string(); "serving");
        Ok(Running {
            name: self.name,
            http_address,
            network: self.network,
            lifecycle: self.lifecycle,
            drain_steps: self.drain_steps,
            _tasks: tasks,
        })
    }
}

/// A process that serves.
pub struct Running {
    name: String,
    http_address: SocketAddr,
    network: Network,
    lifecycle: Lifecycle,
    drain_steps: Vec<BoxedFuture>,
    /// Aborted on drop.
    _tasks: JoinSet<()>,
}

impl Running {
    /// Returns the address of the HTTP interface.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the endpoint to other processes.
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// Waits for SIGTERM, SIGINT or an operator's mark, then stops as [`Running::stop`] does.
    ///
    /// # Errors
    ///
    /// Says that the system takes no signal handler.
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

    /// Takes no new work, ends what is in flight, then closes; returns whether all ended in time.
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
            log::error!(process = self.name; "the drain timed out; what is left is given up");
        }
        self.lifecycle.advance_to(Phase::Stopped);
        self.network.close().await;
        log::info!(process = self.name; "stopped");
        is_drained
    }
}
