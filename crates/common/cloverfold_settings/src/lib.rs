//! Settings files in JSON with comments, checked at start.
//!
//! [`read_settings`] refuses unknown fields, wrong types and impossible values and names the file, the line and the field. The types of
//! the processes stand in `cloverfold_leased_settings` and `cloverfold_claims_settings`; here is what they share: keys and logs.

mod common;
mod document;

pub use common::{
    KeySettings, LogLevel, LogSettings, LogStream, ProcessSettings, read_process_settings,
};
pub use document::{Check, Fault, FaultList, SettingsError, parse_settings, read_settings};
