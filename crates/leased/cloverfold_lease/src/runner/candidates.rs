//! Decision: which of several incarnations that have registered is the living target.
//!
//! A registration may be delayed on its way, also past the crash of its sender and the registration of the next incarnation. So an unknown
//! incarnation beside a known target is only a **candidate**. The target's address is asked for it with a renewal that extends no
//! lease: only an incarnation that is there answers to its name, and its list tells when it started. Starts are compared for equality
//! alone, since the clock by which a target tells them may be put back between two incarnations.
//!
//! | answer | conclusion |
//! |---|---|
//! | a list of this incarnation, under another name than the target's | it lives and has replaced the target before it, whose runs are over |
//! | a list of this incarnation, under the target's name | it lives; the target is followed into it (`succession`) |
//! | a list of another incarnation under its name | it is dead; what comes from it later is ignored |
//! | a target of another name is there | the same |
//! | the fencing token is too low | it is asked again with a higher one |
//! | none | it is asked again, until [`CANDIDATE_MEMORY`] after it registered last |
//!
//! Until then the target stays, and its runs and its lease go on. Without this a registration that was delayed past a crash made the
//! dead incarnation the target: runs at work on the living one counted as over and began a second time (the first overlap came
//! within 60 simulated worlds of `tests/overlap.rs`), and the living one was ignored for good.
//!
//! Owns the [`Candidate`]s. Relies on one target beside a runner at a time, and on a target that answers to no name but its own.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::runner::answers::TargetRegistration;
use crate::runner::incarnation_id::IncarnationId;
use crate::runner::target_incarnation::FENCING_TOKEN_STEP;

/// How long a candidate is asked after it registered last. Longer than the interval at which targets register, so that a living one
/// is asked until it answers.
const CANDIDATE_MEMORY: Duration = Duration::from_secs(3);
/// Pause between two questions to a candidate that does not answer, in which the target's lease is renewed.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Candidates at a time; the one that registered longest ago gives way.
const MAX_CANDIDATES: usize = 4;

/// An incarnation that has registered beside a known target and has not answered yet.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) registration: TargetRegistration,
    pub(super) fencing_token: u64,
    registered_at: Timestamp,
    asked_at: Option<Timestamp>,
}

impl Candidate {
    fn is_due(&self, now: Timestamp) -> bool {
        self.asked_at.is_none_or(|at| now >= at + ASK_INTERVAL)
    }
}

/// The candidates of one runner, in the order in which they registered last.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    known: Vec<Candidate>,
}

impl Candidates {
    /// Records a registration. An older one of the same incarnation changes nothing.
    pub(super) fn record(
        &mut self,
        registration: TargetRegistration,
        fencing_token: u64,
        now: Timestamp,
    ) {
        let known = self.remove(&registration.incarnation);
        let candidate = match known {
            Some(known) if known.registration.sequence > registration.sequence => known,
            Some(known) => Candidate {
                registration,
                registered_at: now,
                ..known
            },
            None => Candidate {
                registration,
                fencing_token,
                registered_at: now,
                asked_at: None,
            },
        };
        self.known.push(candidate);
        if self.known.len() > MAX_CANDIDATES {
            self.known.remove(0);
        }
    }

    /// Returns the candidate that is to be asked now, and records that it is.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Option<&Candidate> {
        self.known
            .retain(|candidate| now <= candidate.registered_at + CANDIDATE_MEMORY);
        let due = self.known.iter_mut().find(|known| known.is_due(now))?;
        due.asked_at = Some(now);
        Some(due)
    }

    /// Removes a candidate.
    pub(super) fn remove(&mut self, incarnation: &IncarnationId) -> Option<Candidate> {
        let is_meant = |known: &Candidate| known.registration.incarnation == *incarnation;
        let index = self.known.iter().position(is_meant)?;
        Some(self.known.remove(index))
    }

    /// Raises the fencing token of a candidate above one that it has refused.
    pub(super) fn raise_fencing_token(&mut self, incarnation: &IncarnationId, refused: u64) {
        let mut known = self.known.iter_mut();
        let meant = known.find(|known| known.registration.incarnation == *incarnation);
        if let Some(candidate) = meant {
            candidate.fencing_token = candidate.fencing_token.max(refused + FENCING_TOKEN_STEP);
        }
    }
}
