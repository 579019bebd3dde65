//! Limits of what a process holds for its clients.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use cloverfold_leased_settings::LeasedGuardSettings;
use cloverfold_settings::{SettingsError, parse_settings};

const MIB: usize = 1024 * 1024;

/// Parses settings of a guard with these settings of clients.
fn guard_with(clients: &str) -> Result<LeasedGuardSettings, SettingsError> {
    let text = format!(
        r#"{{ "peer": {{ "name": "guard-1", "hall": "a", "ip": "127.0.0.21", "port": 7400,
            "seeds": ["127.0.0.1:1"] }}, "clients": {clients},
            "registration_address": "127.0.0.21:8300", "drain_ms": 2000 }}"#
    );
    parse_settings(Path::new("guard.jsonc"), &text)
}

/// Fails if a process without these settings has no limits, or not those of its role.
#[test]
fn each_limit_has_a_default() {
    let limits = guard_with("{}").unwrap().client_limits();

    assert_eq!(limits.bytes, 16 * MIB);
    assert!((1..=2_048).contains(&limits.connections), "{limits:?}");
}

/// Fails if a set limit does not apply.
#[test]
fn set_limits_apply() {
    let settings = guard_with(r#"{ "max_connections": 20, "memory_mb": 12 }"#).unwrap();

    let limits = settings.client_limits();

    assert_eq!((limits.connections, limits.bytes), (20, 12 * MIB));
}

/// Fails if a limit is accepted with which a process could serve nobody.
#[test]
fn limits_out_of_range_are_rejected() {
    let cases = [
        (
            r#"{ "max_connections": 15 }"#,
            "clients.max_connections: must be at least 16",
        ),
        (
            r#"{ "memory_mb": 7 }"#,
            "clients.memory_mb: must be from 8 to 16384",
        ),
        (
            r#"{ "memory_mb": 20000 }"#,
            "clients.memory_mb: must be from 8 to 16384",
        ),
    ];

    for (clients, expected) in cases {
        let error = guard_with(clients).unwrap_err().to_string();

        assert!(error.contains(expected), "{error}");
    }
}
