//! Messages between the processes of a leased installation, and how the processes find one another.
//!
//! Entries and guards dial control processes: first the seeds of their settings, later those in the newest [`Directory`]. A control
//! process chooses which entries each guard works with ([`choose_entries`]) and names them in the guard's directory; the guard dials
//! those ([`ChosenEntries`]). An entry invites guards that were connected to it before, so that the two reconnect while no control
//! process can be reached. A control process that has restarted invites the entries and guards that it remembers ([`Invitations`]).
//!
//! Owns, for each process, its open links ([`PeerLinks`]) and the addresses that it dials ([`DialedPeers`], [`ControlLinks`]). Relies
//! on `cloverfold_link` for the connections.

#![warn(clippy::disallowed_methods)]

mod addresses;
mod chosen_entries;
mod entry_subsets;
mod group_calls;
mod known_evacuations;
mod link_drains;
mod links;
mod messages;
mod sent_counts;
mod stored_peers;
mod trailing;

pub use addresses::{ControlLinks, DialedPeers};
pub use chosen_entries::ChosenEntries;
pub use entry_subsets::{EntrySubsets, GuardAttributes, KnownGuards, choose_entries};
pub use group_calls::{has_group_link, send_group_call};
pub use known_evacuations::KnownEvacuations;
pub use link_drains::{LinkDrainStep, LinkDrains};
pub use links::{PeerLinks, SharedMessage};
pub use messages::{
    Directory, Hello, PROTOCOL_VERSION, PeerDetails, PeerMessage, PeerRole, ProtocolVersion,
};
pub use sent_counts::{SentCounts, SentTotals};
pub use stored_peers::{Invitations, StoredPeers};
pub use trailing::Trailing;
