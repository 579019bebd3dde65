//! A proxy on every link, and the combined faults of all links.
//!
//! The proxy of a process identifies the dialing process by its first message.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cloverfold_faults::{DialerName, LinkFaults, LinkProxy};
use cloverfold_link::decode_frame;
use cloverfold_peer::PeerMessage;

use super::layout::{Layout, Side};
use crate::plan::{Direction, GUARD_COUNT, list_processes};
use crate::records::Process;

/// A link fault with a duration.
#[derive(Clone, Debug)]
pub(crate) enum LinkFault {
    /// A network partition between two sets of processes.
    Partition {
        side: Vec<Process>,
        other: Vec<Process>,
        direction: Direction,
    },
    /// A partition between a process and its callers, operators or target.
    ExternalPartition {
        process: Process,
        direction: Direction,
    },
    /// A delay on all links of a process.
    Delay { process: Process, delay: Duration },
}

impl Direction {
    fn blocks_outbound(self) -> bool {
        self != Self::Inbound
    }

    fn blocks_inbound(self) -> bool {
        self != Self::Outbound
    }
}

/// The proxies and the active faults of all links.
pub(crate) struct Links {
    names: Vec<(Process, DialerName)>,
    peers: HashMap<Process, LinkProxy>,
    interfaces: HashMap<Process, LinkProxy>,
    targets: Vec<LinkProxy>,
    active: Mutex<ActiveFaults>,
}

#[derive(Default)]
struct ActiveFaults {
    next_id: u64,
    faults: BTreeMap<u64, LinkFault>,
}

/// Identifies the dialing process by the outer address in its first message.
fn identify_by_first_message(first: &[u8]) -> Option<DialerName> {
    let mut buf = first.into();
    match decode_frame::<PeerMessage>(&mut buf).ok()?? {
        PeerMessage::Hello(hello) => Some(hello.address.ip().to_string()),
        PeerMessage::Invite { entry } => Some(entry.ip().to_string()),
        _ => None,
    }
}

/// Identifies nobody: faults do not distinguish callers, operators and targets.
fn identify_nobody(_first: &[u8]) -> Option<DialerName> {
    None
}

impl Links {
    pub(crate) fn start(layout: &Layout) -> std::io::Result<Self> {
        let mut links = Self {
            names: Vec::new(),
            peers: HashMap::new(),
            interfaces: HashMap::new(),
            targets: Vec::new(),
            active: Mutex::default(),
        };
        for process in list_processes() {
            let name = layout.ip(process, Side::Outer).to_string();
            links.names.push((process, name));
            let (outer, inner) = (
                layout.peer(process, Side::Outer),
                layout.peer(process, Side::Inner),
            );
            let peer = LinkProxy::start(outer, inner, identify_by_first_message)?;
            links.peers.insert(process, peer);
            let (outer, inner) = (
                layout.interface(process, Side::Outer),
                layout.interface(process, Side::Inner),
            );
            let interface = LinkProxy::start(outer, inner, identify_nobody)?;
            links.interfaces.insert(process, interface);
        }
        for guard in 0..GUARD_COUNT {
            let (outer, inner) = (
                layout.target(guard, Side::Outer),
                layout.target(guard, Side::Inner),
            );
            links
                .targets
                .push(LinkProxy::start(outer, inner, identify_nobody)?);
        }
        Ok(links)
    }

    /// Starts a fault; returns its id.
    pub(crate) fn begin_fault(&self, fault: LinkFault) -> u64 {
        let mut active = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        let id = active.next_id;
        active.next_id += 1;
        active.faults.insert(id, fault);
        self.apply(&active.faults);
        id
    }

    pub(crate) fn end_fault(&self, id: u64) {
        let mut active = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        active.faults.remove(&id);
        self.apply(&active.faults);
    }

    /// Resets all connections that others have opened to a process, and those to the target of a guard.
    pub(crate) fn reset(&self, process: Process) {
        for proxy in self.proxies_of(process) {
            proxy.reset_connections();
        }
    }

    /// Drops all further traffic on the same connections.
    pub(crate) fn blackhole(&self, process: Process) {
        for proxy in self.proxies_of(process) {
            proxy.blackhole_connections();
        }
    }

    fn proxies_of(&self, process: Process) -> impl Iterator<Item = &LinkProxy> {
        let target = match process {
            Process::Guard(index) => self.targets.get(index),
            _ => None,
        };
        let peer = self.peers.get(&process).into_iter();
        peer.chain(self.interfaces.get(&process)).chain(target)
    }

    fn apply(&self, active: &BTreeMap<u64, LinkFault>) {
        let all = |faults_of: &dyn Fn(&LinkFault) -> LinkFaults| {
            let faults = active.values().map(faults_of);
            faults.fold(LinkFaults::default(), LinkFaults::combine)
        };
        for (process, proxy) in &self.peers {
            for (dialer, name) in &self.names {
                proxy.set_for(
                    name,
                    all(&|fault| peer_link_faults(fault, *dialer, *process)),
                );
            }
        }
        for (process, proxy) in &self.interfaces {
            proxy.set(all(&|fault| interface_faults(fault, *process)));
        }
        for (index, proxy) in self.targets.iter().enumerate() {
            proxy.set(all(&|fault| {
                target_link_faults(fault, Process::Guard(index))
            }));
        }
    }
}

/// Returns the effect of a fault on connections from one process to another.
fn peer_link_faults(fault: &LinkFault, dialer: Process, process: Process) -> LinkFaults {
    match fault {
        LinkFault::Partition {
            side,
            other,
            direction,
        } => {
            if side.contains(&dialer) && other.contains(&process) {
                block_faults(direction.blocks_outbound(), direction.blocks_inbound())
            } else if other.contains(&dialer) && side.contains(&process) {
                block_faults(direction.blocks_inbound(), direction.blocks_outbound())
            } else {
                LinkFaults::default()
            }
        }
        LinkFault::Delay {
            process: delayed,
            delay,
        } if *delayed == dialer || *delayed == process => delay_faults(*delay),
        LinkFault::ExternalPartition { .. } | LinkFault::Delay { .. } => LinkFaults::default(),
    }
}

/// Returns the effect of a fault on connections from a caller, an operator or a target to a process.
fn interface_faults(fault: &LinkFault, process: Process) -> LinkFaults {
    match fault {
        LinkFault::ExternalPartition {
            process: isolated,
            direction,
        } if *isolated == process => {
            block_faults(direction.blocks_inbound(), direction.blocks_outbound())
        }
        LinkFault::Delay {
            process: delayed,
            delay,
        } if *delayed == process => delay_faults(*delay),
        _ => LinkFaults::default(),
    }
}

/// Returns the effect of a fault on connections from a guard to its target.
fn target_link_faults(fault: &LinkFault, guard: Process) -> LinkFaults {
    match fault {
        LinkFault::ExternalPartition {
            process: isolated,
            direction,
        } if *isolated == guard => {
            block_faults(direction.blocks_outbound(), direction.blocks_inbound())
        }
        LinkFault::Delay {
            process: delayed,
            delay,
        } if *delayed == guard => delay_faults(*delay),
        _ => LinkFaults::default(),
    }
}

fn block_faults(blocks_to_upstream: bool, blocks_to_dialer: bool) -> LinkFaults {
    LinkFaults {
        blocks_to_upstream,
        blocks_to_dialer,
        ..LinkFaults::default()
    }
}

fn delay_faults(delay: Duration) -> LinkFaults {
    LinkFaults {
        delay,
        ..LinkFaults::default()
    }
}
