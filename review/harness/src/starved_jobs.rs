//! Accepted jobs that never start, because jobs of another kind wait for an executor that was lost for good.
//!
//! Eight executors, one of them of kind `b`. A client hands in jobs that may run on kind `b` alone; then that executor is lost for good.
//! Later another client hands in ordinary jobs, which any of the other seven executors could run at once.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::executor::{CAPACITY_CPU, unix_ms};
use crate::installation::{Installation, Record, RunLine, configuration, wait_until};

const CONTROLS: u8 = 3;
const ENTRIES: u8 = 2;
const EXECUTORS: u8 = 8;
/// Jobs for kind `b`: two tasks each, one after the other, of 150 ms.
const BOUND_JOBS: u64 = 24;
const BOUND_BODY: &str = r#"{"Spec":"150/16000","Steps":[{"Count":2,"Cpu":16000,"MemMb":256,"EstDurationMs":150,"Constraints":"b","AntiAffinity":1}]}"#;
/// Jobs for any executor: two tasks of 100 ms each.
const FREE_JOBS: u64 = 10;
const FREE_BODY: &str =
    r#"{"Spec":"100/1600","Steps":[{"Count":2,"Cpu":1600,"MemMb":64,"EstDurationMs":100}]}"#;
/// The rule gives a job 3 s without anything running.
const LONGEST_IDLE_MS: u64 = 3_000;
/// `finish_s` of the pages.
const FINISH: Duration = Duration::from_secs(14);
const CLIENT_LIMIT: Duration = Duration::from_millis(1_500);

struct Sent {
    id: String,
    entry: u8,
    accepted_ms: Option<u64>,
}

fn send_all(
    system: &Installation,
    record: &mut Record,
    entry: u8,
    first: u64,
    count: u64,
    body: &str,
) -> Vec<Sent> {
    let mut sent = Vec::new();
    for number in first..first + count {
        let id = format!("{number:016x}");
        let answer = system.client(entry, "POST", &id, body, CLIENT_LIMIT);
        let now = unix_ms();
        record.note(now, &format!("POST {id} at entry {entry}: {answer:?}"));
        let is_accepted = answer.is_ok_and(|reply| reply.status / 100 == 2);
        sent.push(Sent {
            id,
            entry,
            accepted_ms: is_accepted.then_some(now),
        });
    }
    sent
}

/// Returns the most that ran at once on the executors that are left, from a time on, in thousandths of a core.
fn most_used(lines: &[RunLine], lost: Option<&str>, from_ms: u64) -> u64 {
    let mut running: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let mut most = 0;
    for line in lines {
        let key = (line.executor.as_str(), line.task.as_str());
        if line.is_start {
            let cpu = line.how.split('/').nth(1).and_then(|cpu| cpu.parse().ok());
            running.insert(key, cpu.unwrap_or(0));
        } else {
            running.remove(&key);
        }
        if line.at_ms >= from_ms {
            // What ran on the lost executor has no end.
            let is_left = |executor: &str| lost != Some(executor);
            let left = running
                .iter()
                .filter(|((executor, _), _)| is_left(executor));
            most = most.max(left.map(|(_, cpu)| cpu).sum());
        }
    }
    most
}

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
        let rack = format!("r1-{}", 1 + (side - 1) / 3);
        system.start_executor(side, &[kind, &rack])?;
    }
    system.configure(&configuration(1))?;
    for entry in 1..=ENTRIES {
        system.wait_ready(entry, Duration::from_secs(20))?;
    }
    // Traffic starts 10 s after the machines do.
    thread::sleep(Duration::from_secs(8));
    for entry in 1..=ENTRIES {
        // One job on each kind shows that each entry reaches both.
        for (number, body) in [(1, BOUND_BODY), (2, FREE_BODY)] {
            let id = format!("{:016x}", 0xf000 + u64::from(entry) * 16 + number);
            let limit = Duration::from_secs(10);
            wait_until("a first job to be accepted", limit, || {
                let answer = system.client(entry, "POST", &id, body, CLIENT_LIMIT);
                answer.is_ok_and(|reply| reply.status == 200).then_some(())
            })?;
            wait_until("a first job to be completed", limit, || {
                let answer = system.client(entry, "GET", &id, "", CLIENT_LIMIT);
                answer
                    .is_ok_and(|reply| reply.body.contains("completed"))
                    .then_some(())
            })?;
        }
    }

    record.note(unix_ms(), "jobs that only kind b may run, at entry 1");
    let bound = send_all(&system, record, 1, 0x1000, BOUND_JOBS, BOUND_BODY);
    let accepted = bound.iter().filter(|job| job.accepted_ms.is_some()).count();
    if accepted < bound.len() {
        return Err(format!("only {accepted} of the bound jobs were accepted"));
    }
    if has_trouble {
        record.note(
            unix_ms(),
            "the executor of kind b is lost for good (1 of 8)",
        );
        system.kill(&format!("executor-{EXECUTORS}"));
    }
    thread::sleep(Duration::from_secs(12));
    if !has_trouble {
        for job in &bound {
            let answer = system.client(job.entry, "GET", &job.id, "", CLIENT_LIMIT);
            if !answer.is_ok_and(|reply| reply.body.contains("completed")) {
                return Err(format!("job {} is not completed", job.id));
            }
        }
    }

    record.note(unix_ms(), "ordinary jobs, at entry 1 and at entry 2");
    let mut free = send_all(&system, record, 1, 0x2000, FREE_JOBS, FREE_BODY);
    free.extend(send_all(&system, record, 2, 0x3000, FREE_JOBS, FREE_BODY));
    thread::sleep(FINISH);

    let lines = system.executor_lines();
    let asked_ms = unix_ms();
    let since = free.iter().filter_map(|job| job.accepted_ms).min();
    let lost = has_trouble.then(|| format!("i-{EXECUTORS}"));
    let most_used = most_used(&lines, lost.as_deref(), since.unwrap_or(asked_ms));
    let capacity = CAPACITY_CPU * u64::from(EXECUTORS - u8::from(has_trouble));
    record.note(
        unix_ms(),
        &format!(
            "since the first ordinary job was accepted, at most {most_used} of {capacity} thousandths of a core were in use"
        ),
    );
    let is_mostly_free = 2 * most_used < capacity;
    let mut is_broken = false;
    for job in free.iter().filter(|job| job.accepted_ms.is_some()) {
        let accepted_ms = job.accepted_ms.unwrap_or_default();
        let start = lines
            .iter()
            .find(|line| line.is_start && line.job() == job.id);
        let idle_ms = start
            .map_or(asked_ms, |line| line.at_ms)
            .saturating_sub(accepted_ms);
        let shown = system.client(job.entry, "GET", &job.id, "", CLIENT_LIMIT);
        let begun = if start.is_some() {
            "begun"
        } else {
            "not begun"
        };
        record.note(
            unix_ms(),
            &format!(
                "job {} accepted at entry {}: {begun} after {idle_ms} ms; GET: {shown:?}",
                job.id, job.entry
            ),
        );
        is_broken |= idle_ms > LONGEST_IDLE_MS && is_mostly_free;
    }
    let ended = system.ended();
    record.note(
        unix_ms(),
        &format!("processes that ended by themselves: {ended:?}"),
    );
    record.note_runs(&lines);
    if free.iter().all(|job| job.accepted_ms.is_none()) {
        return Err("no ordinary job was accepted".into());
    }
    Ok(is_broken)
}
