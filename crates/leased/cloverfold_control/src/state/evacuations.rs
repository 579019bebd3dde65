//! Orders to evacuate data halls on their way into the log, and what entries and guards are told.
//!
//! Decision: what becomes of an order before the log. Rule: a process that doesn't lead passes it to the leader. The leader appends it
//! unless it stands in the log already, or a connected control process is of a build that cannot apply it: that one's state would
//! differ for good. What an applied order changes is decided by `cloverfold_evacuation`. Inputs: the order, the applied decisions, the
//! introductions of the connected control processes.
//!
//! Entries and guards are told at once when an order is taken, when they connect, and with the regular notices as long as they have
//! not shown that they know.

use cloverfold_base::{random_u64, unix_now};
use cloverfold_evacuation::{
    DataHall, EvacuationOrder, EvacuationState, HallChange, OrderId, OrderOutcome,
};
use cloverfold_link::LinkId;
use cloverfold_peer::{Hello, PeerMessage, PeerRole};

use super::ControlState;
use super::replicated::Command;

impl ControlState {
    /// Makes an order of an operator's call, based on what is known here now.
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

    /// Appends an order if this process leads, and passes it to the leader otherwise. Where neither is possible it is dropped; the
    /// process that received it from the operator submits it again.
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

    /// Appends an order that a peer passed on, if this process leads.
    pub(super) fn receive_order(&mut self, order: &EvacuationOrder) {
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
            log::warn!(hall = order.hall.as_str(), process = name; "an evacuation is not possible: a control process is of an older build");
            return;
        }
        let Ok(command) = Command::Evacuation(order.clone()).encode() else {
            log::error!(hall = order.hall.as_str(); "an order cannot be encoded");
            return;
        };
        if let Ok(index) = self.host.replica.propose(command, self.clock.now()) {
            self.uncommitted_orders.record(order.id, index, commit);
        }
        self.advance();
    }

    /// Returns the name of a connected control process whose build does not know what is asked for.
    pub(super) fn find_incompatible_control(&self, knows: impl Fn(&Hello) -> bool) -> Option<&str> {
        let is_incompatible =
            |peer: &&Hello| matches!(peer.role, PeerRole::Control { .. }) && !knows(peer);
        let older = self.links.peers().find(is_incompatible)?;
        Some(older.name.as_str())
    }

    /// Applies an order that is committed.
    pub(super) fn apply_order(&mut self, order: EvacuationOrder, index: u64) {
        let (hall, source, change) = (order.hall.clone(), order.source.clone(), order.change);
        let outcome = self.state.evacuations.apply(order, index);
        log::info!(
            hall = hall.as_str(), change = change.as_str(), outcome = outcome.as_str(), index,
            revision = self.evacuations().revision(), source = source.as_str();
            "an evacuation is decided on"
        );
    }

    /// Returns the evacuations in force here.
    pub(crate) fn evacuations(&self) -> &EvacuationState {
        &self.state.evacuations
    }

    /// Returns what became of an order; `None` while it is not applied here.
    pub(crate) fn order_outcome(&self, order: OrderId) -> Option<OrderOutcome> {
        self.evacuations().find_outcome(order)
    }

    /// Sends the evacuated halls to the entries and guards that have not shown to know them.
    pub(super) fn send_evacuations(&self) {
        if self.evacuations().revision() == 0 {
            return;
        }
        let is_attached = |role| matches!(role, PeerRole::Entry | PeerRole::Guard);
        let halls = self.evacuations().halls();
        self.links.send_evacuations(&halls, is_attached);
    }

    /// Sends the evacuated halls to one entry or guard, if it has not shown to know them.
    pub(super) fn send_evacuations_to(&self, link: LinkId) {
        if self.evacuations().revision() > 0 {
            let halls = self.evacuations().halls();
            self.links.send_evacuations_to(link, &halls);
        }
    }

    /// Tells at once of an order that was taken.
    pub(super) fn send_new_evacuations(&mut self) {
        let revision = self.evacuations().revision();
        if revision != self.sent_evacuations {
            self.sent_evacuations = revision;
            self.send_evacuations();
        }
    }
}
