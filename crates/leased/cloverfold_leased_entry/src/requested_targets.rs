//! The targets that this entry has requested from each control process.

use std::collections::{BTreeSet, HashMap};

use cloverfold_lease::TargetNeed;
use cloverfold_link::LinkId;
use cloverfold_peer::{Hello, PeerLinks, PeerMessage, PeerRole};

/// The newest request on each link to a control process; none if it is empty.
#[derive(Debug, Default)]
pub(crate) struct RequestedTargets {
    sent: HashMap<LinkId, BTreeSet<TargetNeed>>,
}

impl RequestedTargets {
    /// Sends the needs to each control process that does not know them. A request that cannot be queued is sent at the next call.
    pub(crate) fn send(&mut self, needs: &BTreeSet<TargetNeed>, links: &PeerLinks) {
        if needs.is_empty() && self.sent.is_empty() {
            return;
        }
        let controls = links.identified();
        let outdated: Vec<LinkId> = controls
            .filter(|(link, hello)| is_supported(hello) && !self.is_known(*link, needs))
            .map(|(link, _)| link)
            .collect();
        if outdated.is_empty() {
            return;
        }
        let message = PeerMessage::TargetNeeds(needs.iter().cloned().collect());
        for link in outdated {
            if links.send(link, &message) {
                log::info!(link, needs = describe(needs).as_str(); "requested targets for kept jobs");
                self.record_sent(link, needs);
            }
        }
    }

    /// Removes a closed link.
    pub(crate) fn remove(&mut self, link: LinkId) {
        self.sent.remove(&link);
    }

    fn record_sent(&mut self, link: LinkId, needs: &BTreeSet<TargetNeed>) {
        if needs.is_empty() {
            self.sent.remove(&link);
        } else {
            self.sent.insert(link, needs.clone());
        }
    }

    fn is_known(&self, link: LinkId, needs: &BTreeSet<TargetNeed>) -> bool {
        match self.sent.get(&link) {
            Some(sent) => sent == needs,
            None => needs.is_empty(),
        }
    }
}

fn is_supported(hello: &Hello) -> bool {
    matches!(hello.role, PeerRole::Control { .. }) && hello.supports_target_needs()
}

/// Maximum number of needs in a log line.
const MAX_LOGGED_NEEDS: usize = 8;

/// Returns the first needs for the log, each as its service and its label.
fn describe(needs: &BTreeSet<TargetNeed>) -> String {
    let first = needs.iter().take(MAX_LOGGED_NEEDS);
    let names = first.map(|need| match &need.label {
        Some(label) => format!("{}/{label}", need.service),
        None => need.service.clone(),
    });
    names.collect::<Vec<_>>().join(" ")
}
