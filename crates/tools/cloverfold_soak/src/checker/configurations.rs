//! Configurations: verdicts, reads, and what is in force at entries.

use super::calm::is_in_touch;
use super::{Bounds, Guarantee, Violation};
use crate::records::{
    ConfigurationOrder, ConfigurationRead, Elapsed, History, OrderAnswer, Probe, Process, Version,
};

pub(super) fn check(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let verdicts = history
        .configuration_orders
        .iter()
        .filter_map(check_verdict);
    let reads = history.configuration_reads.iter();
    let reads = reads.flat_map(|read| check_read(history, read));
    let probes = history.probes.iter();
    let late = probes
        .clone()
        .filter_map(|probe| check_in_force(history, bounds, probe));
    let reverted = probes.filter_map(|probe| check_reverted(history, probe));
    verdicts.chain(reads).chain(late).chain(reverted).collect()
}

fn check_verdict(order: &ConfigurationOrder) -> Option<Violation> {
    let (at, answer) = order.answer?;
    let what = match (order.is_valid, answer) {
        (true, OrderAnswer::Refused) => "valid and was refused",
        (false, OrderAnswer::Acknowledged) => "invalid and was acknowledged",
        _ => return None,
    };
    let what = format!("version {} is {what}", order.version);
    Some(Violation::new(Guarantee::RightVerdict, at, what))
}

/// Returns the highest valid version that was acknowledged before a moment, and when it first was.
pub(super) fn find_acknowledged(history: &History, before: Elapsed) -> Option<(Version, Elapsed)> {
    let orders = history.configuration_orders.iter();
    let acknowledged = orders.filter_map(|order| match order.answer {
        Some((at, OrderAnswer::Acknowledged)) if order.is_valid && at < before => {
            Some((order.version, at))
        }
        _ => None,
    });
    acknowledged.max_by_key(|(version, at)| (*version, std::cmp::Reverse(*at)))
}

fn check_read(history: &History, read: &ConfigurationRead) -> Vec<Violation> {
    let mut violations = Vec::new();
    let acknowledged = find_acknowledged(history, read.asked_at);
    if let Some((version, at)) = acknowledged.filter(|(version, _)| *version > read.version) {
        let what = format!(
            "control-{} showed version {}, and {version} had been acknowledged at {:.3} s",
            read.control,
            read.version,
            at.as_secs_f64()
        );
        violations.push(Violation::new(Guarantee::NewestIsRead, read.asked_at, what));
    }
    if !read.is_as_sent {
        let what = format!(
            "control-{} showed a version {} that nobody has sent so",
            read.control, read.version
        );
        violations.push(Violation::new(Guarantee::ShownAsSent, read.asked_at, what));
    }
    violations
}

/// Returns whether a version that does not have the probe's queue any more may be in force.
fn may_be_dropped(history: &History, probe: &Probe) -> bool {
    history.configuration_orders.iter().any(|order| {
        let was_sent = order.sent_at <= probe.answered_at;
        order.is_valid && order.version > probe.last_version && was_sent
    })
}

fn check_in_force(history: &History, bounds: &Bounds, probe: &Probe) -> Option<Violation> {
    if probe.is_known || may_be_dropped(history, probe) {
        return None;
    }
    let before = probe.asked_at.checked_sub(bounds.apply)?;
    let (version, at) = find_acknowledged(history, before)?;
    let since = before.saturating_sub(bounds.quiet_period);
    let entry = Process::Entry(probe.entry);
    let is_due = version >= probe.version;
    (is_due && is_in_touch(history, entry, since, probe.answered_at)).then(|| {
        let what = format!(
            "{entry} does not know a queue of version {}, and {version} was acknowledged at {:.3} s",
            probe.version,
            at.as_secs_f64()
        );
        Violation::new(Guarantee::InForceInTime, probe.asked_at, what)
    })
}

/// Compares a probe with the earlier ones of the same queue in the same life of the entry.
fn check_reverted(history: &History, probe: &Probe) -> Option<Violation> {
    if probe.is_known || may_be_dropped(history, probe) {
        return None;
    }
    let earlier = history.probes.iter().find(|earlier| {
        let is_same = earlier.entry == probe.entry && earlier.life == probe.life;
        let is_before = earlier.answered_at < probe.asked_at;
        is_same && is_before && earlier.is_known && earlier.version == probe.version
    })?;
    let what = format!(
        "entry-{} knew a queue of version {} at {:.3} s and does not any more",
        probe.entry,
        probe.version,
        earlier.answered_at.as_secs_f64()
    );
    Some(Violation::new(
        Guarantee::NeverReverts,
        probe.asked_at,
        what,
    ))
}
