//! Requests and replies among entries and guards of a claims installation, compared with their recorded bytes.
//!
//! A fixture consists of the message number (`u16`, little endian) and the postcard body, for both requests and replies. It excludes the
//! framing of `cloverfold_net`.

#![allow(clippy::unwrap_used)]

#[path = "support/samples.rs"]
mod samples;
mod support;

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::fs;
use std::time::Duration;

use cloverfold_claim::{
    BootstrapCall, ClaimCall, RecoverCall, RecoveryStateCall, RecoveryStateReport,
};
use cloverfold_claims_core::{
    Accepted, Ballot, Claim, ClaimReply, ClaimRequest, GuardPhase, GuardReport, Incarnations,
    Outcome, Placement, ReasonCode, RecoveryPage, RecoveryState, ReleaseResult, ReplicaRecord,
    ReplicaReply, RetryPolicy, Submission, SubmissionKey, TaskEnd,
};
use cloverfold_coordinate::{JobState, Query, QueryReply, Submit, SubmitReply, SubmitResult};
use cloverfold_execute::{Assign, AssignReply, AssignedTask, Release, ReleaseReply, TaskReport};
use cloverfold_membership::{Heartbeat, Leave};
use cloverfold_net::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::samples::{Sample, each_variant, one, several, wrap};
use crate::support::{assert_recorded, assert_same_debug, fixture_path, read_or_record};

/// The reply to a [`ClaimCall`], whose type `cloverfold_claim` does not export.
type ClaimAnswer = <ClaimCall as Message>::Reply;

/// Folder of these fixtures, relative to `fixtures/`.
const DIRECTORY: &str = "claims-messages";

/// Length of a message's number, in bytes.
const KIND_LEN: usize = 2;

/// Returns the path of a fixture, relative to `fixtures/`.
fn file_name(name: &str) -> String {
    format!("{DIRECTORY}/{name}.bin")
}

/// Encodes the number of a message and a request or reply body.
fn to_bytes<M: Message>(body: &impl Serialize) -> Vec<u8> {
    let number = M::KIND.to_le_bytes().to_vec();
    postcard::to_extend(body, number).unwrap()
}

/// Asserts that a body encodes to the recorded bytes, and returns the value decoded from them.
///
/// Decoding must consume all bytes, and encoding the decoded value must give the same bytes again.
fn decode_recorded<M: Message, T: Serialize + DeserializeOwned>(name: &str, body: &T) -> T {
    let file = file_name(name);
    let bytes = to_bytes::<M>(body);

    assert_recorded(&file, &bytes);

    let recorded = read_or_record(&file, &bytes);
    let (number, encoded) = recorded.split_at(KIND_LEN);
    assert_eq!(number, M::KIND.to_le_bytes(), "{name}: the message number");
    let (decoded, rest): (T, &[u8]) = postcard::take_from_bytes(encoded).unwrap();
    assert!(rest.is_empty(), "{name}: trailing bytes");
    assert_eq!(
        to_bytes::<M>(&decoded),
        recorded,
        "{name}: re-encoded bytes"
    );
    decoded
}

/// Asserts that requests encode to and decode from their recorded bytes; no request type has `PartialEq`.
fn assert_requests<M: Message + Debug>(requests: &[Sample<M>]) {
    for (name, request) in requests {
        let decoded = decode_recorded::<M, M>(name, request);
        assert_same_debug(name, &decoded, request);
    }
}

/// Asserts that replies with `PartialEq` encode to and decode from their recorded bytes.
fn assert_replies<M: Message>(replies: &[Sample<M::Reply>])
where
    M::Reply: Debug + PartialEq,
{
    for (name, reply) in replies {
        let decoded = decode_recorded::<M, M::Reply>(name, reply);
        assert_eq!(&decoded, reply, "{name}");
    }
}

/// Asserts that replies without `PartialEq` encode to and decode from their recorded bytes.
fn assert_replies_by_debug<M: Message>(replies: &[Sample<M::Reply>])
where
    M::Reply: Debug,
{
    for (name, reply) in replies {
        let decoded = decode_recorded::<M, M::Reply>(name, reply);
        assert_same_debug(name, &decoded, reply);
    }
}

/// Returns a key whose bytes all differ.
fn key(first: u8) -> SubmissionKey {
    std::array::from_fn(|index| first + index as u8)
}

/// Returns a guard with one of its incarnations.
fn placement(guard: u16) -> Placement {
    Placement {
        guard,
        incarnation: 1_790_000_000_000 + u64::from(guard),
    }
}

/// Returns a time since the Unix epoch.
fn time(nanos: u32) -> Duration {
    Duration::new(1_790_000_000, nanos)
}

/// Returns a guard's report on itself.
fn report(guard: u16, phase: GuardPhase, is_whole: bool) -> GuardReport {
    GuardReport {
        placement: placement(guard),
        sequence: 70_001,
        phase,
        is_whole,
        running: 12,
        queued: 345,
        slots: 67,
        age: Duration::new(8, 900_000_001),
    }
}

/// Returns the report that a sender attaches to its messages.
fn guard_report() -> Option<GuardReport> {
    Some(report(9, GuardPhase::Live, true))
}

/// Returns a ballot with distinct field values.
fn ballot(round: u32) -> Ballot {
    Ballot {
        round,
        proposer: 401,
        incarnation: 1_790_000_000_401,
        attempt: 70_002,
    }
}

/// Returns a claim for three tasks on two guards.
fn claim(refusal: Option<ReasonCode>) -> Claim {
    Claim {
        digest: key(0x40),
        submitted_at: time(41),
        placements: vec![placement(42), placement(430)],
        tasks: vec![0, 1, 300],
        refusal,
    }
}

/// Returns a claim with its ballot.
fn accepted(refusal: Option<ReasonCode>) -> Accepted {
    Accepted {
        ballot: ballot(3),
        claim: claim(refusal),
    }
}

/// Returns the identity of a submission.
fn submission() -> Submission {
    Submission {
        key: key(0x10),
        submitted_at: time(11),
    }
}

/// Returns the known incarnations of some guards.
fn incarnations(guards: &[u16]) -> Incarnations {
    let mut incarnations = Incarnations::default();
    for guard in guards {
        incarnations.record(*guard, placement(*guard).incarnation);
    }
    incarnations
}

fn guard_phases() -> Vec<Sample<GuardPhase>> {
    each_variant!(GuardPhase {
        GuardPhase::Joining => one("joining", GuardPhase::Joining),
        GuardPhase::Live => one("live", GuardPhase::Live),
        GuardPhase::Leaving => one("leaving", GuardPhase::Leaving),
    })
}

fn reason_codes() -> Vec<Sample<ReasonCode>> {
    each_variant!(ReasonCode {
        ReasonCode::KeyConflict => one("key-conflict", ReasonCode::KeyConflict),
        ReasonCode::KeyExpired => one("key-expired", ReasonCode::KeyExpired),
        ReasonCode::NoQuorum => one("no-quorum", ReasonCode::NoQuorum),
        ReasonCode::Unavailable => one("unavailable", ReasonCode::Unavailable),
        ReasonCode::QueueFull => one("queue-full", ReasonCode::QueueFull),
        ReasonCode::DeadlinePassed => one("deadline-passed", ReasonCode::DeadlinePassed),
        ReasonCode::Leaving => one("leaving", ReasonCode::Leaving),
        ReasonCode::TargetFailed => one("target-failed", ReasonCode::TargetFailed),
        ReasonCode::TargetLost => one("target-lost", ReasonCode::TargetLost),
        ReasonCode::GuardLost => one("guard-lost", ReasonCode::GuardLost),
        ReasonCode::SiblingFailed => one("sibling-failed", ReasonCode::SiblingFailed),
        ReasonCode::AnswerDropped => one("answer-dropped", ReasonCode::AnswerDropped),
    })
}

fn retry_policies() -> Vec<Sample<RetryPolicy>> {
    each_variant!(RetryPolicy {
        RetryPolicy::Never => one("never", RetryPolicy::Never),
        RetryPolicy::Allowed => one("allowed", RetryPolicy::Allowed),
    })
}

fn recovery_states() -> Vec<Sample<RecoveryState>> {
    let recovering = |sources: &[u16]| RecoveryState::Recovering {
        whole_sources: sources.iter().copied().collect(),
    };
    each_variant!(RecoveryState {
        RecoveryState::Whole => one("whole", RecoveryState::Whole),
        RecoveryState::Recovering { .. } => several([
            ("recovering", recovering(&[21, 2_200])),
            ("recovering-no-source", recovering(&[])),
        ]),
    })
}

fn outcomes() -> Vec<Sample<Outcome>> {
    let complete = Outcome::Complete {
        results: vec![vec![1, 2, 255], Vec::new(), vec![3]],
    };
    let failed = Outcome::Failed {
        reason: ReasonCode::TargetFailed,
        detail: "it broke".to_owned(),
    };
    let not_run = |retry_after| Outcome::NotRun {
        reason: ReasonCode::QueueFull,
        detail: "no room".to_owned(),
        retry_after,
    };
    let unknown = Outcome::Unknown {
        reason: ReasonCode::NoQuorum,
        detail: "nobody knows".to_owned(),
    };
    each_variant!(Outcome {
        Outcome::Complete { .. } => one("complete", complete),
        Outcome::Failed { .. } => one("failed", failed),
        Outcome::NotRun { .. } => several([
            ("not-run", not_run(None)),
            ("not-run-retry", not_run(Some(Duration::new(2, 500_000_001)))),
        ]),
        Outcome::Unknown { .. } => one("unknown", unknown),
    })
}

fn claim_requests() -> Vec<Sample<ClaimRequest>> {
    let accept = |refusal| ClaimRequest::Accept(accepted(refusal));
    each_variant!(ClaimRequest {
        ClaimRequest::Prepare(_) => one("prepare", ClaimRequest::Prepare(ballot(2))),
        ClaimRequest::Accept(_) => several([
            ("accept", accept(None)),
            ("accept-refusal", accept(Some(ReasonCode::DeadlinePassed))),
        ]),
        ClaimRequest::Read => one("read", ClaimRequest::Read),
    })
}

fn claim_replies() -> Vec<Sample<ClaimReply>> {
    let refused = || accepted(Some(ReasonCode::Leaving));
    each_variant!(ClaimReply {
        ClaimReply::Promised(_) => several([
            ("promised", ClaimReply::Promised(Some(accepted(None)))),
            ("promised-nothing", ClaimReply::Promised(None)),
        ]),
        ClaimReply::Accepted(_) => one("accepted", ClaimReply::Accepted(ballot(4))),
        ClaimReply::Rejected(_) => one("rejected", ClaimReply::Rejected(ballot(500))),
        ClaimReply::Value(_) => several([
            ("value", ClaimReply::Value(Some(refused()))),
            ("value-nothing", ClaimReply::Value(None)),
        ]),
        ClaimReply::NotVoting => one("not-voting", ClaimReply::NotVoting),
        ClaimReply::Expired => one("expired", ClaimReply::Expired),
    })
}

fn task_ends() -> Vec<Sample<TaskEnd>> {
    let failed = |reason| TaskEnd::Failed {
        reason,
        detail: "it broke off".to_owned(),
    };
    each_variant!(TaskEnd {
        TaskEnd::Done(_) => one("done", TaskEnd::Done(vec![0, 128, 255])),
        TaskEnd::Failed { .. } => wrap("failed", reason_codes(), failed),
        TaskEnd::Returned(_) => wrap("returned", reason_codes(), TaskEnd::Returned),
        TaskEnd::Released(_) => several([
            ("released", TaskEnd::Released(Some(placement(51)))),
            ("released-nowhere", TaskEnd::Released(None)),
        ]),
    })
}

fn release_results() -> Vec<Sample<ReleaseResult>> {
    each_variant!(ReleaseResult {
        ReleaseResult::Released(_) => several([
            ("released", ReleaseResult::Released(Some(placement(52)))),
            ("released-nowhere", ReleaseResult::Released(None)),
        ]),
        ReleaseResult::Started => one("started", ReleaseResult::Started),
        ReleaseResult::WrongIncarnation(_) => one(
            "wrong-incarnation",
            ReleaseResult::WrongIncarnation(1_790_000_000_053),
        ),
    })
}

fn submit_results() -> Vec<Sample<SubmitResult>> {
    each_variant!(SubmitResult {
        SubmitResult::Answered(_) => wrap("answered", outcomes(), SubmitResult::Answered),
        SubmitResult::NotHere(_) => wrap("not-here", reason_codes(), SubmitResult::NotHere),
    })
}

fn job_states() -> Vec<Sample<JobState>> {
    each_variant!(JobState {
        JobState::Running => one("running", JobState::Running),
        JobState::Answered(_) => wrap("answered", outcomes(), JobState::Answered),
        JobState::Claimed { .. } => one("claimed", JobState::Claimed { tasks: 70_061 }),
        JobState::Refused(_) => wrap("refused", reason_codes(), JobState::Refused),
        JobState::NotSeen => one("not-seen", JobState::NotSeen),
        JobState::CannotTell => one("cannot-tell", JobState::CannotTell),
    })
}

/// Lists reports of guards: one of each phase, all of them together, and none.
fn report_lists(prefix: &str) -> Vec<Sample<Vec<GuardReport>>> {
    let all: Vec<GuardReport> = guard_phases()
        .into_iter()
        .zip(71..)
        .map(|((_, phase), guard)| report(guard, phase, guard % 2 == 0))
        .collect();
    let mut lists = wrap(prefix, guard_phases(), |phase| {
        vec![report(700, phase, false)]
    });
    lists.push((format!("{prefix}-every-phase"), all));
    lists.push((format!("{prefix}-none"), Vec::new()));
    lists
}

fn heartbeat_requests() -> Vec<Sample<Heartbeat>> {
    let lists = report_lists("heartbeat-request").into_iter();
    lists
        .map(|(name, reports)| (name, Heartbeat { reports }))
        .collect()
}

fn heartbeat_replies() -> Vec<Sample<Vec<GuardReport>>> {
    report_lists("heartbeat-reply")
}

fn leave_requests() -> Vec<Sample<Leave>> {
    one("leave-request", Leave)
}

fn leave_replies() -> Vec<Sample<()>> {
    one("leave-reply", ())
}

fn claim_calls() -> Vec<Sample<ClaimCall>> {
    let call = |request, guard_report| ClaimCall {
        submission: submission(),
        request,
        guard_report,
    };
    let mut all = wrap("claim-request", claim_requests(), |request| {
        call(request, guard_report())
    });
    all.extend(one(
        "claim-request-no-member",
        call(ClaimRequest::Read, None),
    ));
    all
}

fn claim_answers() -> Vec<Sample<ClaimAnswer>> {
    let answer = |known, body, guard_report| ClaimAnswer {
        reply: ReplicaReply {
            from: placement(81),
            known,
            body,
        },
        guard_report,
    };
    let mut all = wrap("claim-reply", claim_replies(), |body| {
        answer(incarnations(&[82, 830, 84]), body, guard_report())
    });
    all.extend(one(
        "claim-reply-no-lives-no-member",
        answer(incarnations(&[]), ClaimReply::NotVoting, None),
    ));
    all
}

fn recover_requests() -> Vec<Sample<RecoverCall>> {
    let call = |after| RecoverCall {
        asking: placement(85),
        after,
    };
    several([
        ("recover-request-first", call(None)),
        ("recover-request-next", call(Some(key(0x86)))),
    ])
}

/// Returns replica records without a claim, with a claim, and with a refused claim.
fn records() -> Vec<(SubmissionKey, ReplicaRecord)> {
    let record = |accepted, nanos| ReplicaRecord {
        promised: ballot(87),
        accepted,
        submitted_at: time(nanos),
    };
    let refused = accepted(Some(ReasonCode::KeyConflict));
    vec![
        (key(0x20), record(None, 21)),
        (key(0x22), record(Some(accepted(None)), 23)),
        (key(0x24), record(Some(refused), 25)),
    ]
}

fn recover_replies() -> Vec<Sample<RecoveryPage>> {
    let page = |standing, records, has_more| RecoveryPage {
        known_incarnation: 1_790_000_000_088,
        standing,
        records,
        has_more,
    };
    let mut all = wrap("recover-reply", recovery_states(), |standing| {
        page(standing, records(), true)
    });
    let last = page(RecoveryState::Whole, Vec::new(), false);
    all.extend(one("recover-reply-last", last));
    // A claim refused for each reason covers the stored reasons too.
    all.extend(wrap("recover-reply-refused", reason_codes(), |reason| {
        let record = ReplicaRecord {
            promised: ballot(89),
            accepted: Some(accepted(Some(reason))),
            submitted_at: time(90),
        };
        page(RecoveryState::Whole, vec![(key(0x26), record)], false)
    }));
    all
}

fn recovery_state_requests() -> Vec<Sample<RecoveryStateCall>> {
    one("standing-request", RecoveryStateCall)
}

fn recovery_state_replies() -> Vec<Sample<RecoveryStateReport>> {
    wrap("standing-reply", recovery_states(), |standing| {
        RecoveryStateReport {
            own: placement(91),
            standing,
            records: 70_092,
        }
    })
}

fn bootstrap_requests() -> Vec<Sample<BootstrapCall>> {
    let call = |incarnations| BootstrapCall { incarnations };
    several([
        ("found-request", call(vec![placement(93), placement(940)])),
        ("found-request-none", call(Vec::new())),
    ])
}

fn bootstrap_replies() -> Vec<Sample<bool>> {
    several([
        ("found-reply-whole", true),
        ("found-reply-not-whole", false),
    ])
}

/// Returns two tasks with distinct field values.
fn assigned_tasks() -> Vec<AssignedTask> {
    vec![
        AssignedTask {
            index: 0,
            payload: vec![1, 128, 255],
            previous_guards: vec![95, 960],
            may_pass_on: true,
        },
        AssignedTask {
            index: 970,
            payload: Vec::new(),
            previous_guards: Vec::new(),
            may_pass_on: false,
        },
    ]
}

fn assign_requests() -> Vec<Sample<Assign>> {
    let assign = |tasks, guard_report| Assign {
        place: placement(98),
        key: key(0x99),
        workspace: "pharmacy-7".to_owned(),
        service: "sorter".to_owned(),
        deadline: time(100),
        keep_until: time(101),
        tasks,
        guard_report,
    };
    several([
        ("assign-request", assign(assigned_tasks(), guard_report())),
        ("assign-request-no-member", assign(assigned_tasks(), None)),
        ("assign-request-no-task", assign(Vec::new(), guard_report())),
    ])
}

fn assign_replies() -> Vec<Sample<AssignReply>> {
    let one_end = |end| AssignReply::Ended {
        reports: vec![TaskReport { index: 1_020, end }],
        guard_report: guard_report(),
    };
    let every_end = task_ends().into_iter().zip(103..);
    let every_end = every_end.map(|((_, end), index)| TaskReport { index, end });
    let ended = |reports| AssignReply::Ended {
        reports,
        guard_report: None,
    };
    let mut ends = wrap("ended", task_ends(), one_end);
    ends.extend(several([
        ("ended-every-end", ended(every_end.collect())),
        ("ended-none", ended(Vec::new())),
    ]));
    let replies = each_variant!(AssignReply {
        AssignReply::Ended { .. } => ends,
        AssignReply::WrongIncarnation(_) => one(
            "wrong-incarnation",
            AssignReply::WrongIncarnation(1_790_000_000_104),
        ),
    });
    wrap("assign-reply", replies, |reply| reply)
}

fn release_requests() -> Vec<Sample<Release>> {
    let release = |to| Release {
        place: placement(105),
        key: key(0x6a),
        index: 1_070,
        to,
        keep_until: time(108),
    };
    several([
        ("release-request", release(Some(placement(109)))),
        ("release-request-nowhere", release(None)),
    ])
}

fn release_replies() -> Vec<Sample<ReleaseReply>> {
    let reply = |verdict, guard_report| ReleaseReply {
        verdict,
        guard_report,
    };
    let mut all = wrap("release-reply", release_results(), |verdict| {
        reply(verdict, guard_report())
    });
    let alone = reply(ReleaseResult::Started, None);
    all.extend(one("release-reply-no-member", alone));
    all
}

fn submit_requests() -> Vec<Sample<Submit>> {
    let submit = |repeat, is_sole_attempt, tasks| Submit {
        submission: submission(),
        attempt: 70_110,
        is_sole_attempt,
        workspace: "pharmacy-8".to_owned(),
        service: "picker".to_owned(),
        digest: key(0x6f),
        deadline: time(112),
        repeat,
        tasks,
    };
    let tasks = vec![vec![7, 0, 255], Vec::new(), b"task".to_vec()];
    let mut all = wrap("submit-request", retry_policies(), |repeat| {
        submit(repeat, true, tasks.clone())
    });
    let again = submit(RetryPolicy::Never, false, Vec::new());
    all.extend(one("submit-request-not-sole-no-task", again));
    all
}

fn submit_replies() -> Vec<Sample<SubmitReply>> {
    wrap("submit-reply", submit_results(), |verdict| SubmitReply {
        key: key(0x71),
        attempt: 70_114,
        verdict,
    })
}

fn query_requests() -> Vec<Sample<Query>> {
    one("query-request", Query { key: key(0x73) })
}

fn query_replies() -> Vec<Sample<QueryReply>> {
    wrap("query-reply", job_states(), |state| QueryReply {
        key: key(0x74),
        state,
    })
}

/// Returns the names of some samples.
fn names_of<T>(samples: &[Sample<T>]) -> Vec<String> {
    samples.iter().map(|(name, _)| name.clone()).collect()
}

/// Returns the names of all samples.
fn all_names() -> Vec<String> {
    let lists = [
        names_of(&heartbeat_requests()),
        names_of(&heartbeat_replies()),
        names_of(&leave_requests()),
        names_of(&leave_replies()),
        names_of(&claim_calls()),
        names_of(&claim_answers()),
        names_of(&recover_requests()),
        names_of(&recover_replies()),
        names_of(&recovery_state_requests()),
        names_of(&recovery_state_replies()),
        names_of(&bootstrap_requests()),
        names_of(&bootstrap_replies()),
        names_of(&assign_requests()),
        names_of(&assign_replies()),
        names_of(&release_requests()),
        names_of(&release_replies()),
        names_of(&submit_requests()),
        names_of(&submit_replies()),
        names_of(&query_requests()),
        names_of(&query_replies()),
    ];
    lists.concat()
}

/// Returns the number and the name of a message type.
fn kind_of<M: Message>() -> (u16, &'static str) {
    (M::KIND, M::NAME)
}

#[test]
fn message_numbers_and_names_never_change() {
    assert_eq!(kind_of::<Heartbeat>(), (1, "heartbeat"));
    assert_eq!(kind_of::<Leave>(), (2, "leave"));
    assert_eq!(kind_of::<ClaimCall>(), (10, "claim"));
    assert_eq!(kind_of::<RecoverCall>(), (11, "recover"));
    assert_eq!(kind_of::<RecoveryStateCall>(), (12, "standing"));
    assert_eq!(kind_of::<BootstrapCall>(), (13, "found"));
    assert_eq!(kind_of::<Assign>(), (20, "assign"));
    assert_eq!(kind_of::<Release>(), (21, "release"));
    assert_eq!(kind_of::<Submit>(), (30, "submit"));
    assert_eq!(kind_of::<Query>(), (31, "query"));
}

#[test]
fn heartbeats_are_as_recorded() {
    assert_requests::<Heartbeat>(&heartbeat_requests());
    assert_replies::<Heartbeat>(&heartbeat_replies());
}

#[test]
fn leaves_are_as_recorded() {
    assert_requests::<Leave>(&leave_requests());
    assert_replies::<Leave>(&leave_replies());
}

#[test]
fn claims_are_as_recorded() {
    assert_requests::<ClaimCall>(&claim_calls());
    assert_replies_by_debug::<ClaimCall>(&claim_answers());
}

#[test]
fn recoveries_are_as_recorded() {
    assert_requests::<RecoverCall>(&recover_requests());
    assert_replies::<RecoverCall>(&recover_replies());
}

#[test]
fn recovery_states_are_as_recorded() {
    assert_requests::<RecoveryStateCall>(&recovery_state_requests());
    assert_replies::<RecoveryStateCall>(&recovery_state_replies());
}

#[test]
fn bootstraps_are_as_recorded() {
    assert_requests::<BootstrapCall>(&bootstrap_requests());
    assert_replies::<BootstrapCall>(&bootstrap_replies());
}

#[test]
fn assignments_are_as_recorded() {
    assert_requests::<Assign>(&assign_requests());
    assert_replies_by_debug::<Assign>(&assign_replies());
}

#[test]
fn releases_are_as_recorded() {
    assert_requests::<Release>(&release_requests());
    assert_replies_by_debug::<Release>(&release_replies());
}

#[test]
fn submissions_are_as_recorded() {
    assert_requests::<Submit>(&submit_requests());
    assert_replies::<Submit>(&submit_replies());
}

#[test]
fn queries_are_as_recorded() {
    assert_requests::<Query>(&query_requests());
    assert_replies::<Query>(&query_replies());
}

#[test]
fn names_of_samples_are_unique() {
    let names = all_names();
    let unique: BTreeSet<&String> = names.iter().collect();
    assert_eq!(unique.len(), names.len());
}

#[test]
fn every_recorded_file_has_a_sample() {
    let names = all_names().into_iter();
    let known: BTreeSet<String> = names.map(|name| format!("{name}.bin")).collect();

    for file in fs::read_dir(fixture_path(DIRECTORY)).unwrap() {
        let name = file.unwrap().file_name().into_string().unwrap();
        assert!(known.contains(&name), "{name} has no sample");
    }
}
