//! Of a service's eight executors the one with the label that jobs need is lost for good, and the operator moves their queue to a service
//! that has two of that label.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::callers::{Job, Step};
use crate::configuration::{configuration, configure};
use crate::installation::Role;
use crate::record::lock;
use crate::setup::{Setup, first_configuration};

/// `finish_s` of the small sites.
const FINISH: Duration = Duration::from_secs(14);
/// The label of three executors: `LOST` of the first service, and two of the second.
const RACK: &str = "r1-2";
const LOST: usize = 6;
/// The executors of the first service: eight, of which one is lost (0.125; the site lists `srv_crash` with a share of 0.14).
const FIRST_SERVICE: [usize; 8] = [0, 1, 2, 3, 4, 5, LOST, 9];

fn job(n: u64) -> Job {
    Job {
        id: format!("1{n:015x}"),
        prefix: "/one/".into(),
        spec: "3000,200".into(),
        steps: vec![
            Step {
                count: 1,
                cpu: 1_600,
                estimate_ms: 3_000,
                constraint: RACK.into(),
                ..Step::default()
            },
            Step {
                count: 2,
                cpu: 1_600,
                estimate_ms: 200,
                depends_on: vec![0],
                constraint: RACK.into(),
                ..Step::default()
            },
        ],
        best_effort: false,
    }
}

pub fn play(programs: &Path, folder: &Path, trouble: bool) -> std::io::Result<i32> {
    let mut services = ["beta"; 16];
    for executor in FIRST_SERVICE {
        services[executor] = "alpha";
    }
    let Some(setup) = Setup::start(programs, folder, 3, &services, &first_configuration())? else {
        return Ok(2);
    };
    let front = |n: u64| setup.installation.interface(Role::Entry(n as usize % 3));
    let before: Vec<Job> = (0..6).map(job).collect();
    for (n, job) in before.iter().enumerate() {
        setup.caller.send(job, front(n as u64), 1_500);
    }
    thread::sleep(Duration::from_millis(1_000));
    if trouble {
        setup.executors[LOST].crash();
        thread::sleep(Duration::from_secs(4));
        let second = configuration(2, ["beta", "alpha", "beta"]);
        if !configure(
            &setup.installation,
            &setup.record,
            &second,
            Duration::from_secs(10),
        ) {
            return Ok(2);
        }
    } else {
        thread::sleep(Duration::from_secs(4));
    }
    // `ConfigApplyMs` and a second later the queue gets more jobs.
    thread::sleep(Duration::from_secs(3));
    let after: Vec<Job> = (100..106).map(job).collect();
    for (n, job) in after.iter().enumerate() {
        setup.caller.send(job, front(n as u64), 1_500);
    }
    thread::sleep(FINISH);
    let mut stuck = 0;
    let mut whole = 0;
    for (n, job) in before.iter().chain(&after).enumerate() {
        let state = setup.caller.state(job, front(n as u64), 1_500);
        let is_accepted = lock(&setup.caller.ledger.0)[&job.id].accepted.is_some();
        let now = setup.record.now();
        let runs = setup.runs.list();
        let has_run_lately = runs.iter().any(|run| {
            run.task.starts_with(job.id.as_str())
                && run.ended.is_none_or(|(at, _)| at + 3_000 > now)
        });
        let in_use = runs
            .iter()
            .filter(|run| services[run.executor] == "beta" && run.ended.is_none())
            .count();
        let is_ended = matches!(state.as_str(), "completed" | "failed" | "cancelled");
        whole += u32::from(state == "completed");
        if is_accepted && !is_ended && !has_run_lately {
            stuck += 1;
            let line = format!(
                "LOST {}: {state}, nothing running for 3 s; {in_use} runs on the 8 executors of the queue's service, which hold 80; two of them have the label and hold 20",
                job.id
            );
            println!("{line}");
            setup.record.write(&line);
        }
    }
    let line = format!(
        "{} jobs, {whole} completed, {stuck} stand still",
        before.len() + after.len()
    );
    println!("{line}");
    setup.record.write(&line);
    Ok(i32::from(stuck > 0))
}
