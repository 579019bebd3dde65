//! Dispatch of received requests to their handlers, with a check of the peer's role.

use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use quinn::SendStream;
use serde::Serialize;

use crate::frame::{RequestFrame, Status, write_reply};
use crate::message::Message;
use crate::peer::{Peer, PeerRole};

type HandlerFuture = Pin<Box<dyn Future<Output = ()> + Send>>;
type HandlerFn = dyn Fn(Peer, &[u8], ReplySink) -> Result<HandlerFuture, Refusal> + Send + Sync;

/// Refusal of a request, with the stream for its status.
pub(crate) struct Refusal {
    status: Status,
    sink: ReplySink,
}

/// The handler of one message and the roles that may send it.
struct Route {
    roles: Vec<PeerRole>,
    handler: Arc<HandlerFn>,
}

/// Stream on which a handler sends its replies.
pub struct ReplySink {
    tx: SendStream,
    /// Status to send with the first reply.
    pending_status: Option<Status>,
}

impl ReplySink {
    pub(crate) fn new(tx: SendStream) -> Self {
        Self {
            tx,
            pending_status: Some(Status::Ok),
        }
    }

    /// Sends one reply; returns whether the stream is still open.
    pub async fn send<T: Serialize>(&mut self, reply: &T) -> bool {
        let status = self.pending_status.take();
        match write_reply(&mut self.tx, status, reply).await {
            Ok(()) => true,
            Err(cause) => {
                log::debug!("a reply could not be sent: {cause}");
                false
            }
        }
    }

    /// Finishes the stream and waits until the peer has received it; without this the peer sees a lost reply.
    pub async fn finish(mut self) {
        if let Some(status) = self.pending_status.take()
            && !self.write_status(status).await
        {
            return;
        }
        if self.tx.finish().is_ok() {
            // An error means that the connection is closed, which the peer detects itself.
            let _ = self.tx.stopped().await;
        }
    }

    async fn write_status(&mut self, status: Status) -> bool {
        match self.tx.write_all(&[status as u8]).await {
            Ok(()) => true,
            Err(cause) => {
                log::debug!("a status could not be sent: {cause}");
                false
            }
        }
    }
}

/// The handlers of a process, by message.
#[derive(Default)]
pub struct Router {
    routes: HashMap<u16, Route>,
}

impl Router {
    /// Registers a handler that returns a single reply.
    ///
    /// # Panics
    ///
    /// Panics if a message with the same number is registered already.
    pub fn register<M, F, Fut>(&mut self, roles: &[PeerRole], handler: F)
    where
        M: Message,
        M::Reply: Sync,
        F: Fn(Peer, M) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = M::Reply> + Send + 'static,
    {
        let handler = Arc::new(handler);
        self.register_streaming(roles, move |peer, message: M, mut sink: ReplySink| {
            let handler = handler.clone();
            async move {
                let reply = handler(peer, message).await;
                if sink.send(&reply).await {
                    sink.finish().await;
                }
            }
        });
    }

    /// Registers a handler that sends a stream of replies.
    ///
    /// # Panics
    ///
    /// Panics if a message with the same number is registered already.
    pub fn register_streaming<M, F, Fut>(&mut self, roles: &[PeerRole], handler: F)
    where
        M: Message,
        F: Fn(Peer, M, ReplySink) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let handler = Arc::new(handler);
        let erased = move |peer: Peer, body: &[u8], sink: ReplySink| {
            let Ok(message) = postcard::from_bytes::<M>(body) else {
                return Err(Refusal {
                    status: Status::BadBody,
                    sink,
                });
            };
            let handler = handler.clone();
            let run = async move { handler(peer, message, sink).await };
            Ok(Box::pin(run) as HandlerFuture)
        };
        let route = Route {
            roles: roles.to_vec(),
            handler: Arc::new(erased),
        };
        let earlier = self.routes.insert(M::KIND, route);
        assert!(
            earlier.is_none(),
            "message number {} is registered twice",
            M::KIND
        );
    }

    /// Runs the handler of a request, or refuses it.
    pub(crate) async fn dispatch(&self, peer: Peer, frame: RequestFrame<'_>, sink: ReplySink) {
        let dispatched = match self.routes.get(&frame.kind) {
            None => Err(Refusal {
                status: Status::UnknownKind,
                sink,
            }),
            Some(route) if !route.roles.contains(&peer.role) => Err(Refusal {
                status: Status::Forbidden,
                sink,
            }),
            Some(route) => (route.handler)(peer, frame.body, sink),
        };
        match dispatched {
            Ok(run) => run.await,
            Err(refusal) => refuse(refusal.status, refusal.sink).await,
        }
    }
}

/// Sends the peer the status with which its request is refused.
pub(crate) async fn refuse(status: Status, mut sink: ReplySink) {
    log::warn!("a request from a peer was refused: {status:?}");
    sink.pending_status = Some(status);
    sink.finish().await;
}
