//! Renewals of the target's lease, probes of candidates, and their answers.
//!
//! A renewal keeps the target's runs alive as long as this runner is, and returns the list of what runs there (`listing`).

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::runner::answers::{EndedRun, ListedRun, RenewalAnswer};
use crate::runner::incarnation_id::IncarnationId;
use crate::runner::orders::RenewalOrder;
use crate::runner::renewal_pace::{RenewalPace, RenewalPause};
use crate::runner::unlisted::ListContext;
use crate::runner::{Runner, RunnerAction};
use crate::timings::TargetTime;

/// The list in the target's answer to a renewal.
struct TargetList {
    /// The target's clock.
    clock: TargetTime,
    running: Vec<ListedRun>,
    ended: Vec<EndedRun>,
}

impl Runner {
    /// Returns the next renewal of the lease, or a probe of a candidate; `None` without a target.
    ///
    /// The lease is not extended while the target may execute runs that this runner did not start: only its lapse ends them for certain.
    /// Nor is it extended while it is withheld (`lapses`) or a session is in doubt (`own_stall`). The target answers such a renewal at once
    /// instead of waiting for an end.
    ///
    /// The lease of an unresponsive target is not extended either: it may have died, and its runs are lost once the lease has lapsed.
    pub fn plan_renewal(&mut self, now: Timestamp) -> Option<RenewalOrder> {
        if let Some(probe) = self.plan_probe(now) {
            return Some(probe);
        }
        let is_in_doubt = self.has_session_in_doubt(now);
        let target = self.target.as_ref()?;
        let may_extend = target.has_only_own_runs && !target.is_lease_withheld && !is_in_doubt;
        let poll_timeout = if may_extend {
            self.timings.renewal_poll_timeout
        } else {
            Duration::ZERO
        };
        let deadline = if may_extend && !target.is_unresponsive {
            self.extend_lease(now)
        } else {
            None
        };
        self.counts.calls.renewals += 1;
        let target = self.target.as_ref()?;
        Some(RenewalOrder {
            incarnation: target.registration.incarnation.clone(),
            address: target.registration.address.clone(),
            deadline,
            fencing_token: target.fencing_token,
            last_acknowledged_end: target.acknowledged_end(),
            poll_timeout,
            timeout: poll_timeout + self.timings.answer_margin,
            sent_at: now,
        })
    }

    /// Returns the probe of a candidate: a renewal that does not extend a lease and is answered at once.
    fn plan_probe(&mut self, now: Timestamp) -> Option<RenewalOrder> {
        let timeout = self.timings.answer_margin;
        let candidate = self.candidates.take_due(now)?;
        self.counts.calls.probes += 1;
        Some(RenewalOrder {
            incarnation: candidate.registration.incarnation.clone(),
            address: candidate.registration.address.clone(),
            deadline: None,
            fencing_token: candidate.fencing_token,
            last_acknowledged_end: 0,
            poll_timeout: Duration::ZERO,
            timeout,
            sent_at: now,
        })
    }

    /// Processes the answer to a renewal or probe; returns the pause before the next renewal.
    ///
    /// An answer from a target of another name, or an answer that arrives after the one to a later renewal, is ignored. A missing answer
    /// does not change the runs either; `check_responsiveness` detects it.
    pub fn receive_renewal_answer(
        &mut self,
        order: &RenewalOrder,
        answer: RenewalAnswer,
        now: Timestamp,
    ) -> RenewalPause {
        self.expire_sessions(now);
        let is_listed = matches!(answer, RenewalAnswer::Listed { .. });
        let has_new_end = self.lists_new_end(&answer);
        self.apply_renewal_answer(order, answer, now);
        if is_listed {
            let pause = self.renewal_pace.pause_after_list(order, has_new_end, now);
            self.counts.calls.answered_early += u64::from(pause.is_for_early_list());
            pause
        } else {
            RenewalPace::pause_after_failure(self.has_ready_target())
        }
    }

    /// Returns whether an answer lists an end that was not processed yet.
    fn lists_new_end(&self, answer: &RenewalAnswer) -> bool {
        let RenewalAnswer::Listed { ended, .. } = answer else {
            return false;
        };
        let target = self.target.as_ref();
        let known = target.map_or(0, |target| target.last_processed_end);
        ended.iter().any(|end| end.number > known)
    }

    fn apply_renewal_answer(
        &mut self,
        order: &RenewalOrder,
        answer: RenewalAnswer,
        now: Timestamp,
    ) {
        match answer {
            RenewalAnswer::Listed {
                start_time,
                clock,
                running,
                ended,
            } => {
                let list = TargetList {
                    clock,
                    running,
                    ended,
                };
                self.receive_list_from(order.incarnation.answered_by(start_time), order, list, now);
            }
            RenewalAnswer::Fenced => self.receive_fenced(order),
            RenewalAnswer::OtherIncarnation => self.discard_candidate(&order.incarnation),
            RenewalAnswer::Unanswered => {
                if let Some(target) = self.target_of_incarnation(&order.incarnation) {
                    target.is_renewal_unanswered = true;
                }
            }
        }
    }

    /// Processes a list that `incarnation` returned; `order` may have addressed another incarnation.
    fn receive_list_from(
        &mut self,
        incarnation: IncarnationId,
        order: &RenewalOrder,
        list: TargetList,
        now: Timestamp,
    ) {
        if incarnation != order.incarnation {
            self.discard_candidate(&order.incarnation);
        }
        if self.target_of_incarnation(&incarnation).is_some() {
            if incarnation == order.incarnation {
                self.receive_list(order, list, now);
            }
            return;
        }
        let candidate = self.candidates.remove(&incarnation);
        let target = self.target.as_ref();
        let is_same_name =
            target.is_some_and(|target| target.registration.incarnation.name == incarnation.name);
        if is_same_name {
            // This list was requested with numbers of another incarnation, so only the next one is used.
            let registration = candidate.map(|candidate| candidate.registration);
            self.adopt_restarted_target(incarnation.clone(), registration, now);
            self.report_incarnation(incarnation, true);
        } else if let Some(candidate) = candidate {
            let token = candidate.fencing_token;
            self.begin_target_incarnation(candidate.registration, token, now);
            self.report_incarnation(incarnation, true);
            self.receive_list(order, list, now);
        }
    }

    /// Raises the fencing token of the target or candidate that refused the order.
    fn receive_fenced(&mut self, order: &RenewalOrder) {
        let refused = order.fencing_token;
        match self.target_of_incarnation(&order.incarnation) {
            Some(target) => target.raise_fencing_token(refused),
            None => self
                .candidates
                .raise_fencing_token(&order.incarnation, refused),
        }
    }

    /// Discards a candidate that is not alive.
    fn discard_candidate(&mut self, incarnation: &IncarnationId) {
        if self.candidates.remove(incarnation).is_some() {
            self.record_ended_incarnation(incarnation.clone());
            self.report_incarnation(incarnation.clone(), false);
        }
    }

    fn report_incarnation(&mut self, incarnation: IncarnationId, is_alive: bool) {
        self.actions.push(RunnerAction::ReportIncarnation {
            incarnation,
            is_alive,
        });
    }

    /// Updates the runs and the target from a list, unless a newer one was processed.
    fn receive_list(&mut self, order: &RenewalOrder, list: TargetList, now: Timestamp) {
        let Some(target) = &mut self.target else {
            return;
        };
        if order.sent_at < target.newest_renewal_sent_at {
            // The answer to a later renewal arrived first.
            return;
        }
        target.newest_renewal_sent_at = order.sent_at;
        target.answered_at = now;
        target.is_unresponsive = false;
        target.is_renewal_unanswered = false;
        target.record_fencing_token(order.fencing_token, now);
        target.record_clock(list.clock, now);
        let context = ListContext {
            requested_at: order.sent_at,
            clock: list.clock,
            fencing_token: order.fencing_token,
        };
        self.record_ends(list.ended, now);
        self.check_withheld_lease(now);
        self.reconcile_runs(&list.running, context, now);
        self.stop_stuck_runs(now);
        self.start_waiting(now);
        self.announce_target();
    }
}
