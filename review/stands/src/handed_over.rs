//! An entry is killed, and its kept jobs are handed over. Their second step needs a label that few executors have.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::callers::{Job, Step};
use crate::installation::{Role, SIGKILL};
use crate::record::lock;
use crate::setup::{Setup, first_configuration};

/// `finish_s` of the small sites.
const FINISH: Duration = Duration::from_secs(14);
const ENTRIES: usize = 8;
/// Three a rack, as in the small sites, so that the ninth rack has one.
const EXECUTORS: usize = 25;
const RACK: &str = "r1-8";
const JOBS: u64 = 21;

fn job(n: u64) -> Job {
    let step = |count, estimate_ms, depends_on: &[usize], constraint: &str| Step {
        count,
        cpu: 800,
        estimate_ms,
        depends_on: depends_on.to_vec(),
        constraint: constraint.into(),
        ..Step::default()
    };
    Job {
        id: format!("1{n:015x}"),
        prefix: "/one/".into(),
        spec: "4000,200".into(),
        steps: vec![step(1, 4_000, &[], ""), step(1, 200, &[0], RACK)],
        best_effort: false,
    }
}

pub fn play(programs: &Path, folder: &Path, trouble: bool) -> std::io::Result<i32> {
    let services = ["alpha"; EXECUTORS];
    let first = first_configuration();
    let Some(setup) = Setup::start(programs, folder, ENTRIES, &services, &first)? else {
        return Ok(2);
    };
    // The balancer's choice falls on an entry that takes such jobs.
    let mut taken: Vec<Job> = Vec::new();
    let mut at = None;
    for entry in 0..ENTRIES {
        let probe = job(1_000 + entry as u64);
        let front = setup.installation.interface(Role::Entry(entry));
        let status = setup.caller.send(&probe, front, 1_500).status();
        if status == 200 {
            at.get_or_insert(entry);
            taken.push(probe);
        }
    }
    let Some(entry) = at else {
        return Ok(2);
    };
    let front = setup.installation.interface(Role::Entry(entry));
    for n in 0..JOBS {
        let job = job(n);
        if setup.caller.send(&job, front, 1_500).status() == 200 {
            taken.push(job);
        }
    }
    thread::sleep(Duration::from_millis(500));
    if trouble {
        setup.installation.signal(Role::Entry(entry), SIGKILL);
        setup
            .installation
            .wait(Role::Entry(entry), Duration::from_secs(5));
        thread::sleep(Duration::from_secs(2));
        setup.installation.start(Role::Entry(entry), false)?;
    }
    thread::sleep(FINISH + Duration::from_secs(6));
    let mut stuck = 0;
    let mut whole = 0;
    let other = setup
        .installation
        .interface(Role::Entry((entry + 1) % ENTRIES));
    for job in &taken {
        let state = setup.caller.state(job, other, 1_500);
        let is_accepted = lock(&setup.caller.ledger.0)[&job.id].accepted.is_some();
        let now = setup.record.now();
        let runs = setup.runs.list();
        let has_run_lately = runs.iter().any(|run| {
            run.task.starts_with(job.id.as_str())
                && run.ended.is_none_or(|(at, _)| at + 3_000 > now)
        });
        let in_use = runs.iter().filter(|run| run.ended.is_none()).count();
        let is_ended = matches!(state.as_str(), "completed" | "failed" | "cancelled");
        whole += u32::from(state == "completed");
        if is_accepted && !is_ended && !has_run_lately {
            stuck += 1;
            let line = format!(
                "LOST {}: {state}, nothing running for 3 s; {in_use} runs on {EXECUTORS} executors",
                job.id
            );
            println!("{line}");
            setup.record.write(&line);
        }
    }
    let line = format!(
        "{} jobs accepted, {whole} completed, {stuck} stand still",
        taken.len()
    );
    println!("{line}");
    setup.record.write(&line);
    Ok(i32::from(stuck > 0))
}
