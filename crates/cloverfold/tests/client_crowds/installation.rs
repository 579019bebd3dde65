//! One process of each role with a target, and the promises about them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cloverfold_stand_ins::target::{FakeTarget, TargetConfig};
use cloverfold_stand_ins::{
    CALLER_HOST, DEADLINE_HEADER, JobShape, READINESS_PATH, configuration, is_job_state, write_job,
};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::runtime::Runtime;

use crate::crowd::read_status;
use crate::programs::{Addresses, CLOVERFOLD, GUARD, Program, run_command, wait_until};
use crate::shapes::job_id;

/// First block of addresses of these tests; other test files use those below.
const FIRST_ADDRESS_BLOCK: u8 = 210;
/// Offset of the client, registration or operator port from the peer port.
const SERVICE_PORT_OFFSET: u16 = 1;
const READY_PORT_OFFSET: u16 = 2;
const METRICS_PORT_OFFSET: u16 = 3;
const TARGET_PORT_OFFSET: u16 = 4;
/// Descriptors of a process on its box.
const DESCRIPTORS: usize = 4_100;
/// Timeout for an answer to an ordinary request; long, since only whether there is one is checked.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than any test.
const LONG_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two looks at the processor time of a process.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const MAX_READ_CHECKS: usize = 20;
/// Processor time within that interval, in ticks of 10 ms, up to which a process has nothing left to read.
const MAX_IDLE_TICKS: u64 = 10;
/// Log line of a limit on clients that acts.
const LIMIT_LINE: &str = "clients use up the connections or memory reserved for them";
/// Version of the first configuration.
const VERSION: u64 = 1;
/// Version of the configuration of [`Installation::put_large_configuration`].
const LARGE_VERSION: u64 = 2;

/// Lets one test run at a time, since each measures memory and opens many connections.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Control,
    Entry,
    Guard,
}

impl Role {
    /// Returns the index of its box.
    fn index(self) -> usize {
        self as usize
    }

    /// Returns the memory of its box, in MiB.
    fn memory_mb(self) -> u64 {
        match self {
            Self::Control => 384,
            Self::Entry => 160,
            Self::Guard => 128,
        }
    }
}

/// Limits of an installation.
#[derive(Clone, Copy)]
pub struct Limits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub idle_timeout: Duration,
    /// Descriptors that each process may open.
    pub descriptors: usize,
    /// Descriptors that it may have open when a crowd is there.
    pub open_descriptors: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            idle_timeout: Duration::from_secs(15),
            descriptors: DESCRIPTORS,
            open_descriptors: DESCRIPTORS,
        }
    }
}

impl Limits {
    /// Returns limits with which a crowd of connections can stand longer than the test takes.
    pub fn for_connections(descriptors: usize) -> Self {
        Self {
            idle_timeout: LONG_IDLE_TIMEOUT,
            descriptors,
            open_descriptors: descriptors,
            ..Self::default()
        }
    }
}

pub struct Installation {
    addresses: Addresses,
    limits: Limits,
    /// By [`Role::index`].
    programs: Vec<Program>,
    target: Arc<FakeTarget>,
    next_job: AtomicU64,
    /// Sends the heartbeats of the target until it is dropped.
    _runtime: Runtime,
    folder: TempDir,
    _turn: MutexGuard<'static, ()>,
}

impl Installation {
    /// Starts the installation and waits until it serves a job.
    pub fn start(limits: Limits) -> Self {
        static NEXT_BLOCK: AtomicU8 = AtomicU8::new(FIRST_ADDRESS_BLOCK);
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let addresses = Addresses::for_block(NEXT_BLOCK.fetch_add(1, Ordering::Relaxed));
        let folder = tempfile::tempdir().unwrap();
        let runtime = Runtime::new().unwrap();
        let target = start_target(&runtime, &addresses);
        let start = |role| start_program(role, &addresses, &folder, limits.descriptors);
        let programs = [Role::Control, Role::Entry, Role::Guard].map(start);
        let installation = Self {
            addresses,
            limits,
            programs: programs.into(),
            target,
            next_job: AtomicU64::new(1),
            _runtime: runtime,
            folder,
            _turn: turn,
        };
        installation.put_configuration(&write_configuration(limits));
        wait_until("a ready entry", || installation.is_ready().then_some(()));
        installation.serve_ordinary_job();
        installation
    }

    /// Returns the address for callers.
    pub fn clients(&self) -> SocketAddr {
        self.service(Role::Entry)
    }

    /// Returns the address for callers, targets or operators of a process.
    pub fn service(&self, role: Role) -> SocketAddr {
        self.addresses.address(role.index(), SERVICE_PORT_OFFSET)
    }

    /// Returns the address of the readiness check of the entry.
    pub fn readiness(&self) -> SocketAddr {
        self.addresses
            .address(Role::Entry.index(), READY_PORT_OFFSET)
    }

    pub fn metrics(&self, role: Role) -> SocketAddr {
        self.addresses.address(role.index(), METRICS_PORT_OFFSET)
    }

    /// Returns the address for links to a process.
    pub fn peers(&self, role: Role) -> SocketAddr {
        self.addresses.address(role.index(), 0)
    }

    /// Waits until a process has little to do, so that it has read what a crowd has sent; not for ever, since it may have other work.
    pub fn wait_until_read(&self, role: Role) {
        let program = &self.programs[role.index()];
        let mut before = program.processor_ticks();
        for _ in 0..MAX_READ_CHECKS {
            std::thread::sleep(READ_CHECK_INTERVAL);
            let ticks = program.processor_ticks();
            let used = ticks - std::mem::replace(&mut before, ticks);
            if used <= MAX_IDLE_TICKS {
                return;
            }
        }
    }

    /// Checks that all processes live, and that one was always within the memory and is within the descriptors of its box.
    pub fn check_bounds(&self, role: Role) {
        for program in &self.programs {
            assert!(program.is_running(), "a process has ended");
        }
        let program = &self.programs[role.index()];
        let peak = program.peak_memory_kb() / 1024;
        let bound = role.memory_mb();
        assert!(
            peak <= bound,
            "{role:?}: peak of {peak} MiB is over {bound}"
        );
        let open = program.open_descriptors();
        let bound = self.limits.open_descriptors;
        assert!(open <= bound, "{role:?}: {open} descriptors are open");
    }

    /// Waits for the log line of a process that says that a limit on clients acts.
    pub fn wait_for_limit_line(&self, role: Role) -> Value {
        self.programs[role.index()].wait_for_line(LIMIT_LINE)
    }

    pub fn count_limit_lines(&self, role: Role) -> usize {
        self.programs[role.index()]
            .read_log()
            .matches(LIMIT_LINE)
            .count()
    }

    /// Returns a metric of a process; its name lacks the prefix of the role.
    pub fn read_metric(&self, role: Role, name: &str) -> u64 {
        let request = "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let metrics = call(self.metrics(role), request).unwrap();
        let role = format!("{role:?}").to_lowercase();
        let prefix = format!("cloverfold_{role}_{name} ");
        let value = metrics.lines().find_map(|line| line.strip_prefix(&prefix));
        value.unwrap().parse().unwrap()
    }

    /// Submits an ordinary job, again after a refusal as callers do, until it is completed.
    pub fn serve_ordinary_job(&self) {
        let job = write_job(JobShape {
            tasks: 1,
            work_ms: 20,
        });
        wait_until("an ordinary job", || {
            let answer = self.submit(&job)?;
            let (_, body) = answer.split_once("\r\n\r\n")?;
            is_job_state(body, "completed").then_some(())
        });
    }

    /// Submits a kept job until it is accepted.
    pub fn serve_kept_job(&self) {
        let step = r#"{ "Count": 1, "Cpu": 100, "MemMb": 64, "EstDurationMs": 20 }"#;
        let job = format!(r#"{{ "Spec": "20", "Steps": [{step}] }}"#);
        wait_until("a kept job", || {
            let answer = self.submit(&job)?;
            (read_status(answer.as_bytes()) == Some(200)).then_some(())
        });
    }

    /// Submits a job with an ID of its own, and returns the whole answer; `None` if there is none.
    fn submit(&self, job: &str) -> Option<String> {
        let id = self.next_job.fetch_add(1, Ordering::Relaxed);
        let head = format!(
            "POST /send/{id:016x} HTTP/1.1\r\nHost: {CALLER_HOST}\r\n{DEADLINE_HEADER}: 4000\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
            job.len()
        );
        call(self.clients(), &format!("{head}{job}"))
    }

    /// Checks that the balancer finds the entry ready.
    pub fn check_ready(&self) {
        wait_until("the readiness check", || self.is_ready().then_some(()));
    }

    fn is_ready(&self) -> bool {
        let request =
            format!("GET {READINESS_PATH} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        let answer = call(self.readiness(), &request);
        answer.and_then(|answer| read_status(answer.as_bytes())) == Some(200)
    }

    /// Checks that nothing of a job that was refused has run.
    pub fn check_refused_jobs(&self, statuses: &[(usize, u16)]) {
        let runs = self.target.list_runs();
        for (index, status) in statuses {
            let id = job_id(*index);
            let has_run = runs.iter().any(|run| run.job == id);
            let is_refused = matches!(status, 429 | 503);
            assert!(!(is_refused && has_run), "refused job {id} has run");
        }
    }

    /// Puts a valid configuration of at least this length in force.
    pub fn put_large_configuration(&self, len: usize) {
        let mut large = write_configuration(self.limits);
        large["Version"] = json!(LARGE_VERSION);
        let routes = large["Routes"].as_array_mut().unwrap();
        let mut route = routes[0].clone();
        route["Name"] = json!("extra");
        route["Host"] = json!("x".repeat(len));
        routes.push(route);
        self.put_configuration(&large);
    }

    fn put_configuration(&self, configuration: &Value) {
        let file = self.folder.path().join("configuration.json");
        std::fs::write(&file, configuration.to_string()).unwrap();
        let at = self.service(Role::Control).to_string();
        wait_until("an acknowledged configuration", || {
            let file = file.to_str().unwrap();
            let answer = run_command(&["configuration", "--at", &at, "restore", file]);
            answer.status.success().then_some(())
        });
    }
}

fn write_configuration(limits: Limits) -> Value {
    let mut value: Value = serde_json::from_str(&configuration(VERSION)).unwrap();
    value["Limits"]["MaxHeaderBytes"] = json!(limits.header_bytes);
    value["Limits"]["MaxBodyBytes"] = json!(limits.body_bytes);
    value["Limits"]["IdleTimeoutMs"] = json!(limits.idle_timeout.as_millis());
    value
}

/// Starts a target that registers at the guard.
fn start_target(runtime: &Runtime, addresses: &Addresses) -> Arc<FakeTarget> {
    let guard = Role::Guard.index();
    let address = addresses.address(guard, TARGET_PORT_OFFSET);
    let config = TargetConfig {
        name: "target".into(),
        hall: "a".into(),
        address,
        advertised_address: address,
        registration_address: addresses.address(guard, SERVICE_PORT_OFFSET),
    };
    let target = runtime.block_on(async { FakeTarget::start(config).unwrap() });
    let registered = target.clone();
    runtime.spawn(async move {
        loop {
            if let Some(heartbeat) = registered.next_heartbeat() {
                registered.send_heartbeat(&heartbeat).await;
            }
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    });
    target
}

fn start_program(
    role: Role,
    addresses: &Addresses,
    folder: &TempDir,
    descriptors: usize,
) -> Program {
    let folder = folder.path();
    let index = role.index();
    let service = addresses.address(index, SERVICE_PORT_OFFSET);
    let (program, argument, role_settings) = match role {
        Role::Control => {
            let data = folder.join("data");
            let settings = format!(
                r#""operator_address": "{service}", "data_folder": "{}", "may_found": true, "tolerated_losses": 0"#,
                data.display()
            );
            (CLOVERFOLD, "control", settings)
        }
        Role::Entry => {
            let ready = addresses.address(index, READY_PORT_OFFSET);
            let settings = format!(
                r#""client_address": "{service}", "ready_address": "{ready}", "linger_ms": 50, "drain_ms": 2000"#
            );
            (CLOVERFOLD, "leased-entry", settings)
        }
        Role::Guard => {
            let settings = format!(r#""registration_address": "{service}", "drain_ms": 2000"#);
            (GUARD, "--leased", settings)
        }
    };
    let peer = addresses.peer_settings(&format!("{role:?}-1"), index, &[Role::Control.index()]);
    let file = folder.join(format!("{role:?}.jsonc"));
    let log = r#""log": { "stream": "stdout", "lines_per_second": 500 }"#;
    std::fs::write(&file, format!("{{ {peer}, {role_settings}, {log} }}")).unwrap();
    Program::start_with_descriptors(program, &[argument], &file, descriptors)
}

/// Sends a request that closes its connection, and returns the whole answer; `None` if there is none.
fn call(address: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}
