//! Length-prefixed frames.
//!
//! The form of every message on a link: four bytes of length, little-endian, then the message in postcard's encoding. A frame of
//! length 0 is a heartbeat and carries no message. Owns nothing; relies on `postcard`.

use bytes::{Buf, BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest encoded message, in bytes.
pub const MAX_FRAME_LEN: usize = 8 * 1024 * 1024;
/// Length of a frame's prefix, in bytes.
const PREFIX_LEN: usize = 4;
/// The length that a heartbeat names.
const HEARTBEAT_LEN: u32 = 0;

/// Why a frame cannot be used; the link it came over is closed.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The frame names a length over [`MAX_FRAME_LEN`].
    #[error("a frame of {0} bytes is longer than {MAX_FRAME_LEN}")]
    TooLong(usize),
    /// The message cannot be encoded or decoded.
    #[error("a message cannot be coded: {0}")]
    Codec(#[from] postcard::Error),
}

/// Appends a message as a frame.
///
/// # Errors
///
/// Returns [`FrameError::Codec`] if the message cannot be encoded and [`FrameError::TooLong`] if it takes over [`MAX_FRAME_LEN`] bytes;
/// nothing is appended then.
pub fn encode_frame<M: Serialize>(message: &M, out: &mut BytesMut) -> Result<(), FrameError> {
    let body = postcard::to_stdvec(message)?;
    if body.len() > MAX_FRAME_LEN {
        return Err(FrameError::TooLong(body.len()));
    }
    out.reserve(PREFIX_LEN + body.len());
    out.put_u32_le(body.len() as u32);
    out.put_slice(&body);
    Ok(())
}

/// Appends a heartbeat: a frame without a message.
pub(crate) fn encode_heartbeat(out: &mut BytesMut) {
    out.put_u32_le(HEARTBEAT_LEN);
}

/// Removes the first complete message and the heartbeats before it from a buffer, and returns the message; `None` while more bytes are
/// needed.
///
/// # Errors
///
/// Returns [`FrameError::TooLong`] if the frame names over [`MAX_FRAME_LEN`] bytes and [`FrameError::Codec`] if it holds no message of
/// this type; the stream cannot be read any further.
pub fn decode_frame<M: DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<M>, FrameError> {
    let len = loop {
        let Some(prefix) = buf.first_chunk::<PREFIX_LEN>() else {
            return Ok(None);
        };
        match u32::from_le_bytes(*prefix) {
            HEARTBEAT_LEN => buf.advance(PREFIX_LEN),
            len => break len as usize,
        }
    };
    if len > MAX_FRAME_LEN {
        return Err(FrameError::TooLong(len));
    }
    if buf.len() < PREFIX_LEN + len {
        return Ok(None);
    }
    buf.advance(PREFIX_LEN);
    let body = buf.split_to(len);
    Ok(Some(postcard::from_bytes(&body)?))
}
