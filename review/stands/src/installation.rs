//! A small leased installation: the project's own programs as separate processes, with the commands of the deploy file.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::{Record, lock};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: usize) -> i32;
}

/// `PR_SET_PDEATHSIG`: the signal that a process gets when the thread that started it ends.
const SIGNAL_ON_PARENTS_END: i32 = 1;

pub const SIGKILL: i32 = 9;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Control(usize),
    Entry(usize),
    Guard(usize),
}

impl Role {
    pub fn name(self) -> String {
        match self {
            Role::Control(i) => format!("control-{}", i + 1),
            Role::Entry(i) => format!("entry-{}", i + 1),
            Role::Guard(i) => format!("guard-{}", i + 1),
        }
    }

    fn index(self) -> usize {
        match self {
            Role::Control(i) | Role::Entry(i) | Role::Guard(i) => i,
        }
    }
}

pub const HALLS: [&str; 3] = ["ba-hall-a", "ba-hall-b", "ba-hall-c"];

pub struct Installation {
    block: [u8; 2],
    port: u16,
    folder: PathBuf,
    programs: PathBuf,
    pub controls: usize,
    pub entries: usize,
    pub guards: usize,
    /// Where the platform's list of machines is served, if anywhere.
    pub cloud: Option<SocketAddr>,
    children: Mutex<Vec<(Role, Child)>>,
    record: Arc<Record>,
}

impl Installation {
    pub fn new(
        programs: &Path,
        controls: usize,
        entries: usize,
        guards: usize,
        record: Arc<Record>,
    ) -> io::Result<Self> {
        let process = std::process::id();
        let block = [100 + (process % 100) as u8, (process / 100 % 250) as u8];
        let probe = TcpListener::bind((Ipv4Addr::new(127, block[0], block[1], 1), 0))?;
        // Six ports in a row on each address.
        let port = probe.local_addr()?.port().min(u16::MAX - 10);
        let folder = std::env::temp_dir().join(format!("review-play-{process}"));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            block,
            port,
            folder,
            programs: programs.to_owned(),
            controls,
            entries,
            guards,
            cloud: None,
            children: Mutex::default(),
            record,
        })
    }

    fn ip(&self, role: Role) -> IpAddr {
        let last = match role {
            Role::Control(i) => 1 + i,
            Role::Entry(i) => 20 + i,
            Role::Guard(i) => 60 + i,
        };
        IpAddr::V4(Ipv4Addr::new(127, self.block[0], self.block[1], last as u8))
    }

    /// `Listen.Front` of an entry, `Listen.Control` of a control process or a guard.
    pub fn interface(&self, role: Role) -> SocketAddr {
        SocketAddr::new(self.ip(role), self.port + 1)
    }

    pub fn ready(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Role::Entry(entry)), self.port + 2)
    }

    /// The address of the executor beside a guard.
    pub fn executor(&self, guard: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Role::Guard(guard)), self.port + 4)
    }

    fn settings(&self, role: Role, may_found: bool) -> io::Result<PathBuf> {
        let seeds: Vec<String> = (0..self.controls.min(3))
            .map(|i| format!("\"{}\"", self.interface(Role::Control(i))))
            .collect();
        let peer = format!(
            "\"peer\": {{ \"name\": \"{}\", \"hall\": \"{}\", \"ip\": \"{}\", \"port\": {}, \"seeds\": [{}], \"metrics_port\": {} }}",
            role.name(),
            HALLS[role.index() % 3],
            self.ip(role),
            self.port,
            seeds.join(","),
            self.port + 3
        );
        let log =
            "\"log\": { \"level\": \"info\", \"stream\": \"stdout\", \"lines_per_second\": 200 }";
        let lease = "\"lease_ms\": 650, \"session_ms\": 500, \"stop_ms\": 50, \"resend_ms\": 1300";
        let rest = match role {
            Role::Entry(i) => format!(
                "\"lease\": {{ {lease} }}, \"client_address\": \"{}\", \"ready_address\": \"{}\", \"linger_ms\": 2200, \"drain_ms\": 5500",
                self.interface(role),
                self.ready(i)
            ),
            Role::Guard(_) => format!(
                "\"lease\": {{ {lease}, \"longest_lease_ms\": 1000 }}, \"registration_address\": \"{}\", \"drain_ms\": 5500",
                self.interface(role)
            ),
            Role::Control(_) => {
                let upkeep = self.cloud.map(|address| {
                    format!(
                        "\"upkeep\": {{ \"calls_per_second\": 60.0, \"readings_per_second\": 60.0, \"maintenance_s\": 2, \"lease_ms\": 3000, \"thaw_ms\": 300, \"list_lag_s\": 3, \"address\": \"{address}\" }}, "
                    )
                });
                format!(
                    "\"operator_address\": \"{}\", \"data_folder\": \"{}\", \"may_found\": {may_found}, \"halls\": [\"ba-hall-a\",\"ba-hall-b\",\"ba-hall-c\"], {}\"tolerated_losses\": 1, \"job_groups\": 1, \"status_s\": 150",
                    self.interface(role),
                    self.data_folder(role).display(),
                    upkeep.unwrap_or_default()
                )
            }
        };
        let path = self.folder.join(format!("{}.jsonc", role.name()));
        fs::write(&path, format!("{{ {peer}, {rest}, {log} }}\n"))?;
        Ok(path)
    }

    fn data_folder(&self, role: Role) -> PathBuf {
        self.folder.join(format!("data-{}", role.name()))
    }

    /// The file of a process's log lines.
    pub fn log_file(&self, role: Role) -> PathBuf {
        self.folder.join(format!("{}.log", role.name()))
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&self, role: Role, may_found: bool) -> io::Result<()> {
        let settings = self.settings(role, may_found)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_file(role))?;
        let (program, words): (_, &[&str]) = match role {
            Role::Control(_) => ("cloverfold", &["control"]),
            Role::Entry(_) => ("cloverfold", &["leased-entry"]),
            Role::Guard(_) => ("cloverfold-guard", &["--leased"]),
        };
        let mut command = Command::new(self.programs.join(program));
        command
            .args(words)
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: `prctl` is a system call, which may be made between fork and exec.
        unsafe {
            command.pre_exec(|| {
                // Nothing stays behind if the case itself is killed. All processes are started by its main thread.
                prctl(SIGNAL_ON_PARENTS_END, SIGKILL as usize);
                Ok(())
            });
        }
        let child = command.spawn()?;
        self.record.write(&format!("start {}", role.name()));
        lock(&self.children).push((role, child));
        Ok(())
    }

    /// Ends all processes and removes the folder.
    pub fn end(&self) {
        let mut children = std::mem::take(&mut *lock(&self.children));
        for (_, child) in &mut children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }

    pub fn start_all(&self) -> io::Result<()> {
        for role in self.roles() {
            self.start(role, true)?;
        }
        Ok(())
    }

    pub fn roles(&self) -> Vec<Role> {
        let controls = (0..self.controls).map(Role::Control);
        let entries = (0..self.entries).map(Role::Entry);
        let guards = (0..self.guards).map(Role::Guard);
        controls.chain(entries).chain(guards).collect()
    }

    /// Sends a signal to a process that runs.
    pub fn signal(&self, role: Role, signal: i32) {
        let children = lock(&self.children);
        if let Some((_, child)) = children.iter().find(|(known, _)| *known == role) {
            self.record
                .write(&format!("signal {signal} to {}", role.name()));
            // SAFETY: the process is a child that was not waited for, so the id is its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until a process has ended; `None` if it has not in time.
    pub fn wait(&self, role: Role, limit: Duration) -> Option<i32> {
        let until = Instant::now() + limit;
        loop {
            {
                let mut children = lock(&self.children);
                let index = children.iter().position(|(known, _)| *known == role)?;
                if let Ok(Some(status)) = children[index].1.try_wait() {
                    children.remove(index);
                    self.record
                        .write(&format!("{} has ended: {status}", role.name()));
                    return Some(status.code().unwrap_or(-1));
                }
            }
            if Instant::now() >= until {
                return None;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Processes that have ended by themselves.
    pub fn ended(&self) -> Vec<Role> {
        let mut children = lock(&self.children);
        let ended = children
            .iter_mut()
            .filter_map(|(role, child)| matches!(child.try_wait(), Ok(Some(_))).then_some(*role));
        ended.collect()
    }

    /// The control process that leads the group of kept jobs, by its log lines.
    pub fn group_leader(&self) -> Option<Role> {
        let mut newest: Option<(String, Role)> = None;
        for control in 0..self.controls {
            let role = Role::Control(control);
            let log = fs::read_to_string(self.log_file(role)).unwrap_or_default();
            let mut lines = log.lines().rev();
            let line = lines.find(|line| line.contains("became leader of a group of kept jobs"));
            // A line begins with its time, which sorts as text.
            if let Some(line) = line
                && newest
                    .as_ref()
                    .is_none_or(|(before, _)| line > before.as_str())
            {
                newest = Some((line.to_owned(), role));
            }
        }
        newest.map(|(_, role)| role)
    }

    /// Whether an entry is ready.
    pub fn is_ready(&self, entry: usize) -> bool {
        let limit = Duration::from_millis(500);
        let address = self.ready(entry);
        http::call(address, "GET", "/api/readyz", "x", &[], "", limit).status() == 200
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if (0..self.entries).all(|entry| self.is_ready(entry)) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        self.end();
    }
}
