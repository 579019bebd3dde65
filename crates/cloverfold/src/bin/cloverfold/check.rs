//! `cloverfold check`: checks a settings file and starts nothing.

use std::path::{Path, PathBuf};

use argh::{FromArgValue, FromArgs};
use cloverfold_settings::{CellSettings, EntrySettings, GuardSettings, read_settings};
use eyre::{Result, bail};

/// Check a settings file, and the cell's file that it names.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// settings file, JSON with comments
    #[argh(positional)]
    file: PathBuf,
    /// what the file is for: cell, entry or guard; read off its fields where left out
    #[argh(option)]
    role: Option<Role>,
}

#[derive(Clone, Copy)]
enum Role {
    Cell,
    Entry,
    Guard,
}

impl FromArgValue for Role {
    fn from_arg_value(value: &str) -> Result<Self, String> {
        match value {
            "cell" => Ok(Self::Cell),
            "entry" => Ok(Self::Entry),
            "guard" => Ok(Self::Guard),
            _ => Err("must be cell, entry or guard".into()),
        }
    }
}

impl Check {
    pub(crate) fn run(self) -> Result<()> {
        let role = match self.role {
            Some(role) => role,
            None => guess_role(&self.file)?,
        };
        match role {
            Role::Cell => check_cell(&self.file)?,
            Role::Entry => check_cell(&EntrySettings::read(&self.file)?.cell)?,
            Role::Guard => {
                let settings = GuardSettings::read(&self.file)?;
                let cell: CellSettings = read_settings(&settings.cell)?;
                if !cell.guards.iter().any(|place| place.id == settings.id) {
                    bail!(
                        "{}: id: the cell's file names no guard {}",
                        self.file.display(),
                        settings.id
                    );
                }
            }
        }
        println!("{}: in order", self.file.display());
        Ok(())
    }
}

fn check_cell(file: &Path) -> Result<()> {
    read_settings::<CellSettings>(file)?;
    Ok(())
}

/// Each role has a field that no other has.
fn guess_role(file: &Path) -> Result<Role> {
    let text = std::fs::read_to_string(file)?;
    let has = |field: &str| text.contains(&format!("\"{field}\""));
    if has("guards") {
        Ok(Role::Cell)
    } else if has("target") {
        Ok(Role::Guard)
    } else if has("http_address") {
        Ok(Role::Entry)
    } else {
        bail!("{}: say what it is for with --role", file.display())
    }
}
