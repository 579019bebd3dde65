//! Guards against stale reports and double-counted tasks in the guard table.

use std::time::Duration;

use cloverfold_claims_core::{GuardPhase, GuardReport, GuardTable, Placement};

const REPORT_TIMEOUT: Duration = Duration::from_millis(1_600);

fn report(sequence: u64, running: u32) -> GuardReport {
    GuardReport {
        placement: Placement {
            guard: 1,
            incarnation: 1,
        },
        sequence,
        phase: GuardPhase::Live,
        is_whole: true,
        running,
        queued: 0,
        slots: 8,
        age: Duration::ZERO,
    }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_forwarded_report_keeps_its_age() {
    let mut first = GuardTable::default();
    let mut second = GuardTable::default();
    first.record_report(report(1, 0), at(0));

    for forwarded in first.reports(at(1_500)) {
        second.record_report(forwarded, at(1_500));
    }

    assert_eq!(second.list_candidates(at(1_600), REPORT_TIMEOUT).len(), 1);
    assert!(second.list_candidates(at(1_601), REPORT_TIMEOUT).is_empty());
    assert_eq!(second.find_lead(&[1], at(1_601), REPORT_TIMEOUT), None);
}

#[test]
fn a_suspected_guard_is_excluded_until_a_newer_report() {
    let mut table = GuardTable::default();
    table.record_report(report(1, 0), at(0));
    table.suspect(1, at(5));
    table.record_report(report(1, 0), at(10));
    let suspected = table.list_candidates(at(10), REPORT_TIMEOUT).len();

    table.record_report(report(2, 0), at(20));

    assert_eq!(suspected, 0);
    assert_eq!(table.list_candidates(at(20), REPORT_TIMEOUT).len(), 1);
}

#[test]
fn a_forwarded_older_report_does_not_end_a_suspicion() {
    let mut first = GuardTable::default();
    let mut second = GuardTable::default();
    first.record_report(report(2, 0), at(100));
    second.record_report(report(1, 0), at(0));
    second.suspect(1, at(600));

    for forwarded in first.reports(at(700)) {
        second.record_report(forwarded, at(700));
    }
    let suspected = second.list_candidates(at(700), REPORT_TIMEOUT).len();
    second.record_report(report(3, 0), at(800));

    assert_eq!(suspected, 0);
    assert_eq!(second.list_candidates(at(800), REPORT_TIMEOUT).len(), 1);
}

#[test]
fn a_restart_ends_the_suspicion_of_the_earlier_incarnation() {
    let mut table = GuardTable::default();
    table.record_report(report(1, 0), at(0));
    table.suspect(1, at(500));
    let mut restarted = report(1, 0);
    restarted.placement.incarnation = 2;
    restarted.age = at(200);

    let has_restarted = table.record_report(restarted, at(600));

    assert!(has_restarted);
    assert_eq!(table.list_candidates(at(600), REPORT_TIMEOUT).len(), 1);
}

#[test]
fn own_tasks_are_counted_once_and_those_of_others_are_added() {
    let mut table = GuardTable::default();
    table.add_in_flight(1);
    table.add_in_flight(1);
    table.record_report(report(1, 5), at(0));
    table.add_in_flight(1);
    let load = table.list_candidates(at(0), REPORT_TIMEOUT)[0].load;
    table.remove_in_flight(1);
    table.remove_in_flight(1);
    table.remove_in_flight(1);

    assert_eq!(load, 6, "three tasks of others and three own");
    assert_eq!(table.list_candidates(at(0), REPORT_TIMEOUT)[0].load, 3);
}
