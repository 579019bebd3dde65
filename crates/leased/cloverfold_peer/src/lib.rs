//! Peer protocol and peer discovery of a leased installation.
//!
//! Entries and guards dial control processes: first the seeds from their settings, later those in the newest [`Directory`]. A control
//! process assigns each guard a subset of the entries ([`choose_entries`]) and lists it in the guard's directory; the guard dials these
//! entries ([`AssignedEntries`]). Guards whose targets an entry needs for its kept jobs are assigned to it as well
//! ([`add_needed_entries`]). An entry sends an invitation to each guard that was connected before, so that both can reconnect while
//! no control process is reachable. A restarted control process invites the entries and guards that it stored ([`Invitations`]).
//!
//! Each process keeps its open links in [`PeerLinks`] and the addresses that it dials in [`DialedPeers`] and [`ControlLinks`].

#![warn(clippy::disallowed_methods)]

mod assigned_entries;
mod dialed_peers;
mod entry_subsets;
mod group_calls;
mod known_evacuations;
mod link_drains;
mod links;
mod messages;
mod needed_targets;
mod sent_counts;
mod stored_peers;
mod trailing;

pub use assigned_entries::AssignedEntries;
pub use dialed_peers::{ControlLinks, DialedPeers};
pub use entry_subsets::{EntrySubsets, GuardAttributes, KnownGuards, choose_entries};
pub use group_calls::send_group_call;
pub use known_evacuations::KnownEvacuations;
pub use link_drains::{LinkDrainStep, LinkDrains};
pub use links::{PeerLinks, SharedMessage};
pub use messages::{
    Directory, Hello, PROTOCOL_VERSION, PeerDetails, PeerMessage, PeerRole, ProtocolVersion,
};
pub use needed_targets::{GuardTarget, NeedsByEntry, add_needed_entries};
pub use sent_counts::{SentCounts, SentTotals};
pub use stored_peers::{Invitations, StoredPeers};
pub use trailing::Trailing;
