//! Settings files in JSON with comments, checked at start.
//!
//! Each role has a type here ([`GuardSettings`], [`EntrySettings`]); the guards, services and customers that
//! all roles share stand in one [`CellSettings`] file. [`read_settings`] refuses unknown fields, wrong
//! types and impossible values and names the file, the line and the field.
//!
//! ```
//! use cloverfold_settings::{CellSettings, parse_settings};
//!
//! let text = r#"{ "guards": [], "services": [], "customers": [], "replicas": 2 }"#;
//! let refused = parse_settings::<CellSettings>("cell.jsonc".as_ref(), text).unwrap_err();
//! assert!(refused.to_string().contains("cell.jsonc:1: replicas: must be 1, 3 or 5"));
//! ```

mod cell;
mod common;
mod document;
mod entry;
mod guard;
mod leased;

pub use cell::{
    CellSettings, CustomerSettings, GuardPlace, Queueing, ServiceSettings, hash_caller_key,
    verify_caller_key,
};
pub use common::{KeySettings, LogLevel, LogSettings, LogStream};
pub use document::{Check, Fault, FaultList, SettingsError, parse_settings, read_settings};
pub use entry::EntrySettings;
pub use guard::{GuardSettings, TargetSettings};
pub use leased::{
    ControlSettings, LeaseSettings, LeasedEntrySettings, LeasedGuardSettings, PeerSettings,
};
