//! Dispatchers, runners and targets in a simulated world of kills, freezes, cuts, late orders and slow clocks: no two runs of
//! a task are ever at work at the same time, also when a job comes again through another dispatcher.

#![allow(clippy::unwrap_used)]

mod world;

use world::{KeptFaults, SuspendedClock, SuspendedClocks, World, WorldFaults};

const SEEDS: u64 = 60;
/// Overlaps of the mutated rule are rare: a dispatcher must die while a long run is under way whose job comes again.
const MUTATION_SEEDS: u64 = 600;

#[test]
fn no_two_runs_of_a_task_overlap_under_any_fault() {
    let (mut done, mut left) = (0, 0);
    for seed in 0..SEEDS {
        let mut world = World::new(seed, WorldFaults::all());
        world.play(20_000);
        done += world.completed;
        left += world.left;
    }
    assert!(done > 500, "the world does some work: {done} jobs");
    assert!(left > 100, "runners leave dispatchers: {left} times");
}

#[test]
fn no_task_starts_in_a_data_hall_long_after_its_evacuation_under_any_fault() {
    let mut done = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed, WorldFaults::with_evacuations());
        world.play(20_000);
        done += world.completed;
    }
    assert!(done > 200, "the world does some work: {done} jobs");
}

#[test]
fn without_faults_every_job_is_done_once() {
    let mut world = World::new(1, WorldFaults::none());
    world.play(10_000);
    assert!(world.completed > 50, "{}", world.completed);
    assert_eq!(world.starts, world.tasks_completed, "each task ran once");
}

#[test]
fn no_task_runs_twice_because_all_processes_stood_still() {
    let (mut done, mut stalls) = (0, 0);
    for seed in 0..SEEDS {
        let mut world = World::new(seed, WorldFaults::with_world_stalls());
        world.play(20_000);
        assert_eq!(world.starts, world.tasks_completed, "seed {seed}");
        done += world.completed;
        stalls += world.stalls;
    }
    assert!(done > 500, "the world does some work: {done} jobs");
    assert!(stalls > 500, "all stand still: {stalls} times");
}

#[test]
fn the_checker_notices_an_overlap() {
    // A session that outlives the client's pause before it sends again; the first overlap ends the search.
    let outcome = std::panic::catch_unwind(|| {
        for seed in 0..MUTATION_SEEDS {
            let mut faults = WorldFaults::all();
            faults.session_ms = 3_000;
            World::new(seed, faults).play(20_000);
        }
    });
    assert!(outcome.is_err());
}

#[test]
fn kept_jobs_are_handed_on_and_done_once_under_any_fault() {
    let (mut done, mut handed_on) = (0, 0);
    for seed in 0..SEEDS {
        let mut world = World::new(seed, WorldFaults::with_kept_jobs(KeptFaults::none()));
        world.play(20_000);
        let (ended, _, handed) = world.count_kept();
        done += ended;
        handed_on += handed;
    }
    assert!(done > 1_000, "kept jobs are done: {done}");
    assert!(handed_on > 100, "kept jobs are handed on: {handed_on}");
}

#[test]
fn without_faults_every_kept_job_is_done_by_its_first_driver() {
    let mut faults = WorldFaults::with_kept_jobs(KeptFaults::none());
    faults.is_troubled = false;
    let mut world = World::new(1, faults);
    world.play(15_000);

    let (ended, open, handed_on) = world.count_kept();
    assert!(ended > 50, "{ended}");
    assert_eq!((open, handed_on), (0, 0));
}

/// Seeds in which a job that is handed on too early runs twice at once: 9 of 3,000 did, since the sessions of most drivers are over
/// long before their leases. They are tried first.
const EARLY_HAND_OVER_SEEDS: [u64; 5] = [767, 804, 1_119, 1_187, 2_153];

/// Returns whether a world of kept jobs in which something is wrong ends with a broken rule, in these seeds or the first ones.
fn is_noticed(kept: KeptFaults, first_seeds: &[u64]) -> bool {
    let outcome = std::panic::catch_unwind(|| {
        let seeds = first_seeds.iter().copied();
        for seed in seeds.chain(0..MUTATION_SEEDS) {
            World::new(seed, WorldFaults::with_kept_jobs(kept)).play(20_000);
        }
    });
    outcome.is_err()
}

#[test]
fn the_checker_notices_that_a_job_is_handed_on_too_early() {
    let early = KeptFaults {
        hands_on_after_ms: 0,
        ..KeptFaults::none()
    };
    assert!(is_noticed(early, &EARLY_HAND_OVER_SEEDS));
}

#[test]
fn the_checker_notices_that_an_end_is_forgotten_before_it_is_recorded() {
    let forgetful = KeptFaults {
        loses_ends: true,
        ..KeptFaults::none()
    };
    assert!(is_noticed(forgetful, &[]));
}

/// Clocks that go on while their box is suspended, as all processes have them.
const CLOCKS_GO_ON: SuspendedClocks = SuspendedClocks {
    of_runners: SuspendedClock::GoesOn,
    of_dispatchers: SuspendedClock::GoesOn,
};

#[test]
fn no_two_runs_of_a_task_overlap_while_boxes_are_suspended() {
    let (mut done, mut suspensions) = (0, 0);
    for seed in 0..SEEDS {
        let mut world = World::new(seed, WorldFaults::with_suspensions(CLOCKS_GO_ON));
        world.play(20_000);
        done += world.completed;
        suspensions += world.suspensions;
    }
    assert!(done > 500, "the world does some work: {done} jobs");
    assert!(
        suspensions > 100,
        "boxes are suspended: {suspensions} times"
    );
}

/// Returns whether a world in which some clocks stand still while their box is suspended ends with a broken rule, in any seed.
fn is_noticed_with(clocks: SuspendedClocks) -> bool {
    let outcome = std::panic::catch_unwind(|| {
        for seed in 0..MUTATION_SEEDS {
            World::new(seed, WorldFaults::with_suspensions(clocks)).play(20_000);
        }
    });
    outcome.is_err()
}

#[test]
fn the_checker_notices_runners_whose_clock_stands_still_while_they_are_suspended() {
    let clocks = SuspendedClocks {
        of_runners: SuspendedClock::StandsStill,
        ..CLOCKS_GO_ON
    };
    assert!(is_noticed_with(clocks));
}

#[test]
fn the_checker_notices_dispatchers_whose_clock_stands_still_while_they_are_suspended() {
    let clocks = SuspendedClocks {
        of_dispatchers: SuspendedClock::StandsStill,
        ..CLOCKS_GO_ON
    };
    assert!(is_noticed_with(clocks));
}
