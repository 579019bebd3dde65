//! HTTP/1.1 for the leased installation: a small server with limits, a client with a connection pool, and operator endpoints.
//!
//! The crate uses `hyper` rather than `volo-http`, which is built on it, because the server needs a header timeout, a graceful shutdown of
//! each connection, and the cancellation of a handler whose client has disconnected.

#![warn(clippy::disallowed_methods)]

mod body;
mod client;
mod limits;
mod messages;
mod metered_stream;
mod operations;
mod server;

pub use body::{BodyError, read_body};
pub use client::{HttpCallError, HttpClient};
pub use cloverfold_connections::{
    BudgetLimits, Connection, ConnectionBudget, HeldMemory, NoMemory, Phase,
};
pub use limits::HttpLimits;
pub use messages::{Request, Response, json_response, plain_response};
pub use operations::{ListenError, listen_at, operations_budget, serve_at, serve_operations};
pub use server::{ServerHandle, ShutdownPhase, serve};
