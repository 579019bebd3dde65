//! `cloverfold check`: checks a settings file and starts nothing.
//!
//! Relies on the settings packages for the checks, and on field names to guess what a file is for.

use std::path::{Path, PathBuf};

use argh::{FromArgValue, FromArgs};
use cloverfold_claims_settings::{CellSettings, EntrySettings, GuardSettings};
use cloverfold_leased_settings::{ControlSettings, LeasedEntrySettings, LeasedGuardSettings};
use cloverfold_settings::{SettingsWithPaths, read_settings};
use eyre::{Result, bail};

/// Check a settings file, and the cell's file that it names.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckCommand {
    /// settings file, JSON with comments
    #[argh(positional)]
    file: PathBuf,
    /// what the file is for: cell, control, entry, guard, leased-entry or leased-guard; read off its fields where left out
    #[argh(option)]
    role: Option<Role>,
}

#[derive(Clone, Copy)]
enum Role {
    Cell,
    Control,
    Entry,
    Guard,
    LeasedEntry,
    LeasedGuard,
}

impl FromArgValue for Role {
    fn from_arg_value(value: &str) -> Result<Self, String> {
        match value {
            "cell" => Ok(Self::Cell),
            "control" => Ok(Self::Control),
            "entry" => Ok(Self::Entry),
            "guard" => Ok(Self::Guard),
            "leased-entry" => Ok(Self::LeasedEntry),
            "leased-guard" => Ok(Self::LeasedGuard),
            _ => Err("must be cell, control, entry, guard, leased-entry or leased-guard".into()),
        }
    }
}

impl CheckCommand {
    pub(crate) fn run(self) -> Result<()> {
        let role = match self.role {
            Some(role) => role,
            None => guess_role(&self.file)?,
        };
        match role {
            Role::Cell => check_cell(&self.file)?,
            Role::Control => drop(read_settings::<ControlSettings>(&self.file)?),
            Role::LeasedEntry => drop(read_settings::<LeasedEntrySettings>(&self.file)?),
            Role::LeasedGuard => drop(read_settings::<LeasedGuardSettings>(&self.file)?),
            Role::Entry => check_cell(&EntrySettings::read(&self.file)?.cell)?,
            Role::Guard => check_guard(&self.file)?,
        }
        println!("{}: in order", self.file.display());
        Ok(())
    }
}

/// Checks a guard's settings, and that the cell's file names the guard.
fn check_guard(file: &Path) -> Result<()> {
    let settings = GuardSettings::read(file)?;
    let cell: CellSettings = read_settings(&settings.cell)?;
    if !cell.guards.iter().any(|place| place.id == settings.id) {
        bail!(
            "{}: id: the cell's file names no guard {}",
            file.display(),
            settings.id
        );
    }
    Ok(())
}

fn check_cell(file: &Path) -> Result<()> {
    read_settings::<CellSettings>(file)?;
    Ok(())
}

/// Guesses what a file is for by a field that only this kind of file has; the order matters, since a guard also has `http_address`.
fn guess_role(file: &Path) -> Result<Role> {
    let text = std::fs::read_to_string(file)?;
    let has = |field: &str| text.contains(&format!("\"{field}\""));
    if has("operator_address") {
        Ok(Role::Control)
    } else if has("client_address") {
        Ok(Role::LeasedEntry)
    } else if has("registration_address") {
        Ok(Role::LeasedGuard)
    } else if has("guards") {
        Ok(Role::Cell)
    } else if has("target") {
        Ok(Role::Guard)
    } else if has("http_address") {
        Ok(Role::Entry)
    } else {
        bail!("{}: say what it is for with --role", file.display())
    }
}
