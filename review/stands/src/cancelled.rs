//! The leader of the control processes is killed; clients get no response meanwhile, leave, and cancel their jobs at another entry, which
//! acknowledges that.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::callers::{Job, Step};
use crate::installation::{Role, SIGKILL};
use crate::record::lock;
use crate::setup::{Setup, first_configuration};

/// `cancel_ms` of the small sites.
const CANCEL_MS: u64 = 3_000;
/// `ContactMs` of the small sites.
const CONTACT_MS: u64 = 3_000;
/// How long the control process is away; the site lists `node_kill` on core with 3.5 s (how `seed`), and with how `leader race drain`.
const AWAY: Duration = Duration::from_millis(2_500);
/// `deadline ms` of the small sites.
const DEADLINE_MS: u64 = 1_500;
/// When the clients leave, after their send.
const PATIENCE_MS: u64 = 150;
/// `give_up = { share = 0.25 }` in the list of both small sites: of each four clients one leaves.
const LEAVES_EVERY: u64 = 4;
const JOBS: u64 = 48;

fn job(n: u64) -> Job {
    let step = |count, estimate_ms, depends_on: &[usize]| Step {
        count,
        cpu: 800,
        estimate_ms,
        depends_on: depends_on.to_vec(),
        ..Step::default()
    };
    Job {
        id: format!("1{n:015x}"),
        prefix: "/one/".into(),
        spec: "8000,200".into(),
        steps: vec![step(1, 8_000, &[]), step(2, 200, &[0])],
        best_effort: false,
    }
}

pub fn play(programs: &Path, folder: &Path, trouble: bool) -> std::io::Result<i32> {
    let services = ["alpha", "alpha", "alpha", "alpha", "beta", "beta"];
    let Some(setup) = Setup::start(programs, folder, 3, &services, &first_configuration())? else {
        return Ok(2);
    };
    let Some(leader) = setup.installation.group_leader() else {
        return Ok(2);
    };
    if trouble {
        setup.installation.signal(leader, SIGKILL);
        setup.installation.wait(leader, Duration::from_secs(5));
    }
    let jobs: Vec<Job> = (0..JOBS).map(job).collect();
    let mut clients = Vec::new();
    for (n, job) in jobs.iter().cloned().enumerate() {
        let leaves = n as u64 % LEAVES_EVERY == 0;
        let caller = setup.caller.clone();
        // Not in step with those who leave.
        let entry = (n / 4 + n) % 3;
        let front = setup.installation.interface(Role::Entry(entry));
        let other = setup.installation.interface(Role::Entry((entry + 1) % 3));
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(3 * n as u64));
            if !leaves {
                caller.send(&job, front, DEADLINE_MS);
                return;
            }
            caller.send_and_leave(&job, front, DEADLINE_MS, PATIENCE_MS);
            // A client cancels until that is acknowledged.
            for _ in 0..10 {
                if matches!(caller.cancel(&job, other).status(), 200..=299 | 410) {
                    break;
                }
                thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    thread::sleep(AWAY);
    if trouble {
        setup.installation.start(leader, false)?;
    }
    let calm_from = setup.record.now() + CONTACT_MS;
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(11));
    let mut broken = 0;
    let mut acked = 0;
    for job in &jobs {
        let front = setup.installation.interface(Role::Entry(0));
        let state = setup.caller.state(job, front, DEADLINE_MS);
        let Some(ack) = lock(&setup.caller.ledger.0)[&job.id].cancel_acked else {
            continue;
        };
        acked += 1;
        let runs = setup.runs.list();
        let late = runs.iter().filter(|run| {
            run.task.starts_with(job.id.as_str())
                && run.started > ack + CANCEL_MS
                && run.started > calm_from
        });
        let late = late.count();
        if late > 0 {
            broken += 1;
            let line = format!(
                "UNASKED {}: cancelling acknowledged at {:.3} s, {late} tasks started later than {CANCEL_MS} ms after that, in calm; now its state is {state}",
                job.id,
                ack as f64 / 1000.0
            );
            println!("{line}");
            setup.record.write(&line);
        }
    }
    let line = format!("{acked} cancels acknowledged, {broken} of these jobs ran on");
    println!("{line}");
    setup.record.write(&line);
    if acked == 0 {
        return Ok(2);
    }
    Ok(i32::from(broken > 0))
}
