//! Length-prefixed frames.
//!
//! A frame consists of the length in four bytes, little-endian, and the message in postcard's encoding. A frame of length 0 is a heartbeat
//! without a message.

use bytes::{Buf, BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum length of an encoded message, in bytes.
pub const MAX_FRAME_LEN: usize = 8 * 1024 * 1024;
/// Length of the prefix of a frame, in bytes.
const PREFIX_LEN: usize = 4;
/// Value of the prefix of a heartbeat.
const HEARTBEAT_LEN: u32 = 0;

/// Why a frame is invalid; the link from which it comes must be closed.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The length is over [`MAX_FRAME_LEN`], or over the maximum before the peer has identified itself.
    #[error("a frame of {0} bytes is too long")]
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
/// appends nothing in these cases.
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

/// Removes the first complete message and the heartbeats before it from a buffer, and returns the message; `None` if the message is
/// incomplete.
///
/// # Errors
///
/// Returns [`FrameError::TooLong`] if the length is over [`MAX_FRAME_LEN`] and [`FrameError::Codec`] if the frame does not contain a
/// message of this type; the stream cannot be read any further.
pub fn decode_frame<M: DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<M>, FrameError> {
    decode_frame_within(buf, MAX_FRAME_LEN)
}

/// Like [`decode_frame`], with a lower maximum length.
pub(crate) fn decode_frame_within<M: DeserializeOwned>(
    buf: &mut BytesMut,
    max_len: usize,
) -> Result<Option<M>, FrameError> {
    let len = loop {
        let Some(prefix) = buf.first_chunk::<PREFIX_LEN>() else {
            return Ok(None);
        };
        match u32::from_le_bytes(*prefix) {
            HEARTBEAT_LEN => buf.advance(PREFIX_LEN),
            len => break len as usize,
        }
    };
    if len > max_len {
        return Err(FrameError::TooLong(len));
    }
    if buf.len() < PREFIX_LEN + len {
        return Ok(None);
    }
    buf.advance(PREFIX_LEN);
    let body = buf.split_to(len);
    Ok(Some(postcard::from_bytes(&body)?))
}
