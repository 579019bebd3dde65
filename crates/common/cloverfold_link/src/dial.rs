//! Links that this process opens and opens again.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::frame::encode_frame;
use crate::link::{LinkEvent, run_link};
use crate::socket::tune;

/// How long the one message of [`send_once`] may take.
const SEND_ONCE_TIMEOUT: Duration = Duration::from_millis(250);

/// One attempt to reach a peer, and the pause after it if it fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DialAttempt {
    /// How long the connection may take to stand.
    pub patience: Duration,
    /// How long to wait before the next attempt.
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
            quick: DialAttempt {
                patience: Duration::from_millis(70),
                pause: Duration::from_millis(30),
            },
            quick_attempts: 12,
            slow: DialAttempt {
                patience: Duration::from_millis(250),
                pause: Duration::from_millis(200),
            },
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

/// Keeps a link to an address standing until it is dropped.
#[derive(Debug)]
pub struct Dialer {
    task: JoinHandle<()>,
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Dialer {
    /// Starts to dial.
    pub fn start<M>(
        address: SocketAddr,
        backoff: DialBackoff,
        events: mpsc::Sender<LinkEvent<M>>,
    ) -> Self
    where
        M: Serialize + DeserializeOwned + Send + 'static,
    {
        let task = tokio::spawn(async move {
            let mut failures = 0;
            loop {
                let attempt = backoff.attempt_after(failures);
                match timeout(attempt.patience, TcpStream::connect(address)).await {
                    Ok(Ok(stream)) => {
                        failures = 0;
                        run_link(stream, address, true, &events).await;
                    }
                    Ok(Err(_)) | Err(_) => failures = failures.saturating_add(1),
                }
                sleep(add_jitter(attempt.pause)).await;
            }
        });
        Self { task }
    }
}

/// Sends one message over a connection of its own.
///
/// # Errors
///
/// Returns the system's error, or that the peer took too long.
pub async fn send_once<M: Serialize>(address: SocketAddr, message: &M) -> std::io::Result<()> {
    let attempt = async {
        let mut stream = TcpStream::connect(address).await?;
        tune(&stream);
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
    pause.mul_f64(rand::random_range(0.75..1.25))
}
