//! An entry that was restarted while no control process could be reached answers 410 for an accepted job.
//!
//! A client hands in a job of many steps. All control processes lose power for a while; an entry is killed and started again meanwhile. The
//! client cancels its job there, and gets 410: there is no such job, so its cancelling is acknowledged. The job goes on all the same.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::executor::unix_ms;
use crate::installation::{Installation, Record, configuration, wait_until};

const CONTROLS: u8 = 3;
const ENTRIES: u8 = 2;
const EXECUTORS: u8 = 4;
/// Steps of one task of 1 s each, one after the other.
const STEPS: usize = 40;
const JOB: &str = "00000000000000a1";
/// For how long the machines with a disk are without power: 9.5 s on the site.
const OUTAGE: Duration = Duration::from_millis(6_000);
/// `cancel_ms` and `StopTimeoutMs` of the pages.
const CANCEL_MS: u64 = 3_000;
const STOP_MS: u64 = 50;
/// `ContactMs` of the pages: a machine is in touch this long after the last disruption of the core.
const CONTACT_MS: u64 = 3_000;
const CLIENT_LIMIT: Duration = Duration::from_millis(1_500);

fn job_body() -> String {
    let steps: Vec<String> = (0..STEPS)
        .map(|step| {
            let before = step.checked_sub(1).map_or(String::new(), |before| {
                format!(r#","DependsOn":[{before}]"#)
            });
            format!(r#"{{"Count":1,"Cpu":1600,"MemMb":64,"EstDurationMs":1000{before}}}"#)
        })
        .collect();
    format!(r#"{{"Spec":"1000/1600","Steps":[{}]}}"#, steps.join(","))
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
        system.start_executor(side, &["a", "r1-1"])?;
    }
    system.configure(&configuration(1))?;
    for entry in 1..=ENTRIES {
        system.wait_ready(entry, Duration::from_secs(20))?;
    }
    // Traffic starts 10 s after the machines do.
    thread::sleep(Duration::from_secs(8));
    let body = job_body();
    wait_until("the job to be accepted", Duration::from_secs(10), || {
        let answer = system.client(2, "POST", JOB, &body, CLIENT_LIMIT);
        record.note(unix_ms(), &format!("POST {JOB} at entry 2: {answer:?}"));
        answer.is_ok_and(|reply| reply.status == 200).then_some(())
    })?;
    thread::sleep(Duration::from_secs(4));
    for entry in 1..=ENTRIES {
        let answer = system.client(entry, "GET", JOB, "", CLIENT_LIMIT);
        record.note(
            unix_ms(),
            &format!("GET {JOB} at entry {entry}: {answer:?}"),
        );
    }

    let outage_ms = unix_ms();
    if has_trouble {
        record.note(outage_ms, "all control processes are ended");
        for control in 1..=CONTROLS {
            system.kill(&format!("control-{control}"));
        }
        record.note(
            unix_ms(),
            "entry 1 is killed, and started again after a short delay",
        );
        system.kill("entry-1");
        thread::sleep(Duration::from_millis(300));
        system.start_entry(1)?;
        system.wait_ready(1, Duration::from_secs(4))?;
        record.note(
            unix_ms(),
            "entry 1 answers 200 at its Ready address again, so the platform hands it connections",
        );
    }
    for entry in 1..=ENTRIES {
        let answer = system.client(entry, "GET", JOB, "", CLIENT_LIMIT);
        record.note(
            unix_ms(),
            &format!("GET {JOB} at entry {entry}: {answer:?}"),
        );
    }
    // A client cancels its job, at entry 1 first, until it has a 2xx or a 410.
    let mut restored_ms = None;
    let mut acknowledged = None;
    let mut entry = 1;
    while acknowledged.is_none() && unix_ms() < outage_ms + 30_000 {
        let answer = system.client(entry, "DELETE", JOB, "", CLIENT_LIMIT);
        let now = unix_ms();
        record.note(now, &format!("DELETE {JOB} at entry {entry}: {answer:?}"));
        if answer.is_ok_and(|reply| reply.status / 100 == 2 || reply.status == 410) {
            acknowledged = Some(now);
        }
        if has_trouble && restored_ms.is_none() && now > outage_ms + OUTAGE.as_millis() as u64 {
            restore(&mut system, record)?;
            restored_ms = Some(unix_ms());
        }
        entry = 1 + entry % ENTRIES;
        if acknowledged.is_none() {
            thread::sleep(Duration::from_millis(300));
        }
    }
    let acknowledged = acknowledged.ok_or("the cancelling was never acknowledged")?;
    if has_trouble && restored_ms.is_none() {
        let spent = unix_ms().saturating_sub(outage_ms);
        let left = (OUTAGE.as_millis() as u64).saturating_sub(spent);
        thread::sleep(Duration::from_millis(left));
        restore(&mut system, record)?;
        restored_ms = Some(unix_ms());
    }
    thread::sleep(Duration::from_secs(25));
    for entry in 1..=ENTRIES {
        let answer = system.client(entry, "GET", JOB, "", CLIENT_LIMIT);
        record.note(
            unix_ms(),
            &format!("GET {JOB} at entry {entry}: {answer:?}"),
        );
    }

    let lines = system.executor_lines();
    // Only what starts while the machines are in touch counts.
    let from_ms =
        (acknowledged + CANCEL_MS + STOP_MS).max(restored_ms.unwrap_or(0) + 2 * CONTACT_MS);
    let late = lines
        .iter()
        .filter(|line| line.is_start && line.job() == JOB && line.at_ms > from_ms);
    let late: Vec<_> = late.collect();
    record.note(
        unix_ms(),
        &format!(
            "starts of the cancelled job later than cancel_ms after the acknowledgement, with the machines in touch: {}",
            late.len()
        ),
    );
    let ended = system.ended();
    record.note(
        unix_ms(),
        &format!("processes that ended by themselves: {ended:?}"),
    );
    record.note_runs(&lines);
    Ok(!late.is_empty())
}

fn restore(system: &mut Installation, record: &mut Record) -> Result<(), String> {
    record.note(
        unix_ms(),
        "the control processes start again, with their disks",
    );
    for control in 1..=CONTROLS {
        system.start_control(control, false)?;
    }
    Ok(())
}
