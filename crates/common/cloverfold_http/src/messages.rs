//! Requests and responses of a server.

use std::sync::Arc;

use bytes::Bytes;
use cloverfold_connections::{Connection, HeldMemory, NoMemory};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Method, StatusCode, Uri};
use http_body_util::Full;

/// A request with its complete body.
#[derive(Debug)]
pub struct Request {
    /// Request method.
    pub method: Method,
    /// Request target.
    pub uri: Uri,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// The connection on which it came; `None` for one that was not received by a server.
    connection: Option<Arc<Connection>>,
}

impl Request {
    /// Creates a request that was not received by a server; its memory is not limited.
    pub fn new(method: Method, uri: Uri, headers: HeaderMap, body: Bytes) -> Self {
        Self {
            method,
            uri,
            headers,
            body,
            connection: None,
        }
    }

    /// Returns the request with the connection on which it came.
    pub(crate) fn on_connection(self, connection: Arc<Connection>) -> Self {
        Self {
            connection: Some(connection),
            ..self
        }
    }

    /// Like [`Self::hold_memory`], without waiting.
    ///
    /// # Errors
    ///
    /// Returns [`NoMemory`] if there is no room at once.
    pub fn try_hold_memory(&self, bytes: usize) -> Result<Option<HeldMemory>, NoMemory> {
        self.connection
            .as_ref()
            .map(|connection| connection.try_hold(bytes))
            .transpose()
    }

    /// Takes memory of the server's budget, which the handler holds for this request; waits while other connections are closed for it.
    ///
    /// # Errors
    ///
    /// Returns [`NoMemory`] if there is no room; the handler then refuses the request.
    pub async fn hold_memory(&self, bytes: usize) -> Result<Option<HeldMemory>, NoMemory> {
        match &self.connection {
            Some(connection) => connection.hold(bytes).await.map(Some),
            None => Ok(None),
        }
    }

    /// Returns the requested host without its port; empty if the request has no host.
    pub fn host(&self) -> &str {
        let header = self.headers.get(http::header::HOST);
        let host = header
            .and_then(|value| value.to_str().ok())
            .or(self.uri.host());
        // A request without a host is routed and logged with an empty one.
        let host = host.unwrap_or_default();
        host.rsplit_once(':').map_or(host, |(name, _)| name)
    }
}

/// Response to a request.
pub type Response = http::Response<Full<Bytes>>;

/// Builds a response with a JSON body.
pub fn json_response(status: StatusCode, body: impl Into<Bytes>) -> Response {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Builds a response with a plain text body.
pub fn plain_response(status: StatusCode, text: impl Into<String>) -> Response {
    let mut response = Response::new(Full::new(Bytes::from(text.into())));
    *response.status_mut() = status;
    response
}
