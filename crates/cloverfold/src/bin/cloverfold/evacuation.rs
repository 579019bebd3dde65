//! `cloverfold evacuation`: starts, ends and lists evacuations of the data halls of a leased installation.

use std::net::SocketAddr;

use argh::FromArgs;
use eyre::Result;
use http::Method;

use crate::control_client::{ControlClient, run_with_client};

/// Path at which a control process lists evacuations and accepts orders.
const EVACUATIONS_PATH: &str = "/v1/evacuations";

/// Start or end the evacuation of a data hall, or list the evacuations in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "evacuation")]
pub(crate) struct EvacuationCommand {
    /// operator address of a control process; repeat the option to try several in turn
    #[argh(option)]
    at: Vec<SocketAddr>,
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Start(Start),
    End(End),
    List(List),
}

/// Evacuate a data hall: no more tasks start there, and running tasks complete.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct Start {
    /// name of the data hall
    #[argh(positional)]
    hall: String,
}

/// End the evacuation of a data hall: tasks start there again.
#[derive(FromArgs)]
#[argh(subcommand, name = "end")]
struct End {
    /// name of the data hall
    #[argh(positional)]
    hall: String,
}

/// Print the evacuations in force: the data hall, the process that received the order, the time, and the log index.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

impl EvacuationCommand {
    pub(crate) fn run(self) -> Result<()> {
        run_with_client(self.at, async |client| self.action.execute(client).await)
    }
}

impl Action {
    async fn execute(&self, client: &ControlClient) -> Result<()> {
        match self {
            Self::Start(Start { hall }) => {
                send_order(client, Method::POST, hall).await?;
                println!("{hall}: no task starts there any more");
            }
            Self::End(End { hall }) => {
                send_order(client, Method::DELETE, hall).await?;
                println!("{hall}: tasks start there again");
            }
            Self::List(_) => println!("{}", client.get(EVACUATIONS_PATH).await?),
        }
        Ok(())
    }
}

/// Sends an order for a data hall to the control processes; one of them must acknowledge it.
async fn send_order(client: &ControlClient, method: Method, hall: &str) -> Result<()> {
    let path = format!("{EVACUATIONS_PATH}/{hall}");
    client.request(method, &path, "").await?;
    Ok(())
}
