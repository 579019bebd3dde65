//! A proxy for TCP that tells who opened a connection, and cuts one way.
//!
//! Owns its listener and connections. Relies on the caller's function to name the side that dialed by the first bytes that it sends.

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

/// Most bytes that are read at once. Chosen, not measured.
const CHUNK: usize = 16 * 1024;
/// How often a held direction looks whether it may go on. Chosen, not measured.
const HOLD_POLL: Duration = Duration::from_millis(5);
/// Connections that may wait to be accepted. Chosen, not measured.
const BACKLOG: u32 = 256;

/// Who opened a connection.
pub type DialerName = String;
/// Identifies the dialing side by the first bytes that it sent; `None` if they do not identify it.
pub type IdentifyDialer = fn(&[u8]) -> Option<DialerName>;

/// Faults between one dialing side and the process behind a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Delay of what is read at once.
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
    general: LinkFaults,
    by_dialer: HashMap<DialerName, LinkFaults>,
}

/// What happens to connections that are open at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Breaks {
    resets: u64,
    silences: u64,
}

/// Forwards connections to one process from an address of its own; stops when dropped.
pub struct LinkProxy {
    shared: Arc<Shared>,
    breaks: watch::Sender<Breaks>,
    task: JoinHandle<()>,
}

struct Shared {
    upstream: SocketAddr,
    identify_dialer: IdentifyDialer,
    rules: Mutex<Rules>,
}

impl LinkProxy {
    /// Starts to forward from `address` to `upstream`.
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
        let breaks = watch::Sender::new(Breaks::default());
        let task = tokio::spawn(accept_all(listener, shared.clone(), breaks.clone()));
        Ok(Self {
            shared,
            breaks,
            task,
        })
    }

    /// Sets the faults of all connections, beside those of single dialing sides.
    pub fn set(&self, faults: LinkFaults) {
        self.shared.lock().general = faults;
    }

    /// Sets the faults of connections that this side has opened.
    pub fn set_for(&self, dialer: &str, faults: LinkFaults) {
        self.shared
            .lock()
            .by_dialer
            .insert(dialer.to_owned(), faults);
    }

    /// Removes all faults; connections that went silent for good stay so.
    pub fn clear(&self) {
        *self.shared.lock() = Rules::default();
    }

    /// Resets all connections that are open now.
    pub fn reset_connections(&self) {
        self.breaks.send_modify(|breaks| breaks.resets += 1);
    }

    /// Drops all further traffic on the connections that are open now, without an error at either end. New connections work.
    pub fn blackhole_connections(&self) {
        self.breaks.send_modify(|breaks| breaks.silences += 1);
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
        let own = dialer.and_then(|dialer| rules.by_dialer.get(dialer));
        rules.general.combine(own.copied().unwrap_or_default())
    }
}

/// Which way bytes go.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    There,
    Back,
}

async fn accept_all(listener: TcpListener, shared: Arc<Shared>, breaks: watch::Sender<Breaks>) {
    loop {
        // A lack of descriptors passes; the dialing side tries again.
        let Ok((front, _)) = listener.accept().await else {
            sleep(HOLD_POLL).await;
            continue;
        };
        tokio::spawn(forward(front, shared.clone(), breaks.subscribe()));
    }
}

/// Forwards one connection until it ends or is broken.
async fn forward(front: TcpStream, shared: Arc<Shared>, mut breaks: watch::Receiver<Breaks>) {
    let Ok(back) = TcpStream::connect(shared.upstream).await else {
        // The process behind the proxy does not listen, so the dialing side sees a reset, as it would without a proxy.
        let _ = front.set_zero_linger();
        return;
    };
    for stream in [&front, &back] {
        // A failure only costs latency.
        let _ = stream.set_nodelay(true);
    }
    let before = *breaks.borrow_and_update();
    let dialer = Mutex::new(None);
    let (mut front_rx, mut front_tx) = front.into_split();
    let (mut back_rx, mut back_tx) = back.into_split();
    let outcome = {
        let there = copy(
            &mut front_rx,
            &mut back_tx,
            &shared,
            &dialer,
            Direction::There,
        );
        let back_again = copy(
            &mut back_rx,
            &mut front_tx,
            &shared,
            &dialer,
            Direction::Back,
        );
        tokio::select! {
            copied = async { tokio::try_join!(there, back_again) } => copied.map(|_| ()),
            _ = breaks.changed() => {
                // After a silence both ends stay open until the proxy resets them; an error means that the proxy is gone.
                let _ = breaks.wait_for(|now| now.resets != before.resets).await;
                Err(Broken)
            }
        }
    };
    if outcome == Err(Broken) {
        // A connection that has ended already needs no reset.
        let _ = front_tx.as_ref().set_zero_linger();
        let _ = back_tx.as_ref().set_zero_linger();
    }
}

/// A connection that ends by a reset at both sides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Broken;

/// Copies one direction; holds what was read while the faults say so.
async fn copy(
    rx: &mut OwnedReadHalf,
    tx: &mut OwnedWriteHalf,
    shared: &Shared,
    dialer: &Mutex<Option<DialerName>>,
    direction: Direction,
) -> Result<(), Broken> {
    let mut buf = vec![0; CHUNK];
    let mut is_first = true;
    loop {
        let Ok(len) = rx.read(&mut buf).await else {
            // A cut holds up a reset as well.
            hold(shared, dialer, direction).await;
            return Err(Broken);
        };
        if len == 0 {
            break;
        }
        if is_first && direction == Direction::There {
            *lock(dialer) = (shared.identify_dialer)(&buf[..len]);
        }
        is_first = false;
        let was_held = hold(shared, dialer, direction).await;
        // What a cut held up is lost if its sender has reset the connection meanwhile.
        if was_held && is_reset(rx) {
            return Err(Broken);
        }
        tx.write_all(&buf[..len]).await.map_err(|_| Broken)?;
    }
    hold(shared, dialer, direction).await;
    // An error means that the other side has closed already, which is what shutting down asks for.
    let _ = tx.shutdown().await;
    Ok(())
}

/// Waits for the delay and while the direction is held; returns whether it was held.
async fn hold(shared: &Shared, dialer: &Mutex<Option<DialerName>>, direction: Direction) -> bool {
    let mut was_held = false;
    loop {
        let name = lock(dialer).clone();
        let faults = shared.find(name.as_deref());
        let is_held = match direction {
            Direction::There => faults.blocks_to_upstream,
            Direction::Back => faults.blocks_to_dialer,
        };
        if !is_held {
            sleep(faults.delay).await;
            return was_held;
        }
        was_held = true;
        sleep(HOLD_POLL).await;
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
