//! The proxy for TCP.
//!
//! Owns its listener and connections. Relies on the fault table for delay and silence.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
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
        let task = tokio::spawn(accept_all(listener, upstream, faults.clone(), cuts.clone()));
        Ok(Self {
            address,
            faults,
            cuts,
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

    /// Closes every connection that is open now.
    pub fn cut(&self) {
        self.cuts.send_modify(|cuts| *cuts += 1);
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.cut();
        self.task.abort();
    }
}

/// Forwards each connection until it ends or is cut.
async fn accept_all(
    listener: TcpListener,
    upstream: SocketAddr,
    faults: FaultTable,
    cuts: watch::Sender<u64>,
) {
    while let Ok((front, source)) = listener.accept().await {
        let faults = faults.clone();
        let mut cut = cuts.subscribe();
        tokio::spawn(async move {
            let Ok(back) = TcpStream::connect(upstream).await else {
                return;
            };
            let (front_rx, front_tx) = front.into_split();
            let (back_rx, back_tx) = back.into_split();
            let there = copy_with_faults(front_rx, back_tx, source, faults.clone());
            let back = copy_with_faults(back_rx, front_tx, source, faults);
            tokio::select! {
                _ = cut.changed() => {}
                _ = async { tokio::join!(there, back) } => {}
            }
        });
    }
}

/// Copies one direction of a connection; holds what was read while the source is silenced.
async fn copy_with_faults(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    source: SocketAddr,
    faults: FaultTable,
) {
    let mut buf = vec![0; CHUNK];
    while let Ok(len) = rx.read(&mut buf).await {
        if len == 0 {
            break;
        }
        while faults.find(source).is_silent {
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
