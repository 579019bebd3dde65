//! Single rules of the log, each seen on one replica to which the test sends messages.

#![allow(clippy::unwrap_used)]

mod elections;
mod fixtures;
mod followers;
mod leaders;
mod starts;
