//! A cluster of real processes with sample targets, each guard and target behind a proxy.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cloverfold_claim::found_cell;
use cloverfold_claims_core::{Cell, derive_submission_key};
use cloverfold_claims_process::{list_guard_addresses, open_operator_network};
use cloverfold_claims_settings::CellSettings;
use cloverfold_faults::{Faults, TcpProxy, UdpProxy};
use cloverfold_load::{CallerClient, CallerKey, JobAnswer, JobRequest, LoadError};
use cloverfold_solo::{
    GuardAddresses, Installation, OPERATOR, SERVICE, SoloWorkspace, find_free_addresses,
};
use cloverfold_target::{Journal, SampleTarget};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::sleep;

use crate::checker::{JobRecord, find_broken_promises, make_echo};

/// Longest wait for a condition; a test that needs it has failed.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(40);
const CONDITION_POLL: Duration = Duration::from_millis(20);
const CUSTOMER: &str = "pharmacy";

/// Size and settings of a cluster.
pub struct Shape {
    pub guards: usize,
    pub entries: usize,
    pub slots: usize,
    /// Overrides fields of the cell's file.
    pub cell: Value,
    /// Overrides fields of each entry's file.
    pub entry: Value,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            guards: 5,
            entries: 2,
            slots: 8,
            cell: json!({}),
            entry: json!({}),
        }
    }
}

/// A job as tests submit it.
#[derive(Clone)]
pub struct TestJob {
    pub name: String,
    pub tasks: usize,
    pub duration_ms: u64,
    pub repeat: Option<&'static str>,
    pub first_submitted_unix_ms: u64,
    /// Whether the caller names a key.
    pub has_key: bool,
    pub deadline_ms: Option<u64>,
}

impl TestJob {
    /// A job under a caller's key that equals its name.
    pub fn new(name: &str, tasks: usize, duration_ms: u64) -> Self {
        Self {
            name: name.into(),
            tasks,
            duration_ms,
            repeat: None,
            first_submitted_unix_ms: unix_ms(),
            has_key: true,
            deadline_ms: None,
        }
    }

    pub fn request(&self) -> JobRequest {
        let task =
            |task| json!({ "duration_ms": self.duration_ms, "echo": make_echo(&self.name, task) });
        JobRequest {
            service: SERVICE.into(),
            tasks: (0..self.tasks).map(task).collect(),
            repeat: self.repeat,
            deadline_ms: self.deadline_ms,
            first_submitted_unix_ms: self.has_key.then_some(self.first_submitted_unix_ms),
            idempotency_key: self.has_key.then(|| self.name.clone()),
        }
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

struct Process {
    binary: &'static str,
    args: Vec<PathBuf>,
    child: Option<Child>,
}

impl Process {
    fn start(&mut self) {
        let child = Command::new(self.binary)
            .args(&self.args)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    fn pid(&self) -> Pid {
        let child = self.child.as_ref().expect("the process runs");
        Pid::from_child(child)
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Running processes; all are killed when it is dropped.
pub struct Cluster {
    folder: TempDir,
    pub installation: Installation,
    pub cell: CellSettings,
    pub targets: Vec<SampleTarget>,
    pub guard_links: Vec<UdpProxy>,
    pub target_links: Vec<TcpProxy>,
    peers: Vec<SocketAddr>,
    guard_https: Vec<SocketAddr>,
    pub entry_https: Vec<SocketAddr>,
    guards: Vec<Process>,
    entries: Vec<Process>,
    pub client: CallerClient,
    pub caller: CallerKey,
    records: Mutex<Vec<JobRecord>>,
}

impl Cluster {
    /// Starts a cluster and founds it.
    pub async fn start(shape: Shape) -> Self {
        let mut cluster = Self::start_unfounded(shape).await;
        cluster.found().await;
        cluster.wait_ready().await;
        cluster
    }

    /// Starts a cluster whose guards vote on nothing yet.
    pub async fn start_unfounded(shape: Shape) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let installation =
            Installation::create(folder.path(), shape.guards, shape.entries).unwrap();
        let peers = find_free_addresses(shape.guards).unwrap();
        let guard_https = find_free_addresses(shape.guards).unwrap();
        let entry_https = find_free_addresses(shape.entries).unwrap();
        let mut targets = Vec::new();
        let mut guard_links = Vec::new();
        let mut target_links = Vec::new();
        for peer in &peers {
            let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let target = SampleTarget::start(any).await.unwrap();
            target_links.push(TcpProxy::start(target.address()).await.unwrap());
            guard_links.push(UdpProxy::start(*peer).await.unwrap());
            targets.push(target);
        }
        let public: Vec<_> = guard_links.iter().map(UdpProxy::address).collect();
        let customers = [
            SoloWorkspace::named(CUSTOMER),
            SoloWorkspace::named("clinic"),
        ];
        let cell = installation
            .write_cell(&public, &customers, shape.cell)
            .unwrap();
        let mut cluster = Self {
            folder,
            installation,
            cell,
            targets,
            guard_links,
            target_links,
            peers,
            guard_https,
            entry_https,
            guards: Vec::new(),
            entries: Vec::new(),
            client: CallerClient::new().unwrap(),
            caller: customers[0].caller.clone(),
            records: Mutex::default(),
        };
        cluster.start_processes(shape.slots, &shape.entry);
        cluster
    }

    fn start_processes(&mut self, slots: usize, entry: &Value) {
        for index in 0..self.peers.len() {
            let addresses = GuardAddresses {
                public: self.guard_links[index].address(),
                peer: self.peers[index],
                http: self.guard_https[index],
                target: self.target_links[index].address(),
            };
            let log = self.log_settings(&format!("guard-{}", index + 1));
            let file = self
                .installation
                .write_guard(index + 1, &addresses, slots, log)
                .unwrap();
            let mut process = Process {
                binary: env!("CARGO_BIN_EXE_cloverfold-guard"),
                args: vec![file],
                child: None,
            };
            process.start();
            self.guards.push(process);
        }
        for (index, http) in self.entry_https.iter().enumerate() {
            let mut extra = self.log_settings(&format!("entry-{}", index + 1));
            extra
                .as_object_mut()
                .unwrap()
                .extend(entry.as_object().unwrap().clone());
            let file = self
                .installation
                .write_entry(index + 1, *http, extra)
                .unwrap();
            let mut process = Process {
                binary: env!("CARGO_BIN_EXE_cloverfold"),
                args: vec!["entry".into(), file],
                child: None,
            };
            process.start();
            self.entries.push(process);
        }
    }

    fn log_settings(&self, name: &str) -> Value {
        let file = self.folder.path().join(format!("{name}.log"));
        json!({ "log": { "level": "debug", "file": file } })
    }

    /// Founds the cell, as the operator's command does, once every guard answers.
    pub async fn found(&mut self) {
        self.wait_until_all_live().await;
        let network = open_operator_network(&self.installation.key_folder(), OPERATOR).unwrap();
        found_cell(&network, &list_guard_addresses(&self.cell))
            .await
            .unwrap();
    }

    async fn wait_until_all_live(&self) {
        for http in &self.guard_https {
            wait_until("a guard is up", async || {
                self.client.get_text(*http, "/healthz").await.is_ok()
            })
            .await;
        }
    }

    /// Waits until every process that runs is ready.
    pub async fn wait_ready(&self) {
        for index in 0..self.guards.len() {
            if self.guards[index].child.is_some() {
                self.wait_guard_ready(index).await;
            }
        }
        for http in &self.entry_https {
            self.wait_page(*http, "/readyz").await;
        }
        let live = self.count_running_guards();
        for index in 0..self.guards.len() {
            if self.guards[index].child.is_some() {
                self.wait_members_live(index, live).await;
            }
        }
        self.wait_led().await;
    }

    /// Waits until every running process takes the same guard for the lead.
    async fn wait_led(&self) {
        let is_running = |index: &usize| self.guards[*index].child.is_some();
        let first = (0..self.guards.len()).find(is_running);
        let lead = first.filter(|_| self.cell.find_lead().is_some());
        let expected = lead.map_or(0, |index| index + 1);
        let guards = (0..self.guards.len()).filter(is_running);
        let https = guards.map(|index| self.guard_https[index]);
        for http in https.chain(self.entry_https.iter().copied()) {
            wait_until("the lead is known", async || {
                self.read_metric(http, "cloverfold_acting_lead").await as usize == expected
            })
            .await;
        }
    }

    fn count_running_guards(&self) -> usize {
        let running = self.guards.iter().filter(|guard| guard.child.is_some());
        running.count()
    }

    /// Waits until a guard knows so many guards as able to work.
    pub async fn wait_members_live(&self, index: usize, count: usize) {
        wait_until("the guards know each other", async || {
            self.read_guard_metric(index, "cloverfold_members_live")
                .await as usize
                == count
        })
        .await;
    }

    pub async fn wait_guard_ready(&self, index: usize) {
        self.wait_page(self.guard_https[index], "/readyz").await;
    }

    async fn wait_page(&self, address: SocketAddr, path: &str) {
        wait_until(path, async || {
            let page = self.client.get_text(address, path).await;
            page.is_ok_and(|(status, _)| status == 200)
        })
        .await;
    }

    pub fn kill_guard(&mut self, index: usize) {
        self.guards[index].kill();
    }

    pub fn start_guard(&mut self, index: usize) {
        self.guards[index].start();
    }

    pub fn signal_guard(&self, index: usize, signal: Signal) {
        kill_process(self.guards[index].pid(), signal).unwrap();
    }

    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index].kill();
    }

    pub fn signal_entry(&self, index: usize, signal: Signal) {
        kill_process(self.entries[index].pid(), signal).unwrap();
    }

    /// Waits until a stopping guard has ended, and returns whether it ended well.
    pub async fn wait_guard_end(&mut self, index: usize) -> bool {
        wait_end(&mut self.guards[index]).await
    }

    pub async fn wait_entry_end(&mut self, index: usize) -> bool {
        wait_end(&mut self.entries[index]).await
    }

    /// Cuts a guard off from all others in silence, both ways, or joins it again.
    pub fn set_isolation(&self, index: usize, is_cut: bool) {
        let faults = if is_cut {
            Faults::silence()
        } else {
            Faults::default()
        };
        self.guard_links[index].set(faults);
        for link in &self.guard_links {
            link.faults().set_for(self.peers[index], faults);
        }
    }

    /// Slows the link between two guards, both ways.
    pub fn delay_between(&self, one: usize, other: usize, delay: Duration) {
        let faults = Faults {
            delay,
            ..Faults::default()
        };
        let set = |from: usize, to: usize| {
            self.guard_links[to]
                .faults()
                .set_for(self.peers[from], faults);
        };
        set(one, other);
        set(other, one);
    }

    /// Returns the guards that hold a job's key, first choice first, counted from 0.
    pub fn group_of(&self, job: &TestJob) -> Vec<usize> {
        let key = derive_submission_key(&self.caller.workspace, &job.name);
        let cell: Cell = self.cell.build_cell();
        let group = cell.choose_replica_group(&key);
        group.iter().map(|id| usize::from(*id) - 1).collect()
    }

    /// Finds a job name whose first choice is a given guard.
    pub fn name_job_for(&self, first: usize, prefix: &str) -> String {
        let names = (0..).map(|number| format!("{prefix}-{number}"));
        let mut names = names.filter(|name| self.group_of(&TestJob::new(name, 1, 1))[0] == first);
        names.next().unwrap()
    }

    /// Submits a job and notes the answer for the checker.
    pub async fn submit(&self, entry: usize, job: &TestJob) -> Result<JobAnswer, LoadError> {
        self.note_job(job);
        let answer = self
            .client
            .submit(self.entry_https[entry], &self.caller, &job.request())
            .await;
        if let Ok(answer) = &answer {
            let mut records = self.records.lock().unwrap();
            let record = records.iter_mut().find(|one| one.job == job.name);
            record.unwrap().answers.push(answer.clone());
        }
        answer
    }

    /// Submits a job, does something to the system once so many tasks have started, and returns the answer.
    pub async fn submit_disturbed(
        &self,
        job: &TestJob,
        starts: usize,
        disturb: impl FnOnce(),
    ) -> JobAnswer {
        let request = self.submit(0, job);
        tokio::pin!(request);
        tokio::select! {
            _ = &mut request => panic!("the job ended before anything was done"),
            () = self.wait_starts(starts) => {}
        }
        disturb();
        request.await.unwrap()
    }

    fn note_job(&self, job: &TestJob) {
        let mut records = self.records.lock().unwrap();
        if !records.iter().any(|one| one.job == job.name) {
            records.push(JobRecord {
                job: job.name.clone(),
                tasks: job.tasks,
                is_repeatable: job.repeat == Some("allowed"),
                answers: Vec::new(),
            });
        }
    }

    pub fn journals(&self) -> Vec<&Journal> {
        self.targets.iter().map(SampleTarget::journal).collect()
    }

    pub fn count_starts(&self) -> usize {
        self.journals().iter().map(|one| one.count_starts()).sum()
    }

    pub async fn wait_starts(&self, count: usize) {
        wait_until("tasks start", async || self.count_starts() >= count).await;
    }

    /// Runs an operator's command on the cell's file and returns what it prints.
    pub fn run_operator(&self, command: &[&str], args: &[&str]) -> String {
        let output = Command::new(env!("CARGO_BIN_EXE_cloverfold"))
            .args(command)
            .arg(self.installation.cell_file())
            .args(args)
            .arg("--keys")
            .arg(self.installation.key_folder())
            .args(["--name", OPERATOR])
            .output()
            .unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{stderr}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Returns one series of a guard's metrics.
    pub async fn read_guard_metric(&self, index: usize, series: &str) -> f64 {
        self.read_metric(self.guard_https[index], series).await
    }

    async fn read_metric(&self, http: SocketAddr, series: &str) -> f64 {
        let (_, page) = self.client.get_text(http, "/metrics").await.unwrap();
        let mut totals = cloverfold_load::MetricsTotals::default();
        totals.add_page(&page);
        totals.sum_of(series)
    }

    /// Fails the test when any promise was broken.
    pub fn check_promises(&self) {
        let broken = find_broken_promises(&self.records.lock().unwrap(), &self.journals());
        assert!(broken.is_empty(), "{broken:#?}");
    }

    /// Prints what the processes had to say, for a test that failed.
    fn print_logs(&self) {
        const SHOWN_LINES: usize = 40;
        for entry in std::fs::read_dir(self.folder.path()).unwrap().flatten() {
            let path = entry.path();
            if path.extension().is_some_and(|one| one == "log") {
                let text = std::fs::read_to_string(&path).unwrap_or_default();
                let lines: Vec<_> = text.lines().collect();
                let from = lines.len().saturating_sub(SHOWN_LINES);
                eprintln!("--- {}\n{}", path.display(), lines[from..].join("\n"));
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
    }
}

async fn wait_end(process: &mut Process) -> bool {
    let mut child = process.child.take().expect("the process runs");
    let mut status = None;
    wait_until("a process ends", async || {
        status = child.try_wait().unwrap();
        status.is_some()
    })
    .await;
    status.unwrap().success()
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let until = Instant::now() + CONDITION_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < until, "waited in vain until {what}");
        sleep(CONDITION_POLL).await;
    }
}
