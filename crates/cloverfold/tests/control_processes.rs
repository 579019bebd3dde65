//! Three control processes that are killed or paused, lose a disk, or find a torn log.

#![allow(clippy::unwrap_used)]

mod programs;

use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};

use programs::addresses::BOXES;
use programs::{Addresses, CLOVERFOLD, Program, empty_configuration, run_command, wait_until};
use rustix::process::Signal;
use serde_json::Value;

/// Control processes, one on each box.
const CONTROLS: usize = BOXES;
/// Offset of the operator port from the peer port.
const OPERATOR_OFFSET: u16 = 1;
/// Log lines of each process that a failed test prints.
const SHOWN_LINES: usize = 40;

/// A group of control processes that tolerates the loss of one.
struct Group {
    folder: tempfile::TempDir,
    addresses: Addresses,
    running: [Option<Program>; CONTROLS],
    backups: AtomicU32,
}

impl Group {
    fn start() -> Self {
        static NEXT_BLOCK: AtomicU8 = AtomicU8::new(100);
        let block = NEXT_BLOCK.fetch_add(1, Ordering::Relaxed);
        let mut group = Self {
            folder: tempfile::tempdir().unwrap(),
            addresses: Addresses::for_block(block),
            running: [None, None, None],
            backups: AtomicU32::new(0),
        };
        for index in 0..CONTROLS {
            group.start_control(index, true);
        }
        group
    }

    fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("data-{index}"))
    }

    fn operator_address(&self, index: usize) -> String {
        self.addresses.address(index, OPERATOR_OFFSET).to_string()
    }

    fn start_control(&mut self, index: usize, may_found: bool) {
        let name = format!("control-{index}");
        let peer = self.addresses.peer_settings(&name, index, &[0, 1, 2]);
        let operator = self.operator_address(index);
        let data = self.data_folder(index);
        let data = data.display();
        let text = format!(
            r#"{{ {peer}, "operator_address": "{operator}", "data_folder": "{data}", "may_found": {may_found}, "tolerated_losses": 1, "log": {{ "stream": "stdout", "lines_per_second": 500 }} }}"#
        );
        let file = self.folder.path().join(format!("control-{index}.jsonc"));
        std::fs::write(&file, text).unwrap();
        self.running[index] = Some(Program::start(CLOVERFOLD, &["control"], &file));
    }

    fn kill(&mut self, index: usize) {
        self.running[index] = None;
    }

    fn signal(&self, index: usize, signal: Signal) {
        self.running[index].as_ref().unwrap().signal(signal);
    }

    /// Waits until a process has the log of a group of kept jobs, which may be created after the first acknowledged configuration.
    fn wait_for_kept_jobs(&self, index: usize) {
        let process = self.running[index].as_ref().unwrap();
        process.wait_for_line("bootstrapping a group of kept jobs");
    }

    /// Sends a configuration to one process until the process acknowledges it.
    fn restore_until_acknowledged(&self, index: usize, version: u64) {
        let file = self.folder.path().join(format!("version-{version}.json"));
        std::fs::write(&file, empty_configuration(version)).unwrap();
        let at = self.operator_address(index);
        wait_until("an acknowledgement", || {
            let answer = run_command(&[
                "configuration",
                "--at",
                &at,
                "restore",
                file.to_str().unwrap(),
            ]);
            answer.status.success().then_some(())
        });
    }

    /// Reads the configuration at one process. Returns `None` if the process cannot prove that it has the newest one.
    fn read_configuration(&self, index: usize) -> Option<String> {
        let number = self.backups.fetch_add(1, Ordering::Relaxed);
        let file = self.folder.path().join(format!("backup-{number}.json"));
        let at = self.operator_address(index);
        let answer = run_command(&[
            "configuration",
            "--at",
            &at,
            "backup",
            file.to_str().unwrap(),
        ]);
        answer
            .status
            .success()
            .then(|| std::fs::read_to_string(&file).unwrap())
    }

    /// Waits for a successful read at a process; the first one must return this version.
    fn expect_version(&self, index: usize, version: u64) {
        let found = wait_until("a read", || self.read_configuration(index));
        assert_eq!(
            found,
            empty_configuration(version),
            "a read never returns an older version"
        );
    }

    /// Sends an evacuation order to one process until the process acknowledges it.
    fn order_evacuation(&self, index: usize, action: &str, hall: &str) {
        let at = self.operator_address(index);
        wait_until("an acknowledged order", || {
            let answer = run_command(&["evacuation", "--at", &at, action, hall]);
            answer.status.success().then_some(())
        });
    }

    /// Waits until a process lists the evacuations, and returns the data halls.
    fn evacuated_halls(&self, index: usize) -> Vec<String> {
        let at = self.operator_address(index);
        let listed = wait_until("a list", || {
            let answer = run_command(&["evacuation", "--at", &at, "list"]);
            serde_json::from_slice::<Value>(&answer.stdout).ok()
        });
        let halls = listed["halls"].as_array().unwrap().iter();
        halls
            .map(|hall| hall["hall"].as_str().unwrap().into())
            .collect()
    }

    fn find_leader(&self) -> usize {
        wait_until("a leader", || {
            (0..CONTROLS).find(|&index| {
                let at = self.operator_address(index);
                let answer = run_command(&["configuration", "--at", &at, "status"]);
                let status = serde_json::from_slice::<Value>(&answer.stdout);
                status.is_ok_and(|status| status["role"] == "leader")
            })
        })
    }
}

/// Prints the last log lines of each process if the test failed.
impl Drop for Group {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for index in 0..CONTROLS {
            let file = self.folder.path().join(format!("control-{index}.log"));
            let log = std::fs::read_to_string(file).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            for line in &lines[lines.len().saturating_sub(SHOWN_LINES)..] {
                eprintln!("control-{index}: {line}");
            }
        }
    }
}

#[test]
fn a_paused_leader_is_replaced_and_serves_no_stale_read_after_it_resumes() {
    let group = Group::start();
    group.restore_until_acknowledged(0, 3);
    let leader = group.find_leader();
    let other = (leader + 1) % CONTROLS;

    group.signal(leader, Signal::STOP);
    group.restore_until_acknowledged(other, 4);
    group.signal(leader, Signal::CONT);

    group.expect_version(leader, 4);
    group.expect_version(other, 4);
}

#[test]
fn a_configuration_whose_answer_was_lost_with_the_leader_is_acknowledged_on_retry() {
    let mut group = Group::start();
    group.restore_until_acknowledged(0, 3);
    for version in 4..8 {
        let leader = group.find_leader();
        let file = group
            .folder
            .path()
            .join(format!("interrupted-{version}.json"));
        std::fs::write(&file, empty_configuration(version)).unwrap();
        let restore = Program::start(
            CLOVERFOLD,
            &[
                "configuration",
                "--at",
                &group.operator_address(leader),
                "restore",
            ],
            &file,
        );
        group.kill(leader);
        drop(restore);

        group.restore_until_acknowledged((leader + 1) % CONTROLS, version);
        group.start_control(leader, false);

        group.expect_version(leader, version);
    }
}

#[test]
fn an_acknowledged_configuration_survives_the_kill_of_all_processes_and_the_loss_of_one_disk() {
    let mut group = Group::start();
    group.restore_until_acknowledged(0, 3);
    let leader = group.find_leader();
    group.restore_until_acknowledged(leader, 4);
    for index in 0..CONTROLS {
        group.kill(index);
    }
    std::fs::remove_dir_all(group.data_folder(leader)).unwrap();

    for index in 0..CONTROLS {
        group.start_control(index, false);
    }

    for index in 0..CONTROLS {
        group.expect_version(index, 4);
    }
    group.restore_until_acknowledged(leader, 5);
}

/// Appends a partial record to every file below a folder and returns the number of files.
fn append_partial_records(folder: &Path) -> usize {
    let mut file_count = 0;
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        if path.is_dir() {
            file_count += append_partial_records(&path);
            continue;
        }
        let mut file = std::fs::File::options().append(true).open(path).unwrap();
        file.write_all(&[0x17, 0, 0, 0, 0xde, 0xad]).unwrap();
        file_count += 1;
    }
    file_count
}

#[test]
fn a_torn_log_tail_is_truncated_at_startup() {
    let mut group = Group::start();
    group.restore_until_acknowledged(0, 3);
    let leader = group.find_leader();
    group.wait_for_kept_jobs(leader);
    group.kill(leader);
    let file_count = append_partial_records(&group.data_folder(leader));
    assert!(
        file_count >= 2,
        "the logs of the configuration and of a group of kept jobs"
    );
    group.restore_until_acknowledged((leader + 1) % CONTROLS, 4);

    group.start_control(leader, false);

    group.expect_version(leader, 4);
    group.restore_until_acknowledged(leader, 5);
}

#[test]
fn evacuations_survive_the_kill_of_all_processes_and_the_loss_of_one_disk() {
    let mut group = Group::start();
    group.restore_until_acknowledged(0, 3);
    let leader = group.find_leader();
    group.order_evacuation(leader, "start", "hall-a");
    group.order_evacuation((leader + 1) % CONTROLS, "start", "hall-b");
    group.order_evacuation((leader + 2) % CONTROLS, "end", "hall-a");
    for index in 0..CONTROLS {
        group.kill(index);
    }
    std::fs::remove_dir_all(group.data_folder(leader)).unwrap();

    for index in 0..CONTROLS {
        group.start_control(index, false);
    }

    for index in 0..CONTROLS {
        assert_eq!(group.evacuated_halls(index), ["hall-b"]);
    }
}

#[test]
fn an_evacuation_of_an_invalid_hall_name_is_rejected_with_the_reason() {
    let group = Group::start();
    group.restore_until_acknowledged(0, 3);

    let answer = run_command(&[
        "evacuation",
        "--at",
        &group.operator_address(0),
        "start",
        "no/hall",
    ]);

    assert!(!answer.status.success());
    let message = String::from_utf8_lossy(&answer.stderr).into_owned();
    assert!(
        message.contains("400") && message.contains("1 to 128 letters"),
        "{message}"
    );
}
