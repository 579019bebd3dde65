//! The stored data of the groups of kept jobs: log commands, the job table in a snapshot, and the whole store of a replica.

#![allow(clippy::unwrap_used)]

mod support;

use std::fs;

use cloverfold_consensus::{Entry, Member, Members, Payload, Record, Snapshot, Store};
use cloverfold_kept_jobs::{
    EndOutcome, JobCommand, JobReassignment, JobSubmission, JobTable, TaskEnd, group_of,
};
use support::{assert_recorded, read_or_record};

fn submission(id: &str, tasks: u32) -> JobSubmission {
    JobSubmission {
        id: id.into(),
        queue: "queue-1".into(),
        digest: [2; 16],
        body: vec![3, 4, 5],
        tasks,
        max_attempts: 6,
        driver: 7_000,
    }
}

fn end(job: &str, task: u32, run: u64, outcome: EndOutcome) -> TaskEnd {
    TaskEnd {
        job: job.into(),
        epoch: 1,
        task,
        run,
        outcome,
    }
}

/// Returns commands of every kind. A new variant fails the build here and needs a fixture of its own, so that this one does not change.
fn commands() -> Vec<JobCommand> {
    let assert_known = |command: &JobCommand| match command {
        JobCommand::Submit(_)
        | JobCommand::RecordEnds(_)
        | JobCommand::Cancel(_)
        | JobCommand::Assign(_)
        | JobCommand::Expire(_) => (),
    };
    let ends = vec![
        end("job-8", 0, 1_048_577, EndOutcome::Done),
        end("job-8", 1, 1_048_578, EndOutcome::Failed),
        end("job-9", 0, 1_048_579, EndOutcome::Done),
    ];
    let reassignment = JobReassignment {
        job: "job-8".into(),
        after: 1,
        driver: 10_000,
    };
    let commands = vec![
        JobCommand::Submit(submission("job-8", 2)),
        JobCommand::Submit(submission("job-9", 1)),
        JobCommand::Submit(submission("job-10", 1)),
        JobCommand::Submit(submission("job-11", 1)),
        JobCommand::RecordEnds(ends),
        JobCommand::Cancel("job-10".into()),
        JobCommand::Expire(1),
        JobCommand::Assign(vec![reassignment]),
    ];
    commands.iter().for_each(assert_known);
    commands
}

/// Returns the table after all commands, with jobs in different states.
fn table() -> JobTable {
    let mut table = JobTable::default();
    for command in commands() {
        table.apply(command);
    }
    table
}

#[test]
fn log_commands_are_encoded_as_recorded() {
    let fixture = "kept-jobs/commands.bin";
    let bytes = postcard::to_stdvec(&commands()).unwrap();

    assert_recorded(fixture, &bytes);
    let recorded = read_or_record(fixture, &bytes);
    let decoded: Vec<JobCommand> = postcard::from_bytes(&recorded).unwrap();
    assert_eq!(decoded, commands());
}

#[test]
fn a_tombstone_is_encoded_as_recorded() {
    let fixture = "kept-jobs/tombstone.bin";
    let mut written = JobTable::default();
    for command in written.plan_cancellation(&"job-12".to_owned()).unwrap() {
        written.apply(command);
    }

    assert_recorded(fixture, &written.encode());
    let recorded = read_or_record(fixture, &written.encode());
    let read = JobTable::decode(&recorded).unwrap();
    assert_eq!(read.tombstone_count(), 1);
    assert_eq!(read, written);
}

#[test]
fn a_table_is_encoded_as_recorded() {
    let fixture = "kept-jobs/table.bin";
    let bytes = table().encode();

    assert_recorded(fixture, &bytes);
    let recorded = read_or_record(fixture, &bytes);
    assert_eq!(JobTable::decode(&recorded).unwrap(), table());
}

#[test]
fn the_store_of_a_group_is_written_and_read_as_recorded() {
    let fixture = "kept-jobs/store.log";
    let members = Members {
        voters: vec![Member {
            id: 12_000,
            address: ([10, 20, 30, 13], 1_400).into(),
        }],
    };
    let snapshot = Snapshot {
        index: 15,
        term: 16,
        members,
        state: table().encode(),
    };
    let entry = Entry {
        index: 16,
        term: 16,
        payload: Payload::Command(postcard::to_stdvec(&commands()).unwrap()),
    };
    let identity = Record::Identity {
        id: 12_000,
        may_bootstrap: false,
    };
    let records = [
        identity,
        Record::HardState {
            term: 16,
            voted_for: Some(12_000),
        },
        Record::Snapshot(snapshot.clone()),
        Record::Entry(entry.clone()),
        Record::Commit { index: 16 },
    ];
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = Store::open(folder.path()).unwrap();
    store.append(&records).unwrap();
    let path = folder.path().join("replica.log");

    assert_recorded(fixture, &fs::read(&path).unwrap());
    let recorded = read_or_record(fixture, &fs::read(&path).unwrap());
    fs::write(&path, recorded).unwrap();
    let (_, recovered) = Store::open(folder.path()).unwrap();

    assert_eq!(recovered.snapshot, snapshot);
    assert_eq!(recovered.entries, [entry]);
    assert_eq!(recovered.commit, 16);
}

#[test]
fn the_group_of_a_job_never_changes() {
    let groups = ["job-8", "job-9", "job-10", "job-11"].map(|job| group_of(job, 16));

    assert_recorded("kept-jobs/groups.bin", &groups.map(|group| group as u8));
}
