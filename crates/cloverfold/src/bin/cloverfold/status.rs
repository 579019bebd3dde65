//! `cloverfold status`: shows the claim records of each guard of a claims installation.

use std::path::PathBuf;

use argh::FromArgs;
use cloverfold_claim::RecoveryStateCall;
use cloverfold_claims_core::RecoveryState;
use cloverfold_net::{Network, PeerAddress};
use eyre::Result;

use crate::operator::{CALL_TIMEOUT, default_keys, default_name, read_guards, run_as_operator};

/// Show whether each guard's claim records are complete.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusCommand {
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

impl StatusCommand {
    pub(crate) fn run(self) -> Result<()> {
        let guards = read_guards(&self.cell)?;
        run_as_operator(&self.keys, &self.name, async |network| {
            print_recovery_states(network, &guards).await;
            Ok(())
        })
    }
}

/// Prints a row for each guard, with the error in place of the state if the guard does not answer.
async fn print_recovery_states(network: &Network, guards: &[PeerAddress]) {
    println!("{:<12} {:<22} {:<18} claims", "guard", "address", "memory");
    for guard in guards {
        let report = network.call(guard, &RecoveryStateCall, CALL_TIMEOUT).await;
        let (memory, claims) = match report {
            Ok(report) => (describe_state(&report.standing), report.records.to_string()),
            Err(cause) => (cause.to_string(), "-".into()),
        };
        println!(
            "{:<12} {:<22} {memory:<18} {claims}",
            guard.name, guard.address
        );
    }
}

fn describe_state(state: &RecoveryState) -> String {
    match state {
        RecoveryState::Whole => "whole".into(),
        RecoveryState::Recovering { whole_sources } => {
            format!("recovering from {}", whole_sources.len())
        }
    }
}
