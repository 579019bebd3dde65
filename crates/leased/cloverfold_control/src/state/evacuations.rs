//! Evacuation orders for data halls: submission to the log and distribution of the evacuated halls.
//!
//! A process that does not lead forwards an order to the leader. The leader appends it unless it is already in the log, or a connected
//! control process runs an older build that cannot apply it, whose state would diverge permanently. `cloverfold_evacuation` implements the
//! effect of an order.
//!
//! Entries and guards receive the evacuated halls when an order takes effect, when they connect, and with the periodic notices until they
//! have acknowledged them.

use cloverfold_base::{random_u64, unix_now};
use cloverfold_evacuation::{
    DataHall, EvacuationOrder, EvacuationState, HallChange, OrderId, OrderOutcome,
};
use cloverfold_link::LinkId;
use cloverfold_peer::{Hello, PeerMessage, PeerRole};

use super::ControlState;
use super::replicated::Command;

impl ControlState {
    /// Creates an order for an operator's call, based on the local state.
    pub(crate) fn create_order(&self, hall: &DataHall, change: HallChange) -> EvacuationOrder {
        EvacuationOrder {
            id: random_u64(),
            hall: hall.clone(),
            change,
            based_on: self.evacuations().revision(),
            source: self.own.name.clone(),
            received_at: unix_now(),
        }
    }

    /// Appends an order if this process leads, otherwise forwards it to the leader. Drops it if neither is possible; the process that
    /// received it from the operator resubmits it.
    pub(crate) fn submit_order(&mut self, order: &EvacuationOrder) {
        if self.host.is_leader() {
            self.append_order(order);
            return;
        }
        let leader = self.find_other_leader();
        let link = leader.and_then(|leader| self.replica_links.get(&leader));
        if let Some(&link) = link
            && self
                .links
                .hello(link)
                .is_some_and(Hello::supports_evacuations)
        {
            let message = PeerMessage::EvacuationOrder(order.clone());
            self.links.send(link, &message);
        }
    }

    /// Appends an order forwarded by a peer, if this process leads.
    pub(super) fn handle_order(&mut self, order: &EvacuationOrder) {
        if self.host.is_leader() {
            self.append_order(order);
        }
    }

    fn append_order(&mut self, order: &EvacuationOrder) {
        let commit = self.host.replica.status().commit;
        if self.order_outcome(order.id).is_some()
            || self.uncommitted_orders.is_uncommitted(&order.id, commit)
        {
            return;
        }
        if let Some(name) = self.find_incompatible_control(Hello::supports_evacuations) {
            log::warn!(hall = order.hall.as_str(), process = name; "cannot accept an evacuation: a control process runs an older build");
            return;
        }
        let Ok(command) = Command::Evacuation(order.clone()).encode() else {
            log::error!(hall = order.hall.as_str(); "cannot encode an evacuation order");
            return;
        };
        if let Ok(index) = self.host.replica.propose(command, self.clock.now()) {
            self.uncommitted_orders.record(order.id, index, commit);
        }
        self.advance();
    }

    /// Returns the name of a connected control process whose build lacks a feature.
    pub(super) fn find_incompatible_control(
        &self,
        has_feature: impl Fn(&Hello) -> bool,
    ) -> Option<&str> {
        let is_incompatible =
            |peer: &&Hello| matches!(peer.role, PeerRole::Control { .. }) && !has_feature(peer);
        let older = self.links.peers().find(is_incompatible)?;
        Some(older.name.as_str())
    }

    pub(super) fn apply_order(&mut self, order: EvacuationOrder, index: u64) {
        let (hall, source, change) = (order.hall.clone(), order.source.clone(), order.change);
        let outcome = self.state.evacuations.apply(order, index);
        log::info!(
            hall = hall.as_str(), change = change.as_str(), outcome = outcome.as_str(), index,
            revision = self.evacuations().revision(), source = source.as_str();
            "applied an evacuation order"
        );
    }

    /// Returns the evacuations in force locally.
    pub(crate) fn evacuations(&self) -> &EvacuationState {
        &self.state.evacuations
    }

    /// Returns the outcome of an order; `None` until it is applied locally.
    pub(crate) fn order_outcome(&self, order: OrderId) -> Option<OrderOutcome> {
        self.evacuations().find_outcome(order)
    }

    /// Sends the evacuated halls to the entries and guards that have not acknowledged them.
    pub(super) fn send_evacuations(&self) {
        if self.evacuations().revision() == 0 {
            return;
        }
        let is_entry_or_guard = |role| matches!(role, PeerRole::Entry | PeerRole::Guard);
        let halls = self.evacuations().halls();
        self.links.send_evacuations(&halls, is_entry_or_guard);
    }

    /// Sends the evacuated halls to one entry or guard, unless it has acknowledged them.
    pub(super) fn send_evacuations_to(&self, link: LinkId) {
        if self.evacuations().revision() > 0 {
            let halls = self.evacuations().halls();
            self.links.send_evacuations_to(link, &halls);
        }
    }

    /// Sends the evacuated halls if an order has changed them.
    pub(super) fn send_new_evacuations(&mut self) {
        let revision = self.evacuations().revision();
        if revision != self.sent_evacuations {
            self.sent_evacuations = revision;
            self.send_evacuations();
        }
    }
}
