//! `cloverfold configuration`: shows, saves and restores the configuration of a leased installation.
//!
//! Calls the operator API of a control process (`cloverfold_control`) over HTTP.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use eyre::{Result, WrapErr};
use http::Method;

use crate::control_client::{ControlClient, run_with_client};

/// Path at which a control process serves and accepts the configuration.
const CONFIGURATION_PATH: &str = "/v1/configuration";

/// Show, back up or restore the configuration that the control processes store.
#[derive(FromArgs)]
#[argh(subcommand, name = "configuration")]
pub(crate) struct ConfigurationCommand {
    /// operator address of a control process; repeat the option to try several in turn
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

/// Save the configuration in force to a file, byte for byte as it was sent.
#[derive(FromArgs)]
#[argh(subcommand, name = "backup")]
struct Backup {
    /// file to write; must not exist
    #[argh(positional)]
    file: PathBuf,
}

/// Send a saved configuration; has no effect unless its version is higher than the current one.
#[derive(FromArgs)]
#[argh(subcommand, name = "restore")]
struct Restore {
    /// file to send
    #[argh(positional)]
    file: PathBuf,
}

impl ConfigurationCommand {
    pub(crate) fn run(self) -> Result<()> {
        run_with_client(self.at, async |client| self.action.execute(client).await)
    }
}

impl Action {
    async fn execute(&self, client: &ControlClient) -> Result<()> {
        match self {
            Self::Audit(_) => println!("{}", client.get("/v1/audit").await?),
            Self::Status(_) => println!("{}", client.get("/v1/status").await?),
            Self::Backup(backup) => save_backup(client, &backup.file).await?,
            Self::Restore(restore) => restore_backup(client, &restore.file).await?,
        }
        Ok(())
    }
}

/// Writes the configuration in force to a new file.
async fn save_backup(client: &ControlClient, path: &Path) -> Result<()> {
    let text = client.get(CONFIGURATION_PATH).await?;
    let mut file = File::create_new(path).wrap_err_with(|| path.display().to_string())?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    println!("{}: {} bytes", path.display(), text.len());
    Ok(())
}

/// Sends the configuration in a file to a control process.
async fn restore_backup(client: &ControlClient, path: &Path) -> Result<()> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    client
        .request(Method::PUT, CONFIGURATION_PATH, &text)
        .await?;
    println!("{}: acknowledged", path.display());
    Ok(())
}
