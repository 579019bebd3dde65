//! What the processes of a leased installation share when they start and run: their runtime, their signals, and settings that change
//! under way.
//!
//! Owns the watch on the settings file. Relies on `cloverfold_settings` for the errors of reading one.

mod runtime;
mod settings_watch;

pub use runtime::start_leased_runtime;
pub use settings_watch::SettingsWatch;
