//! A sample target implements leases, fencing tokens and acknowledged ends as real targets do.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    EndCause, EndedRun, IncarnationId, RenewalAnswer, RenewalOrder, StartAnswer, StartOrder,
    StartRefusal, StopOrder, TaskId,
};
use cloverfold_leased_solo::TargetState;

fn task() -> TaskId {
    TaskId {
        job: "00000000000000a1".to_owned(),
        repetition: 0,
        step: 0,
        index: 0,
    }
}

/// Returns a start order for a task of 100 ms, whose deadline extends the lease to 500 ms.
fn start(run: u64) -> StartOrder {
    StartOrder {
        incarnation: IncarnationId {
            name: "target-0".to_owned(),
            start_time: None,
        },
        address: "target-0".to_owned(),
        task: task(),
        run,
        spec: "100".to_owned(),
        deadline: 500,
        fencing_token: 7,
        attempt: 1,
        timeout: Duration::from_millis(300),
    }
}

fn renewal(deadline: Option<u64>, last_acknowledged_end: u64) -> RenewalOrder {
    RenewalOrder {
        incarnation: IncarnationId {
            name: "target-0".to_owned(),
            start_time: None,
        },
        address: "target-0".to_owned(),
        deadline,
        fencing_token: 7,
        last_acknowledged_end,
        poll_timeout: Duration::ZERO,
        timeout: Duration::from_millis(15),
        sent_at: Timestamp::ZERO,
    }
}

fn list_ends(target: &mut TargetState, now: u64) -> Vec<EndedRun> {
    match target.list(1_767_225_600_000, now) {
        RenewalAnswer::Listed { ended, .. } => ended,
        other => panic!("{other:?}"),
    }
}

#[test]
fn finished_run_is_listed_until_it_is_acknowledged() {
    let mut target = TargetState::default();
    target.start(&start(1), 0);

    let before = list_ends(&mut target, 99);
    let after = list_ends(&mut target, 100);
    let is_accepted = target.renew(&renewal(None, 1), 101);

    assert_eq!(before, []);
    assert_eq!(after[0].cause, EndCause::Done);
    assert!(is_accepted);
    assert_eq!(list_ends(&mut target, 102), []);
}

#[test]
fn run_lapses_with_its_lease() {
    let mut target = TargetState::default();
    let long = StartOrder {
        spec: "10000".to_owned(),
        ..start(1)
    };
    target.start(&long, 0);

    let next = target.next_end();
    let ends = list_ends(&mut target, 501);

    assert_eq!(next, Some(501));
    assert_eq!(ends[0].cause, EndCause::Lapsed);
}

#[test]
fn renewal_extends_the_lease() {
    let mut target = TargetState::default();
    let long = StartOrder {
        spec: "10000".to_owned(),
        ..start(1)
    };
    target.start(&long, 0);
    target.renew(&renewal(Some(1_100), 0), 450);

    assert_eq!(list_ends(&mut target, 1_000), []);
}

#[test]
fn late_stale_and_fenced_starts_are_refused() {
    let mut target = TargetState::default();
    target.start(&start(1), 0);
    list_ends(&mut target, 100);
    let fenced = StartOrder {
        fencing_token: 6,
        ..start(2)
    };

    let again = target.start(&start(1), 101);
    let below = target.start(&fenced, 102);
    let late = target.start(&start(2), 501);

    assert_eq!(again, StartAnswer::Refused(StartRefusal::Stale, Some(101)));
    assert_eq!(below, StartAnswer::Refused(StartRefusal::Fenced, Some(102)));
    assert_eq!(late, StartAnswer::Refused(StartRefusal::Late, Some(501)));
    assert_eq!(target.start_count(), 1);
}

fn stop(run: u64) -> StopOrder {
    StopOrder {
        incarnation: IncarnationId {
            name: "target-0".to_owned(),
            start_time: None,
        },
        address: "target-0".to_owned(),
        task: task(),
        run,
        fencing_token: 7,
        timeout: Duration::from_millis(300),
    }
}

#[test]
fn stop_that_overtakes_its_start_prevents_the_run() {
    let mut target = TargetState::default();

    target.stop(&stop(1), 0);
    let answer = target.start(&start(1), 1);

    assert_eq!(answer, StartAnswer::Refused(StartRefusal::Stale, Some(1)));
    assert_eq!(target.start_count(), 0);
}

#[test]
fn start_of_another_run_of_an_active_task_is_refused() {
    let mut target = TargetState::default();
    target.start(&start(2), 0);

    let older = target.start(&start(1), 1);
    let same = target.start(&start(2), 2);
    let newer = target.start(&start(3), 3);

    assert_eq!(older, StartAnswer::Refused(StartRefusal::Stale, Some(1)));
    assert_eq!(same, StartAnswer::Started { clock: 2 });
    let refusal = StartRefusal::NoCapacity;
    assert_eq!(newer, StartAnswer::Refused(refusal, Some(3)));
    assert_eq!(target.start_count(), 1);
}

#[test]
fn refused_start_before_its_deadline_extends_the_lease() {
    let mut target = TargetState::default();
    let other = TaskId { index: 1, ..task() };
    let long = StartOrder {
        task: other,
        spec: "10000".to_owned(),
        ..start(1)
    };
    let later = StartOrder {
        deadline: 1_100,
        ..start(1)
    };
    target.start(&long, 0);
    target.start(&start(1), 0);
    target.renew(&renewal(None, 1), 101);

    let answer = target.start(&later, 450);

    assert_eq!(answer, StartAnswer::Refused(StartRefusal::Stale, Some(450)));
    assert_eq!(list_ends(&mut target, 1_000), []);
}
