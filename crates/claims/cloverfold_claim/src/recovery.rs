//! Recovery of a restarted replica from the other members of its groups.
//!
//! Copies the records of the other guards page by page until the replica is whole. Owns nothing of its own.

use std::time::Duration;

use cloverfold_app::{Lifecycle, Phase};
use cloverfold_base::{random_u64, unix_now};
use cloverfold_claims_core::{ClaimReplica, GuardId, RecoveryState};
use cloverfold_net::CallError;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::claims::Claims;
use crate::messages::RecoverCall;

/// Longest wait for one page. Chosen, not measured.
const PAGE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause after the first round of copying; doubled after each further one. Chosen, not measured.
const FIRST_RETRY: Duration = Duration::from_millis(100);
/// Longest pause between two rounds. Chosen, not measured.
const LAST_RETRY: Duration = Duration::from_secs(2);
/// Up to so many milliseconds are added to each pause. Chosen, not measured.
const JITTER_MS: u64 = 100;
/// How often expired records are dropped. Chosen, not measured.
const PURGE_INTERVAL: Duration = Duration::from_secs(2);
/// Records on one page. Chosen, not measured.
pub(crate) const PAGE_LIMIT: usize = 1_000;

impl Claims {
    /// Copies from the other guards until this replica is whole.
    pub(crate) async fn recover(self, lifecycle: Lifecycle) {
        let mut retry_after = FIRST_RETRY;
        while lifecycle.phase() != Phase::Stopped && !self.is_whole().await {
            let mut copies = JoinSet::new();
            for source in self.missing_sources().await {
                copies.spawn(self.clone().copy_from(source));
            }
            copies.join_all().await;
            self.settle_standing().await;
            let jitter = Duration::from_millis(random_u64() % JITTER_MS);
            sleep(retry_after + jitter).await;
            retry_after = (retry_after * 2).min(LAST_RETRY);
        }
        log::info!(guard = self.placement().guard; "the replica is whole");
    }

    /// Drops records that are past their retention, until the process ends.
    pub(crate) async fn purge(self) {
        loop {
            sleep(PURGE_INTERVAL).await;
            let now = unix_now();
            self.inner.replica.post(move |replica| {
                replica.drop_expired_records(now);
            });
        }
    }

    /// Returns whether the replica can have forgotten nothing.
    pub async fn is_whole(&self) -> bool {
        let replica = &self.inner.replica;
        replica
            .with(|replica| *replica.recovery_state() == RecoveryState::Whole)
            .await
    }

    async fn missing_sources(&self) -> Vec<GuardId> {
        let cell = self.inner.cell.clone();
        let replica = &self.inner.replica;
        replica
            .with(move |replica| replica.missing_sources(&cell))
            .await
    }

    async fn settle_standing(&self) {
        let cell = self.inner.cell.clone();
        let now = unix_now();
        self.inner
            .replica
            .with(move |replica| {
                replica.mark_whole_after_copy(&cell);
                replica.mark_whole_after_retention(now);
            })
            .await;
    }

    async fn copy_from(self, source: GuardId) {
        if let Err(cause) = self.copy_pages(source).await {
            log::debug!(source = source; "recovery: {cause}");
        }
    }

    /// Copies all pages of one source.
    async fn copy_pages(&self, source: GuardId) -> Result<(), CallError> {
        let Some(address) = self.inner.directory.address_of(source) else {
            return Ok(());
        };
        let mut call = RecoverCall {
            asking: self.inner.own,
            after: None,
        };
        let mut standing = None;
        loop {
            let network = &self.inner.network;
            let page = network.call(address, &call, PAGE_TIMEOUT).await?;
            if page.known_incarnation > self.inner.own.incarnation {
                // Peers ignore votes of an incarnation that is older than the newest they know.
                log::error!(
                    guard = self.inner.own.guard;
                    "peers know a later life of this guard: its clock went back; restart it later"
                );
                return Ok(());
            }
            let standing = standing
                .get_or_insert_with(|| page.standing.clone())
                .clone();
            let has_more = page.has_more;
            call.after = page.records.last().map(|(key, _)| *key);
            let absorb = move |replica: &mut ClaimReplica| {
                replica.merge_page(source, standing, page);
            };
            self.inner.replica.with(absorb).await;
            if !has_more {
                return Ok(());
            }
        }
    }
}
