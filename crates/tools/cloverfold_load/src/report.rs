//! The report of a load run: response times, outcomes and wasted messages.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::metrics_reader::MetricsTotals;

/// Outcome of a job that completed.
const COMPLETE: &str = "complete";
/// Histogram units per ratio of 1.
const RATIO_SCALE: f64 = 1_000.0;
/// Largest recorded ratio, in thousandths; larger ones saturate.
const MAX_RATIO: u64 = 10_000_000;
/// Precision of the histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The result of one job, which may have no answer.
pub(crate) struct Sample {
    pub(crate) workspace: usize,
    pub(crate) is_counted: bool,
    pub(crate) tasks: usize,
    pub(crate) response: Duration,
    pub(crate) ideal: Duration,
    pub(crate) outcome: String,
}

/// The outcomes and response times of one workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceReport {
    /// Name of the workspace.
    pub workspace: String,
    /// Jobs by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Tasks of complete jobs.
    pub useful_tasks: u64,
    /// Ratio of response time to ideal time of complete jobs, in thousandths.
    ratios: Histogram<u64>,
}

impl WorkspaceReport {
    fn new(workspace: String) -> Self {
        let ratios = Histogram::new_with_max(MAX_RATIO, SIGNIFICANT_DIGITS);
        Self {
            workspace,
            outcomes: BTreeMap::new(),
            useful_tasks: 0,
            ratios: ratios.expect("the bounds are valid"),
        }
    }

    /// Returns a quantile of the ratio of response time to ideal time.
    pub fn ratio_at(&self, quantile: f64) -> f64 {
        self.ratios.value_at_quantile(quantile) as f64 / RATIO_SCALE
    }

    /// Returns the largest ratio of response time to ideal time.
    pub fn largest_ratio(&self) -> f64 {
        self.ratios.max() as f64 / RATIO_SCALE
    }

    /// Returns the number of counted jobs, which excludes the warm-up.
    pub fn jobs(&self) -> u64 {
        self.outcomes.values().sum()
    }

    fn record(&mut self, sample: &Sample) {
        if sample.outcome == COMPLETE {
            self.useful_tasks += sample.tasks as u64;
        }
        if !sample.is_counted {
            return;
        }
        *self.outcomes.entry(sample.outcome.clone()).or_default() += 1;
        if sample.outcome == COMPLETE {
            let ratio = sample.response.as_secs_f64() / sample.ideal.as_secs_f64();
            self.ratios.saturating_record((ratio * RATIO_SCALE) as u64);
        }
    }

    fn add(&mut self, other: &Self) {
        for (outcome, count) in &other.outcomes {
            *self.outcomes.entry(outcome.clone()).or_default() += count;
        }
        self.useful_tasks += other.useful_tasks;
        self.ratios += &other.ratios;
    }
}

/// The report of a load run, by workspace.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// The workspaces.
    pub workspaces: Vec<WorkspaceReport>,
    /// Duration of the run up to its last answer.
    pub length: Duration,
}

impl LoadReport {
    pub(crate) fn new(workspaces: Vec<String>) -> Self {
        Self {
            workspaces: workspaces.into_iter().map(WorkspaceReport::new).collect(),
            length: Duration::ZERO,
        }
    }

    pub(crate) fn record(&mut self, sample: &Sample) {
        self.workspaces[sample.workspace].record(sample);
    }

    /// Returns the sum over all workspaces.
    pub fn total(&self) -> WorkspaceReport {
        let mut total = WorkspaceReport::new("all".into());
        for workspace in &self.workspaces {
            total.add(workspace);
        }
        total
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14} {:>7} {:>7} {:>8} {:>8} {:>8}  response / ideal of complete jobs",
            "customer", "jobs", "other", "p50", "p99", "max"
        )?;
        let total = self.total();
        for report in self.workspaces.iter().chain([&total]) {
            let complete = report.outcomes.get(COMPLETE).copied().unwrap_or(0);
            writeln!(
                f,
                "{:<14} {:>7} {:>7} {:>8.3} {:>8.3} {:>8.3}",
                report.workspace,
                report.jobs(),
                report.jobs() - complete,
                report.ratio_at(0.5),
                report.ratio_at(0.99),
                report.largest_ratio(),
            )?;
        }
        let others = total.outcomes.iter().filter(|(name, _)| *name != COMPLETE);
        for (outcome, count) in others {
            writeln!(f, "outcome {outcome}: {count}")?;
        }
        Ok(())
    }
}

/// Counts of messages that did not contribute to a complete job, and of all requests between processes.
#[derive(Clone, Debug, PartialEq)]
pub struct WasteReport {
    /// Starts at targets whose job completed.
    pub useful_starts: u64,
    /// Starts at targets whose job did not complete.
    pub wasted_sends: u64,
    /// Repeated assignments, moved tasks and released tasks.
    pub wasted_calls: u64,
    /// Submissions rerouted to another guard, and task retries.
    pub retries: u64,
    /// Requests that only probe load; always 0, because other messages carry the load reports.
    pub probes: u64,
    /// Requests between processes by message kind.
    pub requests: Vec<(String, u64)>,
}

impl WasteReport {
    /// Creates the report from the metrics of the processes and the number of starts in the targets' journals.
    pub fn from_metrics(metrics: &MetricsTotals, starts: u64, useful_starts: u64) -> Self {
        let count = |name: &str| metrics.sum_of_name(name) as u64;
        let requests = metrics.list_series("cloverfold_peer_requests_total");
        let requests = requests.into_iter().map(|(series, value)| {
            let name = series.split('"').nth(1).unwrap_or(series);
            (name.to_owned(), value as u64)
        });
        Self {
            useful_starts,
            wasted_sends: starts.saturating_sub(useful_starts),
            wasted_calls: count("cloverfold_repeated_assigns_total")
                + count("cloverfold_task_moves_total")
                + count("cloverfold_releases_total"),
            retries: count("cloverfold_reroutes_total") + count("cloverfold_task_retries_total"),
            probes: 0,
            requests: requests.collect(),
        }
    }

    /// Returns the wasted messages per useful start, or their number if there is none.
    pub fn waste_per_start(&self) -> f64 {
        let wasted = self.wasted_sends + self.wasted_calls + self.retries + self.probes;
        wasted as f64 / self.useful_starts.max(1) as f64
    }
}

impl fmt::Display for WasteReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let starts = self.useful_starts.max(1) as f64;
        let rate = |count: u64| count as f64 / starts;
        writeln!(
            f,
            "wasted messages per useful start: {:.4} (sends {:.4}, calls {:.4}, retries {:.4}, probes {:.4}; {} useful starts)",
            self.waste_per_start(),
            rate(self.wasted_sends),
            rate(self.wasted_calls),
            rate(self.retries),
            rate(self.probes),
            self.useful_starts,
        )?;
        write!(f, "requests between processes per useful start:")?;
        for (name, count) in &self.requests {
            write!(f, " {name} {:.3}", rate(*count))?;
        }
        writeln!(f)
    }
}
