//! Messages between the processes of a leased installation, and how the processes find one another.
//!
//! Entries and guards dial control processes: first the seeds of their settings, later those in the newest [`Directory`]. Guards dial
//! every entry in the directory. An entry invites guards that were connected to it before, so that the two reconnect while no control
//! process can be reached.
//!
//! Owns, for each process, its open links ([`PeerLinks`]) and the addresses that it dials ([`DialedPeers`], [`ControlLinks`]). Relies
//! on `cloverfold_link` for the connections.

mod addresses;
mod links;
mod messages;

pub use addresses::{ControlLinks, DialedPeers};
pub use links::PeerLinks;
pub use messages::{Directory, Hello, PeerMessage, PeerRole};
