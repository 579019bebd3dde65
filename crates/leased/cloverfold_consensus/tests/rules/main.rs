//! Tests of single consensus rules, each on one replica that receives hand-made messages.

#![allow(clippy::unwrap_used)]

mod elections;
mod fixtures;
mod followers;
mod leaders;
mod starts;
