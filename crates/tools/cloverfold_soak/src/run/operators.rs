//! Simulated operators: they send valid, invalid, concurrent and repeated orders, and retry orders without a clear answer.

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
use crate::plan::{CONTROL_COUNT, Order, PlannedOrder};
use crate::records::{HallAction, HallOrder, OrderAnswer, Process};

/// Timeout of one request of an operator.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Delay before an order is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum attempts of a valid order; with the delays they outlast any fault.
const MAX_ATTEMPTS: usize = 60;
/// Maximum attempts of an invalid configuration.
const MAX_INVALID_ATTEMPTS: usize = 3;

/// Executes one planned order.
pub(crate) async fn execute(installation: &Installation, planned: &PlannedOrder) {
    let control = planned.control;
    match &planned.order {
        Order::Configure => configure(installation, control).await,
        Order::Race => {
            let other = configure(installation, control + 1);
            tokio::join!(configure(installation, control), other);
        }
        Order::Repeat => repeat(installation, control).await,
        Order::Invalid => {
            let text = invalid_configuration;
            send_invalid(installation, control, text).await;
        }
        Order::Malformed => {
            let text = malformed_configuration;
            send_invalid(installation, control, text).await;
        }
        Order::Evacuate { hall, duration } => {
            evacuate(
                installation,
                control,
                hall,
                Duration::from_millis(*duration),
            )
            .await;
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
    for attempt in 0..MAX_ATTEMPTS {
        let control = (control + attempt) % CONTROL_COUNT;
        if put_configuration(installation, control, version, true, &text).await
            != OrderAnswer::Unknown
        {
            return;
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn send_invalid(
    installation: &Installation,
    control: usize,
    generate_text: fn(u64) -> String,
) {
    let version = installation.next_version();
    let text = generate_text(version);
    for attempt in 0..MAX_INVALID_ATTEMPTS {
        let control = (control + attempt) % CONTROL_COUNT;
        if put_configuration(installation, control, version, false, &text).await
            != OrderAnswer::Unknown
        {
            return;
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn put_configuration(
    installation: &Installation,
    control: usize,
    version: u64,
    is_valid: bool,
    text: &str,
) -> OrderAnswer {
    let number = installation.recorder.begin_configuration(version, is_valid);
    let answer = send(
        installation.operator_address(control),
        Method::PUT,
        "/v1/configuration",
        text,
    );
    let answer = read_answer(answer.await.map(|(status, _)| status));
    installation.recorder.end_configuration(number, answer);
    answer
}

fn read_answer(status: Option<StatusCode>) -> OrderAnswer {
    match status {
        Some(StatusCode::OK) => OrderAnswer::Acknowledged,
        Some(status) if status.is_client_error() => OrderAnswer::Refused,
        _ => OrderAnswer::Unknown,
    }
}

/// Evacuates a data hall and ends the evacuation later, unless another operator has reserved the hall.
async fn evacuate(installation: &Installation, control: usize, hall: &str, duration: Duration) {
    let Some(_reservation) = installation.reserve_hall(hall) else {
        return;
    };
    order_hall(installation, control, hall, HallAction::Evacuate).await;
    sleep(duration).await;
    order_hall(installation, control + 1, hall, HallAction::TakeBack).await;
}

async fn order_hall(installation: &Installation, control: usize, hall: &str, action: HallAction) {
    let recorder = &installation.recorder;
    let number = recorder.begin_hall_order(HallOrder {
        hall: hall.to_owned(),
        action,
        sent_at: recorder.now(),
        acknowledged_at: None,
    });
    let method = match action {
        HallAction::Evacuate => Method::POST,
        HallAction::TakeBack => Method::DELETE,
    };
    let path = format!("/v1/evacuations/{hall}");
    for attempt in 0..MAX_ATTEMPTS {
        let address = installation.operator_address((control + attempt) % CONTROL_COUNT);
        let answer = send(address, method.clone(), &path, "").await;
        if answer.is_some_and(|(status, _)| status == StatusCode::OK) {
            recorder.acknowledge_hall_order(number);
            return;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Sends one request of an operator; returns `None` if there is no answer in time.
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
    timeout(REQUEST_TIMEOUT, exchange(address, request))
        .await
        .ok()?
}

impl Installation {
    /// Returns the operator address of a control process.
    pub(crate) fn operator_address(&self, control: usize) -> SocketAddr {
        let process = Process::Control(control % CONTROL_COUNT);
        self.layout.interface(process, Side::Outer)
    }
}
