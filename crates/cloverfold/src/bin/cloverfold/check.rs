//! `cloverfold check`: checks a settings file and starts nothing.
//!
//! The settings packages check the file. Without `--role`, the command infers the role of the file from its field names.

use std::path::{Path, PathBuf};

use argh::{FromArgValue, FromArgs};
use cloverfold_claims_settings::{CellSettings, EntrySettings, GuardSettings};
use cloverfold_leased_settings::{ControlSettings, LeasedEntrySettings, LeasedGuardSettings};
use cloverfold_settings::{SettingsWithPaths, read_settings};
use eyre::{Result, bail};

/// Check a settings file, and the cell's file that it refers to.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckCommand {
    /// settings file, JSON with comments
    #[argh(positional)]
    file: PathBuf,
    /// role of the file: cell, control, entry, guard, leased-entry or leased-guard; inferred from its fields if omitted
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
            None => infer_role(&self.file)?,
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

/// Checks a guard's settings and that the cell's file names the guard.
fn check_guard(file: &Path) -> Result<()> {
    let settings = GuardSettings::read(file)?;
    let cell: CellSettings = read_settings(&settings.cell)?;
    if !cell.guards.iter().any(|guard| guard.id == settings.id) {
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

/// Infers the role of a file from a field that only files of this role have.
///
/// `http_address` comes last because a guard's file has it too.
fn infer_role(file: &Path) -> Result<Role> {
    let text = std::fs::read_to_string(file)?;
    let has_field = |field: &str| text.contains(&format!("\"{field}\""));
    if has_field("operator_address") {
        Ok(Role::Control)
    } else if has_field("client_address") {
        Ok(Role::LeasedEntry)
    } else if has_field("registration_address") {
        Ok(Role::LeasedGuard)
    } else if has_field("guards") {
        Ok(Role::Cell)
    } else if has_field("target") {
        Ok(Role::Guard)
    } else if has_field("http_address") {
        Ok(Role::Entry)
    } else {
        bail!("{}: say what it is for with --role", file.display())
    }
}
