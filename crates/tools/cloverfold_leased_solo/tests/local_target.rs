//! A renewal that waits at a sample target is answered at the next end, also that of a run which began meanwhile.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    EndCause, IncarnationId, RenewalAnswer, RenewalOrder, Resources, StartOrder, TaskId,
};
use cloverfold_leased_guard::TargetInterface;
use cloverfold_leased_solo::{LocalTarget, LocalTargetInterface};
use tokio::time::timeout;

/// Longest wait for something that must come; no test depends on how long it takes.
const PATIENCE: Duration = Duration::from_secs(60);
/// How long the renewals may wait: longer than any test.
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
        deadline: PATIENCE.as_millis() as u64,
        fencing_token: 7,
        attempt: 1,
        timeout: PATIENCE,
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
        wait: RENEWAL_WAIT,
        timeout: RENEWAL_WAIT,
        sent_at: Timestamp::ZERO,
    }
}

/// Lists how the runs ended, from the answer to a renewal.
async fn read_causes(answer: impl Future<Output = RenewalAnswer>) -> Vec<EndCause> {
    match timeout(PATIENCE, answer).await.unwrap() {
        RenewalAnswer::Listed { ended, .. } => ended.into_iter().map(|end| end.cause).collect(),
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn a_run_that_begins_during_a_renewal_is_listed_at_its_end() {
    let target = target();
    let calls = target.clone();
    let renewing = tokio::spawn(async move { read_causes(calls.renew(renewal())).await });
    // The renewal waits as soon as this task, the only other one, gives way.
    tokio::task::yield_now().await;

    target.start(start()).await;

    assert_eq!(renewing.await.unwrap(), [EndCause::Done]);
}
