//! Placement: which guards run a job's tasks.
//!
//! Owns nothing: candidates and random numbers are arguments. Measurements of the policies:
//! docs/design/3-lead-and-placement.md.

use serde::{Deserialize, Serialize};

use crate::{GuardId, Placement};

/// A guard that may take tasks, with what is known of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The guard and its present incarnation.
    pub placement: Placement,
    /// Tasks that run or wait there, as far as known.
    pub load: u32,
    /// Tasks that can run there at once.
    pub slots: u32,
}

/// How tasks are placed; all but [`PlacementPolicy::Packed`] are kept as baselines for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Any guard, with equal chance.
    Random,
    /// Each guard in turn.
    RoundRobin,
    /// The less loaded of two guards drawn at random.
    TwoChoices,
    /// The guard with the most free slots, ties drawn at random, one task at a time.
    LeastLoaded,
    /// As many tasks as have a free slot on the guard with the most free slots, then the next such guard.
    #[default]
    Packed,
}

/// Places `count` tasks one after the other, charging each to its guard before the next is placed.
///
/// `draw(n)` returns a number below `n`. Returns for each task the index of its candidate; empty when there is
/// no candidate.
pub fn choose_placements(
    policy: PlacementPolicy,
    candidates: &mut [Candidate],
    count: usize,
    mut draw: impl FnMut(usize) -> usize,
) -> Vec<usize> {
    if candidates.is_empty() {
        return Vec::new();
    }
    let first = draw(candidates.len());
    let mut chosen = Vec::with_capacity(count);
    for turn in 0..count {
        let index = match policy {
            PlacementPolicy::Random => draw(candidates.len()),
            PlacementPolicy::RoundRobin => (first + turn) % candidates.len(),
            PlacementPolicy::TwoChoices => choose_of_two(candidates, &mut draw),
            PlacementPolicy::LeastLoaded => choose_least_loaded(candidates, &mut draw),
            PlacementPolicy::Packed => match chosen.last() {
                Some(last) if has_free_slot(&candidates[*last]) => *last,
                _ => choose_least_loaded(candidates, &mut draw),
            },
        };
        candidates[index].load += 1;
        chosen.push(index);
    }
    chosen
}

/// Chooses a guard with a free slot that has not had the task, and charges the task to it.
///
/// A guard is drawn with a chance in proportion to its free slots, since several guards may choose by the same
/// reports at a time.
pub fn choose_free_placement(
    candidates: &mut [Candidate],
    avoid: &[GuardId],
    draw: impl FnOnce(usize) -> usize,
) -> Option<Placement> {
    let count_free = |one: &Candidate| {
        let is_avoided = avoid.contains(&one.placement.guard);
        if is_avoided {
            0
        } else {
            one.slots.saturating_sub(one.load) as usize
        }
    };
    let total: usize = candidates.iter().map(count_free).sum();
    if total == 0 {
        return None;
    }
    let mut place = draw(total);
    for candidate in candidates {
        let free = count_free(candidate);
        if place < free {
            candidate.load += 1;
            return Some(candidate.placement);
        }
        place -= free;
    }
    None
}

/// Orders candidates by how soon a new task would start there, ties drawn at random.
pub fn rank_by_load(
    candidates: &mut [Candidate],
    mut draw: impl FnMut(usize) -> usize,
) -> Vec<Placement> {
    for index in (1..candidates.len()).rev() {
        candidates.swap(index, draw(index + 1));
    }
    candidates.sort_by(compare_load);
    candidates.iter().map(|one| one.placement).collect()
}

/// Orders guards by how soon a new task would start: free slots first, then waiting per slot.
fn compare_load(a: &Candidate, b: &Candidate) -> std::cmp::Ordering {
    let a_scaled = u64::from(a.load) * u64::from(b.slots.max(1));
    let b_scaled = u64::from(b.load) * u64::from(a.slots.max(1));
    a_scaled.cmp(&b_scaled)
}

fn has_free_slot(candidate: &Candidate) -> bool {
    candidate.load < candidate.slots
}

fn choose_of_two(candidates: &[Candidate], draw: &mut impl FnMut(usize) -> usize) -> usize {
    let first = draw(candidates.len());
    let second = draw(candidates.len());
    if compare_load(&candidates[second], &candidates[first]).is_lt() {
        second
    } else {
        first
    }
}

fn choose_least_loaded(candidates: &[Candidate], draw: &mut impl FnMut(usize) -> usize) -> usize {
    // Starting anywhere makes ties fall evenly.
    let start = draw(candidates.len());
    let in_turn = (0..candidates.len()).map(|step| (start + step) % candidates.len());
    let least = in_turn.min_by(|a, b| compare_load(&candidates[*a], &candidates[*b]));
    least.unwrap_or(start)
}
