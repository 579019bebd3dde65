//! Policies that choose which guards run a job's tasks.

use serde::{Deserialize, Serialize};

use crate::{GuardId, Placement};

/// A guard that can accept tasks, with its known load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The guard and its current incarnation.
    pub placement: Placement,
    /// Tasks that are known to run or wait there.
    pub load: u32,
    /// Tasks that can run there concurrently.
    pub slots: u32,
}

/// How tasks are placed; all policies but [`PlacementPolicy::Packed`] are baselines for benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Any guard, with equal probability.
    Random,
    /// Each guard in turn.
    RoundRobin,
    /// The less loaded of two guards drawn at random.
    TwoChoices,
    /// For each task the guard with the lowest load per slot; ties are broken at random.
    LeastLoaded,
    /// Fills the free slots of the guard with the lowest load per slot before the next such guard.
    #[default]
    Packed,
}

/// Places `count` tasks in sequence, adding each to the load of its guard before it places the next.
///
/// `random_below(n)` returns a number below `n`. Returns the index of each task's candidate, or an empty list when
/// there is no candidate.
pub fn choose_placements(
    policy: PlacementPolicy,
    candidates: &mut [Candidate],
    count: usize,
    mut random_below: impl FnMut(usize) -> usize,
) -> Vec<usize> {
    if candidates.is_empty() {
        return Vec::new();
    }
    let first = random_below(candidates.len());
    let mut chosen = Vec::with_capacity(count);
    for task in 0..count {
        let index = match policy {
            PlacementPolicy::Random => random_below(candidates.len()),
            PlacementPolicy::RoundRobin => (first + task) % candidates.len(),
            PlacementPolicy::TwoChoices => choose_less_loaded_of_two(candidates, &mut random_below),
            PlacementPolicy::LeastLoaded => choose_least_loaded(candidates, &mut random_below),
            PlacementPolicy::Packed => match chosen.last() {
                Some(last) if has_free_slot(&candidates[*last]) => *last,
                _ => choose_least_loaded(candidates, &mut random_below),
            },
        };
        candidates[index].load += 1;
        chosen.push(index);
    }
    chosen
}

/// Chooses a guard with a free slot that is not in `avoid`, and adds the task to its load.
///
/// The probability of a guard is proportional to its free slots, because several guards may choose from the same
/// reports concurrently.
pub fn choose_free_placement(
    candidates: &mut [Candidate],
    avoid: &[GuardId],
    random_below: impl FnOnce(usize) -> usize,
) -> Option<Placement> {
    let count_free = |candidate: &Candidate| {
        let is_avoided = avoid.contains(&candidate.placement.guard);
        if is_avoided {
            0
        } else {
            candidate.slots.saturating_sub(candidate.load) as usize
        }
    };
    let total: usize = candidates.iter().map(count_free).sum();
    if total == 0 {
        return None;
    }
    let mut position = random_below(total);
    for candidate in candidates {
        let free = count_free(candidate);
        if position < free {
            candidate.load += 1;
            return Some(candidate.placement);
        }
        position -= free;
    }
    None
}

/// Orders candidates by load per slot; ties are broken at random.
pub fn rank_by_load(
    candidates: &mut [Candidate],
    mut random_below: impl FnMut(usize) -> usize,
) -> Vec<Placement> {
    for index in (1..candidates.len()).rev() {
        candidates.swap(index, random_below(index + 1));
    }
    candidates.sort_by(compare_load);
    candidates
        .iter()
        .map(|candidate| candidate.placement)
        .collect()
}

/// Compares the load per slot without a division.
fn compare_load(a: &Candidate, b: &Candidate) -> std::cmp::Ordering {
    let a_scaled = u64::from(a.load) * u64::from(b.slots.max(1));
    let b_scaled = u64::from(b.load) * u64::from(a.slots.max(1));
    a_scaled.cmp(&b_scaled)
}

fn has_free_slot(candidate: &Candidate) -> bool {
    candidate.load < candidate.slots
}

fn choose_less_loaded_of_two(
    candidates: &[Candidate],
    random_below: &mut impl FnMut(usize) -> usize,
) -> usize {
    let first = random_below(candidates.len());
    let second = random_below(candidates.len());
    if compare_load(&candidates[second], &candidates[first]).is_lt() {
        second
    } else {
        first
    }
}

fn choose_least_loaded(
    candidates: &[Candidate],
    random_below: &mut impl FnMut(usize) -> usize,
) -> usize {
    // A random start breaks ties evenly.
    let start = random_below(candidates.len());
    let rotated = (0..candidates.len()).map(|step| (start + step) % candidates.len());
    let least = rotated.min_by(|a, b| compare_load(&candidates[*a], &candidates[*b]));
    least.unwrap_or(start)
}
