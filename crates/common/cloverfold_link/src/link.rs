//! A link over one TCP connection: its reader, its writer, and its events.

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
use crate::socket::{USER_TIMEOUT, set_socket_options};

/// Capacity of the send queue of a link, in messages; further messages are dropped, and the first drop is logged.
const SEND_QUEUE_MESSAGES: usize = 4_096;
/// Maximum number of messages that are written with one system call.
const WRITE_BATCH_MESSAGES: usize = 64;
/// Interval of heartbeats on an idle link; less than a third of [`READ_TIMEOUT`], so that a late heartbeat does not close the link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// How long nothing may arrive before the link is closed, because a peer that loses power or is partitioned leaves a half-open
/// connection.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Buffer space for each read, in bytes.
const READ_BUFFER_BYTES: usize = 4 * 1024;
/// Delay after a failed accept, for example while there are no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Number of a link within this process, from 1; never reused.
pub type LinkId = u64;

/// Event on a link of a process.
#[derive(Debug)]
pub enum LinkEvent<M> {
    /// The link has opened.
    Opened {
        /// Number of the link.
        link: LinkId,
        /// Remote address of the connection; if the peer dialed, this is not the address on which it listens.
        address: SocketAddr,
        /// Whether this process opened the connection.
        dialed: bool,
        /// Sender of messages to the peer.
        sender: LinkSender<M>,
    },
    /// The peer has sent a message.
    Received {
        /// Number of the link.
        link: LinkId,
        /// The message.
        message: M,
    },
    /// The link has closed.
    Closed {
        /// Number of the link.
        link: LinkId,
    },
}

/// Sends messages over one link; dropping the last clone closes the link.
#[derive(Debug)]
pub struct LinkSender<M> {
    tx: mpsc::Sender<Bytes>,
    /// Whether a full queue of this link was logged.
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
    /// Queues an encoded message without waiting. Returns `false` if the link is closed or the queue is full.
    pub fn send_encoded(&self, message: &EncodedMessage<M>) -> bool {
        match self.tx.try_send(message.frame()) {
            Ok(()) => true,
            // Not logged, because a `LinkEvent::Closed` follows and its receiver logs it.
            Err(TrySendError::Closed(_)) => false,
            Err(TrySendError::Full(_)) => {
                self.log_full_queue();
                false
            }
        }
    }

    /// Logs the first dropped message of a link; otherwise a peer that does not read would flood the log.
    fn log_full_queue(&self) {
        if !self.is_full_logged.swap(true, Ordering::Relaxed) {
            log::warn!(queue = SEND_QUEUE_MESSAGES; "message dropped: the send queue of the link is full");
        }
    }
}

/// Accepts links for as long as the future is polled; all links report to `events`.
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
                log::warn!("cannot accept link: {cause}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Runs a link until it closes or `stopped` completes.
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
    set_socket_options(&stream, USER_TIMEOUT);
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
    // Fails only while the process shuts down and no longer receives events.
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
                log::warn!("closing link after an invalid frame: {cause}");
                return;
            }
        }
        buf.reserve(READ_BUFFER_BYTES);
        match timeout(READ_TIMEOUT, reader.read_buf(&mut buf)).await {
            // Not logged, because the `Closed` event follows and its receiver logs which peer it was.
            Ok(Ok(0) | Err(_)) => return,
            Ok(Ok(_)) => {}
            Err(_) => {
                log::info!(link; "peer timed out; closing link");
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
