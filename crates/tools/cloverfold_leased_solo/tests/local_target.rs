//! A waiting renewal is answered at the next end, even if the run started during the wait.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    EndCause, IncarnationId, RenewalAnswer, RenewalOrder, Resources, StartOrder, TaskId,
};
use cloverfold_leased_guard::TargetInterface;
use cloverfold_leased_solo::{LocalTarget, LocalTargetInterface};
use tokio::time::timeout;

/// Timeout of expected events; much longer than a passing test needs.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// How long the renewals may wait; longer than any test.
const RENEWAL_WAIT: Duration = Duration::from_secs(3_600);

fn target() -> LocalTargetInterface {
    let capacity = Resources {
        cpu_milli: 16_000,
        memory_mb: 32_768,
        accelerators: 0,
    };
    LocalTargetInterface(LocalTarget::new("target-0", "sample", capacity))
}

fn start() -> StartOrder {
    StartOrder {
        incarnation: IncarnationId {
            name: "target-0".to_owned(),
            start_time: None,
        },
        address: "target-0".to_owned(),
        task: TaskId {
            job: "00000000000000a1".to_owned(),
            repetition: 0,
            step: 0,
            index: 0,
        },
        run: 1,
        spec: "20".to_owned(),
        deadline: TEST_TIMEOUT.as_millis() as u64,
        fencing_token: 7,
        attempt: 1,
        timeout: TEST_TIMEOUT,
    }
}

fn renewal() -> RenewalOrder {
    RenewalOrder {
        incarnation: IncarnationId {
            name: "target-0".to_owned(),
            start_time: None,
        },
        address: "target-0".to_owned(),
        deadline: None,
        fencing_token: 7,
        last_acknowledged_end: 0,
        poll_timeout: RENEWAL_WAIT,
        timeout: RENEWAL_WAIT,
        sent_at: Timestamp::ZERO,
    }
}

/// Lists how the runs ended, from the answer to a renewal.
async fn read_causes(answer: impl Future<Output = RenewalAnswer>) -> Vec<EndCause> {
    match timeout(TEST_TIMEOUT, answer).await.unwrap() {
        RenewalAnswer::Listed { ended, .. } => ended.into_iter().map(|end| end.cause).collect(),
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn run_started_during_a_renewal_is_listed_at_its_end() {
    let target = target();
    let interface = target.clone();
    let renewing = tokio::spawn(async move { read_causes(interface.renew(renewal())).await });
    // Yielding lets the renewal task, the only other one, run until it waits.
    tokio::task::yield_now().await;

    target.start(start()).await;

    assert_eq!(renewing.await.unwrap(), [EndCause::Done]);
}
