//! `cloverfold upkeep`: orders waves of planned maintenance (upkeep) of boxes and shows their state.

use std::net::SocketAddr;

use argh::FromArgs;
use eyre::Result;
use http::Method;
use serde_json::json;

use crate::control_client::{ControlClient, run_with_client};

/// Path at which a control process shows waves and accepts orders.
const UPKEEP_PATH: &str = "/v1/upkeep";

/// Order a wave of planned maintenance of boxes, or show the progress of the waves. An ordered wave cannot be cancelled.
#[derive(FromArgs)]
#[argh(subcommand, name = "upkeep")]
pub(crate) struct UpkeepCommand {
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
    Status(Status),
}

/// Order planned maintenance of the given boxes.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct Start {
    /// number of the wave, above 0; repeating an order with the same number and content has no effect
    #[argh(positional)]
    wave: u64,
    /// maximum number of boxes that are down at once
    #[argh(option)]
    most_down: u32,
    /// time within which maintenance is to begin on all boxes, in seconds
    #[argh(option)]
    span_s: u64,
    /// names of the boxes
    #[argh(positional)]
    boxes: Vec<String>,
}

/// Print the state of the waves, the progress of each box, and, at the leader, the next box and why it waits.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// number of a wave; all waves if omitted
    #[argh(positional)]
    wave: Option<u64>,
}

impl UpkeepCommand {
    pub(crate) fn run(self) -> Result<()> {
        run_with_client(self.at, async |client| self.action.execute(client).await)
    }
}

impl Action {
    async fn execute(&self, client: &ControlClient) -> Result<()> {
        match self {
            Self::Start(start) => start.send_order(client).await,
            Self::Status(Status { wave: None }) => print_answer(client, UPKEEP_PATH).await,
            Self::Status(Status { wave: Some(wave) }) => {
                print_answer(client, &format!("{UPKEEP_PATH}/{wave}")).await
            }
        }
    }
}

impl Start {
    /// Sends the order to the control processes; one of them must acknowledge it.
    async fn send_order(&self, client: &ControlClient) -> Result<()> {
        let body = json!({
            "wave": self.wave,
            "boxes": self.boxes,
            "span_ms": self.span_s.saturating_mul(1_000),
            "most_down": self.most_down,
        });
        client
            .request(Method::POST, UPKEEP_PATH, &body.to_string())
            .await?;
        let boxes = self.boxes.len();
        println!("wave {}: {boxes} boxes will have their upkeep", self.wave);
        Ok(())
    }
}

async fn print_answer(client: &ControlClient, path: &str) -> Result<()> {
    println!("{}", client.get(path).await?);
    Ok(())
}
