//! A TCP proxy that identifies the dialing side of a connection and can block a single direction.
//!
//! A function of the caller identifies the dialing side by the first bytes that it sends.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Interval at which a blocked direction checks its faults again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 256;

/// The name of the side that opened a connection.
pub type DialerName = String;
/// Identifies the dialing side by the first bytes that it sent; `None` if they do not identify it.
pub type IdentifyDialer = fn(&[u8]) -> Option<DialerName>;

/// Faults between one dialing side and the process behind a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Delay of each read.
    pub delay: Duration,
    /// Holds back the bytes from the dialing side, without an error at either end.
    pub blocks_to_upstream: bool,
    /// Holds back the bytes from the process behind the proxy.
    pub blocks_to_dialer: bool,
}

impl LinkFaults {
    /// Returns the union of both fault sets, with the longer delay.
    pub fn combine(self, other: Self) -> Self {
        Self {
            delay: self.delay.max(other.delay),
            blocks_to_upstream: self.blocks_to_upstream || other.blocks_to_upstream,
            blocks_to_dialer: self.blocks_to_dialer || other.blocks_to_dialer,
        }
    }
}

#[derive(Debug, Default)]
struct Rules {
    default_faults: LinkFaults,
    by_dialer: HashMap<DialerName, LinkFaults>,
}

/// Counters of the faults that apply to all connections that are open at that time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ConnectionEvents {
    resets: u64,
    blackholes: u64,
}

/// Forwards connections from its own address to one process until it is dropped.
pub struct LinkProxy {
    shared: Arc<Shared>,
    events: watch::Sender<ConnectionEvents>,
    task: JoinHandle<()>,
}

struct Shared {
    upstream: SocketAddr,
    identify_dialer: IdentifyDialer,
    rules: Mutex<Rules>,
}

impl LinkProxy {
    /// Starts forwarding from `address` to `upstream`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        upstream: SocketAddr,
        identify_dialer: IdentifyDialer,
    ) -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG)?;
        let shared = Arc::new(Shared {
            upstream,
            identify_dialer,
            rules: Mutex::default(),
        });
        let events = watch::Sender::new(ConnectionEvents::default());
        let task = tokio::spawn(accept_all(listener, shared.clone(), events.clone()));
        Ok(Self {
            shared,
            events,
            task,
        })
    }

    /// Sets the faults of all connections, in addition to those of single dialing sides.
    pub fn set(&self, faults: LinkFaults) {
        self.shared.lock().default_faults = faults;
    }

    /// Sets the faults of the connections that one side has opened.
    pub fn set_for(&self, dialer: &str, faults: LinkFaults) {
        self.shared
            .lock()
            .by_dialer
            .insert(dialer.to_owned(), faults);
    }

    /// Removes all faults. Connections that were open during [`Self::blackhole_connections`] remain without traffic.
    pub fn clear(&self) {
        *self.shared.lock() = Rules::default();
    }

    /// Resets all connections that are open now.
    pub fn reset_connections(&self) {
        self.events.send_modify(|events| events.resets += 1);
    }

    /// Drops all further traffic on the connections that are open now, without an error at either end. New connections work.
    pub fn blackhole_connections(&self) {
        self.events.send_modify(|events| events.blackholes += 1);
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.reset_connections();
        self.task.abort();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Rules> {
        self.rules.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn find(&self, dialer: Option<&str>) -> LinkFaults {
        let rules = self.lock();
        let own_faults = dialer.and_then(|dialer| rules.by_dialer.get(dialer));
        rules
            .default_faults
            .combine(own_faults.copied().unwrap_or_default())
    }
}

/// The direction of the forwarded bytes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToUpstream,
    ToDialer,
}

async fn accept_all(
    listener: TcpListener,
    shared: Arc<Shared>,
    events: watch::Sender<ConnectionEvents>,
) {
    loop {
        // A lack of file descriptors is temporary, and the dialing side retries.
        let Ok((client, _)) = listener.accept().await else {
            sleep(POLL_INTERVAL).await;
            continue;
        };
        tokio::spawn(forward(client, shared.clone(), events.subscribe()));
    }
}

/// Forwards one connection until it ends or is reset.
async fn forward(
    client: TcpStream,
    shared: Arc<Shared>,
    mut events: watch::Receiver<ConnectionEvents>,
) {
    let Ok(server) = TcpStream::connect(shared.upstream).await else {
        // The process behind the proxy does not listen. Resets the dialing side, as the process itself would.
        let _ = client.set_zero_linger();
        return;
    };
    for stream in [&client, &server] {
        // A failure only costs latency.
        let _ = stream.set_nodelay(true);
    }
    let initial = *events.borrow_and_update();
    let dialer = Mutex::new(None);
    let (mut client_rx, mut client_tx) = client.into_split();
    let (mut server_rx, mut server_tx) = server.into_split();
    let outcome = {
        let to_server = copy(
            &mut client_rx,
            &mut server_tx,
            &shared,
            &dialer,
            Direction::ToUpstream,
        );
        let to_client = copy(
            &mut server_rx,
            &mut client_tx,
            &shared,
            &dialer,
            Direction::ToDialer,
        );
        tokio::select! {
            copied = async { tokio::try_join!(to_server, to_client) } => copied.map(|_| ()),
            _ = events.changed() => {
                // Keeps both ends open without traffic until the proxy resets them; an error means that the proxy was dropped.
                let _ = events.wait_for(|now| now.resets != initial.resets).await;
                Err(ConnectionReset)
            }
        }
    };
    if outcome == Err(ConnectionReset) {
        // An error means that the connection has already ended.
        let _ = client_tx.as_ref().set_zero_linger();
        let _ = server_tx.as_ref().set_zero_linger();
    }
}

/// The connection ends with a reset at both sides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ConnectionReset;

/// Copies one direction, and holds back bytes while the faults block it.
async fn copy(
    rx: &mut OwnedReadHalf,
    tx: &mut OwnedWriteHalf,
    shared: &Shared,
    dialer: &Mutex<Option<DialerName>>,
    direction: Direction,
) -> Result<(), ConnectionReset> {
    let mut buf = vec![0; READ_BUFFER_BYTES];
    let mut is_first = true;
    loop {
        let Ok(len) = rx.read(&mut buf).await else {
            // A blocked direction delays a reset as well.
            apply_faults(shared, dialer, direction).await;
            return Err(ConnectionReset);
        };
        if len == 0 {
            break;
        }
        if is_first && direction == Direction::ToUpstream {
            *lock(dialer) = (shared.identify_dialer)(&buf[..len]);
        }
        is_first = false;
        let was_blocked = apply_faults(shared, dialer, direction).await;
        // Bytes that were held back are lost if their sender reset the connection in the meantime.
        if was_blocked && is_reset(rx) {
            return Err(ConnectionReset);
        }
        tx.write_all(&buf[..len])
            .await
            .map_err(|_| ConnectionReset)?;
    }
    apply_faults(shared, dialer, direction).await;
    // An error means that the other side has already closed the connection.
    let _ = tx.shutdown().await;
    Ok(())
}

/// Waits while the direction is blocked, then for the delay; returns whether the direction was blocked.
async fn apply_faults(
    shared: &Shared,
    dialer: &Mutex<Option<DialerName>>,
    direction: Direction,
) -> bool {
    let mut was_blocked = false;
    loop {
        let name = lock(dialer).clone();
        let faults = shared.find(name.as_deref());
        let is_blocked = match direction {
            Direction::ToUpstream => faults.blocks_to_upstream,
            Direction::ToDialer => faults.blocks_to_dialer,
        };
        if !is_blocked {
            sleep(faults.delay).await;
            return was_blocked;
        }
        was_blocked = true;
        sleep(POLL_INTERVAL).await;
    }
}

fn lock(dialer: &Mutex<Option<DialerName>>) -> MutexGuard<'_, Option<DialerName>> {
    dialer.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns whether the sender has reset the connection.
fn is_reset(rx: &OwnedReadHalf) -> bool {
    let error = rx.as_ref().take_error();
    !matches!(error, Ok(None))
}
