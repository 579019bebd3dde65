//! Messages that are encoded once and sent over many links.

use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use serde::Serialize;

use crate::frame::encode_frame;

/// A message as an encoded frame; clones share its bytes.
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
    /// Encodes a message; logs a failure and returns `None`.
    pub fn new(message: &M) -> Option<Self> {
        let mut buf = BytesMut::new();
        if let Err(cause) = encode_frame(message, &mut buf) {
            log::error!("cannot send message: {cause}");
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
