//! The programs of a leased installation, started, queried, reloaded and stopped as an operator does.

#![allow(clippy::unwrap_used)]

mod programs;

use std::net::TcpListener;
use std::path::PathBuf;

use programs::{
    Addresses, CLOVERFOLD, GUARD, Program, empty_configuration, run_command, wait_until,
};
use rustix::process::Signal;
use serde_json::Value;

/// Block of addresses that the tests of this file share; the tests of control processes use the blocks from 100 on.
const ADDRESS_BLOCK: u8 = 200;
/// Offset of the operator, client or registration port from the peer port.
const SERVICE_PORT_OFFSET: u16 = 1;
/// Offset of an entry's readiness port from the peer port.
const READY_PORT_OFFSET: u16 = 2;
/// Version of the restored configuration.
const VERSION: u64 = 3;
/// Boxes of the three processes.
const CONTROL_BOX: usize = 0;
const ENTRY_BOX: usize = 1;
const GUARD_BOX: usize = 2;

/// The settings of an installation with one process of each kind.
struct Installation {
    folder: tempfile::TempDir,
    addresses: Addresses,
}

impl Installation {
    fn new() -> Self {
        Self {
            folder: tempfile::tempdir().unwrap(),
            addresses: Addresses::for_block(ADDRESS_BLOCK),
        }
    }

    fn peer(&self, name: &str, index: usize) -> String {
        self.addresses.peer_settings(name, index, &[CONTROL_BOX])
    }

    fn operator_address(&self) -> String {
        self.addresses
            .address(CONTROL_BOX, SERVICE_PORT_OFFSET)
            .to_string()
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.folder.path().join(name);
        std::fs::write(&file, text).unwrap();
        file
    }

    fn control_settings(&self) -> String {
        let peer = self.peer("control-1", CONTROL_BOX);
        let operators = self.operator_address();
        let data = self.folder.path().join("data");
        let data = data.display();
        format!(
            r#"{{ {peer}, "operator_address": "{operators}", "data_folder": "{data}", "may_found": true, "tolerated_losses": 0, "log": {{ "stream": "stdout", "lines_per_second": 500 }} }}"#
        )
    }

    fn entry_settings(&self) -> String {
        let peer = self.peer("entry-1", ENTRY_BOX);
        let clients = self.addresses.address(ENTRY_BOX, SERVICE_PORT_OFFSET);
        let ready = self.addresses.address(ENTRY_BOX, READY_PORT_OFFSET);
        format!(
            r#"{{ {peer}, "client_address": "{clients}", "ready_address": "{ready}", "linger_ms": 50, "drain_ms": 2000, "log": {{ "stream": "stdout", "lines_per_second": 500 }} }}"#
        )
    }

    fn guard_settings(&self) -> String {
        let peer = self.peer("guard-1", GUARD_BOX);
        let registration = self.addresses.address(GUARD_BOX, SERVICE_PORT_OFFSET);
        format!(
            r#"{{ {peer}, "registration_address": "{registration}", "drain_ms": 2000, "log": {{ "stream": "stdout", "lines_per_second": 500 }} }}"#
        )
    }
}

#[test]
fn an_installation_starts_takes_a_configuration_reloads_and_stops() {
    let installation = Installation::new();
    let settings = installation.write("control.jsonc", &installation.control_settings());
    let control = Program::start(CLOVERFOLD, &["control"], &settings);
    let entry_file = installation.write("entry.jsonc", &installation.entry_settings());
    let entry = Program::start(CLOVERFOLD, &["leased-entry"], &entry_file);
    let guard_file = installation.write("guard.jsonc", &installation.guard_settings());
    let guard = Program::start(GUARD, &["--leased"], &guard_file);
    let saved = installation.write("saved.json", &empty_configuration(VERSION));
    let at = installation.operator_address();
    let run_configuration =
        |action: &[&str]| run_command(&[&["configuration", "--at", &at], action].concat());

    wait_until("an acknowledged configuration", || {
        let answer = run_configuration(&["restore", saved.to_str().unwrap()]);
        answer.status.success().then_some(())
    });
    entry.wait_for_line("configuration in force");
    guard.wait_for_line("configuration copy updated");

    let status = wait_until("the version at each process", || {
        let answer = run_configuration(&["status"]);
        let status: Value = serde_json::from_slice(&answer.stdout).ok()?;
        let processes = status["processes"].as_array()?;
        let has_version = |name: &str| {
            processes
                .iter()
                .any(|p| p["name"] == name && p["version"] == VERSION)
        };
        (has_version("entry-1") && has_version("guard-1")).then_some(status)
    });
    assert_eq!(status["role"], "leader");
    let audit: Value = serde_json::from_slice(&run_configuration(&["audit"]).stdout).unwrap();
    assert_eq!(audit["audit"][0]["outcome"], "taken");
    let backup = installation.folder.path().join("backup.json");
    assert!(
        run_configuration(&["backup", backup.to_str().unwrap()])
            .status
            .success()
    );
    assert_eq!(
        std::fs::read_to_string(&backup).unwrap(),
        empty_configuration(VERSION)
    );
    let again = run_configuration(&["backup", backup.to_str().unwrap()]);
    assert!(!again.status.success(), "a backup overwrites nothing");

    std::fs::write(
        &entry_file,
        installation.entry_settings().replace("entry-1", ""),
    )
    .unwrap();
    let rejection = entry.wait_for_line("changed settings rejected");
    assert!(
        rejection["message"]
            .as_str()
            .unwrap()
            .contains("peer.name: must not be empty")
    );
    std::fs::write(&entry_file, installation.entry_settings()).unwrap();
    entry.signal(Signal::HUP);
    entry.wait_for_line("settings reloaded");

    assert_eq!(entry.stop(), Some(0));
    assert_eq!(guard.stop(), Some(0));
    assert_eq!(control.stop(), Some(0));
}

#[test]
fn invalid_settings_are_reported_in_one_line_with_file_line_field_and_remedy() {
    let installation = Installation::new();
    let text = installation
        .control_settings()
        .replace("\"tolerated_losses\": 0", "\"tolerated_losses\": 9");
    let settings = installation.write("control.jsonc", &text);
    let file = settings.to_str().unwrap();
    for arguments in [["control", file], ["check", file]] {
        let output = run_command(&arguments);
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1));
        assert!(
            error.contains("control.jsonc:1: tolerated_losses: must be at most 4"),
            "{error}"
        );
        assert_eq!(error.lines().count(), 1, "no source location: {error}");
    }
}

#[test]
fn an_address_in_use_is_reported_with_its_setting() {
    let installation = Installation::new();
    let _listener = TcpListener::bind(
        installation
            .addresses
            .address(ENTRY_BOX, SERVICE_PORT_OFFSET),
    )
    .unwrap();
    let settings = installation.write("entry.jsonc", &installation.entry_settings());

    let output = run_command(&["leased-entry", settings.to_str().unwrap()]);

    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("client_address 127."), "{error}");
    assert!(
        error.contains("free the address or change the setting"),
        "{error}"
    );
}
