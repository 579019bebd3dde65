//! Settings files in JSON with comments, checked at the start of a process.
//!
//! [`read_settings`] refuses unknown fields, wrong types and impossible values and names the file, the line and the field. The settings
//! of each process are in `cloverfold_leased_settings` and `cloverfold_claims_settings`; here is what they share: keys, logs, paths and
//! times. Owns no state. Relies on `jsonc-parser` for comments and lines.

#![warn(clippy::disallowed_methods)]

mod common;
mod document;

pub use common::{
    KeySettings, LogLevel, LogSettings, LogStream, SettingsWithPaths, deserialize_millis,
};
pub use document::{
    SettingsError, Validate, ValidationError, ValidationErrors, parse_settings, read_settings,
};
