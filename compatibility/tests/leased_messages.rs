//! Link frames of every message among entries, guards and control processes, compared with their recorded bytes.

#![allow(clippy::unwrap_used)]

#[path = "support/samples.rs"]
mod samples;
mod support;

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use cloverfold_base::Timestamp;
use cloverfold_configuration::{ConfigurationDelta, Proposal, StoredConfiguration, TextPiece};
use cloverfold_consensus::{
    AppendEntries, AppendReply, Entry, InstallSnapshot, Member, Members, Message, Payload,
    Snapshot, SnapshotPart, VoteReply, VoteRequest,
};
use cloverfold_evacuation::{EvacuatedHalls, EvacuationOrder, HallChange};
use cloverfold_kept_jobs::{
    CallRefusal, CancelOutcome, DrivenJob, EndDecision, EndOutcome, Founder, JobAssignment,
    JobCall, JobCallMessage, JobGroups, JobPhase, JobReply, JobReplyMessage, JobSubmission,
    ReleasedJob, Renewal, RenewalReply, SubmitOutcome, TaskEnd, TaskProgress, TerminalState,
};
use cloverfold_lease::{
    Assignment, DispatcherMessage, FreeCapacity, KeptAssignment, Resources, RunOutcome, RunRefusal,
    RunnerMessage, StartedRun, TargetDescription, TargetNeed, TaskId, UsualSpeed,
};
use cloverfold_link::{decode_frame, encode_frame};
use cloverfold_peer::{Directory, Hello, PeerDetails, PeerMessage, PeerRole, Trailing};
use cloverfold_upkeep::{TargetHold, UpkeepCommand, WaveOrder};

use crate::samples::{Sample, each_variant, one, several, wrap};
use crate::support::{assert_recorded, fixture_path, read_or_record};

/// Folder of these fixtures, relative to `fixtures/`.
const DIRECTORY: &str = "leased-messages";

/// Fixture of a link heartbeat, a frame without a message.
const HEARTBEAT_FIXTURE: &str = "sign-of-life";

/// Returns the path of a fixture, relative to `fixtures/`.
fn file_name(name: &str) -> String {
    format!("{DIRECTORY}/{name}.bin")
}

/// Encodes a message as a whole frame.
fn to_frame(message: &PeerMessage) -> BytesMut {
    let mut frame = BytesMut::new();
    encode_frame(message, &mut frame).unwrap();
    frame
}

/// Asserts that a message encodes to the recorded frame, and that decoding the frame returns the message and consumes all bytes.
fn assert_frame(name: &str, message: &PeerMessage) {
    let file = file_name(name);
    let frame = to_frame(message);

    assert_recorded(&file, &frame);

    let mut recorded = BytesMut::from(&read_or_record(&file, &frame)[..]);
    let decoded: Option<PeerMessage> = decode_frame(&mut recorded).unwrap();
    assert_eq!(decoded.as_ref(), Some(message), "{name}");
    assert!(recorded.is_empty(), "{name}: trailing bytes");
}

/// Asserts that each sample encodes to and decodes from its recorded frame.
fn assert_frames(messages: &[Sample<PeerMessage>]) {
    for (name, message) in messages {
        assert_frame(name, message);
    }
}

/// Returns an IPv4 address with the given last octet.
fn v4(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 20, 30, last], port))
}

/// Returns an IPv6 address with the given last segment.
fn v6(last: u16, port: u16) -> SocketAddr {
    SocketAddr::from(([0xfd00, 0x1234, 0, 0, 0, 0, 0x56, last], port))
}

/// Returns resources with distinct amounts, one of them negative.
fn resources(base: i64) -> Resources {
    Resources {
        cpu_milli: base * 1_000 + 1,
        memory_mb: -(base * 100 + 2),
        accelerators: base + 3,
    }
}

/// Returns a free capacity with distinct field values.
fn free_capacity(base: i64) -> FreeCapacity {
    FreeCapacity {
        free: resources(base),
        assignments_seen: 70_001,
        slowness_permille: 1_234,
    }
}

/// Returns a task ID with distinct field values.
fn task(job: &str) -> TaskId {
    TaskId {
        job: job.to_owned(),
        repetition: 11,
        step: 222,
        index: 3_333,
    }
}

/// Returns an assignment with distinct field values.
fn assignment() -> Assignment {
    Assignment {
        task: task("order-41"),
        run: 5_000_000_001,
        spec: r#"{"lift":"left arm"}"#.to_owned(),
        demand: resources(4),
        priority: 7,
        wait_ms: 150,
        estimate_ms: 820,
        valid_until: Timestamp::from_start(Duration::new(12_345, 678_000_009)),
    }
}

/// Returns a target with some labels.
fn target() -> TargetDescription {
    TargetDescription {
        incarnation: "life-19".to_owned(),
        service: "sorter".to_owned(),
        capacity: resources(8),
        labels: vec!["small".to_owned(), "rack-2".to_owned(), String::new()],
    }
}

/// Returns the end of a run.
fn ended(outcome: RunOutcome) -> RunnerMessage {
    RunnerMessage::Ended {
        task: task("order-42"),
        run: 6_000_000_002,
        outcome,
        ran_ms: 431,
        free_capacity: free_capacity(5),
    }
}

/// Returns a configuration, whose text need not be valid here.
fn configuration(version: u64, text: &[u8]) -> StoredConfiguration {
    StoredConfiguration {
        version,
        text: text.into(),
    }
}

/// Returns three voters.
fn members() -> Members {
    let voter = |id, address| Member { id, address };
    Members {
        voters: vec![
            voter(0x0102_0304_0506_0708, v4(1, 4_001)),
            voter(u64::MAX, v6(2, 4_002)),
            voter(3, v4(3, 4_003)),
        ],
    }
}

/// Returns an `AppendEntries` message.
fn append(entries: Vec<Entry>) -> Message {
    Message::Append(AppendEntries {
        term: 21,
        previous_index: 1_022,
        previous_term: 19,
        entries,
        commit: 1_020,
        round: 90_024,
    })
}

fn entry(index: u64, payload: Payload) -> Entry {
    Entry {
        index,
        term: 20,
        payload,
    }
}

fn refusals() -> Vec<Sample<RunRefusal>> {
    each_variant!(RunRefusal {
        RunRefusal::NoCapacity => one("no-room", RunRefusal::NoCapacity),
        RunRefusal::NoTarget => one("no-target", RunRefusal::NoTarget),
        RunRefusal::Draining => one("draining", RunRefusal::Draining),
        RunRefusal::Expired => one("expired", RunRefusal::Expired),
        RunRefusal::EarlierRunOpen => one("held", RunRefusal::EarlierRunOpen),
        RunRefusal::Stale => one("stale", RunRefusal::Stale),
        RunRefusal::Unanswered => one("unanswered", RunRefusal::Unanswered),
        RunRefusal::Unhealthy => one("unhealthy", RunRefusal::Unhealthy),
        RunRefusal::Rejected => one("rejected", RunRefusal::Rejected),
        RunRefusal::Withdrawn => one("withdrawn", RunRefusal::Withdrawn),
        RunRefusal::Evacuated => one("evacuated", RunRefusal::Evacuated),
    })
}

fn run_outcomes() -> Vec<Sample<RunOutcome>> {
    each_variant!(RunOutcome {
        RunOutcome::Done => one("done", RunOutcome::Done),
        RunOutcome::Failed => one("failed", RunOutcome::Failed),
        RunOutcome::Stopped => one("stopped", RunOutcome::Stopped),
        RunOutcome::Stuck => one("stuck", RunOutcome::Stuck),
        RunOutcome::Lost => one("lost", RunOutcome::Lost),
        RunOutcome::NotStarted(_) => wrap("not-started", refusals(), RunOutcome::NotStarted),
    })
}

fn runner_messages() -> Vec<Sample<RunnerMessage>> {
    let heartbeat = RunnerMessage::Heartbeat {
        clock: Timestamp::from_start(Duration::new(98, 700_000_001)),
        free_capacity: free_capacity(6),
    };
    each_variant!(RunnerMessage {
        RunnerMessage::Heartbeat { .. } => one("heartbeat", heartbeat),
        RunnerMessage::FreeCapacity(_) => one("room", RunnerMessage::FreeCapacity(free_capacity(7))),
        RunnerMessage::Target(_) => several([
            ("target", RunnerMessage::Target(Some(target()))),
            ("no-target", RunnerMessage::Target(None)),
        ]),
        RunnerMessage::Ended { .. } => wrap("ended", run_outcomes(), ended),
        RunnerMessage::Started(_) => one("started", RunnerMessage::Started(vec![StartedRun { task: task("job-410"), run: 411 }])),
        RunnerMessage::UsualSpeed(_) => one("usual-speed", RunnerMessage::UsualSpeed(UsualSpeed { slowness_permille: 306_000, runs: 307 })),
    })
}

fn dispatcher_messages() -> Vec<Sample<DispatcherMessage>> {
    let echo = DispatcherMessage::Echo {
        clock: Timestamp::from_start(Duration::new(5_000_000_000, 999_999_999)),
    };
    let withdraw = DispatcherMessage::Withdraw {
        task: task("order-43"),
        run: 303,
    };
    each_variant!(DispatcherMessage {
        DispatcherMessage::Echo { .. } => one("echo", echo),
        DispatcherMessage::Assign(_) => one("assign", DispatcherMessage::Assign(assignment())),
        DispatcherMessage::Withdraw { .. } => one("withdraw", withdraw),
        DispatcherMessage::AssignKept(_) => one("assign-kept", DispatcherMessage::AssignKept(KeptAssignment { assignment: assignment(), epoch: 304, index_in_job: 305 })),
    })
}

fn payloads() -> Vec<Sample<Payload>> {
    each_variant!(Payload {
        Payload::Empty => one("empty", Payload::Empty),
        Payload::Command(_) => one("command", Payload::Command(vec![0, 1, 127, 128, 255])),
        Payload::Members(_) => one("members", Payload::Members(members())),
    })
}

fn votes() -> Vec<Sample<Message>> {
    let vote = |is_pre_vote| {
        Message::Vote(VoteRequest {
            term: 31,
            is_pre_vote,
            last_index: 3_200,
            last_term: 30,
        })
    };
    several([("vote", vote(false)), ("vote-trial", vote(true))])
}

fn vote_replies() -> Vec<Sample<Message>> {
    let reply = |is_pre_vote, is_granted| {
        Message::VoteReply(VoteReply {
            term: 33,
            is_pre_vote,
            is_granted,
        })
    };
    several([
        ("vote-reply-granted", reply(false, true)),
        ("vote-reply-trial-not-granted", reply(true, false)),
    ])
}

fn appends() -> Vec<Sample<Message>> {
    let one_of_each = vec![
        entry(1_023, Payload::Empty),
        entry(1_024, Payload::Command(vec![9, 8, 7])),
        entry(1_025, Payload::Members(members())),
    ];
    let mut all = wrap("append", payloads(), |payload| {
        append(vec![entry(1_023, payload)])
    });
    all.extend(several([
        ("append-no-entry", append(Vec::new())),
        ("append-three-entries", append(one_of_each)),
    ]));
    all
}

fn append_replies() -> Vec<Sample<Message>> {
    let reply = |is_matching| {
        Message::AppendReply(AppendReply {
            term: 34,
            is_matching,
            index: 3_500,
            round: 90_036,
        })
    };
    several([
        ("append-reply-matching", reply(true)),
        ("append-reply-not-matching", reply(false)),
    ])
}

fn install_snapshots() -> Vec<Sample<Message>> {
    let snapshot = Snapshot {
        index: 1_038,
        term: 36,
        members: members(),
        state: vec![4, 0, 200],
    };
    let install = |snapshot| {
        Message::InstallSnapshot(InstallSnapshot {
            term: 37,
            snapshot,
            round: 90_039,
        })
    };
    let empty = Snapshot {
        index: 0,
        term: 0,
        members: Members { voters: Vec::new() },
        state: Vec::new(),
    };
    several([
        ("install-snapshot", install(snapshot)),
        ("install-snapshot-empty", install(empty)),
    ])
}

fn snapshot_part() -> Message {
    Message::SnapshotPart(SnapshotPart {
        term: 119,
        snapshot: Snapshot {
            index: 120_000,
            term: 121,
            members: Members::default(),
            state: vec![122, 123],
        },
        offset: 124_000,
        len: 125_000,
        round: 126,
    })
}

fn consensus_messages() -> Vec<Sample<Message>> {
    each_variant!(Message {
        Message::Vote(_) => votes(),
        Message::VoteReply(_) => vote_replies(),
        Message::Append(_) => appends(),
        Message::AppendReply(_) => append_replies(),
        Message::InstallSnapshot(_) => install_snapshots(),
        Message::SnapshotPart(_) => one("snapshot-part", snapshot_part()),
    })
}

fn peer_roles() -> Vec<Sample<PeerRole>> {
    let control = |has_empty_log| PeerRole::Control {
        replica: 0x1122_3344_5566_7788,
        has_empty_log,
    };
    each_variant!(PeerRole {
        PeerRole::Entry => one("entry", PeerRole::Entry),
        PeerRole::Guard => one("guard", PeerRole::Guard),
        PeerRole::Control { .. } => several([
            ("control", control(false)),
            ("control-blank", control(true)),
        ]),
    })
}

fn hellos() -> Vec<Sample<PeerMessage>> {
    let hello = |role, address| {
        PeerMessage::Hello(Hello {
            name: "process-51".to_owned(),
            role,
            address,
            version: 52_000,
            details: Trailing(None),
        })
    };
    let mut all = wrap("hello", peer_roles(), |role| hello(role, v4(53, 5_400)));
    all.extend(one("hello-ipv6", hello(PeerRole::Guard, v6(55, 5_600))));
    all.extend(one("hello-details", detailed_hello()));
    all
}

/// Returns a `Hello` with the details that builds since evacuations send.
fn detailed_hello() -> PeerMessage {
    PeerMessage::Hello(Hello {
        name: "process-56".to_owned(),
        role: PeerRole::Guard,
        address: v4(57, 5_700),
        version: 58_000,
        details: Trailing(Some(PeerDetails {
            protocol: 1,
            data_hall: "hall-59".to_owned(),
        })),
    })
}

fn evacuations() -> Vec<Sample<PeerMessage>> {
    let message = |revision, halls: &[&str]| {
        let halls = halls.iter().map(|hall| (*hall).to_owned()).collect();
        PeerMessage::Evacuations(EvacuatedHalls { revision, halls })
    };
    several([
        ("evacuations", message(73_000, &["hall-74", "hall-75"])),
        ("evacuations-none", message(76_000, &[])),
    ])
}

fn evacuation_orders() -> Vec<Sample<PeerMessage>> {
    let message = |change| {
        PeerMessage::EvacuationOrder(EvacuationOrder {
            id: 0x8182_8384_8586_8788,
            hall: "hall-77".to_owned(),
            change,
            based_on: 78_000,
            source: "control-4".to_owned(),
            received_at: Duration::new(1_790_000_000, 123_456_789),
        })
    };
    let changes = each_variant!(HallChange {
        HallChange::Evacuate => one("evacuate", HallChange::Evacuate),
        HallChange::TakeBack => one("take-back", HallChange::TakeBack),
    });
    wrap("evacuation-order", changes, message)
}

fn version_notices() -> Vec<Sample<PeerMessage>> {
    let notice = |has_quorum| PeerMessage::VersionNotice {
        version: 61_000,
        has_quorum,
    };
    several([
        ("holding-fresh", notice(true)),
        ("holding-not-fresh", notice(false)),
    ])
}

fn configurations() -> Vec<Sample<PeerMessage>> {
    let message = |version, text: &[u8]| PeerMessage::Configuration(configuration(version, text));
    several([
        ("configuration", message(62_000, br#"{"version": 62000}"#)),
        ("configuration-empty", message(0, b"")),
        ("configuration-long", message(u64::MAX, &[b'x'; 300])),
    ])
}

fn directories() -> Vec<Sample<PeerMessage>> {
    let message = |entries, controls| PeerMessage::Directory(Directory { entries, controls });
    let entries = vec![v4(63, 6_301), v6(64, 6_402)];
    several([
        ("directory", message(entries, vec![v4(65, 6_503)])),
        ("directory-empty", message(Vec::new(), Vec::new())),
    ])
}

fn invites() -> Vec<Sample<PeerMessage>> {
    let invite = |entry| PeerMessage::Invite { entry };
    several([
        ("invite", invite(v4(66, 6_600))),
        ("invite-ipv6", invite(v6(67, 6_700))),
    ])
}

fn proposals() -> Vec<Sample<PeerMessage>> {
    let proposal = Proposal {
        configuration: configuration(68_000, b"text of an offer"),
        source: "control-3".to_owned(),
        received_at: Duration::new(1_790_000_000, 123_456_789),
    };
    one("offer", PeerMessage::Proposal(proposal))
}

fn read_replies() -> Vec<Sample<PeerMessage>> {
    let reply = |index| PeerMessage::ReadReply {
        token: 71_000_000_000,
        index,
    };
    several([
        ("read-reply", reply(Some(72_000))),
        ("read-reply-not-proved", reply(None)),
    ])
}

fn peer_messages() -> Vec<Sample<PeerMessage>> {
    let read = PeerMessage::Read {
        token: 69_000_000_000,
    };
    each_variant!(PeerMessage {
        PeerMessage::Hello(_) => hellos(),
        PeerMessage::ToRunner(_) => wrap("to-runner", dispatcher_messages(), PeerMessage::ToRunner),
        PeerMessage::ToDispatcher(_) => wrap("to-dispatcher", runner_messages(), PeerMessage::ToDispatcher),
        PeerMessage::VersionNotice { .. } => version_notices(),
        PeerMessage::Fetch => one("fetch", PeerMessage::Fetch),
        PeerMessage::Configuration(_) => configurations(),
        PeerMessage::Directory(_) => directories(),
        PeerMessage::Invite { .. } => invites(),
        PeerMessage::Consensus(_) => wrap("consensus", consensus_messages(), PeerMessage::Consensus),
        PeerMessage::Proposal(_) => proposals(),
        PeerMessage::Read { .. } => one("read", read),
        PeerMessage::ReadReply { .. } => read_replies(),
        PeerMessage::Goodbye => one("goodbye", PeerMessage::Goodbye),
        PeerMessage::EvacuationOrder(_) => evacuation_orders(),
        PeerMessage::Evacuations(_) => evacuations(),
        PeerMessage::DialControls(_) => one("dial-controls", PeerMessage::DialControls(vec![v4(79, 7_900), v6(80, 8_000)])),
        PeerMessage::JobGroups(_) => one("job-groups", PeerMessage::JobGroups(JobGroups { count: 81, founders: vec![Founder { replica: 82_000, address: v4(83, 8_300) }] })),
        PeerMessage::JobCall(_) => job_calls(),
        PeerMessage::JobReply(_) => job_replies(),
        PeerMessage::JobConsensus { .. } => one("job-consensus", PeerMessage::JobConsensus { group: 84, message: consensus_messages().remove(0).1 }),
        PeerMessage::UpkeepCommand(_) => upkeep_commands(),
        PeerMessage::HoldTarget(_) => one("hold-target", PeerMessage::HoldTarget(TargetHold { incarnation: "target-85".into(), for_ms: 86_000 })),
        PeerMessage::RememberedSpeed(_) => one("remembered-speed", PeerMessage::RememberedSpeed(UsualSpeed { slowness_permille: 87_000, runs: 88 })),
        PeerMessage::FetchSince { .. } => one("fetch-since", PeerMessage::FetchSince { known: 98 }),
        PeerMessage::ConfigurationChange(_) => one("configuration-change", PeerMessage::ConfigurationChange(configuration_change())),
        PeerMessage::TargetNeeds(_) => target_needs(),
    })
}

fn target_needs() -> Vec<Sample<PeerMessage>> {
    let need = |label: Option<&str>| TargetNeed {
        service: "service-103".to_owned(),
        label: label.map(ToOwned::to_owned),
    };
    let needs = vec![need(None), need(Some("label-104"))];
    several([
        ("target-needs", PeerMessage::TargetNeeds(needs)),
        ("target-needs-none", PeerMessage::TargetNeeds(Vec::new())),
    ])
}

fn configuration_change() -> ConfigurationDelta {
    ConfigurationDelta {
        base: 98,
        version: 99,
        pieces: vec![
            TextPiece::Kept {
                start: 100,
                len: 101,
            },
            TextPiece::New(b"a new route".to_vec()),
        ],
        digest: [102; 16],
    }
}

fn submission() -> JobSubmission {
    JobSubmission {
        id: "job-91".to_owned(),
        queue: "queue-92".to_owned(),
        digest: [93; 16],
        body: vec![94, 95, 96],
        tasks: 97,
        max_attempts: 98,
        driver: 99_000,
    }
}

fn ends() -> Vec<TaskEnd> {
    let end = |task, outcome| TaskEnd {
        job: "job-91".to_owned(),
        epoch: 100,
        task,
        run: 101_000,
        outcome,
    };
    vec![end(102, EndOutcome::Done), end(103, EndOutcome::Failed)]
}

fn renewal() -> Renewal {
    let driven = |job: &str, has_begun| DrivenJob {
        job: job.to_owned(),
        epoch: 104,
        has_begun,
    };
    Renewal {
        driver: 105_000,
        entry: "entry-106".to_owned(),
        takes_jobs: true,
        driving: vec![driven("job-107", false), driven("job-108", true)],
    }
}

fn releases() -> JobCall {
    let released = |job: &str, is_clean| ReleasedJob {
        job: job.to_owned(),
        epoch: 109,
        is_clean,
    };
    JobCall::Release {
        driver: 110_000,
        jobs: vec![released("job-111", false), released("job-112", true)],
    }
}

#[rustfmt::skip]
fn job_calls() -> Vec<Sample<PeerMessage>> {
    let calls = each_variant!(JobCall {
        JobCall::Submit(_) => one("submit", JobCall::Submit(submission())),
        JobCall::RecordEnds(_) => one("record-ends", JobCall::RecordEnds(ends())),
        JobCall::Cancel(_) => one("cancel", JobCall::Cancel("job-91".to_owned())),
        JobCall::Show(_) => one("show", JobCall::Show("job-91".to_owned())),
        JobCall::CountPending(_) => one("count-pending", JobCall::CountPending("queue-92".to_owned())),
        JobCall::Renew(_) => one("renew", JobCall::Renew(renewal())),
        JobCall::Release { .. } => one("release", releases()),
    });
    wrap("job-call", calls, |call| PeerMessage::JobCall(JobCallMessage { token: 113_000, group: 114, call }))
}

fn renewal_reply() -> RenewalReply {
    let done = TaskProgress {
        is_done: true,
        failures: 115,
        last_run: 116_000,
    };
    RenewalReply {
        driver: 117_000,
        drive: vec![JobAssignment {
            job: "job-118".to_owned(),
            epoch: 119,
            body: vec![120, 121],
            progress: vec![(122, done)],
        }],
        drop: vec![("job-123".to_owned(), 124)],
    }
}

#[rustfmt::skip]
fn job_replies() -> Vec<Sample<PeerMessage>> {
    let submitted = several([
        ("submitted-accepted", SubmitOutcome::Accepted(125_000)),
        ("submitted-known", SubmitOutcome::Known),
        ("submitted-conflict", SubmitOutcome::Conflict),
        ("submitted-full", SubmitOutcome::Full),
    ]);
    let cancelled = several([
        ("cancelled", CancelOutcome::Cancelled),
        ("cancelled-ended", CancelOutcome::Ended(TerminalState::Completed)),
        ("cancelled-unknown", CancelOutcome::Unknown),
    ]);
    let shown = several([
        ("shown-nothing", None),
        ("shown-queued", Some(JobPhase::Queued)),
        ("shown-running", Some(JobPhase::Running)),
        ("shown-completed", Some(JobPhase::Ended(TerminalState::Completed))),
        ("shown-failed", Some(JobPhase::Ended(TerminalState::Failed))),
        ("shown-cancelled", Some(JobPhase::Ended(TerminalState::Cancelled))),
    ]);
    let refused = several([
        ("refused-no-leader", CallRefusal::NoLeader),
        ("refused-disk", CallRefusal::Disk),
        ("refused-busy", CallRefusal::Busy),
        ("refused-unknown-group", CallRefusal::UnknownGroup),
    ]);
    let decisions = vec![EndDecision::Recorded, EndDecision::JobOver, EndDecision::Fenced];
    let replies = each_variant!(JobReply {
        JobReply::Submitted(_) => wrap("is", submitted, JobReply::Submitted),
        JobReply::EndsRecorded(_) => one("ends-recorded", JobReply::EndsRecorded(decisions)),
        JobReply::Cancelled(_) => wrap("is", cancelled, JobReply::Cancelled),
        JobReply::Shown(_) => wrap("is", shown, JobReply::Shown),
        JobReply::Pending(_) => one("pending", JobReply::Pending(126_000)),
        JobReply::Renewed(_) => one("renewed", JobReply::Renewed(renewal_reply())),
        JobReply::Released => one("released", JobReply::Released),
        JobReply::Refused(_) => wrap("is", refused, JobReply::Refused),
    });
    wrap("job-reply", replies, |reply| {
        let leader = Some("control-127".to_owned());
        PeerMessage::JobReply(JobReplyMessage { token: 128_000, group: 129, leader, reply })
    })
}

fn wave_order() -> WaveOrder {
    WaveOrder {
        wave: 130_000,
        boxes: ["box-131".to_owned(), "box-132".to_owned()].into(),
        span: Duration::from_millis(133_500),
        most_down: 134,
        source: "control-a".to_owned(),
        received_at: Duration::new(1_790_000_135, 123_456_789),
    }
}

#[rustfmt::skip]
fn upkeep_commands() -> Vec<Sample<PeerMessage>> {
    let (wave, name) = (130_000, "box-131".to_owned());
    let commands = each_variant!(UpkeepCommand {
        UpkeepCommand::Order(_) => one("order", UpkeepCommand::Order(wave_order())),
        UpkeepCommand::Call { .. } => one("call", UpkeepCommand::Call { wave, name: name.clone() }),
        UpkeepCommand::Begun { .. } => one("begun", UpkeepCommand::Begun { wave, name: name.clone() }),
        UpkeepCommand::Back { .. } => one("back", UpkeepCommand::Back { wave, name: name.clone() }),
        UpkeepCommand::Gone { .. } => one("gone", UpkeepCommand::Gone { wave, name: name.clone() }),
        UpkeepCommand::Refused { .. } => one("refused", UpkeepCommand::Refused { wave, name }),
    });
    wrap("upkeep", commands, PeerMessage::UpkeepCommand)
}

/// Returns the samples whose names begin with a prefix.
fn messages_named(prefix: &str) -> Vec<Sample<PeerMessage>> {
    let mut messages = peer_messages();
    messages.retain(|(name, _)| name.starts_with(prefix));
    assert!(!messages.is_empty(), "no message name starts with {prefix}");
    messages
}

#[test]
fn every_hello_is_as_recorded() {
    assert_frames(&messages_named("hello"));
}

#[test]
fn every_message_to_a_runner_is_as_recorded() {
    assert_frames(&messages_named("to-runner"));
}

#[test]
fn every_message_to_a_dispatcher_is_as_recorded() {
    assert_frames(&messages_named("to-dispatcher"));
}

#[test]
fn every_consensus_message_is_as_recorded() {
    assert_frames(&messages_named("consensus"));
}

#[test]
fn every_message_about_the_configuration_is_as_recorded() {
    for prefix in ["holding", "fetch", "configuration", "offer", "read"] {
        assert_frames(&messages_named(prefix));
    }
}

#[test]
fn every_message_about_addresses_is_as_recorded() {
    for prefix in ["directory", "invite", "goodbye", "dial-controls"] {
        assert_frames(&messages_named(prefix));
    }
}

#[test]
fn every_message_about_evacuations_is_as_recorded() {
    assert_frames(&messages_named("evacuation"));
}

#[test]
fn every_message_about_kept_jobs_is_as_recorded() {
    for prefix in ["job-groups", "job-call", "job-reply", "job-consensus"] {
        assert_frames(&messages_named(prefix));
    }
}

#[test]
fn every_message_about_upkeep_and_usual_speeds_is_as_recorded() {
    for prefix in ["upkeep", "hold-target", "remembered-speed"] {
        assert_frames(&messages_named(prefix));
    }
}

#[test]
fn every_message_is_as_recorded() {
    assert_frames(&peer_messages());
}

#[test]
fn a_recorded_heartbeat_is_skipped() {
    // Only the link itself writes heartbeats, so this tests only the decoding.
    let file = file_name(HEARTBEAT_FIXTURE);
    let hello = &messages_named("hello-entry")[0].1;
    let mut bytes = BytesMut::from(&read_or_record(&file, &[0; 4])[..]);
    bytes.extend_from_slice(&to_frame(hello));

    let decoded: Option<PeerMessage> = decode_frame(&mut bytes).unwrap();

    assert_eq!(decoded.as_ref(), Some(hello));
    assert!(bytes.is_empty());
}

#[test]
fn names_of_samples_are_unique() {
    let messages = peer_messages();
    let names: BTreeSet<&String> = messages.iter().map(|(name, _)| name).collect();
    assert_eq!(names.len(), messages.len());
}

#[test]
fn every_recorded_file_has_a_sample() {
    let messages = peer_messages();
    let mut known: BTreeSet<String> = messages
        .iter()
        .map(|(name, _)| format!("{name}.bin"))
        .collect();
    known.insert(format!("{HEARTBEAT_FIXTURE}.bin"));

    for file in fs::read_dir(fixture_path(DIRECTORY)).unwrap() {
        let name = file.unwrap().file_name().into_string().unwrap();
        assert!(known.contains(&name), "{name} has no sample");
    }
}
