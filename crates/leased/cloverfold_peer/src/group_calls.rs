//! Decision: over which link a call to a group goes.
//!
//! Rule: to the control process that leads the group, if it is known and connected; otherwise to the one whose place among the connected
//! ones, in order of their links, is the number of the attempt. Only to those whose build reads calls.
//!
//! Inputs: the open links, the route.
//!
//! Reason: any control process passes a call on, which takes a message longer; one that cannot is passed by with the next attempt.

use cloverfold_kept_jobs::{CallRoute, JobCallMessage};
use cloverfold_link::LinkId;

use crate::links::PeerLinks;
use crate::messages::{Hello, PeerMessage, PeerRole};

/// Sends a call to a group; returns whether it was queued on a link, without which it certainly has no effect.
pub fn send_group_call(links: &PeerLinks, route: &CallRoute, call: JobCallMessage) -> bool {
    let Some(link) = choose_link(links, route) else {
        return false;
    };
    links.send(link, &PeerMessage::JobCall(call))
}

/// Returns whether a control process is connected whose build reads calls to groups.
pub fn has_group_link(links: &PeerLinks) -> bool {
    links.peers().any(is_usable)
}

fn choose_link(links: &PeerLinks, route: &CallRoute) -> Option<LinkId> {
    let usable = links.identified().filter(|(_, hello)| is_usable(hello));
    let mut usable: Vec<(LinkId, &Hello)> = usable.collect();
    usable.sort_unstable_by_key(|(link, _)| *link);
    if let Some(leader) = &route.leader
        && let Some((link, _)) = usable.iter().find(|(_, hello)| hello.name == *leader)
    {
        return Some(*link);
    }
    let place = route.attempt as usize % usable.len().max(1);
    usable.get(place).map(|(link, _)| *link)
}

fn is_usable(hello: &Hello) -> bool {
    matches!(hello.role, PeerRole::Control { .. }) && hello.supports_kept_jobs()
}
