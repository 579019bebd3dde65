//! Length-prefixed frames.

use bytes::{Buf, BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest encoded message, in bytes.
pub const MAX_FRAME_LEN: usize = 8 * 1024 * 1024;
const PREFIX_LEN: usize = 4;

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
/// Says that the message cannot be encoded or is too long.
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

/// Appends a sign of life: a frame without a message.
pub(crate) fn encode_sign_of_life(out: &mut BytesMut) {
    out.put_u32_le(0);
}

/// Takes the first whole message off a buffer; `None` while more bytes are wanted. Signs of life are passed over.
///
/// # Errors
///
/// Says that the frame is too long or no message.
pub fn decode_frame<M: DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<M>, FrameError> {
    let len = loop {
        let Some(prefix) = buf.first_chunk::<PREFIX_LEN>() else {
            return Ok(None);
        };
        match u32::from_le_bytes(*prefix) {
            0 => buf.advance(PREFIX_LEN),
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
