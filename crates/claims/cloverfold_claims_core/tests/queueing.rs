//! Guards against unfair queue shares, idle slots, poor placement and retries beyond the budget.

use std::time::Duration;

use cloverfold_claims_core::{
    Admission, Candidate, Capacity, Cell, FairQueue, Fence, FenceLimits, Flow, Location, Placement,
    PlacementPolicy, QueuedTask, RetryBudget, TaskEnd, TaskId, Ticket, choose_placements,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 20_261_202;

fn flow(workspace: usize) -> Flow {
    Flow {
        service: "sms".into(),
        workspace: format!("workspace-{workspace}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn backlogged_flows_share_by_weight(weights in prop::collection::vec(1_u32..8, 2..6)) {
        const POPPED: usize = 2_000;
        let mut queue = FairQueue::default();
        for (workspace, weight) in weights.iter().enumerate() {
            for _ in 0..POPPED {
                queue.push(flow(workspace), f64::from(*weight), 1.0, workspace);
            }
        }

        let mut counts = vec![0_f64; weights.len()];
        for _ in 0..POPPED {
            counts[queue.pop().expect("the flows are backlogged")] += 1.0;
        }

        let total: u32 = weights.iter().sum();
        for (count, weight) in counts.iter().zip(&weights) {
            let expected = POPPED as f64 * f64::from(*weight) / f64::from(total);
            prop_assert!((count - expected).abs() <= 0.05 * expected + 1.0, "{counts:?} for {weights:?}");
        }
    }

    #[test]
    fn admitted_jobs_share_slots_by_weight_and_no_flow_starves(
        sizes in prop::collection::vec(1..12_usize, 2..6),
        weights in prop::collection::vec(1_u32..5, 6),
    ) {
        const SLOTS: usize = 96;
        const ADMITTED_TASKS: usize = 4_000;
        let mut admission = Admission::default();
        let mut next = 0;
        let mut push = |admission: &mut Admission, workspace: usize| {
            let ticket = Ticket {
                id: next,
                flow: flow(workspace),
                weight: f64::from(weights[workspace]),
                tasks: sizes[workspace],
            };
            next += 1;
            admission.push(ticket, usize::MAX).expect("there is no limit");
        };
        for workspace in 0..sizes.len() {
            push(&mut admission, workspace);
            push(&mut admission, workspace);
        }

        let capacity = Capacity { free: SLOTS, total: SLOTS, backlog: 0 };
        let mut tasks = vec![0_f64; sizes.len()];
        while tasks.iter().sum::<f64>() < ADMITTED_TASKS as f64 {
            let ticket = admission.admit_next(capacity).expect("slots are free");
            let workspace = (0..sizes.len()).find(|index| flow(*index) == ticket.flow);
            let workspace = workspace.expect("the flow is known");
            tasks[workspace] += ticket.tasks as f64;
            admission.record_ended(&ticket.flow, ticket.tasks);
            push(&mut admission, workspace);
        }

        let sum: u32 = weights[..sizes.len()].iter().sum();
        for workspace in 0..sizes.len() {
            let share = f64::from(weights[workspace]) / f64::from(sum);
            let expected = ADMITTED_TASKS as f64 * share;
            let allowed = 0.05 * expected + 12.0;
            prop_assert!((tasks[workspace] - expected).abs() <= allowed, "{tasks:?} {weights:?} {sizes:?}");
        }
    }

    #[test]
    fn a_fence_with_a_free_slot_starts_queued_tasks(
        steps in prop::collection::vec((0..3_u8, 0..40_u16), 1..120),
        slots in 1..4_usize,
    ) {
        let now = Duration::from_secs(1);
        let later = Duration::from_secs(100);
        let limits = FenceLimits { slots, queue: 10, answer_retention: later };
        let mut fence = Fence::new(1, limits);
        let mut running = Vec::new();
        for (step, index) in steps {
            let id = TaskId { key: [0; 16], index };
            match step {
                0 => {
                    let task = QueuedTask {
                        id,
                        flow: flow(usize::from(index % 3)),
                        weight: 1.0,
                        deadline: later,
                        keep_until: later,
                        payload: (),
                    };
                    fence.assign(1, task, None, now);
                }
                1 => {
                    if let Some(id) = running.pop() {
                        fence.finish(&id, TaskEnd::Done(Vec::new()), now);
                    }
                }
                _ => {
                    fence.release(1, id, None, later);
                }
            }
            while let Some(task) = fence.start_next(now, &mut Vec::new()) {
                running.push(task.id);
            }
            prop_assert_eq!(fence.running(), running.len());
            prop_assert!(fence.running() <= slots && fence.queued() <= limits.queue);
            prop_assert!(fence.running() == slots || fence.queued() == 0, "a slot is idle");
        }
    }

    #[test]
    fn a_group_spreads_over_data_halls_and_changes_only_with_its_members(
        key in any::<[u8; 16]>(),
        removed in 0..11_usize,
    ) {
        let location = |index: usize| Location {
            guard: index as u16,
            data_hall: format!("hall-{}", index % 3),
            rack: format!("rack-{}", index / 9),
        };
        let all: Vec<Location> = (0..11).map(location).collect();
        let mut fewer = all.clone();
        fewer.remove(removed);

        let group = Cell::new(all.clone(), 3).choose_replica_group(&key);
        let without = Cell::new(fewer, 3).choose_replica_group(&key);

        let mut data_halls: Vec<_> = group.iter().map(|guard| &all[usize::from(*guard)].data_hall).collect();
        data_halls.sort();
        data_halls.dedup();
        prop_assert_eq!(data_halls.len(), 3);
        if !group.contains(&(removed as u16)) {
            prop_assert_eq!(group, without);
        }
    }

    #[test]
    fn least_loaded_placement_fills_free_slots_first(
        loads in prop::collection::vec(0..8_u32, 1..12),
        count in 1..40_usize,
        seed in any::<usize>(),
    ) {
        const SLOTS: u32 = 8;
        let mut candidates: Vec<Candidate> = loads
            .iter()
            .enumerate()
            .map(|(guard, load)| Candidate {
                placement: Placement { guard: guard as u16, incarnation: 1 },
                load: *load,
                slots: SLOTS,
            })
            .collect();
        let free: u32 = loads.iter().map(|load| SLOTS - load).sum();

        let policy = PlacementPolicy::LeastLoaded;
        let chosen = choose_placements(policy, &mut candidates, count, |bound| seed % bound);

        prop_assert_eq!(chosen.len(), count);
        if count as u32 <= free {
            prop_assert!(candidates.iter().all(|candidate| candidate.load <= SLOTS));
        }
    }

    #[test]
    fn retries_stay_within_the_budget(successes in 0..500_u32, attempts in 0..500_u32) {
        const SHARE: f64 = 0.1;
        const CAPACITY: f64 = 20.0;
        let mut budget = RetryBudget::new(SHARE, CAPACITY);

        let mut retries = 0;
        for turn in 0..successes.max(attempts) {
            if turn < successes {
                budget.record_success();
            }
            if turn < attempts && budget.take_retry() {
                retries += 1;
            }
        }

        prop_assert!(f64::from(retries) <= CAPACITY + SHARE * f64::from(successes) + 1e-6);
    }
}
