//! `cloverfold`: entries, control processes, the solo system and the operator commands.
//!
//! Each subcommand is a module with its arguments and its `run` method.

mod check;
mod configuration;
mod control;
mod control_client;
mod entry;
mod evacuation;
mod found;
mod hash_key;
mod jobs;
mod keys;
mod leased_entry;
mod leave;
mod operator;
mod solo;
mod status;
mod upkeep;

use std::process::ExitCode;

use argh::FromArgs;
use cloverfold_programs::report_outcome;
use eyre::Result;

/// Dispatches sub-second tasks over small sites.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(check::CheckCommand),
    Configuration(configuration::ConfigurationCommand),
    Control(control::ControlCommand),
    Entry(entry::EntryCommand),
    Evacuation(evacuation::EvacuationCommand),
    Found(found::FoundCommand),
    HashKey(hash_key::HashKeyCommand),
    Jobs(jobs::JobsCommand),
    Keys(keys::KeysCommand),
    LeasedEntry(leased_entry::LeasedEntryCommand),
    Leave(leave::LeaveCommand),
    Solo(solo::SoloCommand),
    Status(status::StatusCommand),
    Upkeep(upkeep::UpkeepCommand),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    report_outcome(run(args.command))
}

fn run(command: Command) -> Result<()> {
    match command {
        Command::Check(command) => command.run(),
        Command::Configuration(command) => command.run(),
        Command::Control(command) => command.run(),
        Command::Entry(command) => command.run(),
        Command::Evacuation(command) => command.run(),
        Command::Found(command) => command.run(),
        Command::HashKey(command) => command.run(),
        Command::Jobs(command) => command.run(),
        Command::Keys(command) => command.run(),
        Command::LeasedEntry(command) => command.run(),
        Command::Leave(command) => command.run(),
        Command::Solo(command) => command.run(),
        Command::Status(command) => command.run(),
        Command::Upkeep(command) => command.run(),
    }
}
