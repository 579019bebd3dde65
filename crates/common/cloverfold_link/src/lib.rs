//! Framed TCP links between the processes of an installation.
//!
//! A link carries typed messages in both directions, in order, over one TCP connection. Messages are one-way; a reply is a separate
//! message. All links of a process report to one channel of [`LinkEvent`]s. Both ends send heartbeats on an idle link, and close it when
//! nothing has arrived for a second.

#![warn(clippy::disallowed_methods)]

mod dial;
mod encoded;
mod frame;
mod link;
mod socket;

pub use dial::{DialAttempt, DialBackoff, Dialer, send_once};
pub use encoded::EncodedMessage;
pub use frame::{FrameError, MAX_FRAME_LEN, decode_frame, encode_frame};
pub use link::{
    Greeting, LinkEvent, LinkId, LinkSender, MAX_GREETING_LEN, UNIDENTIFIED_LINK_BYTES,
    accept_links,
};
pub use socket::{listen, set_socket_options};
