//! Reading a request body into one buffer that the budget of the server accounts for.

use std::fmt::Display;

use bytes::Bytes;
use cloverfold_connections::{Connection, HeldMemory, NoMemory};
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::limits::SMALL_MESSAGE_BYTES;

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

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyBuffer {
    /// Takes memory for `additional` bytes and allocates it. The capacity doubles, but does not exceed `max_len` without need.
    async fn reserve(
        &mut self,
        additional: usize,
        max_len: usize,
        connection: &Connection,
    ) -> Result<(), NoMemory> {
        let len = self.bytes.len() + additional;
        let capacity = self.bytes.capacity();
        if len <= capacity {
            return Ok(());
        }
        let doubled = (2 * capacity).max(SMALL_MESSAGE_BYTES).min(max_len);
        let new_capacity = len.max(doubled);
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
    let max_len = declared.map_or(max_bytes, |len| {
        max_bytes.min(usize::try_from(len).unwrap_or(usize::MAX))
    });
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
        buf.reserve(data.len(), max_len, connection).await?;
        buf.bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from_owner(buf))
}
