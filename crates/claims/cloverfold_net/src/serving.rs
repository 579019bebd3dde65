//! Serves the requests of incoming connections.

use std::sync::Arc;

use quinn::{Connection, RecvStream, VarInt};
use tokio::sync::Semaphore;

use crate::frame::{MAX_MESSAGE_LEN, Status, split_request};
use crate::peer::Peer;
use crate::router::{ReplySink, Router, refuse};
use crate::tls::identify_peer;

/// Error code with which the connection of a peer without a role is closed.
const REFUSED_PEER: VarInt = VarInt::from_u32(1);

/// Serves the requests of one connection until it is closed; each request holds one of the shared permits.
pub(crate) async fn serve_connection(
    connection: Connection,
    router: Arc<Router>,
    permits: Arc<Semaphore>,
) {
    let Some(peer) = identify_peer(&connection) else {
        connection.close(REFUSED_PEER, b"certificate names no role");
        return;
    };
    while let Ok((tx, rx)) = connection.accept_bi().await {
        let sink = ReplySink::new(tx);
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            refuse(Status::Busy, sink).await;
            continue;
        };
        let router = router.clone();
        let peer = peer.clone();
        tokio::spawn(async move {
            serve_request(&router, peer, rx, sink).await;
            drop(permit);
        });
    }
}

async fn serve_request(router: &Router, peer: Peer, mut rx: RecvStream, sink: ReplySink) {
    let buf = match rx.read_to_end(MAX_MESSAGE_LEN).await {
        Ok(buf) => buf,
        Err(cause) => {
            log::debug!("a request from {} was interrupted: {cause}", peer.name);
            return;
        }
    };
    match split_request(&buf) {
        Ok(frame) => router.dispatch(peer, frame, sink).await,
        Err(status) => refuse(status, sink).await,
    }
}
