//! Names that clients and logs read must not change with the variants.

use cloverfold_lease::{
    JobRefusal, RunOutcome, RunRefusal, StartAnswer, StartRefusal, UnavailableReason,
};

#[test]
fn each_run_refusal_keeps_its_written_name() {
    let names = [
        (RunRefusal::NoCapacity, "NoRoom"),
        (RunRefusal::NoTarget, "NoTarget"),
        (RunRefusal::Draining, "Draining"),
        (RunRefusal::Expired, "Expired"),
        (RunRefusal::EarlierRunOpen, "Held"),
        (RunRefusal::Stale, "Stale"),
        (RunRefusal::Unanswered, "Unanswered"),
        (RunRefusal::Unhealthy, "Unhealthy"),
        (RunRefusal::Rejected, "Rejected"),
        (RunRefusal::Withdrawn, "Withdrawn"),
        (RunRefusal::Evacuated, "Evacuated"),
    ];

    for (refusal, name) in names {
        let outcome = RunOutcome::NotStarted(refusal);

        assert_eq!(refusal.as_str(), name);
        assert_eq!(outcome.to_string(), format!("NotStarted({name})"));
    }
}

#[test]
fn each_run_outcome_keeps_its_written_name() {
    let names = [
        (RunOutcome::Done, "Done"),
        (RunOutcome::Failed, "Failed"),
        (RunOutcome::Stopped, "Stopped"),
        (RunOutcome::Stuck, "Stuck"),
        (RunOutcome::Lost, "Lost"),
    ];

    for (outcome, name) in names {
        assert_eq!(outcome.to_string(), name);
    }
}

#[test]
fn each_job_refusal_keeps_its_written_name() {
    let names = [
        (JobRefusal::NoCapacity, "NoRoom"),
        (JobRefusal::NoTarget, "NoTarget"),
        (JobRefusal::Draining, "Leaving"),
        (JobRefusal::Stalled, "Stalled"),
        (JobRefusal::NoMemory, "NoMemory"),
    ];

    for (cause, name) in names {
        assert_eq!(cause.as_str(), name);
    }
}

#[test]
fn each_reason_for_an_unavailable_target_keeps_its_written_name() {
    let names = [
        (UnavailableReason::NoTarget, "NoTarget"),
        (UnavailableReason::Draining, "Draining"),
        (UnavailableReason::Unresponsive, "Silent"),
        (UnavailableReason::StuckRuns, "RunsStandStill"),
        (UnavailableReason::OrphanRuns, "OtherRuns"),
        (UnavailableReason::NoClock, "NoClock"),
        (UnavailableReason::Evacuated, "Evacuated"),
        (UnavailableReason::Upkeep, "Upkeep"),
        (UnavailableReason::LeaseWithheld, "Lapsing"),
    ];

    for (reason, name) in names {
        assert_eq!(reason.as_str(), name);
    }
}

#[test]
fn each_answer_to_a_start_keeps_its_written_name() {
    let names = [
        (StartRefusal::Fenced, "Fenced"),
        (StartRefusal::Stale, "Stale"),
        (StartRefusal::Late, "Late"),
        (StartRefusal::NoCapacity, "NoRoom"),
        (StartRefusal::Unhealthy, "Unhealthy"),
        (StartRefusal::Unreachable, "Unreachable"),
        (StartRefusal::OtherIncarnation, "OtherInstance"),
        (StartRefusal::Invalid, "Invalid"),
    ];

    for (refusal, name) in names {
        let plain = StartAnswer::Refused(refusal, None);
        let with_clock = StartAnswer::Refused(refusal, Some(50_010));

        assert_eq!(plain.to_string(), format!("Refused({name}, None)"));
        assert_eq!(
            with_clock.to_string(),
            format!("Refused({name}, Some(50010))")
        );
    }
    let started = StartAnswer::Started { clock: 50_010 };
    assert_eq!(started.to_string(), "Started { clock: 50010 }");
    assert_eq!(StartAnswer::Unanswered.to_string(), "Unanswered");
}
