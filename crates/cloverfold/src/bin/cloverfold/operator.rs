//! `cloverfold found`, `leave` and `status`: an operator's commands to the guards of a cell.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use cloverfold_claim::{StandingCall, found_cell};
use cloverfold_claims_core::Standing;
use cloverfold_claims_process::{list_guard_addresses, open_operator_network};
use cloverfold_claims_settings::CellSettings;
use cloverfold_membership::Leave;
use cloverfold_net::Network;
use cloverfold_settings::read_settings;
use eyre::{Result, bail};

const CALL_TIMEOUT: Duration = Duration::from_secs(3);

fn default_keys() -> PathBuf {
    PathBuf::from("keys")
}

fn default_name() -> String {
    "operator-1".into()
}

/// Found a cell: once, when all its guards have started for the first time.
#[derive(FromArgs)]
#[argh(subcommand, name = "found")]
pub(crate) struct Found {
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

impl Found {
    pub(crate) fn run(self) -> Result<()> {
        let cell: CellSettings = read_settings(&self.cell)?;
        crate::start_runtime()?.block_on(async {
            let network = open_operator_network(&self.keys, &self.name)?;
            let founded = found_cell(&network, &list_guard_addresses(&cell)).await?;
            network.close().await;
            println!("the cell is founded with {} guards", founded.len());
            Ok(())
        })
    }
}

/// Stop a guard as planned: no new work, all in flight ends, then it exits.
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
        let cell: CellSettings = read_settings(&self.cell)?;
        let name = format!("guard-{}", self.guard);
        let guards = list_guard_addresses(&cell);
        let Some(guard) = guards.into_iter().find(|guard| guard.name == name) else {
            bail!("the cell's file names no guard {}", self.guard);
        };
        crate::start_runtime()?.block_on(async {
            let network = open_operator_network(&self.keys, &self.name)?;
            network.call(&guard, &Leave, CALL_TIMEOUT).await?;
            network.close().await;
            println!("{name} is leaving");
            Ok(())
        })
    }
}

/// Show how whole each guard's memory of claims is.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
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

impl Status {
    pub(crate) fn run(self) -> Result<()> {
        let cell: CellSettings = read_settings(&self.cell)?;
        crate::start_runtime()?.block_on(async {
            let network = open_operator_network(&self.keys, &self.name)?;
            print_standings(&network, &cell).await;
            network.close().await;
            Ok(())
        })
    }
}

async fn print_standings(network: &Network, cell: &CellSettings) {
    println!("{:<12} {:<22} {:<18} claims", "guard", "address", "memory");
    for guard in list_guard_addresses(cell) {
        let report = network.call(&guard, &StandingCall, CALL_TIMEOUT).await;
        let (memory, claims) = match report {
            Ok(report) => (describe(&report.standing), report.records.to_string()),
            Err(cause) => (cause.to_string(), "-".into()),
        };
        println!(
            "{:<12} {:<22} {memory:<18} {claims}",
            guard.name, guard.address
        );
    }
}

fn describe(standing: &Standing) -> String {
    match standing {
        Standing::Whole => "whole".into(),
        Standing::Recovering { whole_sources } => {
            format!("recovering from {}", whole_sources.len())
        }
    }
}
