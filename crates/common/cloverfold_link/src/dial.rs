//! Connections that this process opens.
//!
//! For peers whose address is known: [`Dialer`] keeps one link to a peer open and dials again whenever it is lost; [`send_once`] sends
//! a single message without keeping a link. Owns the task of each dialer. Relies on `link` to run a connection that stands.

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
use crate::link::{LinkEvent, run_link};
use crate::socket::{USER_TIMEOUT, tune_socket};

/// How long [`send_once`] may take.
const SEND_ONCE_TIMEOUT: Duration = Duration::from_millis(250);

/// Attempts that are quick after a link was lost or the process has started. With [`QUICK_ATTEMPT`] they cover about 1.2 s.
const QUICK_ATTEMPTS: u32 = 12;

/// A tenth of a second in all.
const QUICK_ATTEMPT: DialAttempt = DialAttempt {
    connect_timeout: Duration::from_millis(70),
    pause: Duration::from_millis(30),
};

/// Attempts to reach peers that stay away or are far.
const SLOW_ATTEMPT: DialAttempt = DialAttempt {
    connect_timeout: Duration::from_millis(250),
    pause: Duration::from_millis(200),
};

/// Factors by which a pause is varied, so that processes that lost a peer together don't dial it together.
const JITTER: std::ops::Range<f64> = 0.75..1.25;

/// One attempt to reach a peer, and the pause after it if it fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DialAttempt {
    /// How long the connection may take to be established.
    pub connect_timeout: Duration,
    /// How long to wait before the next attempt, on average.
    pub pause: Duration,
}

/// How a peer is dialed again.
///
/// A box without power answers nothing, so an attempt that begins just before it comes back is lost. Attempts are short
/// at first, when a restarted peer is most likely to come back, and longer for peers that stay away or are far.
#[derive(Clone, Copy, Debug)]
pub struct DialBackoff {
    /// The first attempts after a link was lost or the process has started.
    pub quick: DialAttempt,
    /// How many attempts are quick.
    pub quick_attempts: u32,
    /// All later ones.
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
    /// Returns the attempt that follows so many failures in a row.
    pub fn attempt_after(&self, failures: u32) -> DialAttempt {
        if failures < self.quick_attempts {
            self.quick
        } else {
            self.slow
        }
    }
}

/// Keeps a link to an address open until it is dropped; then the link closes.
#[derive(Debug)]
pub struct Dialer {
    /// The task stops when this is dropped.
    _alive: watch::Sender<()>,
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
        let (alive, stop) = watch::channel(());
        tokio::spawn(keep_dialing(address, backoff, events, stop));
        Self { _alive: alive }
    }
}

async fn keep_dialing<M>(
    address: SocketAddr,
    backoff: DialBackoff,
    events: mpsc::Sender<LinkEvent<M>>,
    stop: watch::Receiver<()>,
) where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    let mut failures = 0;
    loop {
        let attempt = backoff.attempt_after(failures);
        let connected = tokio::select! {
            connected = timeout(attempt.connect_timeout, TcpStream::connect(address)) => connected,
            () = wait_until_dropped(stop.clone()) => return,
        };
        match connected {
            Ok(Ok(stream)) => {
                failures = 0;
                let stopped = wait_until_dropped(stop.clone());
                run_link(stream, address, true, &events, stopped).await;
            }
            // Not logged: peers that are away are dialed several times a second, and the state logs which peers are connected.
            Ok(Err(_)) | Err(_) => failures = failures.saturating_add(1),
        }
        tokio::select! {
            () = sleep(add_jitter(attempt.pause)) => {}
            () = wait_until_dropped(stop.clone()) => return,
        }
    }
}

/// Waits until the sender's side is dropped; nothing is ever sent.
async fn wait_until_dropped(mut stop: watch::Receiver<()>) {
    while stop.changed().await.is_ok() {}
}

/// Sends one message over a connection of its own, and closes it.
///
/// # Errors
///
/// Returns the system's error, [`std::io::ErrorKind::TimedOut`] after 250 ms, or [`crate::FrameError`] within an error of kind `Other`.
/// A message that was sent may still be lost.
pub async fn send_once<M: Serialize>(address: SocketAddr, message: &M) -> std::io::Result<()> {
    let attempt = async {
        let mut stream = TcpStream::connect(address).await?;
        tune_socket(&stream, USER_TIMEOUT);
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
