//! Checks of leases, memberships, catch-up, drains, calls, panics and progress.

use super::changes::Changes;
use super::{Findings, Invariant};
use crate::constants::PROGRESS_TIMEOUT;
use crate::history::{History, LeaseObservation, Reply, Write};
use std::collections::{BTreeMap, BTreeSet};

/// A lease has at most one holder at a time; a fencing token has one holder ever, and tokens never decrease.
pub(super) fn check_holders(history: &History, findings: &mut Findings) {
    let mut by_time: BTreeMap<(&str, u64), &LeaseObservation> = BTreeMap::new();
    let mut by_token: BTreeMap<(&str, u64), &LeaseObservation> = BTreeMap::new();
    let mut newest: BTreeMap<&str, &LeaseObservation> = BTreeMap::new();
    for holder in &history.holders {
        let concurrent = by_time.insert((holder.lease_name, holder.at), holder);
        if let Some(other) = concurrent {
            findings.add(Invariant::Holder, format!("two holders at once: {other:?} {holder:?}"));
        }
        let first = by_token.entry((holder.lease_name, holder.fencing_token)).or_insert(holder);
        if (first.machine, first.start) != (holder.machine, holder.start) {
            findings
                .add(Invariant::Holder, format!("fencing token held twice: {first:?} {holder:?}"));
        }
        let last = newest.entry(holder.lease_name).or_insert(holder);
        if last.fencing_token > holder.fencing_token {
            findings
                .add(Invariant::Holder, format!("fencing token decreased: {last:?} {holder:?}"));
        }
        *last = holder;
    }
}

/// An epoch has one membership, and the next one adds at most one member and removes at most one.
pub(super) fn check_memberships(history: &History, findings: &mut Findings) {
    let mut by_epoch: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for observation in &history.memberships {
        let members: BTreeSet<&str> = observation.members.iter().map(String::as_str).collect();
        let first = by_epoch.entry(observation.epoch).or_insert_with(|| members.clone());
        if *first != members {
            findings
                .add(Invariant::Members, format!("two memberships in one epoch: {observation:?}"));
        }
    }
    for ((epoch, before), (next, after)) in by_epoch.iter().zip(by_epoch.iter().skip(1)) {
        let changed = before.difference(after).count().max(after.difference(before).count());
        if *next == epoch + 1 && changed > 1 {
            let why = format!("{changed} members changed at once from epoch {epoch} to {next}");
            findings.add(Invariant::Members, why);
        }
    }
}

/// At the end of the run, every member votes and has the acknowledged configuration.
pub(super) fn check_caught_up(history: &History, changes: &Changes, findings: &mut Findings) {
    let newest = changes.newest_at(history.calm_from).map_or(0, |c| c.version.number);
    for member in &history.caught_up {
        if !member.votes || member.version < newest {
            let why = format!("version {newest} was in effect before the faults ended: {member:?}");
            findings.add(Invariant::CatchUp, why);
        }
    }
}

/// After the faults, no controller considers an engine with an acknowledged drain as ready.
pub(super) fn check_drains(history: &History, findings: &mut Findings) {
    for observation in history.drains.iter().filter(|observation| observation.ready) {
        findings
            .add(Invariant::Durability, format!("acknowledged drain was lost: {observation:?}"));
    }
}

/// A response belongs to its call, and no call is handled twice.
pub(super) fn check_calls(history: &History, findings: &mut Findings) {
    for call in &history.calls {
        let is_mismatched = call.answered.as_ref().is_some_and(|answer| *answer != call.question);
        let is_unhandled = call.answered.is_some() && call.handled == 0;
        if is_mismatched || is_unhandled || call.handled > 1 {
            findings.add(Invariant::Calls, format!("{call:?}"));
        }
    }
}

/// Reports each distinct panic once.
pub(super) fn check_panics(history: &History, findings: &mut Findings) {
    let panics: BTreeSet<&String> = history.panics.iter().collect();
    for panic in panics {
        findings.add(Invariant::NoPanic, panic.clone());
    }
}

/// After the last fault, a change is acknowledged within [`PROGRESS_TIMEOUT`].
pub(super) fn check_progress(history: &History, findings: &mut Findings) {
    let limit = history.calm_from + PROGRESS_TIMEOUT.as_micros() as u64;
    let acknowledged = |write: &Write| {
        write.reply == Reply::Acknowledged
            && write.invoked >= history.calm_from
            && write.completed <= limit
    };
    if history.finished && !history.writes.iter().any(acknowledged) {
        let why = format!("no change acknowledged from {} to {limit} us", history.calm_from);
        findings.add(Invariant::Progress, why);
    }
}
