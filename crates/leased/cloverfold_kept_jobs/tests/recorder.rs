//! Recorder of a guard: run ends are sent in batches and retried until the group has decided on each.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{
    CallRefusal, EndDecision, EndOutcome, JobCall, JobCallMessage, JobReply, JobReplyMessage,
    Recorder, RecorderAction, TaskEnd,
};
use proptest::prelude::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_start(Duration::from_millis(millis))
}

fn end(run: u64) -> TaskEnd {
    TaskEnd {
        job: "job".into(),
        epoch: 1,
        task: 0,
        run,
        outcome: EndOutcome::Done,
    }
}

fn sent(recorder: &mut Recorder) -> Vec<JobCallMessage> {
    let actions = recorder.take_actions().into_iter();
    let sent = actions.filter_map(|action| match action {
        RecorderAction::Send(_, message) => Some(message),
        RecorderAction::Decided(..) => None,
    });
    sent.collect()
}

fn runs(message: &JobCallMessage) -> Vec<u64> {
    match &message.call {
        JobCall::RecordEnds(ends) => ends.iter().map(|end| end.run).collect(),
        _ => vec![],
    }
}

fn decided(recorder: &mut Recorder) -> Vec<(u64, EndDecision)> {
    let actions = recorder.take_actions().into_iter();
    let decided = actions.filter_map(|action| match action {
        RecorderAction::Decided(end, decision) => Some((end.run, decision)),
        RecorderAction::Send(..) => None,
    });
    decided.collect()
}

fn reply(message: &JobCallMessage, reply: JobReply) -> JobReplyMessage {
    JobReplyMessage {
        token: message.token,
        group: message.group,
        leader: None,
        reply,
    }
}

fn recorder() -> Recorder {
    let mut recorder = Recorder::default();
    recorder.set_group_count(1, at(0));
    recorder
}

#[test]
fn an_end_is_sent_at_once_and_later_ends_form_the_next_batch() {
    let mut recorder = recorder();
    recorder.record(end(1), at(10));
    recorder.record(end(2), at(11));
    recorder.record(end(3), at(12));
    let first = sent(&mut recorder);
    assert_eq!(first.len(), 1);

    let recorded = JobReply::EndsRecorded(vec![EndDecision::Recorded]);
    recorder.receive(reply(&first[0], recorded), at(30));

    let actions = recorder.take_actions();
    assert!(
        matches!(&actions[0], RecorderAction::Decided(end, EndDecision::Recorded) if end.run == 1)
    );
    assert!(matches!(&actions[1], RecorderAction::Send(_, message) if runs(message) == [2, 3]));
}

#[test]
fn a_batch_is_resent_until_it_is_decided() {
    let mut recorder = recorder();
    recorder.record(end(1), at(10));
    let first = sent(&mut recorder).remove(0);
    recorder.receive(
        reply(&first, JobReply::Refused(CallRefusal::NoLeader)),
        at(20),
    );
    recorder.tick(at(159));
    assert_eq!(sent(&mut recorder).len(), 0);
    recorder.tick(at(160));
    let again = sent(&mut recorder).remove(0);

    let fenced = JobReply::EndsRecorded(vec![EndDecision::Fenced]);
    recorder.receive(reply(&again, fenced.clone()), at(170));
    recorder.receive(reply(&first, fenced), at(171));

    assert_eq!(decided(&mut recorder), [(1, EndDecision::Fenced)]);
    assert_eq!(recorder.waiting_count(), 0);
}

#[test]
fn ends_are_queued_until_the_groups_are_known() {
    let mut recorder = Recorder::default();
    recorder.record(end(1), at(10));
    assert_eq!(sent(&mut recorder).len(), 0);

    recorder.set_group_count(4, at(20));

    assert_eq!(runs(&sent(&mut recorder)[0]), [1]);
}

#[test]
fn the_queue_of_ends_is_bounded() {
    let mut recorder = recorder();
    for run in 1..=20_000 {
        recorder.record(end(run), at(10));
    }

    assert!(recorder.waiting_count() <= 8_192);
    assert_eq!(recorder.dropped_count(), 20_000 - 8_192);
}

proptest! {
    /// Under message loss, each end is decided exactly once, with the decision of the group.
    #[test]
    fn each_end_is_decided_once(losses in prop::collection::vec(any::<bool>(), 1..60)) {
        let mut recorder = recorder();
        let mut table: BTreeMap<u64, EndDecision> = BTreeMap::new();
        let mut received: BTreeMap<u64, EndDecision> = BTreeMap::new();
        let mut now = 0;
        let count = losses.len() as u64;
        for (run, is_lost) in (1..).zip(losses.into_iter().chain([false; 20])) {
            now += 200;
            if run <= count {
                recorder.record(end(run), at(now));
            }
            recorder.tick(at(now));
            for action in recorder.take_actions() {
                match action {
                    RecorderAction::Send(_, message) if !is_lost => {
                        let decide = |run: &u64| {
                            let decision = if run.is_multiple_of(3) { EndDecision::Fenced } else { EndDecision::Recorded };
                            *table.entry(*run).or_insert(decision)
                        };
                        let decisions = runs(&message).iter().map(decide).collect();
                        recorder.receive(reply(&message, JobReply::EndsRecorded(decisions)), at(now));
                    }
                    RecorderAction::Send(..) => {}
                    RecorderAction::Decided(end, decision) => {
                        prop_assert!(received.insert(end.run, decision).is_none());
                    }
                }
            }
        }
        for action in recorder.take_actions() {
            if let RecorderAction::Decided(end, decision) = action {
                prop_assert!(received.insert(end.run, decision).is_none());
            }
        }
        prop_assert_eq!(received, table);
    }
}
