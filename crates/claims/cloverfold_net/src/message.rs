//! Typed requests and their replies.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A request that one process sends to another.
pub trait Message: Serialize + DeserializeOwned + Send + 'static {
    /// Number of the message on the wire; unique in the installation.
    const KIND: u16;
    /// Name of the message in logs and metrics.
    const NAME: &'static str;
    /// Type of each reply.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
}
