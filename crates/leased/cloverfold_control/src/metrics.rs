//! Metrics of a control process, computed from the state on each scrape.

use cloverfold_leased_process::{MetricsBuilder, ProcessBudgets, ProcessMetrics};
use cloverfold_telemetry::CauseGauges;
use prometheus_client::metrics::gauge::Gauge;

use crate::job_metrics::JobMetrics;
use crate::state::ControlState;

pub(crate) struct ControlMetrics {
    process: ProcessMetrics,
    version: Gauge,
    term: Gauge,
    has_quorum: Gauge,
    evacuation_revision: Gauge,
    evacuated_halls: Gauge,
    jobs: JobMetrics,
    open_waves: Gauge,
    boxes_waiting: Gauge,
    boxes_down: Gauge,
    upkeep_calls: CauseGauges,
}

impl ControlMetrics {
    pub(crate) fn new(budgets: ProcessBudgets) -> Self {
        let mut metrics = MetricsBuilder::new("cloverfold_control");
        Self {
            version: metrics.add_gauge("configuration_version", "Version that holds here"),
            term: metrics.add_gauge("term", "Term of the group"),
            has_quorum: metrics.add_gauge("in_touch", "1 while in touch with a majority"),
            evacuation_revision: metrics.add_gauge(
                "evacuation_revision",
                "Orders on data halls that were taken",
            ),
            evacuated_halls: metrics.add_gauge("evacuated_halls", "Data halls that are evacuated"),
            jobs: JobMetrics::new(&mut metrics),
            open_waves: metrics.add_gauge("open_waves", "Waves of upkeep that are not over"),
            boxes_waiting: metrics.add_gauge(
                "upkeep_boxes_waiting",
                "Boxes of these waves that have not been called",
            ),
            boxes_down: metrics.add_gauge(
                "upkeep_boxes_down",
                "Boxes of these waves that are down, or may be",
            ),
            upkeep_calls: metrics.add_cause_gauges(
                "upkeep_calls",
                "Calls for upkeep and readings of the list since the start, by outcome",
            ),
            process: metrics.finish(budgets),
        }
    }

    /// Returns all metrics in text format.
    pub(crate) fn write(&self, state: &ControlState) -> String {
        self.version.set(state.current_version() as i64);
        self.term.set(state.term() as i64);
        self.has_quorum.set(i64::from(state.has_quorum()));
        let evacuations = state.evacuations();
        self.evacuation_revision.set(evacuations.revision() as i64);
        self.evacuated_halls
            .set(evacuations.in_force().len() as i64);
        self.jobs.set(state);
        self.set_upkeep(state);
        self.process.write(state.sent(), state.suspensions())
    }

    fn set_upkeep(&self, state: &ControlState) {
        let upkeep = state.upkeep();
        let (mut open, mut waiting, mut down) = (0, 0, 0);
        for (_, wave) in upkeep.open_waves() {
            open += 1;
            waiting += wave.waiting().count();
            let phases = wave.phases.values();
            down += phases.filter(|phase| phase.is_down()).count();
        }
        self.open_waves.set(open);
        self.boxes_waiting.set(waiting as i64);
        self.boxes_down.set(down as i64);
        let outcomes = state.upkeep_outcomes().iter();
        let outcomes: Vec<_> = outcomes.map(|(name, count)| (*name, *count)).collect();
        self.upkeep_calls.set(&outcomes);
    }
}
