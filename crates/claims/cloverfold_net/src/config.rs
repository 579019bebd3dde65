//! Limits and timeouts of the connections between processes.
//!
//! [`crate::Network`] enforces `unused_timeout`, `connect_timeout` and `requests`; `quinn` enforces the others.

use std::time::Duration;

use quinn::{IdleTimeout, TransportConfig, VarInt};

use crate::error::NetError;

/// Bounds the detection time of a dead lead.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_800);
/// A third of [`DEFAULT_IDLE_TIMEOUT`].
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(600);
const DEFAULT_UNUSED_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Below the library's default, because a lost first packet delays a handshake by three times this.
const DEFAULT_INITIAL_RTT: Duration = Duration::from_millis(20);
const DEFAULT_STREAMS_PER_PEER: u32 = 1_024;
const DEFAULT_REQUESTS: usize = 16_384;
/// Bytes of one stream that a peer may send before they are read.
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;

/// Limits and timeouts of the connections between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NetworkConfig {
    /// A connection that receives no packet for this long counts as lost.
    pub idle_timeout: Duration,
    /// Interval of keep-alive packets on an idle connection.
    pub keep_alive: Duration,
    /// A connection that no request has used for this long is closed.
    pub unused_timeout: Duration,
    /// Timeout of a handshake.
    pub connect_timeout: Duration,
    /// Assumed round-trip time of a new connection; a lost first packet is resent after three times this.
    pub initial_rtt: Duration,
    /// Concurrent requests that this process handles for one peer.
    pub streams_per_peer: u32,
    /// Concurrent requests that this process handles for all peers together.
    pub requests: usize,
}

impl Default for NetworkConfig {
    fn default() -> Self {
        Self {
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            keep_alive: DEFAULT_KEEP_ALIVE,
            unused_timeout: DEFAULT_UNUSED_TIMEOUT,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            initial_rtt: DEFAULT_INITIAL_RTT,
            streams_per_peer: DEFAULT_STREAMS_PER_PEER,
            requests: DEFAULT_REQUESTS,
        }
    }
}

impl NetworkConfig {
    /// Builds the transport configuration of `quinn`.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::Tls`] if the idle timeout is longer than the library allows.
    pub(crate) fn build_transport(&self) -> Result<TransportConfig, NetError> {
        let idle_timeout = IdleTimeout::try_from(self.idle_timeout)
            .map_err(|_| NetError::Tls("the idle timeout is too long".into()))?;
        let mut transport = TransportConfig::default();
        transport.max_idle_timeout(Some(idle_timeout));
        transport.keep_alive_interval(Some(self.keep_alive));
        transport.initial_rtt(self.initial_rtt);
        transport.max_concurrent_bidi_streams(VarInt::from_u32(self.streams_per_peer));
        transport.max_concurrent_uni_streams(VarInt::from_u32(0));
        transport.stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES));
        Ok(transport)
    }
}
