//! Decides which of several registered incarnations is the live target.
//!
//! A registration can be delayed past the crash of its sender and the registration of the next incarnation. An unknown incarnation that
//! registers while a target is known is therefore only a *candidate*. The runner probes the target's address for it with a renewal that
//! does not extend a lease: only the named incarnation answers, and its list contains its start time. Start times are compared only for
//! equality, since a target's wall clock may be set back between two incarnations.
//!
//! | answer | conclusion |
//! |---|---|
//! | a list of this incarnation, under another name than the target's | it is alive and replaces the target, whose runs have ended |
//! | a list of this incarnation, under the target's name | it is alive; the target has restarted (`target_restart`) |
//! | a list of another incarnation under its name | it is dead and ignored from now on |
//! | a target of another name answers | it is dead and ignored from now on |
//! | the fencing token is too low | it is probed again with a higher one |
//! | none | it is probed again until [`CANDIDATE_TTL`] after its newest registration |
//!
//! Until then the known target keeps its runs and its lease. Otherwise a registration that is delayed past a crash would make the dead
//! incarnation the target: the runs of the live one would be considered ended and start a second time.
//!
//! This assumes one target at a time beside a runner, and targets that answer only to their own name.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::runner::answers::TargetRegistration;
use crate::runner::incarnation_id::IncarnationId;
use crate::runner::target_incarnation::FENCING_TOKEN_STEP;

/// How long a candidate is probed after its newest registration: longer than the registration interval, so that a live one is probed until
/// it answers.
const CANDIDATE_TTL: Duration = Duration::from_secs(3);
/// Pause between two probes of a candidate, during which the target's lease is renewed.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of candidates; beyond it the one with the oldest registration is dropped.
const MAX_CANDIDATES: usize = 4;

/// An incarnation that registered beside a known target and has not answered yet.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) registration: TargetRegistration,
    pub(super) fencing_token: u64,
    registered_at: Timestamp,
    probed_at: Option<Timestamp>,
}

impl Candidate {
    fn is_due(&self, now: Timestamp) -> bool {
        self.probed_at.is_none_or(|at| now >= at + PROBE_INTERVAL)
    }
}

/// The candidates of one runner, ordered by their newest registration.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    candidates: Vec<Candidate>,
}

impl Candidates {
    /// Records a registration; one that is older than the known one of the same incarnation is ignored.
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
                probed_at: None,
            },
        };
        self.candidates.push(candidate);
        if self.candidates.len() > MAX_CANDIDATES {
            self.candidates.remove(0);
        }
    }

    /// Returns the candidate to probe now, and records the probe.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Option<&Candidate> {
        self.candidates
            .retain(|candidate| now <= candidate.registered_at + CANDIDATE_TTL);
        let due = self
            .candidates
            .iter_mut()
            .find(|candidate| candidate.is_due(now))?;
        due.probed_at = Some(now);
        Some(due)
    }

    pub(super) fn remove(&mut self, incarnation: &IncarnationId) -> Option<Candidate> {
        let is_match = |candidate: &Candidate| candidate.registration.incarnation == *incarnation;
        let index = self.candidates.iter().position(is_match)?;
        Some(self.candidates.remove(index))
    }

    /// Raises the fencing token of a candidate above the refused one.
    pub(super) fn raise_fencing_token(&mut self, incarnation: &IncarnationId, refused: u64) {
        let mut candidates = self.candidates.iter_mut();
        let matching =
            candidates.find(|candidate| candidate.registration.incarnation == *incarnation);
        if let Some(candidate) = matching {
            candidate.fencing_token = candidate.fencing_token.max(refused + FENCING_TOKEN_STEP);
        }
    }
}
