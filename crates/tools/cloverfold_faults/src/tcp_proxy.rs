//! A TCP proxy that delays, stalls and closes connections.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Duration, sleep};

use crate::faults::{FaultTable, Faults};

/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Interval at which a stalled stream checks its faults again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Forwards connections to one process until it is dropped.
///
/// Only delays and black holes apply to byte streams; loss, jitter and duplication do not.
pub struct TcpProxy {
    address: SocketAddr,
    faults: FaultTable,
    closes: watch::Sender<u64>,
    blackholes: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl TcpProxy {
    /// Starts forwarding to `upstream` from an address that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let faults = FaultTable::default();
        let closes = watch::Sender::new(0);
        let blackholes = watch::Sender::new(0);
        let forwarding = Forwarding {
            upstream,
            faults: faults.clone(),
            closes: closes.clone(),
            blackholes: blackholes.clone(),
        };
        let task = tokio::spawn(accept_all(listener, forwarding));
        Ok(Self {
            address,
            faults,
            closes,
            blackholes,
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
        self.blackholes.send_modify(|blackholes| *blackholes += 1);
    }

    /// Closes all connections that are open now.
    pub fn close_connections(&self) {
        self.closes.send_modify(|closes| *closes += 1);
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.close_connections();
        self.task.abort();
    }
}

/// The configuration of the forwarded connections.
#[derive(Clone)]
struct Forwarding {
    upstream: SocketAddr,
    faults: FaultTable,
    closes: watch::Sender<u64>,
    blackholes: watch::Sender<u64>,
}

async fn accept_all(listener: TcpListener, forwarding: Forwarding) {
    while let Ok((client, source)) = listener.accept().await {
        tokio::spawn(forward(client, source, forwarding.clone()));
    }
}

/// Forwards a connection until it ends or is closed by the proxy.
async fn forward(mut client: TcpStream, source: SocketAddr, forwarding: Forwarding) {
    let mut closed = forwarding.closes.subscribe();
    let mut blackholed = forwarding.blackholes.subscribe();
    let Ok(mut server) = TcpStream::connect(forwarding.upstream).await else {
        return;
    };
    let faults = forwarding.faults;
    let (client_rx, client_tx) = client.split();
    let (server_rx, server_tx) = server.split();
    let to_server = copy_with_faults(client_rx, server_tx, source, faults.clone());
    let to_client = copy_with_faults(server_rx, client_tx, source, faults);
    let is_blackholed = tokio::select! {
        _ = closed.changed() => false,
        _ = blackholed.changed() => true,
        _ = async { tokio::join!(to_server, to_client) } => false,
    };
    if is_blackholed {
        // Keeps both ends open without traffic until the proxy closes them. An error means that the proxy was dropped.
        let _ = closed.changed().await;
    }
}

/// Copies one direction of a connection, and holds back bytes while the source is blackholed.
async fn copy_with_faults(
    mut rx: ReadHalf<'_>,
    mut tx: WriteHalf<'_>,
    source: SocketAddr,
    faults: FaultTable,
) {
    let mut buf = vec![0; READ_BUFFER_BYTES];
    while let Ok(len) = rx.read(&mut buf).await {
        if len == 0 {
            break;
        }
        while faults.find(source).is_blackholed {
            sleep(POLL_INTERVAL).await;
        }
        sleep(faults.find(source).delay).await;
        if tx.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
    // An error means that the other side has already closed the connection.
    let _ = tx.shutdown().await;
}
