//! A process that is built from plugins.
//!
//! Owns what the plugins register until the process starts; `running` owns the process from then on. Relies on `ops_http` to serve HTTP
//! and on `control` for the thread that owns control state.

use std::net::SocketAddr;
use std::sync::Arc;

use cloverfold_net::{Network, Router};
use prometheus_client::registry::Registry;
use tokio::task::JoinSet;
use volo_http::server::route::Router as HttpRouter;

use crate::control::ControlThread;
use crate::error::BuildError;
use crate::lifecycle::Lifecycle;
use crate::ops_http::{HttpServer, OpsState, ReadyCheck, build_ops_router};
use crate::resources::Resources;
use crate::running::{BoxedFuture, RunningApp};
use crate::traffic::TrafficGauges;

/// A capability that registers itself with a process.
pub trait Plugin {
    /// Registers the capability's resources, handlers, metrics, tasks and drain steps.
    ///
    /// # Errors
    ///
    /// Returns which resource of an earlier plugin is missing, or which setting does not fit.
    fn build(self, app: &mut App) -> Result<(), BuildError>;
}

/// A process that is being built.
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
    /// Begins a process; the name shows in its logs.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the control thread cannot be started.
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
    /// Returns the plugin's error.
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
    /// Returns the name of a type that no plugin added so far provides.
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

    /// Adds a check that returns why the process is not ready, if it is not.
    pub fn add_ready_check<F>(&mut self, check: F)
    where
        F: Fn() -> Result<(), String> + Send + Sync + 'static,
    {
        self.ready_checks.push(Box::new(check));
    }

    /// Adds a background task; it is aborted when the process has stopped.
    pub fn add_task(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.push(Box::pin(task));
    }

    /// Adds a step that a planned stop waits for; all steps run concurrently.
    pub fn add_drain_step(&mut self, step: impl Future<Output = ()> + Send + 'static) {
        self.drain_steps.push(Box::pin(step));
    }

    /// Starts to serve peers and HTTP.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the HTTP address cannot be listened on.
    pub async fn start(self, http_address: SocketAddr) -> Result<RunningApp, BuildError> {
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
        Ok(RunningApp {
            name: self.name,
            http_address,
            network: self.network,
            lifecycle: self.lifecycle,
            drain_steps: self.drain_steps,
            _tasks: tasks,
        })
    }
}
