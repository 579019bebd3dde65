//! Driver of an entry: leases, submissions, driven jobs and releases.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{
    CallAnswer, CallRefusal, CallToken, Driver, DriverAction, DriverId, EndDecision, EndOutcome,
    Epoch, JobAssignment, JobCall, JobCallMessage, JobPhase, JobReply, JobReplyMessage,
    KeptJobTimings, NewJob, RefusalReason, Renewal, RenewalReply, StopCause, SubmitOutcome,
    TaskEnd, first_run_of,
};
use proptest::prelude::*;

const LEASE: u64 = 1_500;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_start(Duration::from_millis(millis))
}

fn new_job(id: &str) -> NewJob {
    NewJob {
        id: id.into(),
        queue: "queue".into(),
        digest: [7; 16],
        body: vec![1, 2, 3],
        tasks: 2,
        max_attempts: 3,
    }
}

fn assignment(job: &str, epoch: Epoch) -> JobAssignment {
    JobAssignment {
        job: job.into(),
        epoch,
        body: vec![1, 2, 3],
        progress: vec![],
    }
}

fn reply(token: CallToken, reply: JobReply) -> JobReplyMessage {
    JobReplyMessage {
        token,
        group: 0,
        leader: Some("control-1".into()),
        reply,
    }
}

fn renewed(driver: DriverId, drive: Vec<JobAssignment>, drop: Vec<(&str, Epoch)>) -> JobReply {
    let drop = drop.into_iter().map(|(job, epoch)| (job.into(), epoch));
    JobReply::Renewed(RenewalReply {
        driver,
        drive,
        drop: drop.collect(),
    })
}

fn sent(actions: &[DriverAction]) -> Vec<JobCallMessage> {
    let sent = actions.iter().filter_map(|action| match action {
        DriverAction::Send(_, message) => Some(message.clone()),
        _ => None,
    });
    sent.collect()
}

fn renewals(actions: &[DriverAction]) -> Vec<(CallToken, Renewal)> {
    let calls = sent(actions).into_iter();
    let renewals = calls.filter_map(|message| match message.call {
        JobCall::Renew(renewal) => Some((message.token, renewal)),
        _ => None,
    });
    renewals.collect()
}

fn driven(actions: &[DriverAction]) -> Vec<(String, Epoch)> {
    let assignments = actions.iter().filter_map(|action| match action {
        DriverAction::Drive(assignment) => Some((assignment.job.clone(), assignment.epoch)),
        _ => None,
    });
    assignments.collect()
}

fn stopped(actions: &[DriverAction]) -> Vec<(String, StopCause)> {
    let stopped = actions.iter().filter_map(|action| match action {
        DriverAction::StopDriving { job, cause, .. } => Some((job.clone(), *cause)),
        _ => None,
    });
    stopped.collect()
}

fn answers(actions: &[DriverAction]) -> Vec<(CallToken, CallAnswer)> {
    let answers = actions.iter().filter_map(|action| match action {
        DriverAction::Answer(token, answer) => Some((*token, *answer)),
        _ => None,
    });
    answers.collect()
}

/// Returns a driver of one group with a lease from 400 ms on, and its identity.
fn driver_with_lease() -> (Driver, DriverId) {
    let mut driver = Driver::new("entry-1", KeptJobTimings::default(), 5);
    driver.set_group_count(1, at(0));
    driver.tick(at(400));
    let (token, renewal) = renewals(&driver.take_actions()).remove(0);
    let empty = renewed(renewal.driver, vec![], vec![]);
    driver.receive(reply(token, empty), at(405));
    driver.take_actions();
    (driver, renewal.driver)
}

/// Submits a job and returns the token of the call.
fn submit(driver: &mut Driver, id: &str, now: u64) -> CallToken {
    let token = driver.submit(new_job(id), at(now + 2_500), at(now));
    let calls = sent(&driver.take_actions());
    assert!(calls.iter().any(|message| message.token == token));
    token
}

/// Returns a driver that drives one accepted job, and its identity.
fn driver_with_job(id: &str) -> (Driver, DriverId) {
    let (mut driver, identity) = driver_with_lease();
    let token = submit(&mut driver, id, 410);
    let accepted = JobReply::Submitted(SubmitOutcome::Accepted(1));
    driver.receive(reply(token, accepted), at(430));
    assert_eq!(driven(&driver.take_actions()), [(id.to_owned(), 1)]);
    (driver, identity)
}

#[test]
fn an_accepted_job_is_driven_and_reported_in_renewals() {
    let (mut driver, _) = driver_with_lease();
    let token = submit(&mut driver, "a", 410);
    let accepted = JobReply::Submitted(SubmitOutcome::Accepted(1));

    driver.receive(reply(token, accepted), at(430));
    let actions = driver.take_actions();
    driver.record_begun("a");
    driver.tick(at(700));

    assert_eq!(answers(&actions), [(token, CallAnswer::Kept)]);
    assert_eq!(driven(&actions), [("a".to_owned(), 1)]);
    let (_, renewal) = renewals(&driver.take_actions()).remove(0);
    assert_eq!(renewal.driving.len(), 1);
    assert!(renewal.driving[0].has_begun);
}

#[test]
fn a_submission_without_a_lease_is_refused() {
    let mut driver = Driver::new("entry-1", KeptJobTimings::default(), 5);
    let unknown = driver.submit(new_job("a"), at(2_500), at(10));
    driver.set_group_count(1, at(20));
    let without_lease = driver.submit(new_job("a"), at(2_500), at(30));

    let expected = [
        (unknown, CallAnswer::Refused(RefusalReason::NoGroups)),
        (without_lease, CallAnswer::Refused(RefusalReason::NoLease)),
    ];
    let actions = driver.take_actions();
    assert_eq!(answers(&actions), expected);
    assert!(sent(&actions).is_empty());
}

#[test]
fn the_lease_starts_when_the_renewal_is_sent() {
    let (mut driver, _) = driver_with_job("a");

    driver.expire_leases(at(400 + LEASE - 1));
    assert_eq!(stopped(&driver.take_actions()), []);
    driver.expire_leases(at(400 + LEASE));

    let actions = driver.take_actions();
    assert_eq!(stopped(&actions), [("a".to_owned(), StopCause::Lapsed)]);
    assert_eq!(driver.driven_count(), 0);
}

#[test]
fn a_lapsed_lease_replaces_the_driver_identity() {
    let (mut driver, before) = driver_with_job("a");

    driver.tick(at(3_000));

    let (_, renewal) = renewals(&driver.take_actions()).remove(0);
    assert_ne!(renewal.driver, before);
    assert!(renewal.driving.is_empty());
}

#[test]
fn an_unsolicited_reply_does_not_extend_the_lease() {
    let (mut driver, identity) = driver_with_job("a");

    driver.receive(reply(0, renewed(identity, vec![], vec![])), at(1_800));
    driver.expire_leases(at(400 + LEASE));

    let actions = driver.take_actions();
    assert_eq!(stopped(&actions), [("a".to_owned(), StopCause::Lapsed)]);
}

#[test]
fn an_unsolicited_assignment_takes_effect_only_after_a_renewal() {
    let (mut driver, identity) = driver_with_lease();
    let assignments = vec![assignment("b", 2)];

    driver.receive(
        reply(0, renewed(identity, assignments.clone(), vec![])),
        at(420),
    );
    assert_eq!(driven(&driver.take_actions()), []);
    driver.tick(at(450));
    let (token, _) = renewals(&driver.take_actions()).remove(0);
    driver.receive(
        reply(token, renewed(identity, assignments, vec![])),
        at(460),
    );

    assert_eq!(driven(&driver.take_actions()), [("b".to_owned(), 2)]);
}

#[test]
fn an_unsolicited_drop_takes_effect_at_once() {
    let (mut driver, identity) = driver_with_job("a");

    driver.receive(reply(0, renewed(identity, vec![], vec![("a", 1)])), at(440));

    let actions = driver.take_actions();
    assert_eq!(stopped(&actions), [("a".to_owned(), StopCause::Dropped)]);
}

#[test]
fn a_drop_of_another_epoch_has_no_effect() {
    let (mut driver, identity) = driver_with_job("a");

    driver.receive(reply(0, renewed(identity, vec![], vec![("a", 2)])), at(440));

    assert_eq!(stopped(&driver.take_actions()), []);
}

#[test]
fn a_stale_reply_does_not_restart_a_dropped_job() {
    let (mut driver, identity) = driver_with_lease();
    let submission = submit(&mut driver, "a", 690);
    driver.tick(at(700));
    let (renewal, reported) = renewals(&driver.take_actions()).remove(0);
    assert!(reported.driving.is_empty());
    let accepted = JobReply::Submitted(SubmitOutcome::Accepted(1));
    driver.receive(reply(submission, accepted), at(710));
    driver.receive(reply(0, renewed(identity, vec![], vec![("a", 1)])), at(720));
    driver.take_actions();

    let late = renewed(identity, vec![assignment("a", 1)], vec![]);
    driver.receive(reply(renewal, late), at(730));

    assert_eq!(driven(&driver.take_actions()), []);
}

#[test]
fn an_overtaken_reply_starts_no_job() {
    let (mut driver, identity) = driver_with_lease();
    driver.tick(at(700));
    driver.tick(at(1_000));
    let sent = renewals(&driver.take_actions());
    driver.receive(
        reply(sent[1].0, renewed(identity, vec![], vec![])),
        at(1_010),
    );

    let old = renewed(identity, vec![assignment("a", 1)], vec![]);
    driver.receive(reply(sent[0].0, old), at(1_020));

    assert_eq!(driven(&driver.take_actions()), []);
}

#[test]
fn a_job_assigned_by_a_renewal_answers_its_submission_and_starts_once() {
    let (mut driver, identity) = driver_with_lease();
    let token = submit(&mut driver, "a", 500);
    driver.tick(at(700));
    let (renewal, _) = renewals(&driver.take_actions()).remove(0);

    let assigned = renewed(identity, vec![assignment("a", 1)], vec![]);
    driver.receive(reply(renewal, assigned), at(710));
    let accepted = JobReply::Submitted(SubmitOutcome::Accepted(1));
    driver.receive(reply(token, accepted), at(720));

    let actions = driver.take_actions();
    assert_eq!(answers(&actions), [(token, CallAnswer::Kept)]);
    assert_eq!(driven(&actions), [("a".to_owned(), 1)]);
}

#[test]
fn a_submission_accepted_for_an_expired_driver_is_answered_and_not_driven() {
    let (mut driver, _) = driver_with_lease();
    let token = submit(&mut driver, "a", 1_800);

    let accepted = JobReply::Submitted(SubmitOutcome::Accepted(1));
    driver.receive(reply(token, accepted), at(1_950));

    let actions = driver.take_actions();
    assert_eq!(answers(&actions), [(token, CallAnswer::Kept)]);
    assert_eq!(driven(&actions), []);
}

#[test]
fn a_submission_is_refused_only_if_every_copy_was() {
    let (mut driver, _) = driver_with_lease();
    let token = submit(&mut driver, "a", 410);
    let refused = JobReply::Refused(CallRefusal::Disk);
    driver.tick(at(800));
    driver.take_actions();

    driver.receive(reply(token, refused.clone()), at(810));
    assert_eq!(
        answers(&driver.take_actions()),
        [],
        "one copy is still unanswered"
    );
    driver.receive(reply(token, refused), at(820));

    let disk = RefusalReason::ByGroup(CallRefusal::Disk);
    let actions = driver.take_actions();
    assert_eq!(answers(&actions), [(token, CallAnswer::Refused(disk))]);
}

#[test]
fn a_submission_without_a_reply_is_unknown_after_its_deadline() {
    let (mut driver, _) = driver_with_lease();
    let token = submit(&mut driver, "a", 410);

    driver.tick(at(2_909));
    assert_eq!(answers(&driver.take_actions()), []);
    driver.tick(at(2_910));

    let actions = driver.take_actions();
    assert_eq!(answers(&actions), [(token, CallAnswer::Unknown)]);
}

#[test]
fn a_call_refused_without_a_leader_is_retried() {
    let (mut driver, _) = driver_with_lease();
    let token = driver.show("a", at(2_900), at(410));
    driver.take_actions();
    let refused = JobReply::Refused(CallRefusal::NoLeader);

    driver.receive(reply(token, refused), at(420));
    driver.tick(at(560));
    let again = sent(&driver.take_actions());
    let shown = JobReply::Shown(Some(JobPhase::Running));
    driver.receive(reply(token, shown), at(570));

    assert!(again.iter().any(|message| message.token == token));
    let expected = CallAnswer::Shown(Some(JobPhase::Running));
    assert_eq!(answers(&driver.take_actions()), [(token, expected)]);
}

#[test]
fn a_used_name_with_another_digest_is_a_conflict() {
    let (mut driver, _) = driver_with_lease();
    let token = submit(&mut driver, "a", 410);

    let conflict = JobReply::Submitted(SubmitOutcome::Conflict);
    driver.receive(reply(token, conflict), at(420));

    let actions = driver.take_actions();
    assert_eq!(answers(&actions), [(token, CallAnswer::Conflict)]);
    assert_eq!(driven(&actions), []);
}

#[test]
fn a_release_is_retried_until_it_is_answered() {
    let (mut driver, _) = driver_with_job("a");
    let is_release = |message: &JobCallMessage| matches!(message.call, JobCall::Release { .. });

    driver.release(&[("a".into(), true)], at(440));
    let actions = driver.take_actions();
    driver.tick(at(800));
    let repeats = sent(&driver.take_actions());
    let repeat = repeats.iter().find(|message| is_release(message)).unwrap();
    assert!(!driver.is_empty());
    driver.receive(reply(repeat.token, JobReply::Released), at(810));

    assert!(sent(&actions).iter().any(is_release));
    assert_eq!(stopped(&actions), [("a".to_owned(), StopCause::Released)]);
    assert!(driver.is_empty());
}

#[test]
fn a_released_job_is_not_driven_again_in_its_epoch() {
    let (mut driver, identity) = driver_with_job("a");
    driver.release(&[("a".into(), true)], at(440));
    driver.tick(at(700));
    let actions = driver.take_actions();
    let calls = sent(&actions);
    let is_release = |message: &&JobCallMessage| matches!(message.call, JobCall::Release { .. });
    let release = calls.iter().find(is_release).unwrap().token;
    let (renewal, _) = renewals(&actions).remove(0);

    driver.receive(reply(release, JobReply::Released), at(705));
    let late = renewed(identity, vec![assignment("a", 1)], vec![]);
    driver.receive(reply(renewal, late), at(710));
    assert_eq!(driven(&driver.take_actions()), []);
    driver.tick(at(1_000));
    let (renewal, _) = renewals(&driver.take_actions()).remove(0);
    let reassigned = renewed(identity, vec![assignment("a", 2)], vec![]);
    driver.receive(reply(renewal, reassigned), at(1_010));

    assert_eq!(driven(&driver.take_actions()), [("a".to_owned(), 2)]);
}

#[test]
fn a_release_is_resent_to_a_leader_that_does_not_know_it() {
    let (mut driver, identity) = driver_with_job("a");
    let is_release = |message: &&JobCallMessage| matches!(message.call, JobCall::Release { .. });
    driver.release(&[("a".into(), false)], at(440));
    let calls = sent(&driver.take_actions());
    let release = calls.iter().find(is_release).unwrap().token;
    driver.receive(reply(release, JobReply::Released), at(450));

    let mut again = Vec::new();
    for now in (460..8_000).step_by(20) {
        driver.tick(at(now));
        let actions = driver.take_actions();
        assert_eq!(driven(&actions), [], "at {now}");
        again.extend(sent(&actions).iter().filter(is_release).map(|_| now));
        for (token, _) in renewals(&actions) {
            let stale = renewed(identity, vec![assignment("a", 1)], vec![]);
            driver.receive(reply(token, stale), at(now));
        }
    }

    assert!(again[0] >= 450 + 2 * LEASE, "{again:?}");
}

#[test]
fn a_draining_entry_releases_newly_assigned_jobs() {
    let (mut driver, identity) = driver_with_lease();
    driver.stop_taking_jobs();
    driver.tick(at(700));
    let (token, renewal) = renewals(&driver.take_actions()).remove(0);
    assert!(!renewal.takes_jobs);

    let assigned = renewed(identity, vec![assignment("a", 3)], vec![]);
    driver.receive(reply(token, assigned), at(710));

    let actions = driver.take_actions();
    let calls = sent(&actions);
    assert_eq!(driven(&actions), []);
    assert!(calls.iter().any(|message| matches!(
        &message.call,
        JobCall::Release { jobs, .. } if jobs[0].is_clean && jobs[0].epoch == 3
    )));
}

#[test]
fn a_finished_job_stays_in_renewals_until_it_is_dropped() {
    let (mut driver, identity) = driver_with_job("a");
    driver.record_finished("a", 1, true, at(500));
    driver.tick(at(700));
    let (token, renewal) = renewals(&driver.take_actions()).remove(0);

    driver.receive(
        reply(token, renewed(identity, vec![], vec![("a", 1)])),
        at(710),
    );

    assert_eq!(renewal.driving.len(), 1);
    let actions = driver.take_actions();
    assert_eq!(stopped(&actions), [("a".to_owned(), StopCause::Dropped)]);
}

#[test]
fn a_finished_job_that_is_not_dropped_is_released() {
    let (mut driver, identity) = driver_with_job("a");
    driver.record_finished("a", 1, true, at(500));
    let mut released = Vec::new();
    for tick in 0..200 {
        let now = at(500 + 20 * tick);
        driver.tick(now);
        let actions = driver.take_actions();
        released.extend(stopped(&actions).into_iter().map(|stop| (stop, now)));
        for (token, _) in renewals(&actions) {
            driver.receive(reply(token, renewed(identity, vec![], vec![])), now);
        }
    }

    let expected = ("a".to_owned(), StopCause::Released);
    assert_eq!(released, [(expected, at(3_500))]);
}

fn end(job: &str, epoch: Epoch) -> TaskEnd {
    TaskEnd {
        job: job.to_owned(),
        epoch,
        task: 0,
        run: first_run_of(epoch),
        outcome: EndOutcome::Done,
    }
}

/// Returns the run ends in the sent record calls.
fn recorded(actions: &[DriverAction]) -> Vec<TaskEnd> {
    let calls = sent(actions).into_iter();
    calls
        .filter_map(|message| match message.call {
            JobCall::RecordEnds(ends) => Some(ends),
            _ => None,
        })
        .flatten()
        .collect()
}

#[test]
fn a_driver_records_the_ends_of_a_finished_job_that_no_guard_records() {
    let (mut driver, _) = driver_with_job("a");
    driver.observe_end(end("a", 1));
    driver.observe_end(end("a", 2));
    driver.record_finished("a", 1, true, at(500));

    driver.tick(at(580));
    let early = recorded(&driver.take_actions());
    driver.tick(at(600));
    let actions = driver.take_actions();
    let call = sent(&actions)
        .into_iter()
        .find(|message| matches!(message.call, JobCall::RecordEnds(_)));
    let decided = JobReply::EndsRecorded(vec![EndDecision::Recorded]);
    driver.receive(reply(call.unwrap().token, decided), at(610));
    driver.tick(at(1_000));
    let later = recorded(&driver.take_actions());

    assert_eq!(early, []);
    assert_eq!(
        recorded(&actions),
        [end("a", 1)],
        "only the end of the job's own epoch is recorded"
    );
    assert_eq!(later, []);
}

#[test]
fn a_driver_records_no_end_of_a_dropped_job() {
    let (mut driver, identity) = driver_with_job("a");
    driver.observe_end(end("a", 1));
    driver.record_finished("a", 1, true, at(500));
    driver.receive(reply(0, renewed(identity, vec![], vec![("a", 1)])), at(530));

    driver.tick(at(700));

    assert_eq!(recorded(&driver.take_actions()), []);
}

/// An event in a random history of a driver.
#[derive(Clone, Debug)]
enum Event {
    Submit(u8),
    /// The group answers the oldest unanswered call, or the call is lost.
    Reply {
        is_lost: bool,
    },
    /// The group answers the newest unanswered call first.
    ReplyNewest,
    Advance(u64),
    Stall,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0..4_u8).prop_map(Event::Submit),
        4 => any::<bool>().prop_map(|is_lost| Event::Reply { is_lost }),
        2 => Just(Event::ReplyNewest),
        6 => (1..300_u64).prop_map(Event::Advance),
        1 => Just(Event::Stall),
    ]
}

proptest! {
    /// Under lost, late and reordered messages, a job is driven only within 1.5 s of a renewal that the group has received, only by the
    /// driver to which it is assigned, and at most once in an epoch.
    #[test]
    fn a_job_is_driven_only_under_a_lease_and_once_in_an_epoch(
        events in prop::collection::vec(event(), 1..120),
    ) {
        let mut now = 0;
        let mut driver = Driver::new("entry-1", KeptJobTimings::default(), 9);
        driver.set_group_count(1, at(0));
        let mut unanswered: Vec<JobCallMessage> = Vec::new();
        let mut sent_at: std::collections::BTreeMap<CallToken, u64> = Default::default();
        let mut started: Vec<(String, Epoch, DriverId)> = Vec::new();
        let mut assigned: std::collections::BTreeMap<String, DriverId> = Default::default();
        let mut newest_renewed_at = 0;
        let mut identity = 0;

        for event in events {
            let answered = match event {
                Event::Submit(job) => {
                    driver.submit(new_job(&job.to_string()), at(now + 2_500), at(now));
                    None
                }
                Event::Reply { is_lost } if !unanswered.is_empty() => {
                    let call = unanswered.remove(0);
                    (!is_lost).then_some(call)
                }
                Event::ReplyNewest => unanswered.pop(),
                Event::Reply { .. } => None,
                Event::Advance(span) => {
                    now += span;
                    driver.tick(at(now));
                    None
                }
                Event::Stall => {
                    now += 2_000;
                    None
                }
            };
            if let Some(message) = answered {
                let JobCallMessage { token, call, .. } = message;
                let answer = match call {
                    JobCall::Submit(submission) => {
                        let known = assigned.contains_key(&submission.id);
                        if known {
                            JobReply::Submitted(SubmitOutcome::Known)
                        } else {
                            assigned.insert(submission.id, submission.driver);
                            JobReply::Submitted(SubmitOutcome::Accepted(1))
                        }
                    }
                    JobCall::Renew(renewal) => {
                        newest_renewed_at = newest_renewed_at.max(sent_at[&token]);
                        let is_unreported = |(job, driver): &(&String, &DriverId)| {
                            **driver == renewal.driver
                                && !renewal.driving.iter().any(|reported| reported.job == **job)
                        };
                        let unreported = assigned.iter().filter(is_unreported);
                        let drive = unreported.map(|(job, _)| assignment(job, 1)).collect();
                        renewed(renewal.driver, drive, vec![])
                    }
                    _ => JobReply::Released,
                };
                driver.receive(reply(token, answer), at(now));
            }
            for action in driver.take_actions() {
                match action {
                    DriverAction::Send(_, message) => {
                        sent_at.entry(message.token).or_insert(now);
                        if let JobCall::Renew(renewal) = &message.call {
                            identity = renewal.driver;
                        }
                        unanswered.push(message);
                    }
                    DriverAction::Drive(assignment) => {
                        prop_assert!(now < newest_renewed_at + LEASE, "a job is driven without a lease");
                        prop_assert_eq!(assigned[&assignment.job], identity, "a job of another driver is driven");
                        let drive = (assignment.job, assignment.epoch, identity);
                        prop_assert!(!started.contains(&drive), "a job is driven twice in an epoch: {:?}", drive);
                        started.push(drive);
                    }
                    _ => {}
                }
            }
            driver.expire_leases(at(now));
            if now >= newest_renewed_at + LEASE {
                prop_assert_eq!(driver.driven_count(), 0, "a job is driven after the lease has lapsed");
            }
        }
    }
}
