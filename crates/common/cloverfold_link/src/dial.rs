//! Outgoing connections: [`Dialer`] keeps a link to a peer open and reconnects when it is lost, and [`send_once`] sends a single message
//! over a temporary connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::frame::encode_frame;
use crate::link::{LinkEvent, run_dialed_link};
use crate::socket::{USER_TIMEOUT, set_socket_options};

/// Timeout of [`send_once`].
const SEND_ONCE_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of quick attempts after a link was lost or the process has started; with [`QUICK_ATTEMPT`] they take about 1.2 s.
const QUICK_ATTEMPTS: u32 = 12;

/// Quick attempt; takes 100 ms including the pause.
const QUICK_ATTEMPT: DialAttempt = DialAttempt {
    connect_timeout: Duration::from_millis(70),
    pause: Duration::from_millis(30),
};

/// Slow attempt, for peers that stay unreachable or have a high latency.
const SLOW_ATTEMPT: DialAttempt = DialAttempt {
    connect_timeout: Duration::from_millis(250),
    pause: Duration::from_millis(200),
};

/// Range of the random factor on a pause, so that processes that lost a peer together do not dial it at the same time.
const JITTER: std::ops::Range<f64> = 0.75..1.25;

/// Timing of one attempt to connect to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DialAttempt {
    /// Timeout for establishing the connection.
    pub connect_timeout: Duration,
    /// Average pause before the next attempt.
    pub pause: Duration,
}

/// Backoff between attempts to connect to a peer.
///
/// A box without power does not respond, so an attempt that starts just before it comes back runs into its timeout. Attempts are short at
/// first, when a restarted peer is most likely to come back, and longer for peers that stay unreachable or have a high latency.
#[derive(Clone, Copy, Debug)]
pub struct DialBackoff {
    /// First attempts after a link was lost or the process has started.
    pub quick: DialAttempt,
    /// Number of quick attempts.
    pub quick_attempts: u32,
    /// All later attempts.
    pub slow: DialAttempt,
}

impl Default for DialBackoff {
    fn default() -> Self {
        Self {
            quick: QUICK_ATTEMPT,
            quick_attempts: QUICK_ATTEMPTS,
            slow: SLOW_ATTEMPT,
        }
    }
}

impl DialBackoff {
    /// Returns the attempt after this number of consecutive failures.
    pub fn attempt_after(&self, failures: u32) -> DialAttempt {
        if failures < self.quick_attempts {
            self.quick
        } else {
            self.slow
        }
    }
}

/// Keeps a link to an address open; dropping the dialer closes the link.
#[derive(Debug)]
pub struct Dialer {
    /// Stops the task when dropped.
    _stop_tx: watch::Sender<()>,
}

impl Dialer {
    /// Starts to dial; the link reports to `events`.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn start<M>(
        address: SocketAddr,
        backoff: DialBackoff,
        events: mpsc::Sender<LinkEvent<M>>,
    ) -> Self
    where
        M: Serialize + DeserializeOwned + Send + 'static,
    {
        let (stop_tx, stop_rx) = watch::channel(());
        tokio::spawn(run_dialer(address, backoff, events, stop_rx));
        Self { _stop_tx: stop_tx }
    }
}

async fn run_dialer<M>(
    address: SocketAddr,
    backoff: DialBackoff,
    events: mpsc::Sender<LinkEvent<M>>,
    stop_rx: watch::Receiver<()>,
) where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    let mut failures = 0;
    loop {
        let attempt = backoff.attempt_after(failures);
        let connected = tokio::select! {
            connected = timeout(attempt.connect_timeout, TcpStream::connect(address)) => connected,
            () = wait_until_dropped(stop_rx.clone()) => return,
        };
        match connected {
            Ok(Ok(stream)) => {
                failures = 0;
                let stopped = wait_until_dropped(stop_rx.clone());
                run_dialed_link(stream, address, &events, stopped).await;
            }
            // Not logged, because there are several attempts a second and the state logs which peers are connected.
            Ok(Err(_)) | Err(_) => failures = failures.saturating_add(1),
        }
        tokio::select! {
            () = sleep(add_jitter(attempt.pause)) => {}
            () = wait_until_dropped(stop_rx.clone()) => return,
        }
    }
}

/// Waits until the sender is dropped; it never sends a value.
async fn wait_until_dropped(mut stop_rx: watch::Receiver<()>) {
    while stop_rx.changed().await.is_ok() {}
}

/// Sends one message over a temporary connection.
///
/// # Errors
///
/// Returns the system's error, [`std::io::ErrorKind::TimedOut`] after 250 ms, or [`crate::FrameError`] within an error of kind `Other`.
/// Success does not guarantee delivery.
pub async fn send_once<M: Serialize>(address: SocketAddr, message: &M) -> std::io::Result<()> {
    let attempt = async {
        let mut stream = TcpStream::connect(address).await?;
        set_socket_options(&stream, USER_TIMEOUT);
        let mut buf = BytesMut::new();
        encode_frame(message, &mut buf).map_err(std::io::Error::other)?;
        stream.write_all(&buf).await?;
        stream.shutdown().await
    };
    timeout(SEND_ONCE_TIMEOUT, attempt)
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))?
}

fn add_jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(JITTER))
}
