//! The stream of replies to one request.

use std::marker::PhantomData;
use std::sync::Arc;

use quinn::RecvStream;

use crate::error::CallError;
use crate::frame::{Status, read_reply};
use crate::message::Message;
use crate::peer::PeerAddress;

/// The stream of replies to one request; keeps the connection open until it is dropped.
pub struct Replies<M> {
    rx: RecvStream,
    peer: PeerAddress,
    has_read_status: bool,
    /// Prevents the connection from being closed as unused.
    _in_use: Arc<()>,
    reply: PhantomData<fn() -> M>,
}

impl<M: Message> Replies<M> {
    pub(crate) fn new(rx: RecvStream, peer: PeerAddress, in_use: Arc<()>) -> Self {
        Self {
            rx,
            peer,
            has_read_status: false,
            _in_use: in_use,
            reply: PhantomData,
        }
    }

    /// Waits for the next reply; returns `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Refused`] if the peer refused the request, and [`CallError::Lost`] if the stream broke.
    pub async fn next(&mut self) -> Result<Option<M::Reply>, CallError> {
        if !self.has_read_status {
            self.read_status().await?;
            self.has_read_status = true;
        }
        let reply = read_reply(&mut self.rx).await;
        reply.map_err(|cause| CallError::lost(&self.peer, &cause))
    }

    async fn read_status(&mut self) -> Result<(), CallError> {
        let mut status = [0];
        let read = self.rx.read_exact(&mut status).await;
        read.map_err(|e| CallError::lost(&self.peer, &e))?;
        match Status::from_byte(status[0]) {
            Some(Status::Ok) => Ok(()),
            other => Err(CallError::Refused {
                peer: self.peer.name.clone(),
                cause: format!("{other:?}"),
            }),
        }
    }
}
