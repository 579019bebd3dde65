//! HTTP/1.1 for the leased installation: a small server with limits, a pooled client, and the pages for operators.
//!
//! Owns connections only; what is asked and answered belongs to the callers. Relies on `hyper` and on `cloverfold_link` for listening.
//!
//! The library underneath is `hyper` rather than `volo-http`, which is built on it: the server here needs limits on header
//! time, a planned stop for each connection, and to drop a handler whose client has left.

#![warn(clippy::disallowed_methods)]

mod client;
mod operations;
mod server;

pub use client::{HttpCallError, HttpClient};
pub use operations::{ListenError, listen_at, serve_at, serve_operations};
pub use server::{
    HttpLimits, Request, Response, ServerHandle, ShutdownPhase, json_response, plain_response,
    serve,
};
