//! The QUIC endpoint of a process: it serves its router and calls its peers.

use std::collections::HashMap;
use std::marker::PhantomData;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use quinn::{Connection, Endpoint, IdleTimeout, TransportConfig, VarInt};
use tokio::sync::{OnceCell, Semaphore};

use crate::error::{CallError, NetError};
use crate::frame::{MAX_MESSAGE_LEN, Status, encode_request, read_reply, split_request};
use crate::keys::KeyFiles;
use crate::message::Message;
use crate::metrics::NetMetrics;
use crate::peer::PeerAddress;
use crate::router::{ReplySink, Router, refuse};
use crate::tls::{identify_peer, load_tls_configs};

/// Bounds and times of the connections between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NetworkConfig {
    /// A connection without any packet for this long counts as lost.
    pub idle_timeout: Duration,
    /// How often an idle connection is kept alive.
    pub keep_alive: Duration,
    /// A connection that no request has used for this long is closed.
    pub unused_timeout: Duration,
    /// How long a new connection may take.
    pub connect_timeout: Duration,
    /// Round trip that a new connection assumes; a lost first packet is sent again after three times as long.
    pub initial_rtt: Duration,
    /// Requests that one peer may have open here.
    pub streams_per_peer: u32,
    /// Requests that all peers together may have open here.
    pub requests: usize,
}

impl Default for NetworkConfig {
    fn default() -> Self {
        Self {
            idle_timeout: Duration::from_millis(1_800),
            keep_alive: Duration::from_millis(600),
            unused_timeout: Duration::from_secs(5),
            connect_timeout: Duration::from_millis(1_000),
            initial_rtt: Duration::from_millis(20),
            streams_per_peer: 1_024,
            requests: 16_384,
        }
    }
}

/// A connection to a peer, or the handshake that callers wait for.
#[derive(Clone)]
struct ConnectionCell {
    connection: Arc<OnceCell<Connection>>,
    used_at: Instant,
    /// Held by each request that waits for replies.
    in_use: Arc<()>,
}

impl Default for ConnectionCell {
    fn default() -> Self {
        Self {
            connection: Arc::default(),
            used_at: Instant::now(),
            in_use: Arc::default(),
        }
    }
}

impl ConnectionCell {
    fn is_closed(&self) -> bool {
        let connection = self.connection.get();
        connection.is_some_and(|connection| connection.close_reason().is_some())
    }

    fn is_unused(&self, limit: Duration) -> bool {
        Arc::strong_count(&self.in_use) == 1 && self.used_at.elapsed() > limit
    }

    fn close(&self, reason: &[u8]) {
        if let Some(connection) = self.connection.get() {
            connection.close(VarInt::from_u32(2), reason);
        }
    }
}

/// The endpoint, shared by all capabilities of a process.
#[derive(Clone)]
pub struct Network {
    inner: Arc<Inner>,
}

struct Inner {
    endpoint: Endpoint,
    config: NetworkConfig,
    metrics: NetMetrics,
    permits: Arc<Semaphore>,
    connections: Mutex<HashMap<PeerAddress, ConnectionCell>>,
    traffic: Mutex<TrafficCount>,
}

/// Bytes of all connections, both those that stand and those that are over.
#[derive(Default)]
struct TrafficCount {
    open: Vec<Connection>,
    over: Traffic,
}

/// Bytes in UDP datagrams, headers below UDP not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

impl Traffic {
    fn add(&mut self, connection: &Connection) {
        let stats = connection.stats();
        self.sent += stats.udp_tx.bytes;
        self.received += stats.udp_rx.bytes;
    }
}

impl Network {
    /// Opens the endpoint at an address; must be called within a runtime.
    ///
    /// # Errors
    ///
    /// Says which key file is unusable or that the address cannot be listened on.
    pub fn bind(
        address: SocketAddr,
        keys: &KeyFiles,
        config: NetworkConfig,
        metrics: NetMetrics,
    ) -> Result<Self, NetError> {
        let tls = load_tls_configs(keys)?;
        let transport = Arc::new(build_transport(&config)?);
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(tls.server));
        server.transport_config(transport.clone());
        let mut client = quinn::ClientConfig::new(Arc::new(tls.client));
        client.transport_config(transport);

        let listen_error = |cause| NetError::Listen { address, cause };
        let socket = UdpSocket::bind(address).map_err(listen_error)?;
        let mut endpoint = Endpoint::new(
            quinn::EndpointConfig::default(),
            Some(server),
            socket,
            Arc::new(quinn::TokioRuntime),
        )
        .map_err(listen_error)?;
        endpoint.set_default_client_config(client);
        let inner = Inner {
            endpoint,
            config,
            metrics,
            permits: Arc::new(Semaphore::new(config.requests)),
            connections: Mutex::default(),
            traffic: Mutex::default(),
        };
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    /// Returns the address that is listened on.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.inner.endpoint.local_addr()
    }

    /// Returns the metrics of this endpoint.
    pub fn metrics(&self) -> &NetMetrics {
        &self.inner.metrics
    }

    /// Serves requests of peers until the endpoint is closed.
    pub async fn serve(self, router: Arc<Router>) {
        let permits = self.inner.permits.clone();
        while let Some(incoming) = self.inner.endpoint.accept().await {
            let router = router.clone();
            let permits = permits.clone();
            let network = self.clone();
            tokio::spawn(async move {
                if let Ok(connection) = incoming.await {
                    network.track(connection.clone());
                    serve_connection(connection, router, permits).await;
                }
            });
        }
    }

    /// Forgets the connection to a peer that is known to have restarted, so that nothing waits for it.
    pub fn forget_connection(&self, peer: &PeerAddress) {
        let lock = self.inner.connections.lock();
        let cell = lock.unwrap_or_else(PoisonError::into_inner).remove(peer);
        if let Some(cell) = cell {
            cell.close(b"the peer restarted");
        }
    }

    /// Waits until every request that is being handled has been answered and the answer has arrived.
    ///
    /// New requests are refused meanwhile.
    pub async fn wait_for_handlers(&self) {
        let all = u32::try_from(self.inner.config.requests).unwrap_or(u32::MAX);
        // The semaphore is never closed, and holding the permits keeps later requests out.
        if let Ok(permits) = self.inner.permits.acquire_many(all).await {
            permits.forget();
        }
    }

    /// Closes all connections, after what was sent has had a moment to arrive.
    pub async fn close(&self) {
        const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
        self.inner.endpoint.close(VarInt::from_u32(0), b"stopped");
        // A peer that is gone never acknowledges, so the wait is bounded.
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, self.inner.endpoint.wait_idle()).await;
    }

    /// Sends a request and waits for its one reply, at most `timeout`.
    ///
    /// # Errors
    ///
    /// Tells apart whether the request certainly did not arrive or may have.
    pub async fn call<M: Message>(
        &self,
        peer: &PeerAddress,
        message: &M,
        timeout: Duration,
    ) -> Result<M::Reply, CallError> {
        let exchange = async {
            let mut replies = self.open(peer, message).await?;
            let reply = replies.next().await?;
            reply.ok_or_else(|| lost(peer, &"the peer sent no reply"))
        };
        let outcome = tokio::time::timeout(timeout, exchange).await;
        let outcome = outcome.unwrap_or_else(|_| Err(lost(peer, &"timed out")));
        if outcome.is_err() {
            self.inner.metrics.count_lost(M::NAME);
        }
        outcome
    }

    /// Sends a request whose replies are read one by one.
    ///
    /// # Errors
    ///
    /// Tells apart whether the request certainly did not arrive or may have.
    pub async fn open<M: Message>(
        &self,
        peer: &PeerAddress,
        message: &M,
    ) -> Result<Replies<M>, CallError> {
        let buf = encode_request(M::KIND, message).map_err(|e| not_sent(peer, &e))?;
        let cell = self.connection_cell(peer);
        let connection = cell
            .connection
            .get_or_try_init(|| self.handshake(peer))
            .await
            .map_err(|cause| not_sent(peer, &cause))?;
        let (mut tx, rx) = connection.open_bi().await.map_err(|e| not_sent(peer, &e))?;
        self.inner.metrics.count_request(M::NAME, buf.len());
        tx.write_all(&buf).await.map_err(|e| lost(peer, &e))?;
        // Only a stream that is already gone cannot be finished, which reading shows.
        let _ = tx.finish();
        Ok(Replies {
            rx,
            peer: peer.clone(),
            is_open: false,
            _in_use: cell.in_use,
            reply: PhantomData,
        })
    }

    /// Returns the peer's connection or the place for a new one, where callers wait for one handshake.
    fn connection_cell(&self, peer: &PeerAddress) -> ConnectionCell {
        let lock = self.inner.connections.lock();
        let mut connections = lock.unwrap_or_else(PoisonError::into_inner);
        let cell = connections.entry(peer.clone()).or_default();
        if cell.is_closed() {
            *cell = ConnectionCell::default();
        }
        cell.used_at = Instant::now();
        cell.clone()
    }

    /// Closes connections that no request has used for a while, as long as the endpoint lives.
    ///
    /// Each open connection costs keep-alives at both ends.
    pub async fn close_unused_connections(self) {
        loop {
            tokio::time::sleep(self.inner.config.unused_timeout).await;
            let lock = self.inner.connections.lock();
            let mut connections = lock.unwrap_or_else(PoisonError::into_inner);
            connections.retain(|_, cell| {
                let is_unused = cell.is_unused(self.inner.config.unused_timeout);
                if is_unused {
                    cell.close(b"unused");
                }
                !is_unused
            });
        }
    }

    async fn handshake(&self, peer: &PeerAddress) -> Result<Connection, String> {
        self.inner.metrics.count_handshake();
        let connecting = self
            .inner
            .endpoint
            .connect(peer.address, &peer.name)
            .map_err(|e| e.to_string())?;
        let connection = tokio::time::timeout(self.inner.config.connect_timeout, connecting)
            .await
            .map_err(|_| "the handshake timed out".to_owned())?
            .map_err(|e| e.to_string())?;
        self.track(connection.clone());
        Ok(connection)
    }

    fn track(&self, connection: Connection) {
        let lock = self.inner.traffic.lock();
        let mut traffic = lock.unwrap_or_else(PoisonError::into_inner);
        traffic.open.push(connection);
    }

    /// Counts the bytes of all connections since the start.
    pub fn count_traffic(&self) -> Traffic {
        let lock = self.inner.traffic.lock();
        let mut traffic = lock.unwrap_or_else(PoisonError::into_inner);
        let is_over = |connection: &mut Connection| connection.close_reason().is_some();
        let over: Vec<Connection> = traffic.open.extract_if(.., is_over).collect();
        for connection in &over {
            traffic.over.add(connection);
        }
        let mut total = traffic.over;
        for connection in &traffic.open {
            total.add(connection);
        }
        total
    }
}

/// The replies to one request.
pub struct Replies<M> {
    rx: quinn::RecvStream,
    peer: PeerAddress,
    is_open: bool,
    _in_use: Arc<()>,
    reply: PhantomData<fn() -> M>,
}

impl<M: Message> Replies<M> {
    /// Waits for the next reply; `None` when the peer has sent its last.
    ///
    /// # Errors
    ///
    /// Says that the peer refused the request or that its replies broke off.
    pub async fn next(&mut self) -> Result<Option<M::Reply>, CallError> {
        if !self.is_open {
            self.read_status().await?;
            self.is_open = true;
        }
        let reply = read_reply(&mut self.rx).await;
        reply.map_err(|cause| lost(&self.peer, &cause))
    }

    async fn read_status(&mut self) -> Result<(), CallError> {
        let mut status = [0];
        let read = self.rx.read_exact(&mut status).await;
        read.map_err(|e| lost(&self.peer, &e))?;
        match Status::from_byte(status[0]) {
            Some(Status::Ok) => Ok(()),
            other => Err(CallError::Refused {
                peer: self.peer.name.clone(),
                cause: format!("{other:?}"),
            }),
        }
    }
}

async fn serve_connection(connection: Connection, router: Arc<Router>, permits: Arc<Semaphore>) {
    let Some(peer) = identify_peer(&connection) else {
        connection.close(VarInt::from_u32(1), b"certificate names no role");
        return;
    };
    while let Ok((tx, mut rx)) = connection.accept_bi().await {
        let sink = ReplySink::new(tx);
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            refuse(Status::Busy, sink).await;
            continue;
        };
        let router = router.clone();
        let peer = peer.clone();
        tokio::spawn(async move {
            if let Ok(buf) = rx.read_to_end(MAX_MESSAGE_LEN).await {
                match split_request(&buf) {
                    Ok(frame) => router.dispatch(peer, frame, sink).await,
                    Err(status) => refuse(status, sink).await,
                }
            }
            drop(permit);
        });
    }
}

fn build_transport(config: &NetworkConfig) -> Result<TransportConfig, NetError> {
    let idle_timeout = IdleTimeout::try_from(config.idle_timeout)
        .map_err(|_| NetError::Tls("the idle timeout is too long".into()))?;
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(idle_timeout));
    transport.keep_alive_interval(Some(config.keep_alive));
    transport.initial_rtt(config.initial_rtt);
    transport.max_concurrent_bidi_streams(VarInt::from_u32(config.streams_per_peer));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    transport.stream_receive_window(VarInt::from_u32(1024 * 1024));
    Ok(transport)
}

fn not_sent(peer: &PeerAddress, cause: &dyn std::fmt::Display) -> CallError {
    CallError::NotSent {
        peer: peer.name.clone(),
        cause: cause.to_string(),
    }
}

fn lost(peer: &PeerAddress, cause: &dyn std::fmt::Display) -> CallError {
    CallError::Lost {
        peer: peer.name.clone(),
        cause: cause.to_string(),
    }
}
