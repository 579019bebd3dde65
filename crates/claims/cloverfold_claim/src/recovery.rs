//! Recovery of a restarted replica from the other members of its groups.

use std::time::Duration;

use cloverfold_app::{Lifecycle, Phase};
use cloverfold_base::{random_u64, unix_now};
use cloverfold_claims_core::{GuardId, Standing};
use cloverfold_net::CallError;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::claims::Claims;
use crate::messages::RecoverCall;

const PAGE_TIMEOUT: Duration = Duration::from_millis(2_000);
const FIRST_RETRY: Duration = Duration::from_millis(100);
const LAST_RETRY: Duration = Duration::from_secs(2);
const JITTER_MS: u64 = 100;
const PURGE_INTERVAL: Duration = Duration::from_secs(2);
/// Records on one page.
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
        log::info!(guard = self.own().guard; "the replica is whole");
    }

    /// Drops what is past its retention, as long as the process lives.
    pub(crate) async fn purge(self) {
        loop {
            sleep(PURGE_INTERVAL).await;
            let now = unix_now();
            self.inner.replica.post(move |replica| {
                replica.collect_expired_records(now);
            });
        }
    }

    /// Tells whether the replica can have forgotten nothing.
    pub async fn is_whole(&self) -> bool {
        let replica = &self.inner.replica;
        replica
            .with(|replica| *replica.standing() == Standing::Whole)
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
                replica.become_whole_by_copy(&cell);
                replica.become_whole_by_age(now);
            })
            .await;
    }

    async fn copy_from(self, source: GuardId) {
        if let Err(cause) = self.copy_pages(source).await {
            log::debug!(source = source; "recovery: {cause}");
        }
    }

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
                // A copy under a number that peers hold for older than theirs would protect nothing.
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
            let absorb = move |replica: &mut cloverfold_claims_core::ClaimReplica| {
                replica.absorb_page(source, standing, page);
            };
            self.inner.replica.with(absorb).await;
            if !has_more {
                return Ok(());
            }
        }
    }
}
