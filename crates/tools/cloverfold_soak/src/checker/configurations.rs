//! Checks the answers to configuration updates, configuration reads, and the configuration in force at entries.

use super::disturbances::is_undisturbed;
use super::{Bounds, Guarantee, Violation};
use crate::records::{
    ConfigurationOrder, ConfigurationRead, Elapsed, History, OrderAnswer, Probe, Process, Version,
};

pub(super) fn check(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let answers = history.configuration_orders.iter().filter_map(check_answer);
    let reads = history.configuration_reads.iter();
    let reads = reads.flat_map(|read| check_read(history, read));
    let probes = history.probes.iter();
    let outdated = probes
        .clone()
        .filter_map(|probe| check_in_force(history, bounds, probe));
    let reverted = probes.filter_map(|probe| check_no_revert(history, probe));
    answers
        .chain(reads)
        .chain(outdated)
        .chain(reverted)
        .collect()
}

fn check_answer(order: &ConfigurationOrder) -> Option<Violation> {
    let (at, answer) = order.answer?;
    let verdict = match (order.is_valid, answer) {
        (true, OrderAnswer::Refused) => "valid and was refused",
        (false, OrderAnswer::Acknowledged) => "invalid and was acknowledged",
        _ => return None,
    };
    let description = format!("version {} is {verdict}", order.version);
    Some(Violation::new(Guarantee::RightVerdict, at, description))
}

/// Returns the highest valid version that was acknowledged before a time, with the time of its first acknowledgement.
pub(super) fn find_newest_acknowledged(
    history: &History,
    before: Elapsed,
) -> Option<(Version, Elapsed)> {
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
    let acknowledged = find_newest_acknowledged(history, read.requested_at);
    if let Some((version, at)) = acknowledged.filter(|(version, _)| *version > read.version) {
        let description = format!(
            "control-{} returned version {}, but version {version} was acknowledged at {:.3} s",
            read.control,
            read.version,
            at.as_secs_f64()
        );
        violations.push(Violation::new(
            Guarantee::NewestIsRead,
            read.requested_at,
            description,
        ));
    }
    if !read.is_as_sent {
        let description = format!(
            "control-{} returned a version {} whose text no operator has sent",
            read.control, read.version
        );
        violations.push(Violation::new(
            Guarantee::ShownAsSent,
            read.requested_at,
            description,
        ));
    }
    violations
}

/// Returns whether a version that no longer has the probe's queue may be in force.
fn may_lack_queue(history: &History, probe: &Probe) -> bool {
    history.configuration_orders.iter().any(|order| {
        let was_sent = order.sent_at <= probe.answered_at;
        order.is_valid && order.version > probe.last_version && was_sent
    })
}

fn check_in_force(history: &History, bounds: &Bounds, probe: &Probe) -> Option<Violation> {
    if probe.is_known || may_lack_queue(history, probe) {
        return None;
    }
    let before = probe.requested_at.checked_sub(bounds.apply)?;
    let (version, at) = find_newest_acknowledged(history, before)?;
    let since = before.saturating_sub(bounds.quiet_period);
    let entry = Process::Entry(probe.entry);
    let is_due = version >= probe.version;
    (is_due && is_undisturbed(history, entry, since, probe.answered_at)).then(|| {
        let description = format!(
            "{entry} does not know a queue of version {}, but version {version} was acknowledged at {:.3} s",
            probe.version,
            at.as_secs_f64()
        );
        Violation::new(Guarantee::InForceInTime, probe.requested_at, description)
    })
}

/// Compares a probe with earlier probes of the same queue in the same process incarnation of the entry.
fn check_no_revert(history: &History, probe: &Probe) -> Option<Violation> {
    if probe.is_known || may_lack_queue(history, probe) {
        return None;
    }
    let earlier = history.probes.iter().find(|earlier| {
        let is_same = earlier.entry == probe.entry && earlier.incarnation == probe.incarnation;
        let is_before = earlier.answered_at < probe.requested_at;
        is_same && is_before && earlier.is_known && earlier.version == probe.version
    })?;
    let description = format!(
        "entry-{} no longer knows a queue of version {} that it knew at {:.3} s",
        probe.entry,
        probe.version,
        earlier.answered_at.as_secs_f64()
    );
    Some(Violation::new(
        Guarantee::NeverReverts,
        probe.requested_at,
        description,
    ))
}
