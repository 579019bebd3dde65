//! Settings files in JSON with comments, validated at the start of a process.
//!
//! [`read_settings`] rejects unknown fields, wrong types and invalid values, and reports the file, line and field. The settings of each
//! process are in `cloverfold_leased_settings` and `cloverfold_claims_settings`; this crate contains what they share: keys, logs, paths
//! and durations.

#![warn(clippy::disallowed_methods)]

mod common;
mod parse;

pub use common::{
    KeySettings, LogLevel, LogSettings, LogStream, SettingsWithPaths, deserialize_millis,
};
pub use parse::{
    SettingsError, Validate, ValidationError, ValidationErrors, parse_settings, read_settings,
};
