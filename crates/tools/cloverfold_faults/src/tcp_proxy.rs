//! The proxy for TCP.
//!
//! Owns its listener and connections. Relies on the fault table for delay and silence.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Duration, sleep};

use crate::faults::{FaultTable, Faults};

/// Most bytes that are read at once. Chosen, not measured.
const CHUNK: usize = 16 * 1024;
/// How often a silent stream checks whether the silence is over. Chosen, not measured.
const SILENCE_POLL: Duration = Duration::from_millis(5);

/// Forwards connections to one process; stops when dropped.
///
/// Delay and silence hold for byte streams; loss, jitter and duplication do not.
pub struct TcpProxy {
    address: SocketAddr,
    faults: FaultTable,
    cuts: watch::Sender<u64>,
    silences: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl TcpProxy {
    /// Starts to forward to `upstream` from an address that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let faults = FaultTable::default();
        let cuts = watch::Sender::new(0);
        let silences = watch::Sender::new(0);
        let forwarding = Forwarding {
            upstream,
            faults: faults.clone(),
            cuts: cuts.clone(),
            silences: silences.clone(),
        };
        let task = tokio::spawn(accept_all(listener, forwarding));
        Ok(Self {
            address,
            faults,
            cuts,
            silences,
            task,
        })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults of all connections.
    pub fn set(&self, faults: Faults) {
        self.faults.set(faults);
    }

    /// Drops all further traffic on the connections that are open now, without an error at either end. New connections work.
    pub fn blackhole_connections(&self) {
        self.silences.send_modify(|silences| *silences += 1);
    }

    /// Closes all connections that are open now.
    pub fn close_connections(&self) {
        self.cuts.send_modify(|cuts| *cuts += 1);
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.close_connections();
        self.task.abort();
    }
}

/// How connections are forwarded.
#[derive(Clone)]
struct Forwarding {
    upstream: SocketAddr,
    faults: FaultTable,
    cuts: watch::Sender<u64>,
    silences: watch::Sender<u64>,
}

async fn accept_all(listener: TcpListener, forwarding: Forwarding) {
    while let Ok((front, source)) = listener.accept().await {
        tokio::spawn(forward(front, source, forwarding.clone()));
    }
}

/// Forwards a connection until it ends or is cut.
async fn forward(mut front: TcpStream, source: SocketAddr, forwarding: Forwarding) {
    let mut cut = forwarding.cuts.subscribe();
    let mut silenced = forwarding.silences.subscribe();
    let Ok(mut back) = TcpStream::connect(forwarding.upstream).await else {
        return;
    };
    let faults = forwarding.faults;
    let (front_rx, front_tx) = front.split();
    let (back_rx, back_tx) = back.split();
    let there = copy_with_faults(front_rx, back_tx, source, faults.clone());
    let back_again = copy_with_faults(back_rx, front_tx, source, faults);
    let is_silenced = tokio::select! {
        _ = cut.changed() => false,
        _ = silenced.changed() => true,
        _ = async { tokio::join!(there, back_again) } => false,
    };
    if is_silenced {
        // Both ends stay open until the proxy cuts them. It fails only with the proxy, which cuts them too.
        let _ = cut.changed().await;
    }
}

/// Copies one direction of a connection; holds what was read while the source is silenced.
async fn copy_with_faults(
    mut rx: ReadHalf<'_>,
    mut tx: WriteHalf<'_>,
    source: SocketAddr,
    faults: FaultTable,
) {
    let mut buf = vec![0; CHUNK];
    while let Ok(len) = rx.read(&mut buf).await {
        if len == 0 {
            break;
        }
        while faults.find(source).is_blackholed {
            sleep(SILENCE_POLL).await;
        }
        sleep(faults.find(source).delay).await;
        if tx.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
    // An error means that the other side has closed already, which is what shutting down asks for.
    let _ = tx.shutdown().await;
}
