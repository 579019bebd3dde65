//! Jobs that have not begun and are not counted as pending.
//!
//! One executor of twelve is of kind `b` and full for a second. Jobs that may run on kind `b` alone are accepted and wait. The executor turns
//! unhealthy and answers starts with 503, so that none of their tasks begins. The queue's count of pending jobs leaves them out all the same.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::executor::unix_ms;
use crate::installation::{Installation, Record, RunLine, configuration, wait_until};
use crate::json::Json;

const CONTROLS: u8 = 3;
const ENTRIES: u8 = 2;
const EXECUTORS: u8 = 12;
const JOBS: u64 = 8;
const BODY: &str = r#"{"Spec":"100/1600","Steps":[{"Count":1,"Cpu":1600,"MemMb":64,"EstDurationMs":100,"Constraints":"b"}]}"#;
/// Fills the executor of kind `b` while the jobs are handed in.
const FILLER: &str = r#"{"Spec":"1000/16000","Steps":[{"Count":1,"Cpu":16000,"MemMb":64,"EstDurationMs":1000,"Constraints":"b"}]}"#;
const CLIENT_LIMIT: Duration = Duration::from_millis(1_500);
/// `for_s` of `srv_grey` in the site file.
const UNHEALTHY: Duration = Duration::from_millis(6_500);
/// `visible_ms` and 2 s.
const COUNTED_AFTER_MS: u64 = 5_000;
/// Asked this often between [`COUNTED_AFTER_MS`] and the end of the disruption.
const ASKED: Duration = Duration::from_millis(200);

pub fn run(root: &Path, record: &mut Record, has_trouble: bool) -> Result<bool, String> {
    let mut system = Installation::new(root, CONTROLS)?;
    for control in 1..=CONTROLS {
        system.start_control(control, true)?;
    }
    for entry in 1..=ENTRIES {
        system.start_entry(entry)?;
    }
    for side in 1..=EXECUTORS {
        system.start_guard(side)?;
        let kind = if side == EXECUTORS { "b" } else { "a" };
        system.start_executor(side, &[kind, "r1-1"])?;
    }
    system.configure(&configuration(1))?;
    for entry in 1..=ENTRIES {
        system.wait_ready(entry, Duration::from_secs(20))?;
    }
    // Traffic starts 10 s after the machines do.
    thread::sleep(Duration::from_secs(8));
    let limit = Duration::from_secs(10);
    wait_until("a first job to be accepted", limit, || {
        let answer = system.client(1, "POST", "000000000000f001", BODY, CLIENT_LIMIT);
        answer.is_ok_and(|reply| reply.status == 200).then_some(())
    })?;
    wait_until("a first job to be completed", limit, || {
        let answer = system.client(1, "GET", "000000000000f001", "", CLIENT_LIMIT);
        answer
            .is_ok_and(|reply| reply.body.contains("completed"))
            .then_some(())
    })?;

    let filler = system.client(1, "POST", "000000000000f002", FILLER, CLIENT_LIMIT);
    record.note(
        unix_ms(),
        &format!(
            "POST 000000000000f002 at entry 1, fills the executor of kind b for 1 s: {filler:?}"
        ),
    );
    wait_until("the executor of kind b to be full", limit, || {
        let lines = system.executor_lines();
        let is_full = |line: &RunLine| line.is_start && line.job() == "000000000000f002";
        lines.iter().any(is_full).then_some(())
    })?;
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let id = format!("{:016x}", 0x1000 + number);
        let entry = 1 + (number % u64::from(ENTRIES)) as u8;
        let answer = system.client(entry, "POST", &id, BODY, CLIENT_LIMIT);
        record.note(
            unix_ms(),
            &format!("POST {id} at entry {entry}: {answer:?}"),
        );
        if answer.is_ok_and(|reply| reply.status == 200) {
            accepted.push((id, unix_ms()));
        }
    }
    let began_ms = unix_ms();
    if has_trouble {
        record.note(
            began_ms,
            "the executor of kind b (1 of 12) is unhealthy for 6.5 s",
        );
        system.make_unhealthy(EXECUTORS, UNHEALTHY)?;
    }
    if accepted.is_empty() {
        return Err("no job was accepted".into());
    }
    let mut is_broken = false;
    let until_ms = began_ms + UNHEALTHY.as_millis() as u64 - 100;
    while unix_ms() < until_ms {
        thread::sleep(ASKED);
        for entry in 1..=ENTRIES {
            let asked_ms = unix_ms();
            let answer = system.client(entry, "GET", "", "", CLIENT_LIMIT);
            let count = answer.as_ref().ok().filter(|reply| reply.status == 200);
            let count = count.and_then(|reply| Json::parse(&reply.body)?.number("Pending"));
            let lines = system.executor_lines();
            let has_begun = |id: &str| lines.iter().any(|line| line.is_start && line.job() == id);
            let waiting = accepted
                .iter()
                .filter(|(id, at_ms)| asked_ms > at_ms + COUNTED_AFTER_MS && !has_begun(id));
            let waiting = waiting.count() as u64;
            record.note(
                asked_ms,
                &format!("GET {} at entry {entry}: {answer:?}; accepted over 5 s before and not begun: {waiting}", crate::installation::PREFIX),
            );
            is_broken |= count.is_some_and(|count| 2 * count < waiting);
        }
    }
    for (id, _) in &accepted {
        let answer = system.client(1, "GET", id, "", CLIENT_LIMIT);
        record.note(unix_ms(), &format!("GET {id} at entry 1: {answer:?}"));
    }
    thread::sleep(Duration::from_secs(3));
    let lines = system.executor_lines();
    let ended = system.ended();
    record.note(
        unix_ms(),
        &format!("processes that ended by themselves: {ended:?}"),
    );
    record.note_runs(&lines);
    Ok(is_broken)
}
