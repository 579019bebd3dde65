//! The addresses of the cell's guards, as its settings list them.
//!
//! Used by every package that sends requests to guards. Owns the addresses and the order in which guards lead; neither changes
//! while the process runs. Relies on [`CellSettings`]; whether a guard is alive is a question for [`crate::Membership`].

use std::collections::BTreeMap;

use cloverfold_claims_core::GuardId;
use cloverfold_claims_settings::CellSettings;
use cloverfold_net::PeerAddress;

/// Where each guard of the cell is reached.
#[derive(Clone, Debug)]
pub struct Directory {
    /// Guards in the order in which they act as the lead.
    pub(crate) lead_order: Vec<GuardId>,
    addresses: BTreeMap<GuardId, PeerAddress>,
}

impl Directory {
    /// Builds the directory of the cell's settings.
    pub fn new(cell: &CellSettings) -> Self {
        let addresses = cell.guards.iter().map(|place| {
            let address = PeerAddress {
                name: format!("guard-{}", place.id),
                address: place.address,
            };
            (place.id, address)
        });
        Self {
            lead_order: cell.list_lead_order(),
            addresses: addresses.collect(),
        }
    }

    /// Returns where a guard is reached.
    pub fn address_of(&self, guard: GuardId) -> Option<&PeerAddress> {
        self.addresses.get(&guard)
    }

    /// Lists the guards.
    pub fn guards(&self) -> impl Iterator<Item = GuardId> + '_ {
        self.addresses.keys().copied()
    }
}
