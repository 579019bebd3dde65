//! A link over one TCP connection: its reader, its writer, and its events.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cloverfold_connections::{Connection, ConnectionBudget};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::time::{sleep, timeout};

use crate::encoded::EncodedMessage;
use crate::frame::{MAX_FRAME_LEN, decode_frame_within, encode_heartbeat};
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

/// Maximum length of an encoded message before the peer has identified itself, in bytes.
pub const MAX_GREETING_LEN: usize = 8 * 1024;
/// Memory of a link before the peer has identified itself, in bytes: its tasks, and a read buffer for the longest greeting.
pub const UNIDENTIFIED_LINK_BYTES: usize = 24 * 1024;

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

/// How the peer of an accepted link identifies itself.
#[derive(Clone, Debug)]
pub struct Greeting<M> {
    /// Bounds the links whose peer has not identified itself. Each takes [`UNIDENTIFIED_LINK_BYTES`] of it.
    pub budget: ConnectionBudget,
    /// Returns whether a message identifies the peer. Until then, messages are at most [`MAX_GREETING_LEN`] long.
    pub is_greeting: fn(&M) -> bool,
}

/// An accepted link whose peer has not identified itself.
struct UnidentifiedPeer<M> {
    connection: Connection,
    is_greeting: fn(&M) -> bool,
}

/// Accepts links for as long as the future is polled; all links report to `events`.
pub async fn accept_links<M>(
    listener: TcpListener,
    greeting: Greeting<M>,
    events: mpsc::Sender<LinkEvent<M>>,
) where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                // A refused link closes here; the budget counts and logs it.
                let Ok(connection) = greeting.budget.open(UNIDENTIFIED_LINK_BYTES).await else {
                    continue;
                };
                let peer = UnidentifiedPeer {
                    connection,
                    is_greeting: greeting.is_greeting,
                };
                let events = events.clone();
                tokio::spawn(
                    async move { run_accepted_link(stream, address, peer, &events).await },
                );
            }
            Err(cause) => {
                log::warn!("cannot accept link: {cause}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Runs an accepted link until it closes.
async fn run_accepted_link<M>(
    stream: TcpStream,
    address: SocketAddr,
    peer: UnidentifiedPeer<M>,
    events: &mpsc::Sender<LinkEvent<M>>,
) where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    let never = std::future::pending();
    run_link(stream, address, Some(peer), events, never).await;
}

/// Runs a link that this process has dialed until it closes or `stopped` completes.
pub(crate) async fn run_dialed_link<M>(
    stream: TcpStream,
    address: SocketAddr,
    events: &mpsc::Sender<LinkEvent<M>>,
    stopped: impl Future<Output = ()>,
) where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    run_link(stream, address, None, events, stopped).await;
}

/// Runs a link until it closes or `stopped` completes; `accepted` is the peer of an accepted link.
async fn run_link<M>(
    stream: TcpStream,
    address: SocketAddr,
    accepted: Option<UnidentifiedPeer<M>>,
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
        dialed: accepted.is_none(),
        sender: LinkSender::new(tx),
    };
    if events.send(opened).await.is_err() {
        return;
    }
    tokio::select! {
        () = read_link(reader, link, accepted, events) => {}
        () = write_messages(writer, rx) => {}
        () = stopped => {}
    }
    // Fails only while the process shuts down and no longer receives events.
    let _ = events.send(LinkEvent::Closed { link }).await;
}

/// Reads the messages of a link until it closes.
async fn read_link<M: DeserializeOwned>(
    reader: OwnedReadHalf,
    link: LinkId,
    accepted: Option<UnidentifiedPeer<M>>,
    events: &mpsc::Sender<LinkEvent<M>>,
) {
    let mut reader = MessageReader {
        reader,
        buf: BytesMut::with_capacity(READ_BUFFER_BYTES),
        link,
        events,
    };
    if let Some(peer) = accepted {
        let identified = reader.pass_on_until(MAX_GREETING_LEN, peer.is_greeting);
        tokio::select! {
            is_identified = identified => if !is_identified { return },
            // Not logged here, because the budget logs it.
            () = peer.connection.wait_closed() => return,
        }
    }
    reader.pass_on_until(MAX_FRAME_LEN, |_| false).await;
}

/// Reads messages and passes them on as events.
struct MessageReader<'a, M> {
    reader: OwnedReadHalf,
    buf: BytesMut,
    link: LinkId,
    events: &'a mpsc::Sender<LinkEvent<M>>,
}

impl<M: DeserializeOwned> MessageReader<'_, M> {
    /// Passes messages of at most `max_len` bytes on up to the first that `is_last` accepts. Returns `false` if the link ends before.
    async fn pass_on_until(&mut self, max_len: usize, is_last: impl Fn(&M) -> bool) -> bool {
        loop {
            match decode_frame_within(&mut self.buf, max_len) {
                Ok(Some(message)) => {
                    let is_done = is_last(&message);
                    let link = self.link;
                    let event = LinkEvent::Received { link, message };
                    if self.events.send(event).await.is_err() {
                        return false;
                    }
                    if is_done {
                        return true;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(cause) => {
                    log::warn!("closing link after an invalid frame: {cause}");
                    return false;
                }
            }
            if !self.read().await {
                return false;
            }
        }
    }

    /// Reads some bytes; returns `false` if the link has ended.
    async fn read(&mut self) -> bool {
        self.buf.reserve(READ_BUFFER_BYTES);
        match timeout(READ_TIMEOUT, self.reader.read_buf(&mut self.buf)).await {
            // Not logged, because the `Closed` event follows and its receiver logs which peer it was.
            Ok(Ok(0) | Err(_)) => false,
            Ok(Ok(_)) => true,
            Err(_) => {
                let link = self.link;
                log::info!(link; "peer timed out; closing link");
                false
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
