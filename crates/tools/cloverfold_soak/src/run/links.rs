//! A proxy on every link, and the faults of all links together.
//!
//! Between two processes a proxy tells who dialed by the message with which that side introduces itself.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cloverfold_faults::{DialerName, LinkFaults, LinkProxy};
use cloverfold_link::decode_frame;
use cloverfold_peer::PeerMessage;

use super::layout::{Layout, Side};
use crate::plan::{CutDirection, GUARD_COUNT, list_processes};
use crate::records::Process;

/// A fault of links that lasts.
#[derive(Clone, Debug)]
pub(crate) enum LinkFault {
    /// Nothing passes between two sides.
    Cut {
        side: Vec<Process>,
        other: Vec<Process>,
        way: CutDirection,
    },
    /// Nothing passes between a process and its callers, operators or target.
    CutOff { process: Process, way: CutDirection },
    /// All that passes to and from a process is late.
    Delay { process: Process, by: Duration },
}

impl CutDirection {
    fn is_outwards(self) -> bool {
        self != Self::Inwards
    }

    fn is_inwards(self) -> bool {
        self != Self::Outwards
    }
}

/// All links.
pub(crate) struct Links {
    names: Vec<(Process, DialerName)>,
    peers: HashMap<Process, LinkProxy>,
    interfaces: HashMap<Process, LinkProxy>,
    targets: Vec<LinkProxy>,
    active: Mutex<ActiveFaults>,
}

#[derive(Default)]
struct ActiveFaults {
    next: u64,
    faults: BTreeMap<u64, LinkFault>,
}

/// Names the side that dialed by the address at which it is reached.
fn name_by_introduction(first: &[u8]) -> Option<DialerName> {
    let mut buf = first.into();
    match decode_frame::<PeerMessage>(&mut buf).ok()?? {
        PeerMessage::Hello(hello) => Some(hello.address.ip().to_string()),
        PeerMessage::Invite { entry } => Some(entry.ip().to_string()),
        _ => None,
    }
}

/// Callers, operators and targets need no names.
fn name_nobody(_first: &[u8]) -> Option<DialerName> {
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
            let peer = LinkProxy::start(outer, inner, name_by_introduction)?;
            links.peers.insert(process, peer);
            let (outer, inner) = (
                layout.interface(process, Side::Outer),
                layout.interface(process, Side::Inner),
            );
            let interface = LinkProxy::start(outer, inner, name_nobody)?;
            links.interfaces.insert(process, interface);
        }
        for guard in 0..GUARD_COUNT {
            let (outer, inner) = (
                layout.target(guard, Side::Outer),
                layout.target(guard, Side::Inner),
            );
            links
                .targets
                .push(LinkProxy::start(outer, inner, name_nobody)?);
        }
        Ok(links)
    }

    /// Begins a fault; returns its number.
    pub(crate) fn begin(&self, fault: LinkFault) -> u64 {
        let mut active = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        let number = active.next;
        active.next += 1;
        active.faults.insert(number, fault);
        self.apply(&active.faults);
        number
    }

    pub(crate) fn end(&self, number: u64) {
        let mut active = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        active.faults.remove(&number);
        self.apply(&active.faults);
    }

    /// Resets all connections that others have opened to a process, and those to its target.
    pub(crate) fn reset(&self, process: Process) {
        for proxy in self.proxies_of(process) {
            proxy.reset_connections();
        }
    }

    /// Lets all such connections go silent for good.
    pub(crate) fn silence(&self, process: Process) {
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
        let all = |find: &dyn Fn(&LinkFault) -> LinkFaults| {
            let faults = active.values().map(find);
            faults.fold(LinkFaults::default(), LinkFaults::combine)
        };
        for (process, proxy) in &self.peers {
            for (dialer, name) in &self.names {
                proxy.set_for(name, all(&|fault| find_between(fault, *dialer, *process)));
            }
        }
        for (process, proxy) in &self.interfaces {
            proxy.set(all(&|fault| find_at_interface(fault, *process)));
        }
        for (index, proxy) in self.targets.iter().enumerate() {
            proxy.set(all(&|fault| find_at_target(fault, Process::Guard(index))));
        }
    }
}

/// What a fault does to a connection that one process has opened to another.
fn find_between(fault: &LinkFault, dialer: Process, process: Process) -> LinkFaults {
    match fault {
        LinkFault::Cut { side, other, way } => {
            if side.contains(&dialer) && other.contains(&process) {
                hold(way.is_outwards(), way.is_inwards())
            } else if other.contains(&dialer) && side.contains(&process) {
                hold(way.is_inwards(), way.is_outwards())
            } else {
                LinkFaults::default()
            }
        }
        LinkFault::Delay { process: late, by } if *late == dialer || *late == process => delay(*by),
        LinkFault::CutOff { .. } | LinkFault::Delay { .. } => LinkFaults::default(),
    }
}

/// What a fault does to a connection that a caller, an operator or a target has opened to a process.
fn find_at_interface(fault: &LinkFault, process: Process) -> LinkFaults {
    match fault {
        LinkFault::CutOff { process: cut, way } if *cut == process => {
            hold(way.is_inwards(), way.is_outwards())
        }
        LinkFault::Delay { process: late, by } if *late == process => delay(*by),
        _ => LinkFaults::default(),
    }
}

/// What a fault does to a connection that a guard has opened to its target.
fn find_at_target(fault: &LinkFault, guard: Process) -> LinkFaults {
    match fault {
        LinkFault::CutOff { process: cut, way } if *cut == guard => {
            hold(way.is_outwards(), way.is_inwards())
        }
        LinkFault::Delay { process: late, by } if *late == guard => delay(*by),
        _ => LinkFaults::default(),
    }
}

fn hold(blocks_to_upstream: bool, blocks_to_dialer: bool) -> LinkFaults {
    LinkFaults {
        blocks_to_upstream,
        blocks_to_dialer,
        ..LinkFaults::default()
    }
}

fn delay(by: Duration) -> LinkFaults {
    LinkFaults {
        delay: by,
        ..LinkFaults::default()
    }
}
