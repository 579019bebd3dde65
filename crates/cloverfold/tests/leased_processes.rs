//! The programs of a leased installation as an operator starts, asks, reloads and stops them.

#![allow(clippy::unwrap_used)]

mod programs;

use std::net::{Ipv4Addr, TcpListener};
use std::path::PathBuf;

use programs::{CLOVERFOLD, GUARD, Program, run, wait_until};
use rustix::process::Signal;
use serde_json::Value;

const CONFIGURATION: &str = r#"{"Version":3,"Routes":[],"Services":[],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

struct Place {
    folder: tempfile::TempDir,
    ip: [Ipv4Addr; 3],
    port: u16,
}

impl Place {
    fn new() -> Self {
        let block = 1 + (std::process::id() % 200) as u8;
        let ip = [1, 2, 3].map(|last| Ipv4Addr::new(127, block, 200, last));
        let probe = TcpListener::bind((ip[0], 0)).unwrap();
        let port = probe.local_addr().unwrap().port().min(u16::MAX - 10);
        Self {
            folder: tempfile::tempdir().unwrap(),
            ip,
            port,
        }
    }

    fn peer(&self, name: &str, index: usize) -> String {
        let (own, seed, port) = (self.ip[index], self.ip[0], self.port);
        let metrics = port + 3;
        format!(
            r#""peer": {{ "name": "{name}", "hall": "a", "ip": "{own}", "port": {port}, "seeds": ["{seed}:1"], "metrics_port": {metrics} }}"#
        )
    }

    fn address(&self, index: usize, offset: u16) -> String {
        format!("{}:{}", self.ip[index], self.port + offset)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.folder.path().join(name);
        std::fs::write(&file, text).unwrap();
        file
    }

    fn control_settings(&self) -> String {
        let (peer, operators) = (self.peer("control-1", 0), self.address(0, 1));
        let data = self.folder.path().join("data");
        let data = data.display();
        format!(
            r#"{{ {peer}, "operator_address": "{operators}", "data_folder": "{data}", "may_found": true, "tolerated_losses": 0, "log": {{ "stream": "stdout", "lines_per_second": 500 }} }}"#
        )
    }

    fn entry_settings(&self) -> String {
        let peer = self.peer("entry-1", 1);
        let (clients, ready) = (self.address(1, 1), self.address(1, 2));
        format!(
            r#"{{ {peer}, "client_address": "{clients}", "ready_address": "{ready}", "linger_ms": 50, "drain_ms": 2000, "log": {{ "stream": "stdout", "lines_per_second": 500 }} }}"#
        )
    }

    fn guard_settings(&self) -> String {
        let (peer, registration) = (self.peer("guard-1", 2), self.address(2, 1));
        format!(
            r#"{{ {peer}, "registration_address": "{registration}", "drain_ms": 2000, "log": {{ "stream": "stdout", "lines_per_second": 500 }} }}"#
        )
    }
}

#[test]
fn an_installation_is_started_configured_asked_reloaded_and_stopped() {
    let place = Place::new();
    let settings = place.write("control.jsonc", &place.control_settings());
    let control = Program::start(CLOVERFOLD, &["control"], &settings);
    let entry_file = place.write("entry.jsonc", &place.entry_settings());
    let entry = Program::start(CLOVERFOLD, &["leased-entry"], &entry_file);
    let guard_file = place.write("guard.jsonc", &place.guard_settings());
    let guard = Program::start(GUARD, &["--leased"], &guard_file);
    let saved = place.write("saved.json", CONFIGURATION);
    let at = place.address(0, 1);
    let ask = |action: &[&str]| run(&[&["configuration", "--at", &at], action].concat());

    wait_until("an acknowledged configuration", || {
        let answer = ask(&["restore", saved.to_str().unwrap()]);
        answer.status.success().then_some(())
    });
    entry.wait_for_line("a configuration is in force");
    guard.wait_for_line("a configuration is kept");

    let status = wait_until("the version at each process", || {
        let answer = ask(&["status"]);
        let status: Value = serde_json::from_slice(&answer.stdout).ok()?;
        let processes = status["processes"].as_array()?;
        let holds = |name: &str| {
            processes
                .iter()
                .any(|p| p["name"] == name && p["version"] == 3)
        };
        (holds("entry-1") && holds("guard-1")).then_some(status)
    });
    assert_eq!(status["role"], "leader");
    let audit: Value = serde_json::from_slice(&ask(&["audit"]).stdout).unwrap();
    assert_eq!(audit["audit"][0]["outcome"], "taken");
    let backup = place.folder.path().join("backup.json");
    assert!(ask(&["backup", backup.to_str().unwrap()]).status.success());
    assert_eq!(std::fs::read_to_string(&backup).unwrap(), CONFIGURATION);
    let again = ask(&["backup", backup.to_str().unwrap()]);
    assert!(!again.status.success(), "a backup overwrites nothing");

    std::fs::write(&entry_file, place.entry_settings().replace("entry-1", "")).unwrap();
    let fault = entry.wait_for_line("changed settings are not taken");
    assert!(
        fault["message"]
            .as_str()
            .unwrap()
            .contains("peer.name: must not be empty")
    );
    std::fs::write(&entry_file, place.entry_settings()).unwrap();
    entry.signal(Signal::HUP);
    entry.wait_for_line("settings are read anew");

    assert_eq!(entry.stop(), Some(0));
    assert_eq!(guard.stop(), Some(0));
    assert_eq!(control.stop(), Some(0));
}

#[test]
fn wrong_settings_are_refused_with_file_line_field_and_mend_and_nothing_else() {
    let place = Place::new();
    let text = place
        .control_settings()
        .replace("\"tolerated_losses\": 0", "\"tolerated_losses\": 9");
    let settings = place.write("control.jsonc", &text);
    let file = settings.to_str().unwrap();
    for arguments in [["control", file], ["check", file]] {
        let output = run(&arguments);
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1));
        assert!(
            error.contains("control.jsonc:1: tolerated_losses: must be at most 4"),
            "{error}"
        );
        assert_eq!(error.lines().count(), 1, "no place in the code: {error}");
    }
}

#[test]
fn an_address_that_is_taken_is_named_with_its_setting() {
    let place = Place::new();
    let _taken = TcpListener::bind((place.ip[1], place.port + 1)).unwrap();
    let settings = place.write("entry.jsonc", &place.entry_settings());

    let output = run(&["leased-entry", settings.to_str().unwrap()]);

    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("client_address 127."), "{error}");
    assert!(
        error.contains("free the address or change the setting"),
        "{error}"
    );
}
