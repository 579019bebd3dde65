//! `cloverfold configuration`: an operator's commands to the control processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use cloverfold_http::HttpClient;
use eyre::{Result, WrapErr, bail};
use http::{Method, Request, StatusCode};
use http_body_util::Full;

const CALL_TIMEOUT: Duration = Duration::from_secs(4);

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
        if self.at.is_empty() {
            bail!("--at: give the operator address of at least one control process");
        }
        crate::start_runtime()?.block_on(self.carry_out())
    }

    async fn carry_out(&self) -> Result<()> {
        match &self.action {
            Action::Audit(_) => println!("{}", self.call(Method::GET, "/v1/audit", "").await?),
            Action::Status(_) => println!("{}", self.call(Method::GET, "/v1/status", "").await?),
            Action::Backup(backup) => {
                let text = self.call(Method::GET, "/v1/configuration", "").await?;
                let mut file = std::fs::File::create_new(&backup.file)
                    .wrap_err_with(|| backup.file.display().to_string())?;
                std::io::Write::write_all(&mut file, text.as_bytes())?;
                file.sync_all()?;
                println!("{}: {} bytes", backup.file.display(), text.len());
            }
            Action::Restore(restore) => {
                let text = std::fs::read_to_string(&restore.file)
                    .wrap_err_with(|| restore.file.display().to_string())?;
                self.call(Method::PUT, "/v1/configuration", &text).await?;
                println!("{}: acknowledged", restore.file.display());
            }
        }
        Ok(())
    }

    /// Asks one control process after the other until one answers clearly.
    async fn call(&self, method: Method, path: &str, body: &str) -> Result<String> {
        let client = HttpClient::default();
        let mut last = String::new();
        for address in &self.at {
            let request = Request::builder()
                .method(method.clone())
                .uri(path)
                .header("Host", address.to_string())
                .header("Content-Type", "application/json")
                .body(Full::from(body.to_owned()))?;
            match client.call(*address, request, CALL_TIMEOUT).await {
                Ok((StatusCode::OK, _, answer)) => {
                    return Ok(String::from_utf8_lossy(&answer).into_owned());
                }
                Ok((status, _, answer)) if status.is_client_error() => {
                    bail!("{address}: {status}: {}", String::from_utf8_lossy(&answer));
                }
                Ok((status, _, answer)) => {
                    last = format!("{address}: {status}: {}", String::from_utf8_lossy(&answer));
                }
                Err(cause) => last = format!("{address}: {cause}"),
            }
        }
        bail!("no control process answered clearly; the last: {last}")
    }
}
