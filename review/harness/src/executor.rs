//! A stand-in for an executor, as the page PROTOCOL describes it. It runs as a process of its own.
//!
//! The client's `Spec` is `MILLISECONDS/CPU`: how long a task works, and the thousandths of a core that it takes. Standard output gets one
//! line for each start and each end: `UNIX-MS START|END EXECUTOR TASK RUN HOW`.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request, call, serve};
use crate::json::Json;

/// `HoldMaxMs` of the pages.
const HOLD_MAX_MS: u64 = 1_000;
/// `HeartbeatMs` of the pages.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Only for the script: the executor is unhealthy for `ForMs`. It answers starts with 503 and has done nothing.
pub const UNHEALTHY_PATH: &str = "/stand-in/unhealthy";
/// How many ends an answer lists.
const LISTED_ENDS: usize = 500;
pub const CAPACITY_CPU: u64 = 16_000;

pub struct Options {
    pub id: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub service: String,
    pub labels: Vec<String>,
}

struct Run {
    number: u64,
    cpu: u64,
    begun: Instant,
    work: Duration,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct State {
    id: String,
    began: Instant,
    fence: u64,
    /// On the executor's clock; everything ends when it is over.
    lease_ms: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<End>,
    last_end: u64,
    unhealthy_until: Option<Instant>,
    /// The highest run of each task that stopped or ended here, or was told to stop.
    highest: BTreeMap<String, u64>,
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl State {
    fn clock(&self) -> u64 {
        10_000 + self.began.elapsed().as_millis() as u64
    }

    fn log(&self, what: &str, task: &str, run: u64, how: &str) {
        println!("{} {what} {} {task} {run} {how}", unix_ms(), self.id);
    }

    /// Ends what is done, and everything once the lease is over.
    fn advance(&mut self) {
        let is_over = self.clock() > self.lease_ms;
        let done = |run: &Run| run.begun.elapsed() >= run.work;
        let ends: Vec<(String, &'static str)> = self
            .running
            .iter()
            .filter_map(|(task, run)| {
                let how = if done(run) { "done" } else { "lapsed" };
                (done(run) || is_over).then(|| (task.clone(), how))
            })
            .collect();
        for (task, how) in ends {
            self.end(&task, how);
        }
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.log("END", task, run.number, how);
        self.last_end += 1;
        self.ended.push(End {
            number: self.last_end,
            task: task.to_owned(),
            run: run.number,
            how,
        });
        self.forbid(task, run.number);
    }

    fn forbid(&mut self, task: &str, run: u64) {
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run);
    }

    fn is_fenced(&mut self, body: &Json) -> bool {
        let token = body.number("FencingToken").unwrap_or_default();
        let is_fenced = token < self.fence;
        self.fence = self.fence.max(token);
        is_fenced
    }

    fn extend(&mut self, body: &Json) {
        if let Some(deadline) = body.number("DeadlineMs") {
            let deadline = deadline.min(self.clock() + HOLD_MAX_MS);
            self.lease_ms = self.lease_ms.max(deadline);
        }
    }

    fn refuse(&self, reason: &str) -> Reply {
        let clock = self.clock();
        Reply::json(409, format!(r#"{{"ClockMs":{clock},"Reason":"{reason}"}}"#))
    }

    fn accept(&self) -> Reply {
        Reply::json(200, format!(r#"{{"ClockMs":{}}}"#, self.clock()))
    }

    fn start(&mut self, body: &Json) -> Reply {
        self.advance();
        if self
            .unhealthy_until
            .is_some_and(|until| Instant::now() < until)
        {
            return Reply::json(503, "{}");
        }
        if self.is_fenced(body) {
            return self.refuse("fence");
        }
        let deadline = body.number("DeadlineMs").unwrap_or_default();
        if deadline <= self.clock() {
            return self.refuse("late");
        }
        self.extend(body);
        let task = body.text("Task").to_owned();
        let run = body.number("Run").unwrap_or_default();
        if self
            .running
            .get(&task)
            .is_some_and(|known| known.number == run)
        {
            return self.accept();
        }
        let is_old = self
            .highest
            .get(&task)
            .is_some_and(|highest| run <= *highest);
        if is_old || self.running.contains_key(&task) {
            return self.refuse("old");
        }
        let (work, cpu) = read_spec(body.text("Spec"));
        let used: u64 = self.running.values().map(|run| run.cpu).sum();
        if used + cpu > CAPACITY_CPU {
            return self.refuse("room");
        }
        self.log("START", &task, run, body.text("Spec"));
        self.running.insert(
            task,
            Run {
                number: run,
                cpu,
                begun: Instant::now(),
                work,
            },
        );
        self.accept()
    }

    fn stop(&mut self, body: &Json) -> Reply {
        self.advance();
        if self.is_fenced(body) {
            return self.refuse("fence");
        }
        let task = body.text("Task").to_owned();
        let run = body.number("Run").unwrap_or_default();
        if self
            .running
            .get(&task)
            .is_some_and(|known| known.number == run)
        {
            self.end(&task, "stopped");
        }
        self.forbid(&task, run);
        self.accept()
    }

    fn list(&self) -> Reply {
        let running: Vec<String> = self
            .running
            .iter()
            .map(|(task, run)| {
                let share = run.begun.elapsed().as_secs_f64() / run.work.as_secs_f64().max(0.001);
                let percent = (100.0 * share).min(100.0) as u64;
                format!(r#"["{task}",{},"",{percent}]"#, run.number)
            })
            .collect();
        let ended: Vec<String> = self
            .ended
            .iter()
            .take(LISTED_ENDS)
            .map(|end| {
                format!(
                    r#"[{},"{}",{},"{}",""]"#,
                    end.number, end.task, end.run, end.how
                )
            })
            .collect();
        Reply::json(
            200,
            format!(
                r#"{{"ClockMs":{},"Running":[{}],"EndedAt":[{}]}}"#,
                self.clock(),
                running.join(","),
                ended.join(",")
            ),
        )
    }
}

fn read_spec(spec: &str) -> (Duration, u64) {
    let (work, cpu) = spec.split_once('/').unwrap_or((spec, "0"));
    let work = work.parse().unwrap_or(100);
    (Duration::from_millis(work), cpu.parse().unwrap_or(0))
}

type Shared = Arc<Mutex<State>>;

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn hold(state: &Shared, body: &Json) -> Reply {
    let wait = Duration::from_millis(body.number("WaitMs").unwrap_or_default().min(2_000));
    let received = Instant::now();
    {
        let mut state = lock(state);
        state.advance();
        if state.is_fenced(body) {
            return state.refuse("fence");
        }
        let seen = body.number("LastSeen").unwrap_or_default();
        state.ended.retain(|end| end.number > seen);
        state.extend(body);
    }
    loop {
        {
            let mut state = lock(state);
            state.advance();
            if !state.ended.is_empty() || received.elapsed() >= wait {
                return state.list();
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
}

fn answer(state: &Shared, id: &str, request: &Request) -> Reply {
    let expected = request.headers.get("expect-instance");
    if expected.is_some_and(|expected| expected != id) {
        return Reply::json(421, "{}");
    }
    let Some(body) = Json::parse(&request.body) else {
        return Reply::json(400, "{}");
    };
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/api/run-start") => lock(state).start(&body),
        ("POST", "/api/run-stop") => lock(state).stop(&body),
        ("POST", "/api/hold") => hold(state, &body),
        ("POST", UNHEALTHY_PATH) => {
            let span = Duration::from_millis(body.number("ForMs").unwrap_or_default());
            lock(state).unhealthy_until = Some(Instant::now() + span);
            Reply::json(200, "{}")
        }
        _ => Reply::json(404, "{}"),
    }
}

/// Runs the executor until the process is killed.
pub fn run(options: &Options) -> Result<(), String> {
    let state = Arc::new(Mutex::new(State {
        id: options.id.clone(),
        began: Instant::now(),
        fence: 0,
        lease_ms: 0,
        running: BTreeMap::new(),
        ended: Vec::new(),
        last_end: 0,
        unhealthy_until: None,
        highest: BTreeMap::new(),
    }));
    let listener = TcpListener::bind(options.address).map_err(|cause| cause.to_string())?;
    let (served, id) = (state.clone(), options.id.clone());
    serve(listener, move |request| answer(&served, &id, &request));
    let ticked = state.clone();
    thread::spawn(move || {
        loop {
            lock(&ticked).advance();
            thread::sleep(Duration::from_millis(2));
        }
    });
    let labels: Vec<String> = options.labels.iter().map(|l| format!("\"{l}\"")).collect();
    let mut sequence = 0;
    loop {
        sequence += 1;
        let body = format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"a","Version":"v1","Slots":8,"State":"ready","ColdRemainingMs":0,"Capacity":{{"Cpu":{CAPACITY_CPU},"MemMb":32768,"Gpu":0}},"Labels":[{}],"ClockMs":{},"SeqNo":{sequence}}}"#,
            options.service,
            options.address,
            labels.join(","),
            lock(&state).clock()
        );
        let path = format!("/api/instances/{}", options.id);
        let host = options.control.to_string();
        let limit = Duration::from_secs(1);
        let sent = call(options.control, "PUT", &path, &host, &[], &body, limit);
        let is_taken = sent.is_ok_and(|reply| reply.status / 100 == 2);
        thread::sleep(if is_taken {
            HEARTBEAT
        } else {
            Duration::from_millis(300)
        });
    }
}
