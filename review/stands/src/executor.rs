//! A stand-in of an executor, as the protocol's page tells it. Commands come by `rpc`.
//!
//! All executors of a play keep their runs in one [`Runs`], which the checks read.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Outcome, Request};
use crate::json::{Json, quote};
use crate::record::{Record, lock};

/// `HoldMaxMs` of the small sites.
const HOLD_MAX_MS: u64 = 1_000;
/// `HeartbeatMs` of the small sites.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How long a stop takes; `StopTimeoutMs` is 50.
const STOP_MS: u64 = 20;

/// One run of a task, as an executor saw it. Times are those of the record.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub executor: usize,
    pub started: u64,
    /// When and how it ended.
    pub ended: Option<(u64, &'static str)>,
}

/// All runs of a play.
#[derive(Default)]
pub struct Runs(pub Mutex<Vec<Run>>);

impl Runs {
    pub fn list(&self) -> Vec<Run> {
        lock(&self.0).clone()
    }
}

struct Active {
    index: usize,
    began: Instant,
    work: Duration,
    stopping: Option<Instant>,
    cpu: i64,
}

struct Life {
    number: u64,
    alive: bool,
    clock: Instant,
    token: u64,
    /// End of the lease on the executor's clock.
    lease: u64,
    running: BTreeMap<(String, u64), Active>,
    /// Number, task, run, how.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    highest: BTreeMap<String, u64>,
    draining: bool,
    sequence: u64,
}

impl Life {
    fn new(number: u64) -> Self {
        Self {
            number,
            alive: true,
            clock: Instant::now(),
            token: 0,
            lease: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            highest: BTreeMap::new(),
            draining: false,
            sequence: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        5_000 + self.clock.elapsed().as_millis() as u64
    }
}

/// How long the tasks of a step work, by the job's `Spec`: `ms,ms,...`, one figure a step.
pub fn work_of(spec: &str, step: usize) -> u64 {
    let figures: Vec<u64> = spec
        .split(',')
        .filter_map(|part| part.split(';').next()?.parse().ok())
        .collect();
    figures.get(step).or(figures.last()).copied().unwrap_or(100)
}

pub struct Config {
    pub index: usize,
    pub service: String,
    pub labels: Vec<String>,
    pub zone: String,
    pub address: SocketAddr,
    pub registration: SocketAddr,
    pub cpu: i64,
    /// Whether it refuses what does not fit.
    pub guards_room: bool,
    /// Demand of a task in thousandths of a core, by job and step.
    pub demands: Arc<Demands>,
}

/// `Cpu` of the tasks of each step of each job that was sent.
#[derive(Default)]
pub struct Demands(pub Mutex<BTreeMap<String, Vec<i64>>>);

impl Demands {
    fn find(&self, task: &str) -> i64 {
        let mut parts = task.split('.');
        let job = parts.next().unwrap_or_default();
        let step = parts.nth(1).and_then(|s| s.parse::<usize>().ok());
        let known = lock(&self.0);
        let steps = known.get(job);
        steps
            .and_then(|steps| steps.get(step.unwrap_or(0)).copied())
            .unwrap_or(0)
    }
}

pub struct Executor {
    config: Config,
    life: Mutex<Life>,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

impl Executor {
    pub fn start(
        config: Config,
        runs: Arc<Runs>,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let address = config.address;
        let executor = Arc::new(Self {
            config,
            life: Mutex::new(Life::new(1)),
            runs,
            record,
        });
        let shared = executor.clone();
        http::serve(address, Arc::new(move |request| shared.handle(&request)))?;
        let shared = executor.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                shared.advance(&mut lock(&shared.life));
            }
        });
        let shared = executor.clone();
        thread::spawn(move || {
            loop {
                shared.beat();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(executor)
    }

    pub fn id(&self, life: u64) -> String {
        format!("i-{:02x}-{life:04x}", self.config.index)
    }

    /// The executor crashes: all that runs there dies.
    pub fn crash(&self) {
        let mut life = lock(&self.life);
        self.advance(&mut life);
        let now = self.record.now();
        let mut runs = lock(&self.runs.0);
        for active in life.running.values() {
            runs[active.index].ended = Some((now, "died"));
        }
        drop(runs);
        let number = life.number + 1;
        self.record
            .write(&format!("executor {} crashes", self.id(life.number)));
        *life = Life::new(number);
        life.alive = false;
    }

    /// Sends one heartbeat.
    pub fn beat(&self) -> bool {
        let (id, body) = {
            let mut life = lock(&self.life);
            if !life.alive {
                return false;
            }
            life.sequence += 1;
            let labels: Vec<String> = self.config.labels.iter().map(|l| quote(l)).collect();
            let body = format!(
                "{{\"Service\":{},\"Address\":\"{}\",\"Zone\":{},\"Version\":\"v1\",\"Slots\":8,\"State\":\"{}\",\"ColdRemainingMs\":0,\"Capacity\":{{\"Cpu\":{},\"MemMb\":32768,\"Gpu\":0}},\"Labels\":[{}],\"ClockMs\":{},\"SeqNo\":{}}}",
                quote(&self.config.service),
                self.config.address,
                quote(&self.config.zone),
                if life.draining { "draining" } else { "ready" },
                self.config.cpu,
                labels.join(","),
                life.clock_ms(),
                life.sequence
            );
            (self.id(life.number), body)
        };
        let path = format!("/api/instances/{id}");
        let host = self.config.registration.to_string();
        let limit = Duration::from_secs(1);
        let outcome = http::call(
            self.config.registration,
            "PUT",
            &path,
            &host,
            &[],
            &body,
            limit,
        );
        matches!(outcome, Outcome::Answered(200..=299, _))
    }

    fn handle(&self, request: &Request) -> Option<(u16, String)> {
        let mut life = lock(&self.life);
        if !life.alive {
            return None;
        }
        self.advance(&mut life);
        let number = life.number;
        if request
            .header("Expect-Instance")
            .is_some_and(|expected| expected != self.id(number))
        {
            return Some((421, "{}".into()));
        }
        let Some(body) = Json::parse(&request.body) else {
            return Some((400, "{}".into()));
        };
        let token = body.number("FencingToken").unwrap_or(0);
        if token < life.token {
            return Some((409, self.refusal(&life, "fence")));
        }
        life.token = token;
        match request.path.as_str() {
            "/api/run-start" => Some(self.start_run(&mut life, &body)),
            "/api/run-stop" => Some(self.stop_run(&mut life, &body)),
            "/api/hold" => {
                drop(life);
                self.hold(number, &body)
            }
            _ => Some((404, "{}".into())),
        }
    }

    fn refusal(&self, life: &Life, reason: &str) -> String {
        format!(
            "{{\"ClockMs\":{},\"Reason\":\"{reason}\"}}",
            life.clock_ms()
        )
    }

    fn extend(&self, life: &mut Life, body: &Json) {
        if let Some(deadline) = body.number("DeadlineMs") {
            let longest = life.clock_ms() + HOLD_MAX_MS;
            life.lease = life.lease.max(deadline.min(longest));
        }
    }

    fn start_run(&self, life: &mut Life, body: &Json) -> (u16, String) {
        let task = body.text("Task").to_owned();
        let run = body.number("Run").unwrap_or(0);
        let spec = body.text("Spec").to_owned();
        if body.number("DeadlineMs").unwrap_or(0) <= life.clock_ms() {
            return (409, self.refusal(life, "late"));
        }
        self.extend(life, body);
        if life.running.contains_key(&(task.clone(), run)) {
            return (200, format!("{{\"ClockMs\":{}}}", life.clock_ms()));
        }
        if life.highest.get(&task).is_some_and(|known| run <= *known) {
            return (409, self.refusal(life, "old"));
        }
        let cpu = self.config.demands.find(&task);
        let used: i64 = life.running.values().map(|active| active.cpu).sum();
        if self.config.guards_room && used + cpu > self.config.cpu {
            return (409, self.refusal(life, "room"));
        }
        let step = task.split('.').nth(2).and_then(|s| s.parse().ok());
        let work = work_of(&spec, step.unwrap_or(0));
        let mut runs = lock(&self.runs.0);
        let index = runs.len();
        runs.push(Run {
            task: task.clone(),
            executor: self.config.index,
            started: self.record.now(),
            ended: None,
        });
        drop(runs);
        self.record.write(&format!(
            "executor {} starts {task} run {run}",
            self.id(life.number)
        ));
        let active = Active {
            index,
            began: Instant::now(),
            work: Duration::from_millis(work),
            stopping: None,
            cpu,
        };
        life.running.insert((task, run), active);
        (200, format!("{{\"ClockMs\":{}}}", life.clock_ms()))
    }

    fn stop_run(&self, life: &mut Life, body: &Json) -> (u16, String) {
        let task = body.text("Task").to_owned();
        let run = body.number("Run").unwrap_or(0);
        let known = life.highest.entry(task.clone()).or_default();
        *known = run.max(*known);
        if let Some(active) = life.running.get_mut(&(task, run)) {
            active
                .stopping
                .get_or_insert(Instant::now() + Duration::from_millis(STOP_MS));
        }
        (200, format!("{{\"ClockMs\":{}}}", life.clock_ms()))
    }

    fn hold(&self, number: u64, body: &Json) -> Option<(u16, String)> {
        let wait = Duration::from_millis(body.number("WaitMs").unwrap_or(0).min(2_000));
        let began = Instant::now();
        {
            let mut life = lock(&self.life);
            if life.number != number || !life.alive {
                return None;
            }
            self.extend(&mut life, body);
            let last_seen = body.number("LastSeen").unwrap_or(0);
            life.ended.retain(|(end, ..)| *end > last_seen);
        }
        loop {
            {
                let mut life = lock(&self.life);
                if life.number != number || !life.alive {
                    return None;
                }
                self.advance(&mut life);
                if !life.ended.is_empty() || began.elapsed() >= wait {
                    return Some((200, self.lists(&life)));
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn lists(&self, life: &Life) -> String {
        let running = life.running.iter().map(|((task, run), active)| {
            let work = active.work.as_secs_f64().max(0.001);
            let share = 100.0 * active.began.elapsed().as_secs_f64() / work;
            format!("[\"{task}\",{run},\"\",{}]", share.min(100.0) as u64)
        });
        let ended = life.ended.iter().take(500);
        let ended =
            ended.map(|(n, task, run, how)| format!("[{n},\"{task}\",{run},\"{how}\",\"\"]"));
        format!(
            "{{\"ClockMs\":{},\"Running\":[{}],\"EndedAt\":[{}]}}",
            life.clock_ms(),
            running.collect::<Vec<_>>().join(","),
            ended.collect::<Vec<_>>().join(",")
        )
    }

    /// Ends what is over by now.
    fn advance(&self, life: &mut Life) {
        if !life.alive {
            return;
        }
        let is_lapsed = life.clock_ms() > life.lease;
        let mut over = Vec::new();
        for (key, active) in &life.running {
            let is_done = active.began.elapsed() >= active.work;
            let how = if is_done {
                "done"
            } else if active.stopping.is_some_and(|at| Instant::now() >= at) {
                "stopped"
            } else if is_lapsed {
                "lapsed"
            } else {
                continue;
            };
            over.push((key.clone(), how));
        }
        for ((task, run), how) in over {
            let Some(active) = life.running.remove(&(task.clone(), run)) else {
                continue;
            };
            life.last_end += 1;
            let now = self.record.now();
            lock(&self.runs.0)[active.index].ended = Some((now, how));
            self.record.write(&format!(
                "executor {} ends {task} run {run}: {how} (end {})",
                self.id(life.number),
                life.last_end
            ));
            let highest = life.highest.entry(task.clone()).or_default();
            *highest = run.max(*highest);
            life.ended.push((life.last_end, task, run, how));
        }
    }
}
