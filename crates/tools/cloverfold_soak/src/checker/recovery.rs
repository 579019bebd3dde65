//! Checks after the end of the soak that the installation serves again and that acknowledged configurations survived.

use super::configurations::find_newest_acknowledged;
use super::disturbances::find_last_disturbance_end;
use super::{Bounds, Guarantee, Violation};
use crate::records::{Attempt, Elapsed, History, Outcome};

/// Minimum number of answered attempts for a meaningful check.
const MIN_ATTEMPTS: usize = 5;
/// At least one attempt in this many must be served.
const SERVED_DIVISOR: usize = 4;

pub(super) fn check(history: &History, bounds: &Bounds) -> Vec<Violation> {
    if !history.is_over {
        return Vec::new();
    }
    let Some(last) = find_last_disturbance_end(history) else {
        let description = "a disturbance did not end".to_owned();
        return vec![Violation::new(
            Guarantee::ServiceIsBack,
            history.now,
            description,
        )];
    };
    let due = last + bounds.recovery;
    let service = check_service(history, due);
    service
        .into_iter()
        .chain(check_acknowledged_survives(history, due))
        .collect()
}

fn check_service(history: &History, due: Elapsed) -> Option<Violation> {
    let answered: Vec<&Attempt> = history
        .attempts
        .iter()
        .filter(|attempt| attempt.sent_at > due)
        .filter(|attempt| !matches!(attempt.outcome, None | Some((_, Outcome::Disconnected))))
        .collect();
    let is_served = |attempt: &&&Attempt| {
        matches!(
            attempt.outcome,
            Some((_, Outcome::Completed | Outcome::Failed))
        )
    };
    let served = answered.iter().filter(is_served).count();
    let has_recovered = served * SERVED_DIVISOR >= answered.len();
    (answered.len() >= MIN_ATTEMPTS && !has_recovered).then(|| {
        let description = format!(
            "{served} of {} attempts were served after {:.3} s",
            answered.len(),
            due.as_secs_f64()
        );
        Violation::new(Guarantee::ServiceIsBack, due, description)
    })
}

fn check_acknowledged_survives(history: &History, due: Elapsed) -> Option<Violation> {
    let (version, _) = find_newest_acknowledged(history, due)?;
    let mut reads = history.configuration_reads.iter();
    // `configurations` checks the version of every read.
    let is_read = reads.any(|read| read.requested_at > due);
    (!is_read && history.now > due).then(|| {
        let description = format!(
            "no control process returned a configuration, but version {version} was acknowledged"
        );
        Violation::new(Guarantee::AcknowledgedSurvives, due, description)
    })
}
