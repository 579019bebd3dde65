//! Measures how fast one, two and four groups accept kept jobs.
//!
//! Starts three control processes on loopback addresses, with data folders in the folder for temporary files, and callers that each
//! submit one job after the other over a real link. Prints the time from a submission to its acceptance and the accepted jobs per
//! second, with the sync time of the same disk for comparison.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cloverfold_control::{ControlProcess, start_control};
use cloverfold_kept_jobs::{
    JobCall, JobCallMessage, JobReply, JobSubmission, SubmitOutcome, group_of,
};
use cloverfold_leased_settings::{ClientSettings, ControlSettings, PeerSettings};
use cloverfold_link::{DialBackoff, Dialer, LinkEvent, LinkSender};
use cloverfold_peer::{Hello, PeerDetails, PeerMessage, PeerRole, Trailing};
use cloverfold_platform::Platform;
use cloverfold_settings::LogSettings;
use eyre::{Result, eyre};
use tokio::sync::mpsc;
use tokio::time::timeout;

const CONTROLS: u8 = 3;
const GROUPS: [u32; 3] = [1, 2, 4];
/// Callers for each control process.
const CALLERS: [u32; 3] = [1, 16, 64];
/// Body size of a typical job.
const BODY_BYTES: usize = 600;
const RUN_LENGTH: Duration = Duration::from_secs(4);
/// Time after which a job counts as unanswered.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

fn main() -> Result<()> {
    // The test runner passes `--list` to list benches without running them.
    if std::env::args().any(|arg| arg == "--list") {
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    let folder = tempfile::tempdir()?;
    println!(
        "one sync of 600 bytes: {} us (median)",
        measure_sync(folder.path())?
    );
    println!("groups   callers   p50 us   p99 us   jobs/s   without a reply");
    for groups in GROUPS {
        for callers in CALLERS {
            runtime.block_on(measure(groups, callers))?;
        }
    }
    Ok(())
}

/// Returns the median time to write and sync one record on this disk, in microseconds.
fn measure_sync(folder: &Path) -> Result<u128> {
    let mut file = File::create(folder.join("sync"))?;
    let mut times = Vec::new();
    for _ in 0..200 {
        let started_at = Instant::now();
        file.write_all(&[7; BODY_BYTES])?;
        file.sync_data()?;
        times.push(started_at.elapsed().as_micros());
    }
    times.sort_unstable();
    Ok(times[times.len() / 2])
}

/// Measures one installation and prints its row.
async fn measure(groups: u32, callers: u32) -> Result<()> {
    let folder = tempfile::tempdir()?;
    let (first, port) = choose_addresses(groups, callers)?;
    let address = |index: u8| {
        let last = first.octets()[3] + index;
        let [a, b, c, _] = first.octets();
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, last)), port)
    };
    let seeds: Vec<SocketAddr> = (0..CONTROLS).map(address).collect();
    let processes: Result<Vec<ControlProcess>> = (0..CONTROLS)
        .map(|index| start(index, &seeds, groups, folder.path()))
        .collect();
    let _processes = processes?;
    let mut running = Vec::new();
    for number in 0..callers * u32::from(CONTROLS) {
        let control = seeds[number as usize % seeds.len()];
        running.push(tokio::spawn(submit_all(number, control, groups)));
    }
    let mut times = Vec::new();
    let mut unaccepted = 0;
    for caller in running {
        let (accepted, caller_unaccepted) = caller.await??;
        times.extend(accepted);
        unaccepted += caller_unaccepted;
    }
    times.sort_unstable();
    let quantile = |permille: usize| times.get(times.len() * permille / 1_000).copied();
    println!(
        "{groups:>6} {:>9} {:>8} {:>8} {:>8} {unaccepted:>17}",
        callers * u32::from(CONTROLS),
        quantile(500).unwrap_or_default(),
        quantile(990).unwrap_or_default(),
        times.len() as u64 / RUN_LENGTH.as_secs(),
    );
    Ok(())
}

/// Returns the first address and the port of an installation, which no other installation of this bench uses.
fn choose_addresses(groups: u32, callers: u32) -> Result<(Ipv4Addr, u16)> {
    let process = std::process::id();
    let first = Ipv4Addr::new(
        127,
        1 + (process % 200) as u8,
        (groups * 50 + callers) as u8,
        1,
    );
    let port = TcpListener::bind((first, 0))?.local_addr()?.port();
    Ok((first, port.min(u16::MAX - 10)))
}

fn start(index: u8, seeds: &[SocketAddr], groups: u32, folder: &Path) -> Result<ControlProcess> {
    let own = seeds[usize::from(index)];
    let settings = ControlSettings {
        upkeep: None,
        peer: PeerSettings {
            name: format!("control-{index}"),
            data_hall: "hall-a".into(),
            ip: own.ip(),
            listen_ip: None,
            port: own.port(),
            seeds: seeds.to_vec(),
            metrics_port: None,
        },
        operator_address: SocketAddr::new(own.ip(), own.port() + 1),
        data_folder: folder.join(format!("control-{index}")),
        may_found: true,
        tolerated_losses: 1,
        job_groups: groups,
        status_s: 150,
        halls: Vec::new(),
        clients: ClientSettings::default(),
        log: LogSettings::default(),
    };
    Ok(start_control(&settings, Arc::new(Platform::default()))?)
}

/// A caller with a link to a control process.
struct Caller {
    sender: LinkSender<PeerMessage>,
    events: mpsc::Receiver<LinkEvent<PeerMessage>>,
    _dialer: Dialer,
}

impl Caller {
    async fn connect(number: u32, control: SocketAddr) -> Result<Self> {
        let (tx, mut events) = mpsc::channel(1_024);
        let dialer = Dialer::start(control, DialBackoff::default(), tx);
        loop {
            let event = events
                .recv()
                .await
                .ok_or_else(|| eyre!("the dialer stopped before it opened a link"))?;
            if let LinkEvent::Opened { sender, .. } = event {
                sender.send(&PeerMessage::Hello(Hello {
                    name: format!("caller-{number}"),
                    role: PeerRole::Entry,
                    address: SocketAddr::from(([127, 0, 0, 1], 1)),
                    version: 0,
                    details: Trailing(Some(PeerDetails::new("hall-a"))),
                }));
                let _dialer = dialer;
                return Ok(Self {
                    sender,
                    events,
                    _dialer,
                });
            }
        }
    }

    /// Submits a job and returns the reply, or `None` if there is none in time.
    async fn submit(&mut self, token: u64, id: &str, groups: u32) -> Option<JobReply> {
        let submission = JobSubmission {
            id: id.into(),
            queue: "queue".into(),
            digest: [1; 16],
            body: vec![7; BODY_BYTES],
            tasks: 1,
            max_attempts: 3,
            driver: 1,
        };
        let group = group_of(id, groups);
        let call = JobCall::Submit(submission);
        let message = JobCallMessage { token, group, call };
        self.sender.send(&PeerMessage::JobCall(message));
        timeout(REPLY_TIMEOUT, self.receive(token)).await.ok()?
    }

    async fn receive(&mut self, token: u64) -> Option<JobReply> {
        loop {
            if let LinkEvent::Received { message, .. } = self.events.recv().await?
                && let PeerMessage::JobReply(reply) = message
                && reply.token == token
            {
                return Some(reply.reply);
            }
        }
    }
}

/// Submits jobs one after the other. Returns the times until acceptance in microseconds, and the number of jobs that were not accepted.
async fn submit_all(number: u32, control: SocketAddr, groups: u32) -> Result<(Vec<u128>, u32)> {
    let mut caller = Caller::connect(number, control).await?;
    let mut token = 0;
    // Waits until each group has a leader.
    for group in 0..groups {
        loop {
            token += 1;
            let id = (0..).map(|suffix| format!("first-{number}-{token}-{suffix}"));
            let id = { id }.find(|id| group_of(id, groups) == group);
            let id = id.unwrap_or_default();
            if let Some(JobReply::Submitted(_)) = caller.submit(token, &id, groups).await {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let deadline = Instant::now() + RUN_LENGTH;
    let mut times = Vec::new();
    let mut unaccepted = 0;
    while Instant::now() < deadline {
        token += 1;
        let started_at = Instant::now();
        let id = format!("job-{number}-{token}");
        match caller.submit(token, &id, groups).await {
            Some(JobReply::Submitted(SubmitOutcome::Accepted(_) | SubmitOutcome::Known)) => {
                times.push(started_at.elapsed().as_micros());
            }
            _ => unaccepted += 1,
        }
    }
    Ok((times, unaccepted))
}
