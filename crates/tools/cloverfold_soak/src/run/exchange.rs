//! One HTTP request over a new connection.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Sends a request and reads the complete answer; returns `None` if the connection ends before. Dropping the future resets the connection.
pub(crate) async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<(StatusCode, String)> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_zero_linger().ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let answer = async {
        let response = sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some((head.status, String::from_utf8_lossy(&body).into_owned()))
    };
    tokio::pin!(answer);
    tokio::select! {
        biased;
        answer = &mut answer => answer,
        // The bytes received before the end may still be a complete answer.
        _ = connection => answer.await,
    }
}
