//! The status of a control process for operators.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_consensus::ReplicaId;
use cloverfold_link::LinkId;
use cloverfold_peer::{Hello, PeerRole};
use serde_json::{Value, json};

use super::ControlState;

/// Time without quorum contact after which a process may not know the newest version: ten heartbeats of a leader, and more than the longest
/// election timeout.
const QUORUM_CONTACT_TIMEOUT: Duration = Duration::from_millis(800);

impl ControlState {
    /// Returns whether this process has quorum contact, so that it learns of every new version without delay.
    pub(crate) fn has_quorum(&self) -> bool {
        self.host
            .replica
            .has_quorum_contact(QUORUM_CONTACT_TIMEOUT, self.clock.now())
    }

    /// Describes the replica, the group and the connected processes. The keys are stable; `is_fresh` reports quorum contact.
    pub(crate) fn describe(&self) -> Value {
        let status = self.host.replica.status();
        let voters = status.members.voters.iter();
        let voters: Vec<_> = voters
            .map(|member| json!({ "replica": format_id(member.id), "address": member.address }))
            .collect();
        let mut described = json!({
            "name": self.own.name,
            "replica": format_id(status.id),
            "role": status.role.as_str().to_lowercase(),
            "term": status.term,
            "leader": status.leader.map(format_id),
            "is_fresh": self.has_quorum(),
            "voters": voters,
            "last_index": status.last_index,
            "commit": status.commit,
            "version": self.current_version(),
            "processes": self.describe_processes(),
        });
        // Absent before the first order, as in older builds without evacuations.
        if self.evacuations().revision() > 0 {
            described["evacuations"] = self.describe_evacuations();
        }
        described
    }

    /// Describes the evacuations in force: the data hall, the process that received the order, the time, and the log index.
    pub(crate) fn describe_evacuations(&self) -> Value {
        let in_force = self.evacuations().in_force().iter();
        let halls: Vec<_> = in_force
            .map(|(hall, evacuation)| {
                json!({
                    "hall": hall,
                    "source": evacuation.source,
                    "unix_ms": evacuation.received_at.as_millis() as u64,
                    "index": evacuation.index,
                })
            })
            .collect();
        json!({ "revision": self.evacuations().revision(), "halls": halls })
    }

    /// Describes each connected process once, with the version in force there.
    fn describe_processes(&self) -> Vec<Value> {
        let peers = self.links.identified();
        let by_name: BTreeMap<&str, (LinkId, &Hello)> = peers
            .map(|(link, hello)| (hello.name.as_str(), (link, hello)))
            .collect();
        let processes = by_name.into_values();
        processes
            .map(|(link, hello)| self.describe_process(link, hello))
            .collect()
    }

    /// Describes a process. For an entry or guard, includes the known revision of the evacuations once there was an order.
    fn describe_process(&self, link: LinkId, hello: &Hello) -> Value {
        let mut described = describe_hello(hello);
        let is_entry_or_guard = matches!(hello.role, PeerRole::Entry | PeerRole::Guard);
        if is_entry_or_guard && self.evacuations().revision() > 0 {
            described["evacuations"] = json!(self.links.known_evacuations(link));
        }
        described
    }
}

fn describe_hello(hello: &Hello) -> Value {
    let role = match hello.role {
        PeerRole::Entry => "entry",
        PeerRole::Guard => "guard",
        PeerRole::Control { .. } => "control",
    };
    json!({
        "name": hello.name,
        "role": role,
        "address": hello.address,
        "version": hello.version,
    })
}

/// Formats the identity of a replica for log lines and responses.
pub(crate) fn format_id(id: ReplicaId) -> String {
    format!("{id:016x}")
}
