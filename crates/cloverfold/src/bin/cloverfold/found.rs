//! `cloverfold found`: declares a new cell's guards to have nothing to forget.

use std::path::PathBuf;

use argh::FromArgs;
use cloverfold_claim::found_cell;
use cloverfold_process::{list_guard_addresses, open_operator_network};
use cloverfold_settings::{CellSettings, read_settings};
use eyre::Result;

/// Found a cell: once, when all its guards have started for the first time.
#[derive(FromArgs)]
#[argh(subcommand, name = "found")]
pub(crate) struct Found {
    /// the cell's settings file
    #[argh(positional)]
    cell: PathBuf,
    /// folder with the operator's keys
    #[argh(option, default = "PathBuf::from(\"keys\")")]
    keys: PathBuf,
    /// name in the operator's certificate
    #[argh(option, default = "String::from(\"operator-1\")")]
    name: String,
}

impl Found {
    pub(crate) fn run(self) -> Result<()> {
        let cell: CellSettings = read_settings(&self.cell)?;
        crate::start_runtime()?.block_on(async {
            let network = open_operator_network(&self.keys, &self.name)?;
            let guards = list_guard_addresses(&cell);
            let founded = found_cell(&network, &guards).await?;
            network.close().await;
            println!("the cell is founded with {} guards", founded.len());
            Ok(())
        })
    }
}
