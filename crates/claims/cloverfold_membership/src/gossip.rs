//! Heartbeats between the processes of a cell.
//!
//! A process sends what it knows to the acting lead and records what that knows. Owns nothing but its turn; the reports
//! are in [`Membership`]. Reasons: docs/design/5-membership.md.

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

/// Time between two heartbeats of a process; 400 and not 500 ms so that a dead lead is missed sooner
/// (docs/CAPACITY.md).
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Longest wait for the answer to a heartbeat; then its guard is suspected. Chosen, not measured.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// Guards that a process sends each heartbeat to while it knows no lead. Chosen, not measured.
const FANOUT: usize = 2;
/// One heartbeat in so many also goes to a guard drawn at random, so that reports also pass beside the lead. Chosen,
/// not measured.
const SIDE_INTERVAL: u32 = 8;

/// Exchanges reports with other guards, until the process ends.
#[derive(Clone)]
pub(crate) struct Gossip {
    pub(crate) state: Arc<LocalState>,
    pub(crate) metrics: MembershipMetrics,
    pub(crate) network: Network,
    pub(crate) directory: Arc<Directory>,
    pub(crate) membership: Membership,
    /// The guard that this process is, if it is one.
    pub(crate) own: Option<GuardId>,
}

impl Gossip {
    /// Sends heartbeats until the process has stopped.
    pub(crate) async fn run(self, lifecycle: Lifecycle) {
        self.clone().announce_phase().await;
        let mut turn = 0_u32;
        let mut was_whole = false;
        while lifecycle.phase() != Phase::Stopped {
            let is_whole = self.state.is_whole();
            if is_whole && !was_whole {
                // From now on this guard can lead, which all processes should learn at the same time.
                self.clone().announce_phase().await;
            }
            was_whole = is_whole;
            for guard in self.choose_peers(turn).await {
                tokio::spawn(self.clone().exchange(guard));
            }
            turn = turn.wrapping_add(1);
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

    /// Chooses the guards that get the next heartbeat: the acting lead, which answers with what it knows of all, or
    /// some at random while no lead is known.
    async fn choose_peers(&self, turn: u32) -> Vec<GuardId> {
        let side = usize::from(turn.is_multiple_of(SIDE_INTERVAL));
        let lead = self.membership.find_acting_lead().await;
        match lead {
            None => self.draw_peers(FANOUT),
            Some(lead) if Some(lead) == self.own => self.draw_peers(side),
            Some(lead) => {
                let mut peers = self.draw_peers(side);
                peers.retain(|peer| *peer != lead);
                peers.push(lead);
                peers
            }
        }
    }

    /// Tells every peer at once, so that a joining guard gets work, and a leaving one none, within seconds.
    pub(crate) async fn announce_phase(self) {
        if self.own.is_none() {
            return;
        }
        let peers = self.list_peers();
        let exchanges = peers.into_iter().map(|guard| self.clone().exchange(guard));
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

    fn draw_peers(&self, count: usize) -> Vec<GuardId> {
        let mut peers = self.list_peers();
        let mut drawn = Vec::with_capacity(count);
        while drawn.len() < count && !peers.is_empty() {
            let index = random_below(peers.len());
            drawn.push(peers.swap_remove(index));
        }
        drawn
    }

    async fn exchange(self, guard: GuardId) {
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
                log::debug!(guard = guard; "heartbeat: {cause}");
                // The next report that it makes, by whatever way that comes, ends the suspicion.
                self.membership.suspect(guard);
            }
        }
    }
}
