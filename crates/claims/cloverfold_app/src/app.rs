//! The builder of a process from plugins.

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

/// A unit of functionality that adds itself to an [`App`].
pub trait Plugin {
    /// Adds the plugin's resources, handlers, metrics, tasks and drain steps.
    ///
    /// # Errors
    ///
    /// Returns the missing resource of an earlier plugin, or the invalid setting.
    fn build(self, app: &mut App) -> Result<(), BuildError>;
}

/// Builder of a process.
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
    /// Creates a process with the name that its log lines contain.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the control thread cannot be started.
    pub fn new(name: &str, network: Network) -> Result<Self, BuildError> {
        let control = ControlThread::start(name).map_err(|cause| BuildError::System {
            what: "starting the control thread".into(),
            cause,
        })?;
        let mut registry = Registry::with_prefix("cloverfold");
        network.metrics().register(&mut registry);
        let gauges = TrafficGauges::register(&mut registry);
        let tasks: Vec<BoxedFuture> = vec![Box::pin(gauges.run(network.clone()))];
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

    /// Adds a plugin.
    ///
    /// # Errors
    ///
    /// Returns the plugin's error.
    pub fn add_plugin<P: Plugin>(&mut self, plugin: P) -> Result<&mut Self, BuildError> {
        plugin.build(self)?;
        Ok(self)
    }

    /// Adds a shared value for later plugins.
    pub fn insert_resource<T: Send + Sync + 'static>(&mut self, value: T) -> Arc<T> {
        let value = Arc::new(value);
        self.resources.insert(value.clone());
        value
    }

    /// Returns a shared value of an earlier plugin.
    ///
    /// # Errors
    ///
    /// Returns the name of the type if no earlier plugin provides it.
    pub fn resource<T: Send + Sync + 'static>(&self) -> Result<Arc<T>, BuildError> {
        let missing = BuildError::MissingResource(std::any::type_name::<T>());
        self.resources.get::<T>().ok_or(missing)
    }

    /// Returns the network endpoint to other processes.
    pub fn network(&self) -> Network {
        self.network.clone()
    }

    /// Returns the control thread.
    pub fn control(&self) -> ControlThread {
        self.control.clone()
    }

    /// Returns the lifecycle of the process.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle.clone()
    }

    /// Returns the router of the message handlers.
    pub fn router(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Returns the metrics registry.
    pub fn registry(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// Adds HTTP routes.
    pub fn add_http_routes(&mut self, routes: HttpRouter) {
        let existing = std::mem::take(&mut self.http_routes);
        self.http_routes = existing.merge(routes);
    }

    /// Adds a readiness check, which returns the reason if the process is not ready.
    pub fn add_ready_check<F>(&mut self, check: F)
    where
        F: Fn() -> Result<(), String> + Send + Sync + 'static,
    {
        self.ready_checks.push(Box::new(check));
    }

    /// Adds a background task, which is aborted when the process has stopped.
    pub fn add_task(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.push(Box::pin(task));
    }

    /// Adds a step that a drain waits for; all steps run concurrently.
    pub fn add_drain_step(&mut self, step: impl Future<Output = ()> + Send + 'static) {
        self.drain_steps.push(Box::pin(step));
    }

    /// Starts to serve peers and HTTP.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the process cannot listen on the HTTP address.
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
