//! The values of a configuration, and the choice of a request's route.
//!
//! Decision: which route serves a request. Rule: of the routes for its host (without case), the one with the longest prefix of its path;
//! a request without one is served by none. Owns no state: a configuration does not change, a newer version replaces it. Relies on a
//! [`crate::ConfigurationFormat`] to decode it and on the control process to refuse one with faults (`validation`).

use std::time::Duration;

/// Number of a configuration, chosen by its operator; the highest that was committed is in force. 0 stands for none.
pub type Version = u64;

/// A queue: which requests belong to it, and which service runs their jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that its requests name, compared without case.
    pub host: String,
    /// How the paths of its requests begin.
    pub path_prefix: String,
    /// The service whose targets run the jobs.
    pub service: String,
    /// Longest time for one request, from its arrival to its answer.
    pub timeout: Duration,
    /// Time allowed for an answer in addition to `stretch` times the duration of the work.
    pub allowance: Duration,
    /// Urgency of its jobs; 0 is the most urgent.
    pub priority: u32,
    /// Failed runs after which a task fails.
    pub max_attempts: u32,
    /// Factor on the duration of the work: an answer is due within this many times it, plus `allowance`.
    pub stretch: f64,
}

/// Targets of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: String,
}

/// Limits on a client's connection.
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
    /// Returns the route of a request: of those for its host, the one with the longest prefix of its path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.iter();
        routes
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}
