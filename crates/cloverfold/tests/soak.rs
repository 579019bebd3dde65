//! A short run of the soak test without faults: jobs, configuration changes, an evacuation and planned stops.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cloverfold_soak::checker::Bounds;
use cloverfold_soak::plan::generate_fault_free_plan;
use cloverfold_soak::run::{Counts, Programs, run_plan, write_findings};

/// Long enough for the longest planned stop and its consequences.
const LENGTH: Duration = Duration::from_secs(12);
const SEED: u64 = 1;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_guarantees_hold_under_planned_operations() {
    let folder = tempfile::tempdir().unwrap();
    let plan = generate_fault_free_plan(SEED, LENGTH);
    let programs = Programs {
        cloverfold: env!("CARGO_BIN_EXE_cloverfold").into(),
        guard: env!("CARGO_BIN_EXE_cloverfold-guard").into(),
    };
    // No time bounds: the speed of the machine is not under test.
    let bounds = Bounds::unbounded();

    let report = run_plan(&plan, &programs, folder.path(), &bounds, |_, _| {}).await;

    let report = report.unwrap();
    if !report.violations.is_empty() {
        write_findings(&plan, &report, folder.path()).unwrap();
        let kept_folder = folder.keep();
        panic!("{:#?}, see {}", report.violations, kept_folder.display());
    }
    let counts = Counts::of(&report.history);
    assert!(counts.completed > 0, "{counts:?}");
    assert_eq!(
        report.history.stops.len(),
        3,
        "each kind of process was stopped"
    );
}
