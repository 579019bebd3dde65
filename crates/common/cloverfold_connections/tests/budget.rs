//! Waiting for memory, closing connections and counting what was refused.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cloverfold_connections::{
    BudgetLimits, Connection, ConnectionBudget, DescriptorPlan, NoMemory, Phase, STALL_TIMEOUT,
};
use tokio::time::{sleep, timeout};

const LONG_TIMEOUT: Duration = Duration::from_secs(20);

fn budget(connections: usize, bytes: usize) -> ConnectionBudget {
    ConnectionBudget::new("test", BudgetLimits { connections, bytes })
}

/// Opens a connection that receives a message and stands still.
async fn open_stalled(budget: &ConnectionBudget, bytes: usize) -> Connection {
    let connection = budget.open(bytes).await.unwrap();
    connection.enter(Phase::Receiving);
    sleep(STALL_TIMEOUT).await;
    connection
}

/// Fails if memory is granted before the connection that gives way has given its own back, or never.
#[tokio::test]
async fn a_connection_waits_until_a_stalled_one_has_closed() {
    let budget = budget(10, 100);
    let stalled = open_stalled(&budget, 80).await;

    let opening = tokio::spawn({
        let budget = budget.clone();
        async move { budget.open(50).await.unwrap() }
    });
    timeout(LONG_TIMEOUT, stalled.wait_closed()).await.unwrap();

    assert!(!opening.is_finished());
    drop(stalled);
    let opened = timeout(LONG_TIMEOUT, opening).await.unwrap().unwrap();
    let usage = budget.usage();
    assert_eq!(
        (usage.connections, usage.held_bytes, usage.closed),
        (1, 50, 1)
    );
    drop(opened);
    assert_eq!(budget.usage().held_bytes, 0);
}

/// Fails if a refusal is not counted, or costs what the connection held before.
#[tokio::test]
async fn refusals_are_counted() {
    let budget = budget(1, 100);
    let handled = budget.open(60).await.unwrap();
    handled.enter(Phase::Handling);
    let mut held = handled.hold(20).await.unwrap();

    assert_eq!(budget.open(1).await.unwrap_err(), NoMemory);
    assert_eq!(held.grow(30).await, Err(NoMemory));
    assert_eq!(handled.try_hold(30).unwrap_err(), NoMemory);

    let usage = budget.usage();
    assert_eq!((usage.refused_connections, usage.refused_memory), (1, 2));
    assert_eq!((held.bytes(), usage.held_bytes), (20, 80));
}

/// Fails if clients, checks and unidentified links together may take all descriptors.
#[test]
fn the_descriptors_are_never_all_reserved() {
    for descriptors in [64, 256, 512, 1_024, 4_100, 20_000] {
        let plan = DescriptorPlan::new(descriptors);

        let reserved = plan.clients + 2 * plan.operations + plan.unidentified_links;

        assert!(reserved < descriptors, "{descriptors}: {plan:?}");
    }
}
