//! Operators: they order, send again what got no clear answer, race, repeat, and send what is invalid.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cloverfold_stand_ins::{configuration, invalid_configuration, malformed_configuration};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use tokio::time::{sleep, timeout};

use super::exchange::exchange;
use super::installation::Installation;
use super::layout::Side;
use crate::plan::{CONTROL_COUNT, OperatorOrder, PlannedOrder};
use crate::records::{HallAction, HallOrder, OrderAnswer, Process};

/// How long an operator waits for an answer.
const PATIENCE: Duration = Duration::from_millis(3_000);
/// Pause before an order is sent again.
const PAUSE: Duration = Duration::from_millis(200);
/// Most sends of a valid order; with the pauses longer than any fault.
const MAX_SENDS: usize = 60;
/// Most sends of an invalid configuration.
const MAX_INVALID_SENDS: usize = 3;

/// Plays one operator.
pub(crate) async fn carry_out(installation: &Installation, planned: &PlannedOrder) {
    let control = planned.control;
    match &planned.order {
        OperatorOrder::Configure => configure(installation, control).await,
        OperatorOrder::Race => {
            let other = configure(installation, control + 1);
            tokio::join!(configure(installation, control), other);
        }
        OperatorOrder::Repeat => repeat(installation, control).await,
        OperatorOrder::Unsound => {
            let text = invalid_configuration;
            send_invalid(installation, control, text).await;
        }
        OperatorOrder::Unreadable => {
            let text = malformed_configuration;
            send_invalid(installation, control, text).await;
        }
        OperatorOrder::Evacuate { hall, lasts } => {
            evacuate(installation, control, hall, Duration::from_millis(*lasts)).await;
        }
    }
}

async fn configure(installation: &Installation, control: usize) {
    let version = installation.next_version();
    send_until_acknowledged(installation, control, version).await;
}

async fn repeat(installation: &Installation, control: usize) {
    if let Some(version) = installation.newest_acknowledged() {
        send_until_acknowledged(installation, control, version).await;
    }
}

/// Sends a valid configuration until it is acknowledged or refused.
pub(crate) async fn send_until_acknowledged(
    installation: &Installation,
    control: usize,
    version: u64,
) {
    let text = configuration(version);
    for send in 0..MAX_SENDS {
        let control = (control + send) % CONTROL_COUNT;
        if put(installation, control, version, true, &text).await != OrderAnswer::Unknown {
            return;
        }
        sleep(PAUSE).await;
    }
}

async fn send_invalid(installation: &Installation, control: usize, write: fn(u64) -> String) {
    let version = installation.next_version();
    let text = write(version);
    for send in 0..MAX_INVALID_SENDS {
        let control = (control + send) % CONTROL_COUNT;
        if put(installation, control, version, false, &text).await != OrderAnswer::Unknown {
            return;
        }
        sleep(PAUSE).await;
    }
}

async fn put(
    installation: &Installation,
    control: usize,
    version: u64,
    is_valid: bool,
    text: &str,
) -> OrderAnswer {
    let number = installation.recorder.begin_configuration(version, is_valid);
    let answer = send(
        installation.operator(control),
        Method::PUT,
        "/v1/configuration",
        text,
    );
    let answer = read_verdict(answer.await.map(|(status, _)| status));
    installation.recorder.end_configuration(number, answer);
    answer
}

fn read_verdict(status: Option<StatusCode>) -> OrderAnswer {
    match status {
        Some(StatusCode::OK) => OrderAnswer::Acknowledged,
        Some(status) if status.is_client_error() => OrderAnswer::Refused,
        _ => OrderAnswer::Unknown,
    }
}

/// Evacuates a hall unless another operator cares for it, and takes it back.
async fn evacuate(installation: &Installation, control: usize, hall: &str, lasts: Duration) {
    let Some(_care) = installation.care_for_hall(hall) else {
        return;
    };
    order_hall(installation, control, hall, HallAction::Evacuate).await;
    sleep(lasts).await;
    order_hall(installation, control + 1, hall, HallAction::TakeBack).await;
}

async fn order_hall(installation: &Installation, control: usize, hall: &str, wish: HallAction) {
    let recorder = &installation.recorder;
    let number = recorder.begin_hall_order(HallOrder {
        hall: hall.to_owned(),
        wish,
        sent_at: recorder.now(),
        acknowledged_at: None,
    });
    let method = match wish {
        HallAction::Evacuate => Method::POST,
        HallAction::TakeBack => Method::DELETE,
    };
    let path = format!("/v1/evacuations/{hall}");
    for attempt in 0..MAX_SENDS {
        let address = installation.operator((control + attempt) % CONTROL_COUNT);
        let answer = send(address, method.clone(), &path, "").await;
        if answer.is_some_and(|(status, _)| status == StatusCode::OK) {
            recorder.acknowledge_hall_order(number);
            return;
        }
        sleep(PAUSE).await;
    }
}

/// Sends one call of an operator; `None` if it gets no answer in time.
pub(crate) async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Option<(StatusCode, String)> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("Host", address.to_string())
        .header("Content-Type", "application/json")
        .body(Full::new(Bytes::from(body.to_owned())))
        .ok()?;
    timeout(PATIENCE, exchange(address, request)).await.ok()?
}

impl Installation {
    /// Returns where operators reach a control process.
    pub(crate) fn operator(&self, control: usize) -> SocketAddr {
        let process = Process::Control(control % CONTROL_COUNT);
        self.layout.interface(process, Side::Outer)
    }
}
