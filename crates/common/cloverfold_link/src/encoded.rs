//! A message that is encoded once and sent over many links.
//!
//! Owns the bytes of the frame, which all queues share. Relies on `frame` for their form.

use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use serde::Serialize;

use crate::frame::encode_frame;

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
    /// Encodes a message; `None` if that is not possible, which is logged.
    pub fn new(message: &M) -> Option<Self> {
        let mut buf = BytesMut::new();
        if let Err(cause) = encode_frame(message, &mut buf) {
            log::error!("a message is not sent: {cause}");
            return None;
        }
        Some(Self {
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
