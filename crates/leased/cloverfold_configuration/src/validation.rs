//! Decision: which configurations are valid.
//!
//! Rules: every route names a listed service and has a timeout above 0; no two routes serve the same host (without case) and path prefix.
//!
//! Inputs: the configuration alone, so that every control process decides alike.
//!
//! Reason: an operator gets every fault with the answer, and what is committed can be served.

use std::collections::BTreeSet;

use crate::configuration::{Configuration, Route};

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// The text is incomplete or not in its format.
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
    /// Two routes serve the same requests.
    #[error("routes {first} and {second}: both serve {host}{path_prefix}; change one")]
    DuplicateRoute {
        /// One route.
        first: String,
        /// The other.
        second: String,
        /// Their host.
        host: String,
        /// Their prefix.
        path_prefix: String,
    },
    /// A route allows no time for its requests.
    #[error("route {route}: its timeout is 0; give it at least a millisecond")]
    NoTimeout {
        /// The route.
        route: String,
    },
}

impl Configuration {
    /// Returns everything that makes the configuration invalid, in the order of its routes.
    pub fn validate(&self) -> Vec<ConfigurationError> {
        let services: BTreeSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut faults = Vec::new();
        for (index, route) in self.routes.iter().enumerate() {
            faults.extend(find_unknown_service(route, &services));
            faults.extend(find_missing_timeout(route));
            faults.extend(find_duplicate_route(route, &self.routes[..index]));
        }
        faults
    }
}

fn find_unknown_service(route: &Route, services: &BTreeSet<&str>) -> Option<ConfigurationError> {
    let is_listed = services.contains(route.service.as_str());
    (!is_listed).then(|| ConfigurationError::UnknownService {
        route: route.name.clone(),
        service: route.service.clone(),
    })
}

fn find_missing_timeout(route: &Route) -> Option<ConfigurationError> {
    let has_none = route.timeout.is_zero();
    has_none.then(|| ConfigurationError::NoTimeout {
        route: route.name.clone(),
    })
}

fn find_duplicate_route(route: &Route, earlier: &[Route]) -> Option<ConfigurationError> {
    let twin = earlier.iter().find(|other| {
        other.path_prefix == route.path_prefix && other.host.eq_ignore_ascii_case(&route.host)
    })?;
    Some(ConfigurationError::DuplicateRoute {
        first: twin.name.clone(),
        second: route.name.clone(),
        host: route.host.clone(),
        path_prefix: route.path_prefix.clone(),
    })
}
