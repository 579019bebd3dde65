//! Settings of the entries and guards of a claims installation.
//!
//! All processes of a cell share one [`CellSettings`] file with its guards, services and workspaces.
//!
//! ```
//! use cloverfold_claims_settings::CellSettings;
//! use cloverfold_settings::parse_settings;
//!
//! let text = r#"{ "guards": [], "services": [], "customers": [], "replicas": 2 }"#;
//! let error = parse_settings::<CellSettings>("cell.jsonc".as_ref(), text).unwrap_err();
//! assert!(error.to_string().contains("cell.jsonc:1: replicas: must be 1, 3 or 5"));
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
