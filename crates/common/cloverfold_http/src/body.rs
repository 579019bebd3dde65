//! Reading a request body into one buffer that the budget of the server accounts for.

use std::fmt::Display;

use bytes::Bytes;
use cloverfold_connections::{Connection, HeldMemory, NoMemory};
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::limits::SMALL_MESSAGE_BYTES;

/// Ratio of consecutive capacities of the buffer of a body whose length is not declared.
const GROWTH_FACTOR: usize = 4;

/// Why a body was not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than the limit.
    TooLong,
    /// The client sent an invalid chunk or disconnected; the text says which.
    Broken(String),
    /// The budget has no room for it.
    NoMemory,
}

impl From<NoMemory> for BodyError {
    fn from(_: NoMemory) -> Self {
        Self::NoMemory
    }
}

/// A buffer whose memory beyond [`SMALL_MESSAGE_BYTES`] is held until it is dropped.
struct BodyBuffer {
    bytes: Vec<u8>,
    /// `None` while the buffer is small.
    held: Option<HeldMemory>,
}

/// What is known of the length of a body before it is read.
#[derive(Clone, Copy)]
enum ExpectedLen {
    Declared(usize),
    AtMost(usize),
}

impl ExpectedLen {
    /// Returns the capacity to which a full buffer grows. It grows in few steps, because each leaves a gap in the heap.
    fn next_capacity(self, capacity: usize) -> usize {
        match self {
            Self::Declared(len) => len,
            Self::AtMost(max_len) => (GROWTH_FACTOR * capacity)
                .max(SMALL_MESSAGE_BYTES)
                .min(max_len),
        }
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyBuffer {
    /// Takes memory for `additional` bytes and allocates it, up to `expected_len` at once.
    async fn reserve(
        &mut self,
        additional: usize,
        expected_len: ExpectedLen,
        connection: &Connection,
    ) -> Result<(), NoMemory> {
        let len = self.bytes.len() + additional;
        let capacity = self.bytes.capacity();
        if len <= capacity {
            return Ok(());
        }
        let new_capacity = len.max(expected_len.next_capacity(capacity));
        if new_capacity > SMALL_MESSAGE_BYTES {
            match &mut self.held {
                Some(held) => held.grow(new_capacity - capacity).await?,
                held @ None => *held = Some(connection.hold(new_capacity).await?),
            }
        }
        self.bytes.reserve_exact(new_capacity - self.bytes.len());
        Ok(())
    }
}

/// Reads a body of at most `max_bytes`. However it is split into chunks, it takes memory for its length only; the memory is given back when
/// the last clone of the result is dropped.
///
/// # Errors
///
/// Returns why the body was not read; the rest of it is left unread.
pub async fn read_body<B>(
    mut body: B,
    max_bytes: usize,
    connection: &Connection,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    let declared = body.size_hint().exact();
    let declared = declared.and_then(|len| usize::try_from(len).ok());
    let expected_len = match declared.filter(|len| *len <= max_bytes) {
        Some(len) => ExpectedLen::Declared(len),
        None => ExpectedLen::AtMost(max_bytes),
    };
    let mut buf = BodyBuffer {
        bytes: Vec::new(),
        held: None,
    };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|cause| BodyError::Broken(cause.to_string()))?;
        // Trailers are dropped.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buf.bytes.len() + data.len() > max_bytes {
            return Err(BodyError::TooLong);
        }
        buf.reserve(data.len(), expected_len, connection).await?;
        buf.bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from_owner(buf))
}
