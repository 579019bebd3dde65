//! One connection: its reader, its writer, and the events they raise.
//!
//! Carries typed messages over a TCP connection from either side and detects when it is over. Owns the queue of messages that wait to
//! be sent, and the numbers of links. Relies on `frame` for the form of messages and on `socket` for the options.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::time::{sleep, timeout};

use crate::encoded::EncodedMessage;
use crate::frame::{decode_frame, encode_heartbeat};
use crate::socket::{USER_TIMEOUT, tune_socket};

/// Messages that may wait for a slow peer; further ones are refused and the first of them is logged.
const SEND_QUEUE_MESSAGES: usize = 4_096;
/// Messages that are written with one system call at the most.
const WRITE_BATCH_MESSAGES: usize = 64;
/// How long a link may be idle before a heartbeat is sent: a third of [`SILENCE_TIMEOUT`], so that one that is late closes nothing.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Without any byte for this long the peer counts as lost: it may have no power or be cut off. Why there is a bound:
/// docs/incidents/1-half-open-links.md.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Buffer space reserved for each read, in bytes.
const READ_BUFFER_BYTES: usize = 4 * 1024;
/// Pause after a connection could not be accepted, for instance because the process has no file descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Number of one connection within this process, from 1; never used again.
pub type LinkId = u64;

/// What happens on the links of a process.
#[derive(Debug)]
pub enum LinkEvent<M> {
    /// A connection is established.
    Opened {
        /// The connection.
        link: LinkId,
        /// Address of the peer; for a connection that the peer opened, not the one it listens on.
        address: SocketAddr,
        /// Whether this process opened it.
        dialed: bool,
        /// Sends to the peer.
        sender: LinkSender<M>,
    },
    /// The peer sent a message.
    Received {
        /// The connection.
        link: LinkId,
        /// The message.
        message: M,
    },
    /// The connection is over.
    Closed {
        /// The connection.
        link: LinkId,
    },
}

/// Sends messages over one link; dropping the last copy closes the connection.
#[derive(Debug)]
pub struct LinkSender<M> {
    tx: mpsc::Sender<Bytes>,
    /// Whether a full queue was logged on this link.
    is_full_logged: Arc<AtomicBool>,
    message: PhantomData<fn(M)>,
}

impl<M> LinkSender<M> {
    fn new(tx: mpsc::Sender<Bytes>) -> Self {
        Self {
            tx,
            is_full_logged: Arc::default(),
            message: PhantomData,
        }
    }
}

impl<M> Clone for LinkSender<M> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            is_full_logged: self.is_full_logged.clone(),
            message: PhantomData,
        }
    }
}

impl<M: Serialize> LinkSender<M> {
    /// Queues a message without waiting, and returns the length of its frame in bytes. Returns `None` if the link is closed, the queue
    /// is full, or the message cannot be encoded (which is logged).
    pub fn send(&self, message: &M) -> Option<usize> {
        let encoded = EncodedMessage::new(message)?;
        self.send_encoded(&encoded).then_some(encoded.frame_len())
    }
}

impl<M> LinkSender<M> {
    /// Queues a message that is encoded already, without waiting. Returns `false` if the link is closed or the queue is full.
    pub fn send_encoded(&self, message: &EncodedMessage<M>) -> bool {
        match self.tx.try_send(message.frame()) {
            Ok(()) => true,
            // Not logged: a `LinkEvent::Closed` follows, and its receiver logs it.
            Err(TrySendError::Closed(_)) => false,
            Err(TrySendError::Full(_)) => {
                self.log_full_queue();
                false
            }
        }
    }

    /// Logs the first message that is refused on this link: a peer that reads nothing would else fill the log.
    fn log_full_queue(&self) {
        if !self.is_full_logged.swap(true, Ordering::Relaxed) {
            log::warn!(queue = SEND_QUEUE_MESSAGES; "a message is dropped: its link's queue is full");
        }
    }
}

/// Accepts links for as long as the future is polled; each reports to `events`.
pub async fn accept_links<M>(listener: TcpListener, events: mpsc::Sender<LinkEvent<M>>)
where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let events = events.clone();
                let never = std::future::pending();
                tokio::spawn(async move { run_link(stream, address, false, &events, never).await });
            }
            Err(cause) => {
                log::warn!("a link cannot be accepted: {cause}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Runs one link until it is over or `stopped` completes.
pub(crate) async fn run_link<M>(
    stream: TcpStream,
    address: SocketAddr,
    dialed: bool,
    events: &mpsc::Sender<LinkEvent<M>>,
    stopped: impl Future<Output = ()>,
) where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    static NEXT_LINK: AtomicU64 = AtomicU64::new(1);
    tune_socket(&stream, USER_TIMEOUT);
    let link = NEXT_LINK.fetch_add(1, Ordering::Relaxed);
    let (reader, writer) = stream.into_split();
    let (tx, rx) = mpsc::channel(SEND_QUEUE_MESSAGES);
    let opened = LinkEvent::Opened {
        link,
        address,
        dialed,
        sender: LinkSender::new(tx),
    };
    if events.send(opened).await.is_err() {
        return;
    }
    tokio::select! {
        () = read_messages(reader, link, events) => {}
        () = write_messages(writer, rx) => {}
        () = stopped => {}
    }
    // Fails only while the process ends: nothing receives events any more.
    let _ = events.send(LinkEvent::Closed { link }).await;
}

async fn read_messages<M: DeserializeOwned>(
    mut reader: OwnedReadHalf,
    link: LinkId,
    events: &mpsc::Sender<LinkEvent<M>>,
) {
    let mut buf = BytesMut::with_capacity(READ_BUFFER_BYTES);
    loop {
        match decode_frame(&mut buf) {
            Ok(Some(message)) => {
                let event = LinkEvent::Received { link, message };
                if events.send(event).await.is_err() {
                    return;
                }
                continue;
            }
            Ok(None) => {}
            Err(cause) => {
                log::warn!("a link is closed: {cause}");
                return;
            }
        }
        buf.reserve(READ_BUFFER_BYTES);
        match timeout(SILENCE_TIMEOUT, reader.read_buf(&mut buf)).await {
            // Not logged: the event of the closed link follows, and its receiver logs which peer it was.
            Ok(Ok(0) | Err(_)) => return,
            Ok(Ok(_)) => {}
            Err(_) => {
                log::info!(link; "peer is silent, closing its link");
                return;
            }
        }
    }
}

async fn write_messages(mut writer: OwnedWriteHalf, mut rx: mpsc::Receiver<Bytes>) {
    let mut batch = Vec::with_capacity(WRITE_BATCH_MESSAGES);
    let mut buf = BytesMut::new();
    loop {
        match timeout(
            HEARTBEAT_INTERVAL,
            rx.recv_many(&mut batch, WRITE_BATCH_MESSAGES),
        )
        .await
        {
            Ok(0) => return,
            Ok(_) => {}
            Err(_) => encode_heartbeat(&mut buf),
        }
        for frame in batch.drain(..) {
            buf.extend_from_slice(&frame);
        }
        if writer.write_all(&buf).await.is_err() {
            return;
        }
        buf.clear();
    }
}
