//! Bounds and times of the connections between processes.
//!
//! Owns the default values and no state. Relies on the transport library to enforce the bounds of one connection;
//! [`crate::Network`] enforces `unused_timeout`, `connect_timeout` and `requests`.

use std::time::Duration;

use quinn::{IdleTimeout, TransportConfig, VarInt};

use crate::error::NetError;

/// 1.8 s and not 2.5 s, so that a dead lead is detected sooner (docs/MEASUREMENTS.md, the lead killed, round 2).
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_800);
/// 600 ms and not 800 ms, so that a dead lead is detected sooner (docs/CAPACITY.md); a third of [`IDLE_TIMEOUT`].
const KEEP_ALIVE: Duration = Duration::from_millis(600);
/// Set among savings that were measured together (docs/MEASUREMENTS.md, "What processes spend").
const UNUSED_TIMEOUT: Duration = Duration::from_secs(5);
/// Chosen, not measured.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// With the library's 333 ms assignments waited up to 1 s behind a handshake (docs/MEASUREMENTS.md, round 4).
const INITIAL_RTT: Duration = Duration::from_millis(20);
/// Chosen, not measured.
const STREAMS_PER_PEER: u32 = 1_024;
/// Chosen, not measured.
const REQUESTS: usize = 16_384;
/// Bytes of one stream that a peer may send before they are read. Chosen, not measured.
const STREAM_WINDOW: u32 = 1024 * 1024;

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
            idle_timeout: IDLE_TIMEOUT,
            keep_alive: KEEP_ALIVE,
            unused_timeout: UNUSED_TIMEOUT,
            connect_timeout: CONNECT_TIMEOUT,
            initial_rtt: INITIAL_RTT,
            streams_per_peer: STREAMS_PER_PEER,
            requests: REQUESTS,
        }
    }
}

impl NetworkConfig {
    /// Builds the library's settings of a connection.
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
        transport.stream_receive_window(VarInt::from_u32(STREAM_WINDOW));
        Ok(transport)
    }
}
