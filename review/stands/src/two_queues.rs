//! The clients of two queues number their jobs, each for itself; those of one queue cancel some of theirs.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::callers::{Caller, Job, Ledger, Step};
use crate::installation::Role;
use crate::record::lock;
use crate::setup::{Setup, first_configuration};

const JOBS: u64 = 8;

fn job(prefix: &str, n: u64, work: &str) -> Job {
    Job {
        id: format!("{n:016x}"),
        prefix: prefix.into(),
        spec: work.into(),
        steps: vec![Step {
            count: 2,
            cpu: 800,
            estimate_ms: 3_000,
            ..Step::default()
        }],
        best_effort: false,
    }
}

pub fn play(programs: &Path, folder: &Path, trouble: bool) -> std::io::Result<i32> {
    let services = ["alpha", "alpha", "alpha", "beta", "beta", "beta"];
    let Some(setup) = Setup::start(programs, folder, 3, &services, &first_configuration())? else {
        return Ok(2);
    };
    let front = |n: u64| setup.installation.interface(Role::Entry(n as usize % 3));
    // The clients of the second queue know nothing of those of the first.
    let others = Caller {
        record: setup.record.clone(),
        ledger: std::sync::Arc::new(Ledger::default()),
        demands: setup.caller.demands.clone(),
    };
    let first: Vec<Job> = (1..=JOBS).map(|n| job("/one/", n, "3000")).collect();
    let second: Vec<Job> = (1..=JOBS).map(|n| job("/three/", n, "2900")).collect();
    for (n, job) in first.iter().enumerate() {
        setup.caller.send(job, front(n as u64), 1_500);
    }
    for (n, job) in second.iter().enumerate() {
        others.send(job, front(n as u64), 1_500);
    }
    thread::sleep(Duration::from_millis(500));
    if trouble {
        // A quarter of the second queue's jobs are cancelled by their clients.
        for job in &second[..JOBS as usize / 4] {
            others.cancel(job, front(1));
        }
    }
    thread::sleep(Duration::from_secs(6));
    let mut broken = 0;
    for (n, job) in first.iter().enumerate() {
        let state = setup.caller.state(job, front(n as u64), 1_500);
        let is_accepted = lock(&setup.caller.ledger.0)[&job.id].accepted.is_some();
        if is_accepted && state == "cancelled" {
            broken += 1;
            let line = format!(
                "LOST {}: shown as cancelled, and nobody cancelled it",
                job.path()
            );
            println!("{line}");
            setup.record.write(&line);
        }
    }
    let line = format!(
        "{broken} of {JOBS} jobs of the first queue were cancelled by clients of the second"
    );
    println!("{line}");
    setup.record.write(&line);
    Ok(i32::from(broken > 0))
}
