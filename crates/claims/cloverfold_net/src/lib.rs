//! Mutually authenticated QUIC requests between the processes of a claims installation.
//!
//! A crate defines a [`Message`] with its number and reply type, registers a handler for it in a [`Router`], and sends
//! it with [`Network::call`]. Each request has its own QUIC stream, so a late reply cannot reach another request. Both
//! ends authenticate with certificates of the same authority ([`make_key_set`]).
//!
//! ```
//! use cloverfold_net::{Message, PeerRole, Router};
//! use serde::{Deserialize, Serialize};
//!
//! #[derive(Serialize, Deserialize)]
//! struct Ping;
//! impl Message for Ping {
//!     const KIND: u16 = 1;
//!     const NAME: &'static str = "ping";
//!     type Reply = u32;
//! }
//!
//! let mut router = Router::default();
//! router.register(&[PeerRole::Guard], |_peer, _ping: Ping| async { 7 });
//! ```

mod config;
mod connections;
mod error;
mod frame;
mod keys;
mod message;
mod metrics;
mod network;
mod peer;
mod replies;
mod router;
mod serving;
mod tls;
mod traffic;

pub use config::NetworkConfig;
pub use error::{CallError, KeyError, NetError};
pub use frame::MAX_MESSAGE_LEN;
pub use keys::{AUTHORITY_NAME, KeyFiles, make_key_set};
pub use message::Message;
pub use metrics::NetMetrics;
pub use network::Network;
pub use peer::{Peer, PeerAddress, PeerRole};
pub use replies::Replies;
pub use router::{ReplySink, Router};
pub use traffic::Traffic;
