//! The memory that an open job is expected to take.

use std::time::Duration;

use cloverfold_lease::{JobRequest, LatencyObjective, Resources, StepRequest};

fn step(count: u32) -> StepRequest {
    StepRequest {
        count,
        demand: Resources::default(),
        estimate: Duration::ZERO,
        depends_on: Vec::new(),
        required_label: None,
        preferred_label: None,
        max_per_target: None,
    }
}

fn job(steps: Vec<StepRequest>) -> JobRequest {
    JobRequest {
        id: "00000000000000a1".into(),
        queue: "queue".into(),
        service: "service".into(),
        spec: String::new(),
        steps,
        priority: 0,
        max_attempts: 3,
        objective: LatencyObjective {
            stretch: 1.0,
            allowance: Duration::ZERO,
        },
        caller_timeout: None,
    }
}

/// Fails if a part of a job that its text can multiply is not counted.
#[test]
fn tasks_steps_dependencies_and_labels_count() {
    let empty = job(Vec::new()).open_bytes();
    let with = |step| job(vec![step]).open_bytes() - empty;
    let of_step = with(step(0));

    let tasks = with(step(100_000)) - of_step;
    let dependencies = with(StepRequest {
        depends_on: vec![0; 1_000],
        ..step(0)
    }) - of_step;
    let label = with(StepRequest {
        required_label: Some("x".repeat(5_000)),
        ..step(0)
    }) - of_step;

    assert!((10_000_000..30_000_000).contains(&tasks), "{tasks}");
    assert!(of_step > 100, "{of_step}");
    assert!(dependencies >= 8_000, "{dependencies}");
    assert!(label >= 5_000, "{label}");
}
