//! Checks of leases, memberships, catching up, drains, calls and progress.

use super::changes::Changes;
use super::{Findings, Invariant};
use crate::constants::PROGRESS_TIMEOUT;
use crate::history::{History, Holder, Reply, Write};
use std::collections::{BTreeMap, BTreeSet};

/// At one moment a lease has one holder; a fencing token has one holder ever, and later ones are higher.
pub(super) fn check_holders(history: &History, found: &mut Findings) {
    let mut at_moment: BTreeMap<(&str, u64), &Holder> = BTreeMap::new();
    let mut of_token: BTreeMap<(&str, u64), &Holder> = BTreeMap::new();
    let mut newest: BTreeMap<&str, &Holder> = BTreeMap::new();
    for holder in &history.holders {
        let together = at_moment.insert((holder.lease_name, holder.at), holder);
        if let Some(other) = together {
            found.add(Invariant::Holder, format!("two at once: {other:?} {holder:?}"));
        }
        let same = of_token.entry((holder.lease_name, holder.fencing_token)).or_insert(holder);
        if (same.machine, same.start) != (holder.machine, holder.start) {
            found.add(Invariant::Holder, format!("one fencing token for two: {same:?} {holder:?}"));
        }
        let last = newest.entry(holder.lease_name).or_insert(holder);
        if last.fencing_token > holder.fencing_token {
            found.add(Invariant::Holder, format!("a fencing token fell: {last:?} {holder:?}"));
        }
        *last = holder;
    }
}

/// An epoch has one membership, and the next one differs by one member in and one out.
pub(super) fn check_memberships(history: &History, found: &mut Findings) {
    let mut of_epoch: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for observation in &history.memberships {
        let members: BTreeSet<&str> = observation.members.iter().map(String::as_str).collect();
        let first = of_epoch.entry(observation.epoch).or_insert_with(|| members.clone());
        if *first != members {
            found.add(Invariant::Members, format!("two memberships of one epoch: {observation:?}"));
        }
    }
    for ((epoch, before), (next, after)) in of_epoch.iter().zip(of_epoch.iter().skip(1)) {
        let moved = before.difference(after).count().max(after.difference(before).count());
        if *next == epoch + 1 && moved > 1 {
            let why = format!("epoch {epoch} to {next} moves {moved} members at once");
            found.add(Invariant::Members, why);
        }
    }
}

/// When the time for it is over, every member votes and holds what was acknowledged.
pub(super) fn check_caught_up(history: &History, changes: &Changes, found: &mut Findings) {
    let newest = changes.newest_at(history.calm_from).map_or(0, |c| c.version.number);
    for member in &history.caught_up {
        if !member.votes || member.version < newest {
            let why = format!("version {newest} was in force before the calm: {member:?}");
            found.add(Invariant::CatchUp, why);
        }
    }
}

/// An acknowledged drain outlives the faults at every controller.
pub(super) fn check_drains(history: &History, found: &mut Findings) {
    for observation in history.drains.iter().filter(|observation| observation.ready) {
        found.add(
            Invariant::Durability,
            format!("a drain was acknowledged and is lost: {observation:?}"),
        );
    }
}

/// An answer belongs to its call, and no call is handled twice.
pub(super) fn check_calls(history: &History, found: &mut Findings) {
    for call in &history.calls {
        let astray = call.answered.as_ref().is_some_and(|answer| *answer != call.question);
        let is_unhandled = call.answered.is_some() && call.handled == 0;
        if astray || is_unhandled || call.handled > 1 {
            found.add(Invariant::Calls, format!("{call:?}"));
        }
    }
}

/// One line for each place.
pub(super) fn check_panics(history: &History, found: &mut Findings) {
    let places: BTreeSet<&String> = history.panics.iter().collect();
    for place in places {
        found.add(Invariant::NoPanic, place.clone());
    }
}

/// After the last fault a change is acknowledged within the limit.
pub(super) fn check_progress(history: &History, found: &mut Findings) {
    let limit = history.calm_from + PROGRESS_TIMEOUT.as_micros() as u64;
    let acknowledged = |write: &Write| {
        write.reply == Reply::Acknowledged
            && write.invoked >= history.calm_from
            && write.completed <= limit
    };
    if history.finished && !history.writes.iter().any(acknowledged) {
        let why = format!("no change acknowledged from {} to {limit} us", history.calm_from);
        found.add(Invariant::Progress, why);
    }
}
