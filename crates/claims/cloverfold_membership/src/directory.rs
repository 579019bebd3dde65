//! The addresses of the cell's guards, from its settings.
//!
//! [`crate::Membership`] tells which guards are alive.

use std::collections::BTreeMap;

use cloverfold_claims_core::GuardId;
use cloverfold_claims_settings::CellSettings;
use cloverfold_net::PeerAddress;

/// Addresses of the cell's guards, and the order in which they lead.
#[derive(Clone, Debug)]
pub struct Directory {
    /// Guards in the order in which they take over the lead.
    pub(crate) lead_order: Vec<GuardId>,
    addresses: BTreeMap<GuardId, PeerAddress>,
}

impl Directory {
    /// Builds the directory from the cell's settings.
    pub fn new(cell: &CellSettings) -> Self {
        let addresses = cell.guards.iter().map(|guard| {
            let address = PeerAddress {
                name: format!("guard-{}", guard.id),
                address: guard.address,
            };
            (guard.id, address)
        });
        Self {
            lead_order: cell.list_lead_order(),
            addresses: addresses.collect(),
        }
    }

    /// Returns the address of a guard.
    pub fn address_of(&self, guard: GuardId) -> Option<&PeerAddress> {
        self.addresses.get(&guard)
    }

    /// Returns the guards of the cell.
    pub fn guards(&self) -> impl Iterator<Item = GuardId> + '_ {
        self.addresses.keys().copied()
    }
}
