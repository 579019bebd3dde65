//! What a configuration says, and what makes it invalid.

use std::collections::BTreeSet;
use std::time::Duration;

/// Number of a configuration; the highest holds.
pub type Version = u64;

/// A queue: where its requests come in, and which service runs them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// How their paths begin.
    pub path_prefix: String,
    /// The service whose targets run the jobs.
    pub service: String,
    /// Longest time for one request.
    pub timeout: Duration,
    /// Time allowed on top of the stretched work.
    pub target_latency: Duration,
    /// 0 comes first.
    pub priority: u32,
    /// Ends `failed` after which a task is given up.
    pub max_attempts: u32,
    /// Factor on the work's duration in which an answer is due.
    pub stretch: f64,
}

/// Targets of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: String,
}

/// What a client's connection may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficLimits {
    /// Longest header, in bytes.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// How long a request's header may take.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// Why a configuration is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationFault {
    /// The text is not whole or not in its format.
    #[error("{field}: cannot be read: {cause}")]
    Unreadable {
        /// The place, empty for the whole text.
        field: String,
        /// Why.
        cause: String,
    },
    /// A route names a service that is not listed.
    #[error("route {route}: service {service} is not listed; add it or name another")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes take the same requests.
    #[error("routes {first} and {second}: both serve {host}{path_prefix}; change one")]
    SamePlace {
        /// One route.
        first: String,
        /// The other.
        second: String,
        /// Their host.
        host: String,
        /// Their prefix.
        path_prefix: String,
    },
    /// A route allows no time.
    #[error("route {route}: its timeout is 0; give it at least a millisecond")]
    NoTimeout {
        /// The route.
        route: String,
    },
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Its number.
    pub version: Version,
    /// The queues.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// Limits on client connections.
    pub limits: TrafficLimits,
}

impl Configuration {
    /// Lists all that makes the configuration invalid.
    pub fn find_faults(&self) -> Vec<ConfigurationFault> {
        let services: BTreeSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut faults = Vec::new();
        for (index, route) in self.routes.iter().enumerate() {
            if !services.contains(route.service.as_str()) {
                faults.push(ConfigurationFault::UnknownService {
                    route: route.name.clone(),
                    service: route.service.clone(),
                });
            }
            if route.timeout.is_zero() {
                faults.push(ConfigurationFault::NoTimeout {
                    route: route.name.clone(),
                });
            }
            let is_twin = |other: &&Route| {
                other.path_prefix == route.path_prefix
                    && other.host.eq_ignore_ascii_case(&route.host)
            };
            if let Some(twin) = self.routes[..index].iter().find(is_twin) {
                faults.push(ConfigurationFault::SamePlace {
                    first: twin.name.clone(),
                    second: route.name.clone(),
                    host: route.host.clone(),
                    path_prefix: route.path_prefix.clone(),
                });
            }
        }
        faults
    }

    /// Finds the route of a request: that of its host with the longest prefix of its path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.iter();
        routes
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}
