//! Settings of the processes of a claims installation: entry and guard, and the cell's file that they share.
//!
//! The guards, services and workspaces that all processes share stand in one [`CellSettings`] file. Owns the checks of values. Relies on
//! `cloverfold_settings` for reading files and placing faults.
//!
//! ```
//! use cloverfold_claims_settings::CellSettings;
//! use cloverfold_settings::parse_settings;
//!
//! let text = r#"{ "guards": [], "services": [], "customers": [], "replicas": 2 }"#;
//! let refused = parse_settings::<CellSettings>("cell.jsonc".as_ref(), text).unwrap_err();
//! assert!(refused.to_string().contains("cell.jsonc:1: replicas: must be 1, 3 or 5"));
//! ```

mod cell;
mod entry;
mod guard;

pub use cell::{
    CellSettings, GuardPlace, Queueing, ServiceSettings, WorkspaceSettings, hash_caller_key,
    verify_caller_key,
};
pub use entry::EntrySettings;
pub use guard::{GuardSettings, TargetSettings};
