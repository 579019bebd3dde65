//! The QUIC endpoint of a process, which serves the process's router and calls its peers.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use quinn::{Connection, Endpoint, VarInt};
use tokio::sync::Semaphore;

use crate::config::NetworkConfig;
use crate::connections::Connections;
use crate::error::{CallError, NetError};
use crate::frame::encode_request;
use crate::keys::KeyFiles;
use crate::message::Message;
use crate::metrics::NetMetrics;
use crate::peer::PeerAddress;
use crate::replies::Replies;
use crate::router::Router;
use crate::serving::serve_connection;
use crate::tls::load_tls_configs;
use crate::traffic::{Traffic, TrafficCounter};

/// Error code with which a stopping endpoint closes its connections.
const STOPPED: VarInt = VarInt::from_u32(0);
/// Timeout for the connections to close cleanly when the endpoint stops.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Shared handle to the endpoint of a process.
#[derive(Clone)]
pub struct Network {
    inner: Arc<Inner>,
}

struct Inner {
    endpoint: Endpoint,
    config: NetworkConfig,
    metrics: NetMetrics,
    /// One permit for each request that may be handled concurrently.
    permits: Arc<Semaphore>,
    connections: Connections,
    traffic: TrafficCounter,
}

impl Network {
    /// Opens the endpoint at an address; must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns the invalid key file, or the error of listening on the address.
    pub fn bind(
        address: SocketAddr,
        keys: &KeyFiles,
        config: NetworkConfig,
        metrics: NetMetrics,
    ) -> Result<Self, NetError> {
        let tls = load_tls_configs(keys)?;
        let transport = Arc::new(config.build_transport()?);
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
            connections: Connections::default(),
            traffic: TrafficCounter::default(),
        };
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    /// Returns the local address of the endpoint.
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
                match incoming.await {
                    Ok(connection) => {
                        network.inner.traffic.track(connection.clone());
                        serve_connection(connection, router, permits).await;
                    }
                    Err(cause) => log::debug!("a peer's handshake failed: {cause}"),
                }
            });
        }
    }

    /// Closes the connection to a peer that has restarted, so that no request waits for a reply on it.
    pub fn close_connection(&self, peer: &PeerAddress) {
        self.inner.connections.close(peer, b"the peer restarted");
    }

    /// Waits until every request in progress has been handled and its replies have arrived.
    ///
    /// New requests are refused as soon as the wait begins.
    pub async fn wait_for_handlers(&self) {
        let all = u32::try_from(self.inner.config.requests).unwrap_or(u32::MAX);
        // The semaphore is never closed. Forgetting the permits keeps refusing new requests.
        if let Ok(permits) = self.inner.permits.acquire_many(all).await {
            permits.forget();
        }
    }

    /// Closes all connections and waits for them to end, up to a timeout.
    pub async fn close(&self) {
        self.inner.endpoint.close(STOPPED, b"stopped");
        // An unreachable peer never acknowledges; its connection is dropped after the timeout.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.inner.endpoint.wait_idle()).await;
    }

    /// Sends a request with a single reply and waits for the reply, at most for `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] or [`CallError::Refused`] if the request was certainly not handled, and
    /// [`CallError::Lost`] if it may have been.
    pub async fn call<M: Message>(
        &self,
        peer: &PeerAddress,
        message: &M,
        timeout: Duration,
    ) -> Result<M::Reply, CallError> {
        let exchange = async {
            let mut replies = self.open(peer, message).await?;
            let reply = replies.next().await?;
            reply.ok_or_else(|| CallError::lost(peer, &"the peer sent no reply"))
        };
        let outcome = tokio::time::timeout(timeout, exchange).await;
        let outcome = outcome.unwrap_or_else(|_| Err(CallError::lost(peer, &"timed out")));
        if outcome.is_err() {
            self.inner.metrics.count_lost(M::NAME);
        }
        outcome
    }

    /// Sends a request with a stream of replies.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] or [`CallError::Refused`] if the request was certainly not handled, and
    /// [`CallError::Lost`] if it may have been.
    pub async fn open<M: Message>(
        &self,
        peer: &PeerAddress,
        message: &M,
    ) -> Result<Replies<M>, CallError> {
        let buf = encode_request(M::KIND, message).map_err(|e| CallError::not_sent(peer, &e))?;
        let pooled = self.inner.connections.get_or_insert(peer);
        let connection = pooled
            .connection
            .get_or_try_init(|| self.handshake(peer))
            .await
            .map_err(|cause| CallError::not_sent(peer, &cause))?;
        let (mut tx, rx) = connection
            .open_bi()
            .await
            .map_err(|e| CallError::not_sent(peer, &e))?;
        self.inner.metrics.count_request(M::NAME, buf.len());
        tx.write_all(&buf)
            .await
            .map_err(|e| CallError::lost(peer, &e))?;
        // An error means that the stream is closed, which reading the replies reports.
        let _ = tx.finish();
        Ok(Replies::new(rx, peer.clone(), pooled.in_use))
    }

    /// Periodically closes connections that no request has used for `unused_timeout`.
    ///
    /// Each open connection costs keep-alive packets at both ends.
    pub async fn close_unused_connections(self) {
        let limit = self.inner.config.unused_timeout;
        loop {
            tokio::time::sleep(limit).await;
            self.inner.connections.close_unused(limit);
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
        self.inner.traffic.track(connection.clone());
        Ok(connection)
    }

    /// Returns the bytes of all connections since the start.
    pub fn count_traffic(&self) -> Traffic {
        self.inner.traffic.count()
    }
}
