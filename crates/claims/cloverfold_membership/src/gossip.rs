//! Heartbeats between the processes of a cell.
//!
//! A process sends the reports that it knows to the acting lead and records those in the reply in [`Membership`].

use std::sync::Arc;
use std::time::Duration;

use cloverfold_app::{Lifecycle, Phase};
use cloverfold_base::random_below;
use cloverfold_claims_core::GuardId;
use cloverfold_net::Network;
use tokio::time::sleep;

use crate::directory::Directory;
use crate::local_state::LocalState;
use crate::membership::Membership;
use crate::messages::Heartbeat;
use crate::metrics::MembershipMetrics;

/// Time between two heartbeats of a process; bounds the detection time of a dead lead.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a heartbeat, after which its guard is suspected.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// Random guards that get each heartbeat while no lead is known.
const FANOUT: usize = 2;
/// One in this many heartbeats also goes to a random guard, so that reports spread without the lead.
const RANDOM_PEER_INTERVAL: u32 = 8;

/// Exchanges reports with the guards of the cell.
#[derive(Clone)]
pub(crate) struct Gossip {
    pub(crate) state: Arc<LocalState>,
    pub(crate) metrics: MembershipMetrics,
    pub(crate) network: Network,
    pub(crate) directory: Arc<Directory>,
    pub(crate) membership: Membership,
    /// This guard, if the process is one.
    pub(crate) own: Option<GuardId>,
}

impl Gossip {
    /// Sends heartbeats until the process has stopped.
    pub(crate) async fn run(self, lifecycle: Lifecycle) {
        self.clone().announce_phase().await;
        let mut round = 0_u32;
        let mut was_whole = false;
        while lifecycle.phase() != Phase::Stopped {
            let is_whole = self.state.is_whole();
            if is_whole && !was_whole {
                // This guard can lead now, which all processes should learn at the same time.
                self.clone().announce_phase().await;
            }
            was_whole = is_whole;
            for guard in self.choose_peers(round).await {
                tokio::spawn(self.clone().exchange_reports(guard));
            }
            round = round.wrapping_add(1);
            sleep(HEARTBEAT_INTERVAL).await;
            self.update_metrics().await;
        }
    }

    async fn update_metrics(&self) {
        let candidates = self.membership.list_candidates().await;
        self.metrics.live.set(candidates.len() as i64);
        let lead = self.membership.find_acting_lead().await;
        self.metrics.acting_lead.set(lead.map_or(0, i64::from));
    }

    /// Returns the guards that get the next heartbeat: the acting lead, or random ones while no lead is known.
    async fn choose_peers(&self, round: u32) -> Vec<GuardId> {
        let random_count = usize::from(round.is_multiple_of(RANDOM_PEER_INTERVAL));
        let lead = self.membership.find_acting_lead().await;
        match lead {
            None => self.choose_random_peers(FANOUT),
            Some(lead) if Some(lead) == self.own => self.choose_random_peers(random_count),
            Some(lead) => {
                let mut peers = self.choose_random_peers(random_count);
                peers.retain(|peer| *peer != lead);
                peers.push(lead);
                peers
            }
        }
    }

    /// Sends this guard's reports to every peer immediately, so that a joining guard gets work and a draining one gets
    /// none.
    pub(crate) async fn announce_phase(self) {
        if self.own.is_none() {
            return;
        }
        let peers = self.list_peers();
        let exchanges = peers
            .into_iter()
            .map(|guard| self.clone().exchange_reports(guard));
        let mut set = tokio::task::JoinSet::new();
        for exchange in exchanges {
            set.spawn(exchange);
        }
        set.join_all().await;
    }

    fn list_peers(&self) -> Vec<GuardId> {
        let others = self.directory.guards();
        others.filter(|guard| Some(*guard) != self.own).collect()
    }

    fn choose_random_peers(&self, count: usize) -> Vec<GuardId> {
        let mut peers = self.list_peers();
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count && !peers.is_empty() {
            let index = random_below(peers.len());
            chosen.push(peers.swap_remove(index));
        }
        chosen
    }

    async fn exchange_reports(self, guard: GuardId) {
        let Some(address) = self.directory.address_of(guard) else {
            return;
        };
        let reports = self.membership.list_reports().await;
        let heartbeat = Heartbeat { reports };
        let reply = self
            .network
            .call(address, &heartbeat, HEARTBEAT_TIMEOUT)
            .await;
        match reply {
            Ok(reports) => self.membership.record_reports(reports),
            Err(cause) => {
                log::debug!(guard = guard; "a heartbeat failed: {cause}");
                // The next report that the guard makes ends the suspicion, whichever process forwards it.
                self.membership.suspect(guard);
            }
        }
    }
}
