//! A message that is encoded once and sent over many links.
//!
//! Owns the bytes of the frame, which all queues share. Relies on `frame` for their form.

use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use serde::Serialize;

use crate::frame::{FrameError, encode_frame};

/// A message as a frame; a copy shares its bytes.
#[derive(Debug)]
pub struct EncodedMessage<M> {
    frame: Bytes,
    message: PhantomData<fn(M)>,
}

impl<M> Clone for EncodedMessage<M> {
    fn clone(&self) -> Self {
        Self {
            frame: self.frame.clone(),
            message: PhantomData,
        }
    }
}

impl<M: Serialize> EncodedMessage<M> {
    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// As [`encode_frame`].
    pub fn new(message: &M) -> Result<Self, FrameError> {
        let mut buf = BytesMut::new();
        encode_frame(message, &mut buf)?;
        Ok(Self {
            frame: buf.freeze(),
            message: PhantomData,
        })
    }
}

impl<M> EncodedMessage<M> {
    /// Returns the length of the frame, in bytes.
    pub fn frame_len(&self) -> usize {
        self.frame.len()
    }

    pub(crate) fn frame(&self) -> Bytes {
        self.frame.clone()
    }
}
