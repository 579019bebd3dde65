//! The command `solo --serve` as a child process.

#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// Printed once the whole system runs.
const READY_LINE: &str = "try, and end with Ctrl-C:";

/// Starts the command and waits until it serves.
fn start_serving(arguments: &[&str]) -> Child {
    let mut solo = Command::new(env!("CARGO_BIN_EXE_cloverfold"))
        .args(["solo", "--serve"])
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let lines = BufReader::new(solo.stdout.as_mut().unwrap()).lines();
    let ready = lines.map_while(Result::ok).find(|line| line == READY_LINE);
    assert!(ready.is_some(), "the process exited before it was ready");
    solo
}

#[test]
fn solo_stops_as_planned_on_sigterm() {
    let mut solo = start_serving(&[]);

    kill_process(Pid::from_raw(solo.id() as i32).unwrap(), Signal::TERM).unwrap();

    assert_eq!(solo.wait().unwrap().code(), Some(0));
}

#[test]
fn a_leased_solo_serves_and_stops_as_planned_on_sigterm() {
    let mut solo = start_serving(&["--leased", "--guards", "2"]);

    kill_process(Pid::from_raw(solo.id() as i32).unwrap(), Signal::TERM).unwrap();

    assert_eq!(solo.wait().unwrap().code(), Some(0));
}

#[test]
fn a_leased_solo_without_serve_is_rejected() {
    let solo = Command::new(env!("CARGO_BIN_EXE_cloverfold"))
        .args(["solo", "--leased"])
        .output()
        .unwrap();

    let reason = String::from_utf8(solo.stderr).unwrap();
    assert_ne!(solo.status.code(), Some(0));
    assert!(reason.contains("--leased needs --serve"), "{reason}");
}
