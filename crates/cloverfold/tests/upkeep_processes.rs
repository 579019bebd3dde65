//! A wave of upkeep by three control processes, whose lease holder is paused between two calls.

#![allow(clippy::unwrap_used)]

#[path = "../../../platform/tests/stand_ins/boxes.rs"]
#[allow(dead_code)]
mod boxes;
mod programs;

use std::path::Path;
use std::time::Duration;

use boxes::{FakeBoxApi, RecordedCall};
use programs::{Addresses, CLOVERFOLD, Program, run_command, wait_until};
use rustix::process::Signal;
use serde_json::Value;

const MAINTENANCE: Duration = Duration::from_millis(300);
const LEASE: Duration = Duration::from_millis(600);
/// Offset of the operator port from the peer port.
const OPERATOR_OFFSET: u16 = 1;

/// Block of addresses that no other test file uses.
const ADDRESS_BLOCK: u8 = 180;

struct Group {
    addresses: Addresses,
    running: Vec<Program>,
}

impl Group {
    fn start(folder: &Path, boxes: &FakeBoxApi) -> Self {
        let addresses = Addresses::for_block(ADDRESS_BLOCK);
        let start = |index| {
            let name = format!("control-{index}");
            let peer = addresses.peer_settings(&name, index, &[0, 1, 2]);
            let operator = addresses.address(index, OPERATOR_OFFSET);
            let data = folder.join(format!("data-{index}"));
            let upkeep = format!(
                r#"{{ "address": "{}", "calls_per_second": 200, "readings_per_second": 500, "maintenance_s": 0.3, "lease_ms": 600, "thaw_ms": 100, "list_lag_s": 0.3, "empty_ms": 100 }}"#,
                boxes.address()
            );
            let text = format!(
                r#"{{ {peer}, "operator_address": "{operator}", "data_folder": "{}", "may_found": true, "tolerated_losses": 1, "upkeep": {upkeep}, "log": {{ "stream": "stdout", "lines_per_second": 500 }} }}"#,
                data.display()
            );
            let file = folder.join(format!("control-{index}.jsonc"));
            std::fs::write(&file, text).unwrap();
            Program::start(CLOVERFOLD, &["control"], &file)
        };
        let running = (0..3).map(start).collect();
        Self { addresses, running }
    }

    /// Runs `cloverfold upkeep` with the addresses of all control processes until it succeeds, and returns its output.
    fn run_upkeep(&self, arguments: &[&str]) -> String {
        let operators = (0..3).map(|index| self.addresses.address(index, OPERATOR_OFFSET));
        let operators: Vec<String> = operators.map(|at| at.to_string()).collect();
        let mut arguments_with_addresses = vec!["upkeep"];
        for operator in &operators {
            arguments_with_addresses.extend(["--at", operator]);
        }
        arguments_with_addresses.extend(arguments);
        wait_until("an answer", || {
            let output = run_command(&arguments_with_addresses);
            let text = String::from_utf8(output.stdout).unwrap();
            output.status.success().then_some(text)
        })
    }

    fn state_of_wave(&self, wave: &str) -> Value {
        let text = self.run_upkeep(&["status", wave]);
        let shown: Value = serde_json::from_str(&text).unwrap();
        shown["state"].clone()
    }
}

fn wait_for_first_call(boxes: &FakeBoxApi) -> RecordedCall {
    wait_until("the first call", || boxes.state().calls.first().cloned())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_lease_holder_is_replaced_and_makes_no_conflicting_calls() {
    let names: Vec<String> = (0..4).map(|index| format!("box-{index}")).collect();
    let boxes = FakeBoxApi::start(&names, MAINTENANCE, Duration::from_millis(200)).await;
    let folder = tempfile::tempdir().unwrap();
    let group = Group::start(folder.path(), &boxes);
    let mut order = vec!["start", "7", "--most-down", "1", "--span-s", "5"];
    order.extend(names.iter().map(String::as_str));
    group.run_upkeep(&order);
    let first = wait_for_first_call(&boxes);
    let holder: usize = first
        .holder
        .strip_prefix("control-")
        .unwrap()
        .parse()
        .unwrap();

    group.running[holder].signal(Signal::STOP);
    wait_until("the next holder", || {
        let state = boxes.state();
        let mut calls = state.calls.iter();
        calls.any(|call| call.holder != first.holder).then_some(())
    });
    group.running[holder].signal(Signal::CONT);

    wait_until("the end of the wave", || {
        (group.state_of_wave("7") == "completed").then_some(())
    });
    assert_eq!(boxes.count_begun(7), 4);
    assert_eq!(boxes.state().most_down[&7], 1);
    boxes.assert_no_conflicting_calls(LEASE);
    // Orders are idempotent: a repeated order is acknowledged and has no effect.
    group.run_upkeep(&order);
    assert_eq!(boxes.count_begun(7), 4);
}
