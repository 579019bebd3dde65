//! The decoded configuration and request routing.

use std::time::Duration;

/// Version number of a configuration, chosen by the operator. The highest committed version is in force; 0 means none.
pub type Version = u64;

/// A route: selects requests by host and path prefix and assigns them to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route, which is also the name of its queue.
    pub name: String,
    /// The host name of matching requests, compared case-insensitively.
    pub host: String,
    /// The path prefix of matching requests.
    pub path_prefix: String,
    /// The service whose targets run the jobs.
    pub service: String,
    /// Maximum time from the arrival of a request to its response.
    pub timeout: Duration,
    /// Time allowed for a response in addition to `stretch` times the duration of the work.
    pub allowance: Duration,
    /// Priority of the jobs; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task fails.
    pub max_attempts: u32,
    /// Latency objective: a response is due within `stretch` times the duration of the work, plus `allowance`.
    pub stretch: f64,
}

/// A service, provided by targets of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The name of the service.
    pub name: String,
}

/// Limits on client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficLimits {
    /// Maximum size of a request header, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request header.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

/// A decoded configuration. It is immutable; a newer version replaces it.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The version number.
    pub version: Version,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// Limits on client connections.
    pub limits: TrafficLimits,
}

impl Configuration {
    /// Returns the route of a queue; the first one if several have its name.
    pub fn find_queue(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// Returns the route of a request: among the routes for its host, the one with the longest matching path prefix.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.iter();
        routes
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}
