//! Recovery of a restarted replica, which copies the records of the other guards page by page.

use std::time::Duration;

use cloverfold_app::{Lifecycle, Phase};
use cloverfold_base::{random_u64, unix_now};
use cloverfold_claims_core::{ClaimReplica, GuardId, RecoveryState};
use cloverfold_net::CallError;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::claims::Claims;
use crate::messages::RecoverCall;

const PAGE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Backoff after the first round of copying; it doubles with each round.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff between two rounds.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Upper bound of the random time added to each backoff, in milliseconds.
const JITTER_MS: u64 = 100;
/// How often expired records are dropped.
const PURGE_INTERVAL: Duration = Duration::from_secs(2);
/// Records per page.
pub(crate) const PAGE_LIMIT: usize = 1_000;

impl Claims {
    /// Copies the other guards until this replica's records are complete.
    pub(crate) async fn recover(self, lifecycle: Lifecycle) {
        let mut backoff = MIN_BACKOFF;
        while lifecycle.phase() != Phase::Stopped && !self.is_whole().await {
            let mut copies = JoinSet::new();
            for source in self.missing_sources().await {
                copies.spawn(self.clone().copy_from(source));
            }
            copies.join_all().await;
            self.update_recovery_state().await;
            let jitter = Duration::from_millis(random_u64() % JITTER_MS);
            sleep(backoff + jitter).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        log::info!(guard = self.placement().guard; "recovery ended");
    }

    /// Drops expired records until the process ends.
    pub(crate) async fn purge(self) {
        loop {
            sleep(PURGE_INTERVAL).await;
            let now = unix_now();
            self.inner.replica.post(move |replica| {
                replica.drop_expired_records(now);
            });
        }
    }

    /// Returns whether the replica's records are complete.
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

    async fn update_recovery_state(&self) {
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
            log::debug!(source = source; "recovery from a guard failed: {cause}");
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
                // Peers ignore the votes of an incarnation older than the newest one they know.
                log::error!(
                    guard = self.inner.own.guard;
                    "peers know a newer incarnation of this guard because its clock went backwards; \
                     restart it once the clock has caught up"
                );
                return Ok(());
            }
            let standing = standing
                .get_or_insert_with(|| page.standing.clone())
                .clone();
            let has_more = page.has_more;
            call.after = page.records.last().map(|(key, _)| *key);
            let merge = move |replica: &mut ClaimReplica| {
                replica.merge_page(source, standing, page);
            };
            self.inner.replica.with(merge).await;
            if !has_more {
                return Ok(());
            }
        }
    }
}
