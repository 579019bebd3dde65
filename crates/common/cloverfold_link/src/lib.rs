//! Framed TCP links between the processes of an installation.
//!
//! A link carries typed messages both ways, in order, over one TCP connection. Messages are one-way: a reply is a
//! message of its own. Every link of a process reports to one channel of [`LinkEvent`]s, so that the state
//! that reacts to them needs no lock. A peer that is gone without a word is noticed by the messages'
//! own heartbeats; the transport only bounds how long unacknowledged bytes may wait.

mod dial;
mod frame;
mod link;
mod socket;

pub use dial::{DialAttempt, DialBackoff, Dialer, send_once};
pub use frame::{FrameError, MAX_FRAME_LEN, decode_frame, encode_frame};
pub use link::{LinkEvent, LinkId, LinkSender, accept_links};
pub use socket::listen;
