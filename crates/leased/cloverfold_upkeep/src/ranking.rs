//! Ranking of the boxes of a wave that may go down next.
//!
//! In order of preference:
//!
//! 1. a box in an evacuated data hall, where no work starts anyway;
//! 2. a box without a target, which has no work to lose;
//! 3. a box whose guard has recently reported that nothing runs there;
//! 4. the box whose pool, data hall and labels have the smallest share of boxes that are down or draining, counting the box itself: first
//!    by the largest of these shares, then by their sum;
//! 5. the first box by name.
//!
//! The shares spread the boxes that are down at once over racks and halls, so that each kind of work keeps capacity everywhere.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use crate::boxes::ListedBox;
use crate::wave::BoxName;

/// A set of boxes that share a property.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Domain<'a> {
    Pool(&'a str),
    Hall(&'a str),
    Label(&'a str),
}

/// The number of boxes in a domain, and how many of them are down.
#[derive(Clone, Copy, Debug, Default)]
struct DomainCounts {
    boxes: u32,
    down: u32,
}

/// Rank of a candidate; the lowest is selected.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rank {
    is_hall_in_use: bool,
    has_target: bool,
    is_busy: bool,
    largest_share: f64,
    sum_of_shares: f64,
}

impl Rank {
    fn compare(&self, other: &Self) -> Ordering {
        let flags = |rank: &Self| (rank.is_hall_in_use, rank.has_target, rank.is_busy);
        flags(self)
            .cmp(&flags(other))
            .then(self.largest_share.total_cmp(&other.largest_share))
            .then(self.sum_of_shares.total_cmp(&other.sum_of_shares))
    }
}

/// Returns the best of the candidates that may go down now.
pub fn select_next_box<'a>(
    candidates: impl Iterator<Item = &'a ListedBox>,
    listed: &BTreeMap<BoxName, ListedBox>,
    down: &BTreeSet<BoxName>,
    evacuated: &BTreeSet<String>,
    is_idle: impl Fn(&ListedBox) -> bool,
) -> Option<&'a ListedBox> {
    let domains = count_domains(listed, down);
    let ranked = candidates.map(|listed| {
        let mut rank = rank_box(listed, &domains, evacuated);
        rank.is_busy = !is_idle(listed);
        (rank, listed)
    });
    let next = ranked.min_by(|(rank, listed), (other_rank, other)| {
        rank.compare(other_rank)
            .then_with(|| listed.name.cmp(&other.name))
    });
    next.map(|(_, listed)| listed)
}

fn count_domains<'a>(
    listed: &'a BTreeMap<BoxName, ListedBox>,
    down: &BTreeSet<BoxName>,
) -> BTreeMap<Domain<'a>, DomainCounts> {
    let mut domains: BTreeMap<Domain, DomainCounts> = BTreeMap::new();
    for listed in listed.values() {
        let is_down = down.contains(&listed.name);
        for domain in domains_of(listed) {
            let counts = domains.entry(domain).or_default();
            counts.boxes += 1;
            counts.down += u32::from(is_down);
        }
    }
    domains
}

fn domains_of(listed: &ListedBox) -> impl Iterator<Item = Domain<'_>> {
    let labels = listed.labels.iter().map(|label| Domain::Label(label));
    [Domain::Pool(&listed.pool), Domain::Hall(&listed.hall)]
        .into_iter()
        .chain(labels)
}

fn rank_box(
    listed: &ListedBox,
    domains: &BTreeMap<Domain, DomainCounts>,
    evacuated: &BTreeSet<String>,
) -> Rank {
    let share = |domain: Domain| {
        let counts = domains.get(&domain).copied().unwrap_or_default();
        f64::from(counts.down + 1) / f64::from(counts.boxes.max(1))
    };
    let shares: Vec<f64> = domains_of(listed).map(share).collect();
    Rank {
        is_hall_in_use: !evacuated.contains(&listed.hall),
        has_target: listed.target.is_some(),
        is_busy: true,
        largest_share: shares.iter().copied().fold(0.0, f64::max),
        sum_of_shares: shares.iter().sum(),
    }
}
