//! Limits of a server, and the memory that its connections take.

use std::time::Duration;

/// Minimum buffer size, in bytes; `hyper` panics below it.
const MIN_HEADER_BUFFER: usize = 8 * 1024;
/// Default of [`HttpLimits::header_bytes`].
const HEADER_BYTES: usize = 16 * 1024;
/// Default of [`HttpLimits::body_bytes`].
const BODY_BYTES: usize = 1024 * 1024;
/// Default of [`HttpLimits::body_timeout`].
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Default of [`HttpLimits::idle_timeout`].
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Memory of a connection with a small message: its task, its first buffers and up to [`SMALL_MESSAGE_BYTES`] of each of head, body and
/// response.
pub(crate) const CONNECTION_BYTES: usize = 16 * 1024;
/// Length up to which a part of a message needs no memory beyond [`CONNECTION_BYTES`].
pub(crate) const SMALL_MESSAGE_BYTES: usize = 4 * 1024;
/// Number of request headers up to which their table needs no memory beyond [`CONNECTION_BYTES`].
pub(crate) const SMALL_HEADER_COUNT: usize = 16;
/// Memory of an entry in the table of request headers, in bytes.
pub(crate) const HEADER_ENTRY_BYTES: usize = 112;

/// Limits of a server. Those on bodies are read for each request, the others once when a connection is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a request header, in bytes; values below 8 KiB count as 8 KiB.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request body.
    pub body_timeout: Duration,
    /// Timeout for receiving a complete request header.
    pub idle_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            header_bytes: HEADER_BYTES,
            body_bytes: BODY_BYTES,
            body_timeout: BODY_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
        }
    }
}

impl HttpLimits {
    /// Returns the size of the buffer for a request header.
    pub(crate) fn header_buffer_bytes(&self) -> usize {
        self.header_bytes.max(MIN_HEADER_BUFFER)
    }

    /// Returns the memory of a connection beyond [`CONNECTION_BYTES`] while it receives a larger message: the header keeps one buffer, and
    /// the body is read into another.
    pub(crate) fn large_message_bytes(&self) -> usize {
        2 * self.header_buffer_bytes()
    }
}
