//! Metrics of requests between processes.
//!
//! The bytes are those of requests only; `traffic` counts the bytes of whole connections.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Label with the name of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MessageLabel {
    /// Name of the message.
    pub message: String,
}

/// Counters of the requests that a process sends to its peers.
#[derive(Clone, Debug, Default)]
pub struct NetMetrics {
    requests: Family<MessageLabel, Counter>,
    request_bytes: Family<MessageLabel, Counter>,
    lost: Family<MessageLabel, Counter>,
    handshakes: Counter,
}

impl NetMetrics {
    /// Adds the counters to a process's metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "peer_requests",
            "Requests sent to other processes",
            self.requests.clone(),
        );
        registry.register(
            "peer_request_bytes",
            "Bytes of requests sent to other processes",
            self.request_bytes.clone(),
        );
        registry.register(
            "peer_requests_lost",
            "Requests without a reply",
            self.lost.clone(),
        );
        registry.register(
            "peer_handshakes",
            "Connections opened to other processes",
            self.handshakes.clone(),
        );
    }

    /// Counts a request that was sent.
    pub(crate) fn count_request(&self, name: &str, bytes: usize) {
        let label = MessageLabel {
            message: name.into(),
        };
        self.requests.get_or_create(&label).inc();
        self.request_bytes
            .get_or_create(&label)
            .inc_by(bytes as u64);
    }

    /// Counts a request without a reply.
    pub(crate) fn count_lost(&self, name: &str) {
        let label = MessageLabel {
            message: name.into(),
        };
        self.lost.get_or_create(&label).inc();
    }

    pub(crate) fn count_handshake(&self) {
        self.handshakes.inc();
    }
}
