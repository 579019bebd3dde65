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

/// How long a connection may take to stand before it is tried anew.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Pauses between attempts to reach a peer.
#[derive(Clone, Copy, Debug)]
pub struct DialBackoff {
    /// Pause after the first failure.
    pub first: Duration,
    /// Longest pause.
    pub longest: Duration,
}

impl Default for DialBackoff {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(60),
            longest: Duration::from_millis(250),
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
            let mut pause = backoff.first;
            loop {
                match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
                    Ok(Ok(stream)) => {
                        pause = backoff.first;
                        run_link(stream, address, true, &events).await;
                    }
                    Ok(Err(_)) | Err(_) => pause = (pause * 2).min(backoff.longest),
                }
                sleep(add_jitter(pause)).await;
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
    timeout(CONNECT_TIMEOUT, attempt)
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))?
}

fn add_jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.75..1.25))
}
