//! Gauges of the bytes sent to and received from other processes.

use std::time::Duration;

use cloverfold_net::Network;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::time::sleep;

/// How often the gauges are updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Bytes sent and received since the start.
#[derive(Clone, Default)]
pub(crate) struct TrafficGauges {
    sent: Gauge<i64>,
    received: Gauge<i64>,
}

impl TrafficGauges {
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let gauges = Self::default();
        registry.register(
            "peer_sent_bytes",
            "Bytes in datagrams sent to other processes",
            gauges.sent.clone(),
        );
        registry.register(
            "peer_received_bytes",
            "Bytes in datagrams received from other processes",
            gauges.received.clone(),
        );
        gauges
    }

    /// Updates the gauges until the task is aborted.
    pub(crate) async fn run(self, network: Network) {
        loop {
            let traffic = network.count_traffic();
            self.sent.set(traffic.sent as i64);
            self.received.set(traffic.received as i64);
            sleep(UPDATE_INTERVAL).await;
        }
    }
}
