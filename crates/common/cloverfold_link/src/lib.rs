//! Framed TCP links between the processes of an installation.
//!
//! A link carries typed messages both ways, in order, over one TCP connection. Messages are one-way: a reply is a
//! message of its own. Every link of a process reports to one channel of [`LinkEvent`]s, so that the state
//! that reacts to them is driven from one place. Both ends send heartbeats while they have nothing else to send, and close a link on
//! which nothing arrives for a second.
//!
//! Owns the connections and the queues of messages that wait to be sent. Relies on the system's TCP and on `postcard` for the encoding.

#![warn(clippy::disallowed_methods)]

mod dial;
mod encoded;
mod frame;
mod link;
mod socket;

pub use dial::{DialAttempt, DialBackoff, Dialer, send_once};
pub use encoded::EncodedMessage;
pub use frame::{FrameError, MAX_FRAME_LEN, decode_frame, encode_frame};
pub use link::{LinkEvent, LinkId, LinkSender, accept_links};
pub use socket::{listen, tune_socket};
