//! Registers heartbeats with a process.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use cloverfold_app::{App, BuildError, Lifecycle, Phase, Plugin};
use cloverfold_base::draw_below;
use cloverfold_claims_core::{GuardId, Placement};
use cloverfold_claims_settings::CellSettings;
use cloverfold_net::{Network, Peer, PeerRole};
use prometheus_client::metrics::gauge::Gauge;
use tokio::time::sleep;

use crate::membership::{Directory, Membership, OwnMember, OwnState};
use crate::messages::{Heartbeat, Leave};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// Peers that a process sends each heartbeat to while it hears no lead.
const FANOUT: usize = 2;
/// One heartbeat in so many also goes to a peer drawn at random, so that news passes beside the lead.
const SIDE_INTERVAL: u32 = 8;

/// Adds [`Membership`], [`Directory`] and [`OwnState`]; needs [`CellSettings`].
pub struct MembershipPlugin {
    /// The guard that this process is and its number of slots, if it is one.
    pub own: Option<(Placement, u32)>,
}

impl Plugin for MembershipPlugin {
    fn build(self, app: &mut App) -> Result<(), BuildError> {
        let cell = app.resource::<CellSettings>()?;
        let directory = app.insert_resource(Directory::new(&cell));
        let state = app.insert_resource(OwnState::default());
        let load = state.clone();
        let own = self.own.map(|(placement, slots)| {
            Arc::new(OwnMember {
                placement,
                slots,
                load,
                lifecycle: app.lifecycle(),
                sequence: AtomicU64::new(0),
            })
        });
        let membership = Membership::new(&app.control(), app.network(), directory.clone(), own);
        app.insert_resource(membership.clone());

        let served = membership.clone();
        app.router().register(
            &[PeerRole::Entry, PeerRole::Guard, PeerRole::Operator],
            move |_peer: Peer, heartbeat: Heartbeat| {
                let membership = served.clone();
                async move {
                    membership.absorb(heartbeat.reports);
                    membership.list_reports().await
                }
            },
        );

        let lifecycle = app.lifecycle();
        app.router()
            .register(&[PeerRole::Operator], move |peer: Peer, _leave: Leave| {
                log::info!(operator = peer.name; "told to leave");
                lifecycle.advance_to(Phase::Draining);
                async {}
            });

        let live = Gauge::<i64>::default();
        app.registry().register(
            "members_live",
            "Guards that this process takes for able to work",
            live.clone(),
        );
        let acting_lead = Gauge::<i64>::default();
        app.registry().register(
            "acting_lead",
            "Number of the guard that this process takes for the one that leads; 0 for none",
            acting_lead.clone(),
        );
        let gossip = Gossip {
            state,
            live,
            acting_lead,
            network: app.network(),
            directory,
            membership,
            own: self.own.map(|(placement, _)| placement.guard),
        };
        app.add_drain_step(gossip.clone().announce_phase());
        app.add_task(gossip.run(app.lifecycle()));
        Ok(())
    }
}

#[derive(Clone)]
struct Gossip {
    state: Arc<OwnState>,
    live: Gauge<i64>,
    acting_lead: Gauge<i64>,
    network: Network,
    directory: Arc<Directory>,
    membership: Membership,
    own: Option<GuardId>,
}

impl Gossip {
    async fn run(self, lifecycle: Lifecycle) {
        self.clone().announce_phase().await;
        let mut turn = 0_u32;
        let mut was_whole = false;
        while lifecycle.phase() != Phase::Stopped {
            let is_whole = self.state.is_whole();
            if is_whole && !was_whole {
                // From now on it can lead, which all should know alike.
                self.clone().announce_phase().await;
            }
            was_whole = is_whole;
            for guard in self.choose_peers(turn).await {
                tokio::spawn(self.clone().exchange(guard));
            }
            turn = turn.wrapping_add(1);
            sleep(HEARTBEAT_INTERVAL).await;
            let candidates = self.membership.list_candidates().await;
            self.live.set(candidates.len() as i64);
            let lead = self.membership.find_acting_lead().await;
            self.acting_lead.set(lead.map_or(0, i64::from));
        }
    }

    /// The acting lead hears everybody and tells everybody; without one news goes from peer to peer.
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

    /// Tells every peer at once: a joining guard is to get work, and a leaving one none, within seconds.
    async fn announce_phase(self) {
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
            let index = draw_below(peers.len());
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
            Ok(reports) => self.membership.absorb(reports),
            // It is heard again with its next report, by whatever way that comes.
            Err(_) => self.membership.suspect(guard),
        }
    }
}
