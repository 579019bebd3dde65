//! Tests of validation and routing.

use std::time::Duration;

use cloverfold_configuration::{Configuration, ConfigurationError, Route, Service, TrafficLimits};

fn route(name: &str, path_prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "jobs.example".into(),
        path_prefix: path_prefix.into(),
        service: "render".into(),
        timeout: Duration::from_secs(1),
        allowance: Duration::from_millis(10),
        priority: 0,
        max_attempts: 3,
        stretch: 1.5,
    }
}

fn configuration(routes: Vec<Route>) -> Configuration {
    Configuration {
        version: 1,
        routes,
        services: vec![Service {
            name: "render".into(),
        }],
        limits: TrafficLimits {
            header_bytes: 8_192,
            body_bytes: 65_536,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(10),
        },
    }
}

#[test]
fn a_valid_configuration_has_no_errors() {
    let configuration = configuration(vec![route("all", "/"), route("images", "/images")]);

    assert!(configuration.validate().is_empty());
}

#[test]
fn all_errors_are_reported_in_the_order_of_the_routes() {
    let unlisted = Route {
        service: "print".into(),
        timeout: Duration::ZERO,
        ..route("a", "/a")
    };
    let first = route("b", "/b");
    let second = Route {
        host: "JOBS.example".into(),
        ..route("c", "/b")
    };

    let errors = configuration(vec![unlisted, first, second]).validate();

    let expected = [
        ConfigurationError::UnknownService {
            route: "a".into(),
            service: "print".into(),
        },
        ConfigurationError::ZeroTimeout { route: "a".into() },
        ConfigurationError::DuplicateRoute {
            first: "b".into(),
            second: "c".into(),
            host: "JOBS.example".into(),
            path_prefix: "/b".into(),
        },
    ];
    assert_eq!(errors, expected);
}

#[test]
fn a_request_is_routed_by_host_and_longest_path_prefix() {
    let configuration = configuration(vec![route("all", "/"), route("images", "/images")]);
    let find = |host, path| {
        configuration
            .find_route(host, path)
            .map(|r| r.name.as_str())
    };

    assert_eq!(find("Jobs.Example", "/images/1"), Some("images"));
    assert_eq!(find("jobs.example", "/other"), Some("all"));
    assert_eq!(find("other.example", "/images/1"), None);
}
