//! Typed requests and their replies.
//!
//! Each package implements [`Message`] for the requests that it serves. Owns no state. Relies on the packages to choose
//! different numbers; the layout on the wire is in `frame`.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A request that one process sends to another.
pub trait Message: Serialize + DeserializeOwned + Send + 'static {
    /// Number of the message on the wire; unique among all packages.
    const KIND: u16;
    /// Name of the message in logs and metrics.
    const NAME: &'static str;
    /// What is sent back, once or several times.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
}
