//! Waits until a cluster is ready, and reads metrics.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::Cluster;

/// Longest wait for a condition before the test fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(40);
const CONDITION_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Cluster {
    /// Waits until every running process is ready, and all agree on the live members and the lead.
    pub async fn wait_until_ready(&self) {
        for index in 0..self.guards.len() {
            if self.guards[index].child.is_some() {
                self.wait_until_guard_ready(index).await;
            }
        }
        for http in &self.entry_http_addresses {
            self.wait_until_page_is_ok(*http, "/readyz").await;
        }
        let live = self.count_running_guards();
        for index in 0..self.guards.len() {
            if self.guards[index].child.is_some() {
                self.wait_for_live_members(index, live).await;
            }
        }
        self.wait_for_lead().await;
    }

    /// Waits until every running process agrees on the lead.
    async fn wait_for_lead(&self) {
        let is_running = |index: &usize| self.guards[*index].child.is_some();
        let first = (0..self.guards.len()).find(is_running);
        let lead = first.filter(|_| self.cell.find_lead().is_some());
        let expected = lead.map_or(0, |index| index + 1);
        let guards = (0..self.guards.len()).filter(is_running);
        let addresses = guards.map(|index| self.guard_http_addresses[index]);
        for http in addresses.chain(self.entry_http_addresses.iter().copied()) {
            wait_until("the lead is known", async || {
                self.read_metric(http, "cloverfold_acting_lead").await as usize == expected
            })
            .await;
        }
    }

    fn count_running_guards(&self) -> usize {
        let running = self.guards.iter().filter(|guard| guard.child.is_some());
        running.count()
    }

    /// Waits until a guard counts this many guards as live.
    pub async fn wait_for_live_members(&self, index: usize, count: usize) {
        wait_until("the guards know each other", async || {
            self.read_guard_metric(index, "cloverfold_members_live")
                .await as usize
                == count
        })
        .await;
    }

    pub async fn wait_until_guard_ready(&self, index: usize) {
        self.wait_until_page_is_ok(self.guard_http_addresses[index], "/readyz")
            .await;
    }

    async fn wait_until_page_is_ok(&self, address: SocketAddr, path: &str) {
        wait_until(path, async || {
            let page = self.client.get_text(address, path).await;
            page.is_ok_and(|(status, _)| status == 200)
        })
        .await;
    }

    /// Returns one series of a guard's metrics.
    pub async fn read_guard_metric(&self, index: usize, series: &str) -> f64 {
        self.read_metric(self.guard_http_addresses[index], series)
            .await
    }

    async fn read_metric(&self, http: SocketAddr, series: &str) -> f64 {
        let (_, page) = self.client.get_text(http, "/metrics").await.unwrap();
        let mut totals = cloverfold_load::MetricsTotals::default();
        totals.add_page(&page);
        totals.sum_of(series)
    }
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        sleep(CONDITION_POLL_INTERVAL).await;
    }
}
