//! After the last fault service is back, and what was acknowledged is there. Checked once the soak is over.

use super::calm::find_last_end;
use super::configurations::find_acknowledged;
use super::{Bounds, Guarantee, Violation};
use crate::records::{Attempt, Elapsed, History, Outcome};

/// Sends that a verdict needs; fewer tell nothing.
const FEWEST_SENDS: usize = 5;
/// One in so many sends must be served.
const SERVED_ONE_IN: usize = 4;

pub(super) fn check(history: &History, bounds: &Bounds) -> Vec<Violation> {
    if !history.is_over {
        return Vec::new();
    }
    let Some(last) = find_last_end(history) else {
        let what = "something that was disturbed did not become whole again".to_owned();
        return vec![Violation::new(Guarantee::ServiceIsBack, history.now, what)];
    };
    let due = last + bounds.recovery;
    let service = check_service(history, due);
    service
        .into_iter()
        .chain(check_survival(history, due))
        .collect()
}

fn check_service(history: &History, due: Elapsed) -> Option<Violation> {
    let answered: Vec<&Attempt> = history
        .attempts
        .iter()
        .filter(|attempt| attempt.sent_at > due)
        .filter(|attempt| !matches!(attempt.outcome, None | Some((_, Outcome::Left))))
        .collect();
    let is_served = |attempt: &&&Attempt| {
        matches!(
            attempt.outcome,
            Some((_, Outcome::Completed | Outcome::Failed))
        )
    };
    let served = answered.iter().filter(is_served).count();
    let is_back = served * SERVED_ONE_IN >= answered.len();
    (answered.len() >= FEWEST_SENDS && !is_back).then(|| {
        let what = format!(
            "{served} of {} sends were served after {:.3} s",
            answered.len(),
            due.as_secs_f64()
        );
        Violation::new(Guarantee::ServiceIsBack, due, what)
    })
}

fn check_survival(history: &History, due: Elapsed) -> Option<Violation> {
    let (version, _) = find_acknowledged(history, due)?;
    let mut reads = history.configuration_reads.iter();
    // Whether a read shows too old a version is checked with every read.
    let is_read = reads.any(|read| read.asked_at > due);
    (!is_read && history.now > due).then(|| {
        let what = format!("nobody showed a configuration, and version {version} was acknowledged");
        Violation::new(Guarantee::AcknowledgedSurvives, due, what)
    })
}
