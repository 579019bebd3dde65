//! Decision: which box of a wave is next.
//!
//! Rule: of the boxes that may go down now, by this order:
//!
//! 1. one in an evacuated data hall: nothing starts there anyway;
//! 2. one without a target, which has no work to lose;
//! 3. one of which its guard told a moment ago that nothing runs there;
//! 4. the one whose pool, data hall and labels have the smallest part of their boxes down or about to go down, counted with it; the
//!    largest of these parts decides, then their sum;
//! 5. by name.
//!
//! Inputs: the list of boxes, which boxes are down or about to go down, the evacuated halls, what runs on boxes. Reason: boxes that go down together should
//! share no rack and no hall, so that each kind of work keeps room everywhere.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use crate::boxes::ListedBox;
use crate::wave::BoxName;

/// What boxes share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group<'a> {
    Pool(&'a str),
    Hall(&'a str),
    Label(&'a str),
}

/// The boxes of a group, and how many of them are down.
#[derive(Clone, Copy, Debug, Default)]
struct GroupSize {
    boxes: u32,
    down: u32,
}

/// How good a choice a box is; the least is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rank {
    is_hall_in_use: bool,
    has_target: bool,
    is_busy: bool,
    largest_part: f64,
    sum_of_parts: f64,
}

impl Rank {
    fn compare(&self, other: &Self) -> Ordering {
        let flags = |rank: &Self| (rank.is_hall_in_use, rank.has_target, rank.is_busy);
        flags(self)
            .cmp(&flags(other))
            .then(self.largest_part.total_cmp(&other.largest_part))
            .then(self.sum_of_parts.total_cmp(&other.sum_of_parts))
    }
}

/// Chooses the next box among those that may go down now.
pub fn choose_next_box<'a>(
    candidates: impl Iterator<Item = &'a ListedBox>,
    listed: &BTreeMap<BoxName, ListedBox>,
    down: &BTreeSet<BoxName>,
    evacuated: &BTreeSet<String>,
    is_idle: impl Fn(&ListedBox) -> bool,
) -> Option<&'a ListedBox> {
    let groups = count_groups(listed, down);
    let ranked = candidates.map(|listed| {
        let mut rank = rank(listed, &groups, evacuated);
        rank.is_busy = !is_idle(listed);
        (rank, listed)
    });
    let next = ranked.min_by(|(rank, listed), (other_rank, other)| {
        rank.compare(other_rank)
            .then_with(|| listed.name.cmp(&other.name))
    });
    next.map(|(_, listed)| listed)
}

fn count_groups<'a>(
    listed: &'a BTreeMap<BoxName, ListedBox>,
    down: &BTreeSet<BoxName>,
) -> BTreeMap<Group<'a>, GroupSize> {
    let mut groups: BTreeMap<Group, GroupSize> = BTreeMap::new();
    for listed in listed.values() {
        let is_down = down.contains(&listed.name);
        for group in list_groups(listed) {
            let size = groups.entry(group).or_default();
            size.boxes += 1;
            size.down += u32::from(is_down);
        }
    }
    groups
}

fn list_groups(listed: &ListedBox) -> impl Iterator<Item = Group<'_>> {
    let labels = listed.labels.iter().map(|label| Group::Label(label));
    [Group::Pool(&listed.pool), Group::Hall(&listed.hall)]
        .into_iter()
        .chain(labels)
}

fn rank(
    listed: &ListedBox,
    groups: &BTreeMap<Group, GroupSize>,
    evacuated: &BTreeSet<String>,
) -> Rank {
    let part = |group: Group| {
        let size = groups.get(&group).copied().unwrap_or_default();
        f64::from(size.down + 1) / f64::from(size.boxes.max(1))
    };
    let parts: Vec<f64> = list_groups(listed).map(part).collect();
    Rank {
        is_hall_in_use: !evacuated.contains(&listed.hall),
        has_target: listed.target.is_some(),
        is_busy: true,
        largest_part: parts.iter().copied().fold(0.0, f64::max),
        sum_of_parts: parts.iter().sum(),
    }
}
