//! Messages between the processes of a leased installation, and how the processes find one another.
//!
//! Entries and guards dial the control processes that they know of: first the seeds of their settings, later those that the
//! control processes name. Guards dial every entry that they hear of. An entry invites guards that it knew before, so
//! that the two find each other again while no control process can be reached.
//!
//! Owns, for each process, its open links ([`PeerLinks`]) and the addresses that it dials ([`DialedPeers`], [`ControlLinks`]). Relies
//! on `cloverfold_link` for the connections.

mod addresses;
mod links;
mod messages;

pub use addresses::{ControlLinks, DialedPeers};
pub use links::PeerLinks;
pub use messages::{Directory, Hello, PeerMessage, PeerRole};
