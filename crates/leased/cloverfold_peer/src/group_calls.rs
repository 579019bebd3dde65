//! Selects the link for a call to a group.
//!
//! A call goes to the control process that leads the group, if it is known and connected. Otherwise any control process can forward the
//! call at the cost of one more message, so attempts rotate through the connected ones in the order of their links. Control processes
//! whose build does not support calls are skipped.

use cloverfold_kept_jobs::{CallRoute, JobCallMessage};
use cloverfold_link::LinkId;

use crate::links::PeerLinks;
use crate::messages::{Hello, PeerMessage, PeerRole};

/// Sends a call to a group; returns whether it was queued on a link. A call that was not queued has no effect.
pub fn send_group_call(links: &PeerLinks, route: &CallRoute, call: JobCallMessage) -> bool {
    let Some(link) = choose_link(links, route) else {
        return false;
    };
    links.send(link, &PeerMessage::JobCall(call))
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
    let index = route.attempt as usize % usable.len().max(1);
    usable.get(index).map(|(link, _)| *link)
}

fn is_usable(hello: &Hello) -> bool {
    matches!(hello.role, PeerRole::Control { .. }) && hello.supports_kept_jobs()
}
