//! A few best-effort jobs that can never be done: their second step depends on a step that they don't have.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::balancer::Balancer;
use crate::callers::{Caller, Job, Step};
use crate::installation::Role;
use crate::setup::{Setup, first_configuration};

/// `deadline ms` of the small sites.
const DEADLINE_MS: u64 = 1_500;
/// `ResendMs` of the small sites.
const RESEND: Duration = Duration::from_millis(1_300);
/// `poison = { share = 0.05, for_s = 3.0 }` in the list of both small sites.
const POISON_EVERY: u64 = 20;
const POISON: (u64, u64) = (6_000, 9_000);
const TRAFFIC_MS: u64 = 40_000;

#[derive(Default)]
struct Counts {
    owed: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    /// Of the jobs sent later than `RecoveryS` (12) after the last poison.
    late_owed: AtomicU64,
    late_served: AtomicU64,
}

pub fn play(programs: &Path, folder: &Path, trouble: bool) -> std::io::Result<i32> {
    let services = ["alpha", "alpha", "alpha", "alpha", "beta", "beta"];
    let Some(setup) = Setup::start(programs, folder, 3, &services, &first_configuration())? else {
        return Ok(2);
    };
    let is_over = Arc::new(AtomicBool::new(false));
    let balancer = Balancer::start(&setup.installation, &setup.record, &is_over);
    thread::sleep(Duration::from_millis(1_500));
    let counts = Arc::new(Counts::default());
    let begun = Instant::now();
    let mut threads = Vec::new();
    let mut sent = 0;
    while begun.elapsed() < Duration::from_millis(TRAFFIC_MS) {
        let at = begun.elapsed().as_millis() as u64;
        sent += 1;
        let is_poison = (POISON.0..POISON.1).contains(&at) && sent % POISON_EVERY == 0;
        // Not in step with the poison, so that it meets all zones.
        let zone = (sent / 7 % 3) as usize;
        let is_late = at > POISON.1 + 12_000;
        let depends_on = if is_poison && trouble {
            vec![7]
        } else {
            vec![0]
        };
        let job = Job {
            id: format!("1{sent:015x}"),
            prefix: "/one/".into(),
            spec: "60,60".into(),
            steps: vec![
                Step {
                    count: 2,
                    cpu: 1_600,
                    estimate_ms: 60,
                    ..Step::default()
                },
                Step {
                    count: 2,
                    cpu: 1_600,
                    estimate_ms: 60,
                    depends_on,
                    ..Step::default()
                },
            ],
            best_effort: true,
        };
        if is_poison {
            setup.record.write(&format!(
                "job {} depends on step {:?}",
                job.id, job.steps[1].depends_on
            ));
        }
        let (caller, balancer, counts) = (setup.caller.clone(), balancer.clone(), counts.clone());
        threads.push(thread::spawn(move || {
            let outcome = submit(&caller, &balancer, &job, zone);
            if !is_poison {
                count(&counts, outcome, is_late);
            }
        }));
        thread::sleep(Duration::from_millis(14));
    }
    for thread in threads {
        let _ = thread.join();
    }
    is_over.store(true, Ordering::Relaxed);
    let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (owed, refused, failed) = (get(&counts.owed), get(&counts.refused), get(&counts.failed));
    let ready: Vec<bool> = (0..3)
        .map(|entry| setup.installation.is_ready(entry))
        .collect();
    let ended = setup.installation.ended();
    let unserved = (refused + failed) as f64 / owed.max(1) as f64;
    let line = format!(
        "good jobs: {owed} owed, {} served, {refused} refused, {failed} failed, {unserved:.2} refused or failed; of the {} sent later than 12 s after the last poison {} were served; entries ready at the end: {ready:?}; processes that ended by themselves: {ended:?}",
        get(&counts.served),
        get(&counts.late_owed),
        get(&counts.late_served)
    );
    println!("{line}");
    setup.record.write(&line);
    for entry in 0..3 {
        let log = std::fs::read_to_string(setup.installation.log_file(Role::Entry(entry)));
        for line in log
            .unwrap_or_default()
            .lines()
            .filter(|line| line.contains("panicked"))
        {
            setup
                .record
                .write(&format!("entry-{} wrote: {line}", entry + 1));
        }
    }
    Ok(i32::from(unserved > 0.6))
}

/// Sends a job, and again after no response, a broken connection, a 502 or a 504.
fn submit(caller: &Caller, balancer: &Balancer, job: &Job, zone: usize) -> u16 {
    let mut last: Option<SocketAddr> = None;
    let mut status = 0;
    for _ in 0..3 {
        let to = balancer.pick(zone, last);
        status = caller.send(job, to, DEADLINE_MS).status();
        if !matches!(status, 0 | 502 | 504) {
            break;
        }
        last = Some(to);
        thread::sleep(RESEND);
    }
    status
}

fn count(counts: &Counts, status: u16, is_late: bool) {
    counts.owed.fetch_add(1, Ordering::Relaxed);
    counts
        .late_owed
        .fetch_add(u64::from(is_late), Ordering::Relaxed);
    let counter = match status {
        200 => {
            counts
                .late_served
                .fetch_add(u64::from(is_late), Ordering::Relaxed);
            &counts.served
        }
        429 | 503 => &counts.refused,
        _ => &counts.failed,
    };
    counter.fetch_add(1, Ordering::Relaxed);
}
