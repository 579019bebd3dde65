//! The targets of guards: their descriptions, and for the upkeep scheduler their load, and holds sent to their guards.
//!
//! A guard replies to every hold message with the free capacity of its target.

use std::time::Duration;

use cloverfold_lease::{FreeCapacity, TargetDescription};
use cloverfold_link::LinkId;
use cloverfold_peer::PeerMessage;
use cloverfold_upkeep::{TargetHold, TargetLoad, TargetLoads};

use super::ControlState;

/// A guard's target as known to this process.
#[derive(Debug)]
pub(super) struct KnownTarget {
    description: TargetDescription,
    /// The last reported load.
    load: Option<TargetLoad>,
}

impl KnownTarget {
    pub(super) fn new(target: &TargetDescription) -> Self {
        Self {
            description: target.clone(),
            load: None,
        }
    }

    pub(super) fn description(&self) -> &TargetDescription {
        &self.description
    }
}

impl ControlState {
    /// Records the free capacity of a guard's target.
    pub(super) fn record_load(&mut self, link: LinkId, free: &FreeCapacity) {
        let at = self.clock.now();
        let Some(hello) = self.links.hello(link) else {
            return;
        };
        if let Some(target) = self.upkeep_runtime.targets.get_mut(&hello.address) {
            let capacity = target.description.capacity;
            target.load = Some(TargetLoad {
                capacity_milli: capacity.cpu_milli,
                free_milli: free.free.cpu_milli,
                is_empty: free.free == capacity,
                at,
            });
        }
    }

    pub(super) fn list_loads(&self) -> TargetLoads {
        let targets = self.upkeep_runtime.targets.values();
        let loads = targets
            .filter_map(|target| Some((target.description.incarnation.clone(), target.load?)));
        loads.collect()
    }

    /// Asks the guard of a target to withhold it from entries for `span`; a zero `span` ends the hold. The guard replies with the free
    /// capacity of the target.
    pub(super) fn send_hold(&self, incarnation: &str, span: Duration) {
        let mut targets = self.upkeep_runtime.targets.iter();
        let guard = targets.find(|(_, target)| target.description.incarnation == incarnation);
        let Some((guard, _)) = guard else {
            return;
        };
        let mut peers = self.links.identified();
        let link = peers.find(|(_, hello)| hello.address == *guard && hello.supports_kept_jobs());
        if let Some((link, _)) = link {
            let held = TargetHold {
                incarnation: incarnation.into(),
                for_ms: span.as_millis() as u32,
            };
            self.links.send(link, &PeerMessage::HoldTarget(held));
        }
    }
}
