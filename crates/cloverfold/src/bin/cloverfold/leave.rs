//! `cloverfold leave`: drains and stops a guard of a claims installation.

use std::path::PathBuf;

use argh::FromArgs;
use cloverfold_membership::Leave;
use eyre::{Result, bail};

use crate::operator::{CALL_TIMEOUT, default_keys, default_name, read_guards, run_as_operator};

/// Drain and stop a guard: it takes no new work, completes the work in flight, and exits.
#[derive(FromArgs)]
#[argh(subcommand, name = "leave")]
pub(crate) struct LeaveCommand {
    /// the cell's settings file
    #[argh(positional)]
    cell: PathBuf,
    /// number of the guard
    #[argh(positional)]
    guard: u16,
    /// folder with the operator's keys
    #[argh(option, default = "default_keys()")]
    keys: PathBuf,
    /// name in the operator's certificate
    #[argh(option, default = "default_name()")]
    name: String,
}

impl LeaveCommand {
    pub(crate) fn run(self) -> Result<()> {
        let name = format!("guard-{}", self.guard);
        let guards = read_guards(&self.cell)?;
        let Some(guard) = guards.into_iter().find(|guard| guard.name == name) else {
            bail!("the cell's file names no guard {}", self.guard);
        };
        run_as_operator(&self.keys, &self.name, async |network| {
            network.call(&guard, &Leave, CALL_TIMEOUT).await?;
            println!("{name} is leaving");
            Ok(())
        })
    }
}
