//! The address on which a process listens, and the one by which others reach it.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use cloverfold_leased_settings::LeasedGuardSettings;
use cloverfold_settings::parse_settings;

/// Parses settings of a guard with an additional setting in `peer`.
fn guard_with(peer_setting: &str) -> LeasedGuardSettings {
    let text = format!(
        r#"{{ "peer": {{ "name": "guard-1", "hall": "a", "ip": "127.0.0.21", "port": 7400, {peer_setting}
            "seeds": ["127.0.0.1:1"] }}, "registration_address": "127.0.0.21:8300", "drain_ms": 2000 }}"#
    );
    parse_settings(Path::new("guard.jsonc"), &text).unwrap()
}

#[test]
fn a_process_listens_on_its_own_address_by_default() {
    let settings = guard_with("");

    assert_eq!(settings.peer.listen_address(), settings.peer.address());
}

#[test]
fn a_process_behind_a_relay_listens_on_a_different_address() {
    let settings = guard_with(r#""listen_ip": "127.0.1.21","#);

    assert_eq!(
        settings.peer.listen_address(),
        "127.0.1.21:7400".parse().unwrap()
    );
    assert_eq!(settings.peer.address(), "127.0.0.21:7400".parse().unwrap());
}
