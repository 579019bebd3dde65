//! `cloverfold configuration`: an operator's commands to the control processes of a leased installation.
//!
//! Relies on the operators' interface of a control process (`cloverfold_control`), over HTTP.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use eyre::{Result, WrapErr};
use http::Method;

use crate::control_calls::{ControlCalls, run_calls};

/// Where a control process shows and takes the configuration.
const CONFIGURATION_PATH: &str = "/v1/configuration";

/// Show, save or send the configuration that the control processes keep.
#[derive(FromArgs)]
#[argh(subcommand, name = "configuration")]
pub(crate) struct ConfigurationCommand {
    /// operator address of a control process; give it again for further ones to try
    #[argh(option)]
    at: Vec<SocketAddr>,
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Audit(Audit),
    Backup(Backup),
    Restore(Restore),
    Status(Status),
}

/// Print the decisions on configurations, oldest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
struct Audit {}

/// Print the group, its voters, and the version in force at each process.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {}

/// Save the configuration in force as it was sent.
#[derive(FromArgs)]
#[argh(subcommand, name = "backup")]
struct Backup {
    /// file to write; it must not be there yet
    #[argh(positional)]
    file: PathBuf,
}

/// Send a saved configuration; a version that is not above the one held changes nothing.
#[derive(FromArgs)]
#[argh(subcommand, name = "restore")]
struct Restore {
    /// file to send
    #[argh(positional)]
    file: PathBuf,
}

impl ConfigurationCommand {
    pub(crate) fn run(self) -> Result<()> {
        run_calls(self.at, async |calls| self.action.carry_out(calls).await)
    }
}

impl Action {
    async fn carry_out(&self, calls: &ControlCalls) -> Result<()> {
        match self {
            Self::Audit(_) => println!("{}", calls.get("/v1/audit").await?),
            Self::Status(_) => println!("{}", calls.get("/v1/status").await?),
            Self::Backup(backup) => back_up(calls, &backup.file).await?,
            Self::Restore(restore) => send_saved(calls, &restore.file).await?,
        }
        Ok(())
    }
}

/// Writes the configuration in force to a new file.
async fn back_up(calls: &ControlCalls, path: &Path) -> Result<()> {
    let text = calls.get(CONFIGURATION_PATH).await?;
    let mut file = File::create_new(path).wrap_err_with(|| path.display().to_string())?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    println!("{}: {} bytes", path.display(), text.len());
    Ok(())
}

/// Sends the configuration in a file.
async fn send_saved(calls: &ControlCalls, path: &Path) -> Result<()> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    calls.call(Method::PUT, CONFIGURATION_PATH, &text).await?;
    println!("{}: acknowledged", path.display());
    Ok(())
}
