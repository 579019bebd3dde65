//! Metrics of a guard.

use cloverfold_lease::{ProcessorUse, RegistrationVerdict, RunnerCounts};
use cloverfold_leased_process::{MetricsBuilder, ProcessBudgets, ProcessMetrics};
use cloverfold_telemetry::CauseGauges;
use prometheus_client::metrics::gauge::Gauge;

use crate::state::GuardState;

/// Gauges that are set from [`GuardState`] when the metrics are written.
pub(crate) struct GuardMetrics {
    metrics: ProcessMetrics,
    runs: CauseGauges,
    run_count: Gauge,
    is_target_ready: Gauge,
    offered: Gauge,
    held_back: Gauge,
    running: Gauge,
    waiting: Gauge,
    held_ends: Gauge,
    unrecorded_ends: Gauge,
    dropped_ends: Gauge,
    passed_over_ends: Gauge,
    registrations: CauseGauges,
    target_calls: CauseGauges,
    usual_slowness: Gauge,
    evacuation_revision: Gauge,
    evacuated_halls: Gauge,
}

impl GuardMetrics {
    pub(crate) fn new(budgets: ProcessBudgets) -> Self {
        let mut metrics = MetricsBuilder::new("cloverfold_guard");
        let help = "Runs since the start, by what became of them";
        let runs = metrics.add_cause_gauges("runs", help);
        let help = "Registrations of the target since the start, by what became of them";
        let registrations = metrics.add_cause_gauges("registrations", help);
        let help = "Calls to the target since the start, by cause";
        let target_calls = metrics.add_cause_gauges("target_calls", help);
        Self {
            run_count: metrics.add_gauge("held_runs", "Runs held now, also those that wait"),
            is_target_ready: metrics.add_gauge("target_ready", "1 while the target takes work"),
            offered: metrics.add_gauge("offered_millicores", "Processors offered to entries"),
            held_back: metrics.add_gauge("held_back_millicores", "Processors not offered now"),
            running: metrics.add_gauge("running_millicores", "Processors of runs started here"),
            waiting: metrics.add_gauge("waiting_millicores", "Processors that runs wait for"),
            held_ends: metrics.add_gauge("held_ends", "Ends that the target must not forget yet"),
            unrecorded_ends: metrics.add_gauge(
                "unrecorded_ends",
                "Ends of kept runs that no group has decided on",
            ),
            dropped_ends: metrics.add_gauge(
                "dropped_ends",
                "Ends of kept runs that gave way without a decision, since the start",
            ),
            passed_over_ends: metrics.add_gauge(
                "passed_over_ends",
                "Ends of open runs that came under numbers known before, since the start",
            ),
            usual_slowness: metrics.add_gauge(
                "usual_slowness_permille",
                "How long runs usually take here, in thousandths of their estimates; 0 if unknown",
            ),
            evacuation_revision: metrics.add_gauge(
                "evacuation_revision",
                "Revision of the evacuations that is in force here",
            ),
            evacuated_halls: metrics.add_gauge("evacuated_halls", "Data halls that get no work"),
            runs,
            registrations,
            target_calls,
            metrics: metrics.finish(budgets),
        }
    }

    fn set_processor_use(&self, processors: ProcessorUse) {
        self.offered.set(processors.offered);
        self.held_back.set(processors.held_back);
        self.running.set(processors.running);
        self.waiting.set(processors.waiting);
    }

    /// Sets the counts of registrations from the target and of calls to it.
    fn set_target_counts(&self, counts: RunnerCounts, unreadable: u64) {
        let registrations = counts.registrations;
        self.registrations.set(&[
            (
                RegistrationVerdict::Accepted.as_str(),
                registrations.accepted,
            ),
            (
                RegistrationVerdict::Outdated.as_str(),
                registrations.outdated,
            ),
            (
                RegistrationVerdict::IncarnationEnded.as_str(),
                registrations.incarnation_ended,
            ),
            (
                RegistrationVerdict::MissingStartTime.as_str(),
                registrations.missing_start_time,
            ),
            (
                RegistrationVerdict::Candidate.as_str(),
                registrations.candidates,
            ),
            ("unreadable", unreadable),
        ]);
        let calls = counts.calls;
        self.target_calls.set(&[
            ("renewals", calls.renewals),
            ("answered_early", calls.answered_early),
            ("questions", calls.probes),
            ("starts", calls.starts),
            ("stops", calls.stops),
        ]);
    }

    /// Updates the gauges from the state and encodes all metrics as text.
    pub(crate) fn write(&self, state: &GuardState) -> String {
        let counts = state.counts();
        self.runs.set(&[
            ("started", counts.started),
            ("repeated_starts", counts.repeated_starts),
            ("lost", counts.lost),
            ("stopped", counts.stopped),
            ("refused", counts.refused),
            ("expired_sessions", counts.expired_sessions),
            ("orphans", counts.orphans),
            ("stuck", counts.stuck),
            ("target_pauses", counts.pauses),
        ]);
        self.run_count.set(state.run_count() as i64);
        self.is_target_ready
            .set(i64::from(state.has_ready_target()));
        self.set_processor_use(state.processor_use());
        self.held_ends.set(state.held_end_count() as i64);
        self.unrecorded_ends
            .set(state.unrecorded_end_count() as i64);
        self.dropped_ends.set(state.dropped_end_count() as i64);
        self.passed_over_ends.set(counts.skipped_ends as i64);
        self.set_target_counts(counts, state.unreadable_registration_count());
        let speed = state.usual_speed();
        self.usual_slowness.set(i64::from(speed.slowness_permille));
        let evacuated = state.evacuated_halls();
        self.evacuation_revision.set(evacuated.revision as i64);
        self.evacuated_halls.set(evacuated.halls.len() as i64);
        self.metrics.write(state.sent(), state.suspensions())
    }
}
