//! A small deployment on loopback addresses: the project's programs, started with the commands of the deploy file, and executors.
//!
//! Every machine has a loopback address of its own, and ports are alike on all machines.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::executor::UNHEALTHY_PATH;
use crate::http::{Reply, call};

pub const HOST: &str = "shop.example";
pub const PREFIX: &str = "/send/";
pub const SERVICE: &str = "send";

const OPERATOR_PORT: u16 = 1;
const FRONT_PORT: u16 = 2;
const READY_PORT: u16 = 3;
const CONTROL_PORT: u16 = 4;
const EXECUTOR_PORT: u16 = 5;

/// The bounds of the pages that the settings of `deploy/` take.
const LEASE: &str = r#""lease": { "lease_ms": 650, "longest_lease_ms": 1000, "session_ms": 500, "stop_ms": 50, "resend_ms": 1300 }"#;

pub struct Installation {
    /// The root of the repository.
    root: PathBuf,
    folder: PathBuf,
    network: [u8; 3],
    port: u16,
    controls: u8,
    running: BTreeMap<String, Child>,
}

impl Drop for Installation {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            let _ = child.kill();
        }
        for child in self.running.values_mut() {
            let _ = child.wait();
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn free_port(network: [u8; 3]) -> Result<u16, String> {
    let [a, b, c] = network;
    let probe = TcpListener::bind((Ipv4Addr::new(a, b, c, 1), 0));
    let probe = probe.map_err(|cause| cause.to_string())?;
    let address = probe.local_addr().map_err(|cause| cause.to_string())?;
    // The ports of one machine follow each other.
    Ok(address.port().min(60_000))
}

impl Installation {
    pub fn new(root: &Path, controls: u8) -> Result<Self, String> {
        let process = std::process::id();
        let network = [
            127,
            20 + (process % 200) as u8,
            1 + (process / 200 % 250) as u8,
        ];
        let folder = std::env::temp_dir().join(format!("cloverfold-review-{process}"));
        fs::create_dir_all(&folder).map_err(|cause| cause.to_string())?;
        Ok(Self {
            root: root.to_owned(),
            folder,
            network,
            port: free_port(network)?,
            controls,
            running: BTreeMap::new(),
        })
    }

    fn ip(&self, machine: u8) -> Ipv4Addr {
        let [a, b, c] = self.network;
        Ipv4Addr::new(a, b, c, machine)
    }

    fn address(&self, machine: u8, port: u16) -> SocketAddr {
        (self.ip(machine), self.port + port).into()
    }

    pub fn operator(&self, control: u8) -> SocketAddr {
        self.address(control, OPERATOR_PORT)
    }

    pub fn front(&self, entry: u8) -> SocketAddr {
        self.address(10 + entry, FRONT_PORT)
    }

    fn ready(&self, entry: u8) -> SocketAddr {
        self.address(10 + entry, READY_PORT)
    }

    fn peer(&self, name: &str, machine: u8) -> String {
        let seeds: Vec<String> = (1..=self.controls)
            .map(|control| format!("\"{}\"", self.operator(control)))
            .collect();
        format!(
            r#""peer": {{ "name": "{name}", "hall": "a", "ip": "{}", "port": {}, "seeds": [{}] }}"#,
            self.ip(machine),
            self.port,
            seeds.join(", ")
        )
    }

    fn start(&mut self, name: &str, program: &Path, arguments: &[String]) -> Result<(), String> {
        let log = self.folder.join(format!("{name}.log"));
        let open = || OpenOptions::new().create(true).append(true).open(&log);
        let output = open().map_err(|cause| cause.to_string())?;
        let errors = open().map_err(|cause| cause.to_string())?;
        let child = Command::new(program)
            .args(arguments)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|cause| format!("{}: {cause}", program.display()))?;
        self.note_started(child.id());
        self.running.insert(name.to_owned(), child);
        Ok(())
    }

    /// Notes the process for the script, which ends what is left if this process is ended.
    fn note_started(&self, pid: u32) {
        let Some(file) = std::env::var_os("REVIEW_PIDS") else {
            return;
        };
        if let Ok(mut file) = OpenOptions::new().create(true).append(true).open(file) {
            let _ = writeln!(file, "{pid}");
        }
    }

    fn start_program(
        &mut self,
        name: &str,
        program: &str,
        words: &[&str],
        settings: &str,
    ) -> Result<(), String> {
        let file = self.folder.join(format!("{name}.jsonc"));
        fs::write(&file, settings).map_err(|cause| cause.to_string())?;
        let mut arguments: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
        arguments.push(file.display().to_string());
        let program = self.root.join("target/release").join(program);
        self.start(name, &program, &arguments)
    }

    /// Starts a control process; `is_first` says that the whole system starts for the first time.
    pub fn start_control(&mut self, control: u8, is_first: bool) -> Result<(), String> {
        let name = format!("control-{control}");
        let settings = format!(
            r#"{{ {}, "operator_address": "{}", "data_folder": "{}", "may_found": {is_first}, "halls": ["a"], "tolerated_losses": 1, "job_groups": 1, "status_s": 150, "log": {{ "level": "info", "stream": "stdout", "lines_per_second": 100 }} }}"#,
            self.peer(&name, control),
            self.operator(control),
            self.folder.join(format!("data-{control}")).display()
        );
        self.start_program(&name, "cloverfold", &["control"], &settings)
    }

    pub fn start_entry(&mut self, entry: u8) -> Result<(), String> {
        let name = format!("entry-{entry}");
        let settings = format!(
            r#"{{ {}, {LEASE}, "client_address": "{}", "ready_address": "{}", "linger_ms": 2200, "drain_ms": 5500, "log": {{ "level": "info", "stream": "stdout", "lines_per_second": 200 }} }}"#,
            self.peer(&name, 10 + entry),
            self.front(entry),
            self.ready(entry)
        );
        self.start_program(&name, "cloverfold", &["leased-entry"], &settings)
    }

    pub fn start_guard(&mut self, side: u8) -> Result<(), String> {
        let name = format!("guard-{side}");
        let settings = format!(
            r#"{{ {}, {LEASE}, "registration_address": "{}", "drain_ms": 5500, "log": {{ "level": "info", "stream": "stdout", "lines_per_second": 100 }} }}"#,
            self.peer(&name, 20 + side),
            self.address(20 + side, CONTROL_PORT)
        );
        self.start_program(&name, "cloverfold-guard", &["--leased"], &settings)
    }

    pub fn start_executor(&mut self, side: u8, labels: &[&str]) -> Result<(), String> {
        let name = format!("executor-{side}");
        let program = std::env::current_exe().map_err(|cause| cause.to_string())?;
        let arguments = [
            "executor".to_owned(),
            format!("i-{side}"),
            self.address(20 + side, EXECUTOR_PORT).to_string(),
            self.address(20 + side, CONTROL_PORT).to_string(),
            SERVICE.to_owned(),
            labels.join(","),
        ];
        self.start(&name, &program, &arguments)
    }

    /// Makes an executor unhealthy for a while.
    pub fn make_unhealthy(&self, side: u8, span: Duration) -> Result<(), String> {
        let address = self.address(20 + side, EXECUTOR_PORT);
        let body = format!(r#"{{"ForMs":{}}}"#, span.as_millis());
        let host = address.to_string();
        let limit = Duration::from_secs(1);
        call(address, "POST", UNHEALTHY_PATH, &host, &[], &body, limit).map(|_| ())
    }

    /// Ends a process at once, as SIGKILL does.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.running.remove(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let running = self.running.iter_mut();
        let ended = running.filter_map(|(name, child)| {
            let is_over = matches!(child.try_wait(), Ok(Some(_)));
            is_over.then(|| name.clone())
        });
        ended.collect()
    }

    /// Returns whether the platform's balancer would see an entry as ready.
    pub fn is_ready(&self, entry: u8) -> bool {
        let address = self.ready(entry);
        let host = address.to_string();
        let limit = Duration::from_secs(1);
        let asked = call(address, "GET", "/api/readyz", &host, &[], "", limit);
        asked.is_ok_and(|reply| reply.status == 200)
    }

    pub fn wait_ready(&self, entry: u8, limit: Duration) -> Result<(), String> {
        let name = format!("entry {entry} to be ready");
        wait_until(&name, limit, || self.is_ready(entry).then_some(()))
    }

    /// Sends the first configuration until it is acknowledged.
    pub fn configure(&self, configuration: &str) -> Result<(), String> {
        let limit = Duration::from_secs(3);
        let address = self.operator(1);
        let host = address.to_string();
        let path = "/api/config";
        wait_until("the configuration", Duration::from_secs(20), || {
            let sent = call(address, "PUT", path, &host, &[], configuration, limit);
            sent.is_ok_and(|reply| reply.status == 200).then_some(())
        })
    }

    /// Makes a client's call at an entry.
    pub fn client(
        &self,
        entry: u8,
        method: &str,
        id: &str,
        body: &str,
        limit: Duration,
    ) -> Result<Reply, String> {
        let path = format!("{PREFIX}{id}");
        let deadline = [("Deadline-Ms", limit.as_millis().to_string())];
        call(
            self.front(entry),
            method,
            &path,
            HOST,
            &deadline,
            body,
            limit,
        )
    }

    /// Returns what the executors wrote so far, oldest first.
    pub fn executor_lines(&self) -> Vec<RunLine> {
        let mut lines = Vec::new();
        let files = fs::read_dir(&self.folder).into_iter().flatten().flatten();
        for file in files {
            let name = file.file_name().to_string_lossy().into_owned();
            if !name.starts_with("executor-") || !name.ends_with(".log") {
                continue;
            }
            let text = fs::read_to_string(file.path()).unwrap_or_default();
            lines.extend(text.lines().filter_map(RunLine::parse));
        }
        lines.sort_by_key(|line| line.at_ms);
        lines
    }
}

/// A start or an end at an executor.
#[derive(Clone, Debug)]
pub struct RunLine {
    pub at_ms: u64,
    pub is_start: bool,
    pub executor: String,
    pub task: String,
    pub run: u64,
    /// The `Spec` of a start, or how a run ended.
    pub how: String,
}

impl RunLine {
    fn parse(line: &str) -> Option<Self> {
        let mut words = line.split(' ');
        let at_ms = words.next()?.parse().ok()?;
        let what = words.next()?;
        Some(Self {
            at_ms,
            is_start: what == "START",
            executor: words.next()?.to_owned(),
            task: words.next()?.to_owned(),
            run: words.next()?.parse().ok()?,
            how: words.next().unwrap_or_default().to_owned(),
        })
    }

    pub fn job(&self) -> &str {
        self.task.split('.').next().unwrap_or_default()
    }
}

pub fn wait_until<T>(
    what: &str,
    limit: Duration,
    mut find: impl FnMut() -> Option<T>,
) -> Result<T, String> {
    let began = Instant::now();
    while began.elapsed() < limit {
        if let Some(found) = find() {
            return Ok(found);
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(format!("waited {limit:?} in vain for {what}"))
}

pub fn configuration(version: u64) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-send","Host":"{HOST}","PathPrefix":"{PREFIX}","Kind":"unsafe","TimeoutMs":5000,"TargetLatencyMs":2000,"Priority":0,"Service":"{SERVICE}","MaxAttempts":3,"Stretch":2.0}}],"Services":[{{"Name":"{SERVICE}","HealthPath":"/healthz","MaxConns":64,"Protocol":"h1","Tls":false,"RejectsOverload":true,"Headroom":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

/// Writes what was sent, answered and run.
pub struct Record {
    file: File,
    began_ms: u64,
}

impl Record {
    pub fn create(path: &Path, began_ms: u64) -> Result<Self, String> {
        let file = File::create(path).map_err(|cause| cause.to_string())?;
        Ok(Self { file, began_ms })
    }

    pub fn note(&mut self, at_ms: u64, text: &str) {
        let at = at_ms.saturating_sub(self.began_ms) as f64 / 1_000.0;
        let line = format!("{at:8.3} s  {text}");
        println!("{line}");
        let _ = writeln!(self.file, "{line}");
    }

    /// Notes the runs of all executors, in the file alone.
    pub fn note_runs(&mut self, lines: &[RunLine]) {
        let _ = writeln!(self.file, "\nruns at the executors:");
        for line in lines {
            let at = line.at_ms.saturating_sub(self.began_ms) as f64 / 1_000.0;
            let what = if line.is_start { "start" } else { "end" };
            let _ = writeln!(
                self.file,
                "{at:8.3} s  {what:5} {} task {} run {} ({})",
                line.executor, line.task, line.run, line.how
            );
        }
    }
}
