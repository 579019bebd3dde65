//! `cloverfold configuration`: an operator's commands to the control processes of a leased installation.
//!
//! Relies on the operators' interface of a control process (`cloverfold_control`), over HTTP.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use argh::FromArgs;
use bytes::Bytes;
use cloverfold_http::HttpClient;
use cloverfold_programs::{RuntimeThreads, start_runtime};
use eyre::{Result, WrapErr, bail};
use http::{Method, Request, StatusCode};
use http_body_util::Full;

/// Where a control process shows and takes the configuration.
const CONFIGURATION_PATH: &str = "/v1/configuration";
/// How long one control process may take to answer. Chosen, not measured.
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
        start_runtime(RuntimeThreads::PerCore)?.block_on(self.carry_out())
    }

    async fn carry_out(&self) -> Result<()> {
        match &self.action {
            Action::Audit(_) => println!("{}", self.get("/v1/audit").await?),
            Action::Status(_) => println!("{}", self.get("/v1/status").await?),
            Action::Backup(backup) => self.back_up(&backup.file).await?,
            Action::Restore(restore) => self.restore(&restore.file).await?,
        }
        Ok(())
    }

    /// Writes the configuration in force to a new file.
    async fn back_up(&self, path: &Path) -> Result<()> {
        let text = self.get(CONFIGURATION_PATH).await?;
        let mut file = File::create_new(path).wrap_err_with(|| path.display().to_string())?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        println!("{}: {} bytes", path.display(), text.len());
        Ok(())
    }

    /// Sends the configuration in a file.
    async fn restore(&self, path: &Path) -> Result<()> {
        let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
        self.call(Method::PUT, CONFIGURATION_PATH, &text).await?;
        println!("{}: acknowledged", path.display());
        Ok(())
    }

    async fn get(&self, path: &str) -> Result<String> {
        self.call(Method::GET, path, "").await
    }

    /// Calls one control process after the other until one answers with success or refuses the request.
    ///
    /// Other answers and broken calls lead to the next process; the last one is the error if none is left.
    async fn call(&self, method: Method, path: &str, body: &str) -> Result<String> {
        let client = HttpClient::default();
        let mut last = String::new();
        for address in &self.at {
            let request = build_request(&method, *address, path, body)?;
            match client.call(*address, request, CALL_TIMEOUT).await {
                Ok((StatusCode::OK, _, answer)) => {
                    return Ok(String::from_utf8_lossy(&answer).into_owned());
                }
                Ok((status, _, answer)) if status.is_client_error() => {
                    bail!("{}", describe_answer(*address, status, &answer));
                }
                Ok((status, _, answer)) => last = describe_answer(*address, status, &answer),
                Err(cause) => last = format!("{address}: {cause}"),
            }
        }
        bail!("no control process answered clearly; the last: {last}")
    }
}

fn build_request(
    method: &Method,
    address: SocketAddr,
    path: &str,
    body: &str,
) -> Result<Request<Full<Bytes>>> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("Host", address.to_string())
        .header("Content-Type", "application/json")
        .body(Full::from(body.to_owned()))?;
    Ok(request)
}

fn describe_answer(address: SocketAddr, status: StatusCode, answer: &[u8]) -> String {
    format!("{address}: {status}: {}", String::from_utf8_lossy(answer))
}
