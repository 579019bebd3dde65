//! The status of a control process for operators, and whether it is in contact with a majority.
//!
//! Owns no state: everything is read off [`ControlState`] when it is asked for. Relies on the replica for the group and its members, on the
//! links for the connected processes and the versions that they have announced.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_consensus::ReplicaId;
use cloverfold_peer::{Hello, PeerRole};
use serde_json::{Value, json};

use super::ControlState;

/// Without contact with its group for this long, a process may not know the newest version. Chosen, not measured: ten heartbeats of a
/// leader, and more than the longest election timeout.
const QUORUM_CONTACT_SPAN: Duration = Duration::from_millis(800);

impl ControlState {
    /// Returns whether this process is in contact with a majority of its group, so that it learns of every new version at once.
    pub(crate) fn has_quorum(&self) -> bool {
        self.replica
            .has_quorum_contact(QUORUM_CONTACT_SPAN, self.clock.now())
    }

    /// Describes the replica, the group and the connected processes. The keys never change; `is_fresh` stands for contact with a majority.
    pub(crate) fn describe(&self) -> Value {
        let status = self.replica.status();
        let voters = status.members.voters.iter();
        let voters: Vec<_> = voters
            .map(|member| json!({ "replica": format_id(member.id), "address": member.address }))
            .collect();
        json!({
            "name": self.own.name,
            "replica": format_id(status.id),
            "role": status.role.as_str().to_lowercase(),
            "term": status.term,
            "leader": status.leader.map(format_id),
            "is_fresh": self.has_quorum(),
            "voters": voters,
            "last_index": status.last_index,
            "commit": status.commit,
            "version": self.state.version(),
            "processes": self.describe_processes(),
        })
    }

    /// Describes the connected processes, each once, with the version in force there.
    fn describe_processes(&self) -> Vec<Value> {
        let peers = self.links.peers();
        let by_name: BTreeMap<&str, &Hello> =
            peers.map(|hello| (hello.name.as_str(), hello)).collect();
        by_name.into_values().map(describe_process).collect()
    }
}

fn describe_process(hello: &Hello) -> Value {
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

/// Writes the identity of a replica as log lines and answers show it.
pub(crate) fn format_id(id: ReplicaId) -> String {
    format!("{id:016x}")
}
