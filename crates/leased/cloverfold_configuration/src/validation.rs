//! Validation of configurations.
//!
//! Every route must name a listed service and have a non-zero timeout, and no two routes may have the same host (compared
//! case-insensitively) and path prefix. Validation depends only on the configuration, so that every control process comes to the same
//! result, and reports all errors at once.

use std::collections::BTreeSet;

use crate::configuration::{Configuration, Route};

/// An error in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// The text cannot be decoded.
    #[error("{field}: cannot be read: {cause}")]
    Unreadable {
        /// Path of the invalid field; empty for the whole text.
        field: String,
        /// The cause.
        cause: String,
    },
    /// A route names a service that is not listed.
    #[error("route {route}: service {service} is not listed; add it or name another")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// Two routes match the same requests.
    #[error("routes {first} and {second}: both serve {host}{path_prefix}; change one")]
    DuplicateRoute {
        /// Name of the earlier route.
        first: String,
        /// Name of the later route.
        second: String,
        /// Host of the later route.
        host: String,
        /// Path prefix of both routes.
        path_prefix: String,
    },
    /// The timeout of a route is zero.
    #[error("route {route}: its timeout is 0; give it at least a millisecond")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
}

impl Configuration {
    /// Returns all errors in the configuration, in the order of its routes.
    pub fn validate(&self) -> Vec<ConfigurationError> {
        let services: BTreeSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut errors = Vec::new();
        for (index, route) in self.routes.iter().enumerate() {
            errors.extend(check_service(route, &services));
            errors.extend(check_timeout(route));
            errors.extend(check_unique(route, &self.routes[..index]));
        }
        errors
    }
}

fn check_service(route: &Route, services: &BTreeSet<&str>) -> Option<ConfigurationError> {
    let is_listed = services.contains(route.service.as_str());
    (!is_listed).then(|| ConfigurationError::UnknownService {
        route: route.name.clone(),
        service: route.service.clone(),
    })
}

fn check_timeout(route: &Route) -> Option<ConfigurationError> {
    let is_zero = route.timeout.is_zero();
    is_zero.then(|| ConfigurationError::ZeroTimeout {
        route: route.name.clone(),
    })
}

fn check_unique(route: &Route, earlier: &[Route]) -> Option<ConfigurationError> {
    let duplicate = earlier.iter().find(|other| {
        other.path_prefix == route.path_prefix && other.host.eq_ignore_ascii_case(&route.host)
    })?;
    Some(ConfigurationError::DuplicateRoute {
        first: duplicate.name.clone(),
        second: route.name.clone(),
        host: route.host.clone(),
        path_prefix: route.path_prefix.clone(),
    })
}
