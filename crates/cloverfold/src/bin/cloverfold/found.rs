//! `cloverfold found`: bootstraps a cell of a claims installation.

use std::path::PathBuf;

use argh::FromArgs;
use cloverfold_claim::bootstrap_cell;
use eyre::Result;

use crate::operator::{default_keys, default_name, read_guards, run_as_operator};

/// Bootstrap a cell: once, after all its guards have started for the first time.
#[derive(FromArgs)]
#[argh(subcommand, name = "found")]
pub(crate) struct FoundCommand {
    /// the cell's settings file
    #[argh(positional)]
    cell: PathBuf,
    /// folder with the operator's keys
    #[argh(option, default = "default_keys()")]
    keys: PathBuf,
    /// name in the operator's certificate
    #[argh(option, default = "default_name()")]
    name: String,
}

impl FoundCommand {
    pub(crate) fn run(self) -> Result<()> {
        let guards = read_guards(&self.cell)?;
        run_as_operator(&self.keys, &self.name, async |network| {
            let bootstrapped = bootstrap_cell(network, &guards).await?;
            println!("the cell is founded with {} guards", bootstrapped.len());
            Ok(())
        })
    }
}
