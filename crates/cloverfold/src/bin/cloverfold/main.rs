//! `cloverfold`: entries, the solo system and the operators' commands.

mod check;
mod entry;
mod installation;
mod keys;
mod leased;
mod operator;
mod solo;

use std::process::ExitCode;

use argh::FromArgs;
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
    Check(check::Check),
    Configuration(installation::ConfigurationCommand),
    Control(leased::ControlCommand),
    Entry(entry::Entry),
    Found(operator::Found),
    HashKey(keys::HashKey),
    Keys(keys::Keys),
    LeasedEntry(leased::LeasedEntry),
    Leave(operator::LeaveCommand),
    Solo(solo::Solo),
    Status(operator::Status),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    cloverfold_programs::report_outcome(run(args.command))
}

fn run(command: Command) -> Result<()> {
    match command {
        Command::Check(command) => command.run(),
        Command::Configuration(command) => command.run(),
        Command::Control(command) => command.run(),
        Command::Entry(command) => command.run(),
        Command::Found(command) => command.run(),
        Command::HashKey(command) => command.run(),
        Command::Keys(command) => command.run(),
        Command::LeasedEntry(command) => command.run(),
        Command::Leave(command) => command.run(),
        Command::Solo(command) => command.run(),
        Command::Status(command) => command.run(),
    }
}

/// Starts the runtime that traffic runs on.
fn start_runtime() -> Result<tokio::runtime::Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    Ok(builder.enable_all().build()?)
}
