//! `cloverfold jobs`: lists, shows and cancels the kept jobs of a leased installation.

use std::net::SocketAddr;

use argh::FromArgs;
use eyre::Result;
use http::Method;

use crate::control_client::{ControlClient, run_with_client};

/// Path at which a control process lists, shows and cancels kept jobs.
const JOBS_PATH: &str = "/v1/jobs";

/// List, show or cancel kept jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "jobs")]
pub(crate) struct JobsCommand {
    /// operator address of a control process; repeat the option to try several in turn
    #[argh(option)]
    at: Vec<SocketAddr>,
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    List(List),
    Show(Show),
    Cancel(Cancel),
}

/// Print the groups and their open jobs, as known to the queried process.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Print the state of a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// name of the job
    #[argh(positional)]
    job: String,
}

/// Cancel a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
struct Cancel {
    /// name of the job
    #[argh(positional)]
    job: String,
}

impl JobsCommand {
    pub(crate) fn run(self) -> Result<()> {
        run_with_client(self.at, async |client| self.action.execute(client).await)
    }
}

impl Action {
    async fn execute(&self, client: &ControlClient) -> Result<()> {
        let answer = match self {
            Self::List(_) => client.get(JOBS_PATH).await?,
            Self::Show(Show { job }) => client.get(&format!("{JOBS_PATH}/{job}")).await?,
            Self::Cancel(Cancel { job }) => {
                let path = format!("{JOBS_PATH}/{job}");
                client.request(Method::DELETE, &path, "").await?
            }
        };
        println!("{answer}");
        Ok(())
    }
}
