//! Judges a history by the invariants of the control plane.

use crate::constants::PROGRESS_TIMEOUT;
use crate::history::{History, Holder, Read, Reply, Version, Write};
use std::collections::{BTreeMap, BTreeSet};

/// The rules that a history can break, numbered as in the design.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub enum Invariant {
    /// I1: what was committed is for ever.
    Durability,
    /// I2: committed versions form one chain.
    Chain,
    /// I3: an answer is given only when it is certain.
    Answers,
    /// I4: reads and refusals are fresh.
    Fresh,
    /// I5: one holder of a duty, under one fence.
    Holder,
    /// I6: one membership an epoch, moved by one member at a time.
    Members,
    /// I7: a member that was away catches up.
    CatchUp,
    /// I8: one caller, one answer.
    Calls,
    /// No controller panics.
    NoPanic,
    /// Progress: once the faults have ended, changes are acknowledged.
    Progress,
}

impl Invariant {
    /// The short name that docs and reports use.
    pub fn code(self) -> &'static str {
        match self {
            Invariant::Durability => "I1",
            Invariant::Chain => "I2",
            Invariant::Answers => "I3",
            Invariant::Fresh => "I4",
            Invariant::Holder => "I5",
            Invariant::Members => "I6",
            Invariant::CatchUp => "I7",
            Invariant::Calls => "I8",
            Invariant::NoPanic => "no-panic",
            Invariant::Progress => "progress",
        }
    }
}

/// One broken invariant, with what shows it.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Violation {
    /// Which rule.
    pub invariant: Invariant,
    /// The operations that contradict each other.
    pub why: String,
}

/// All that a history breaks; empty for a clean one.
pub fn check(history: &History) -> Vec<Violation> {
    let mut found = Findings::default();
    let changes = Changes::gather(history);
    check_chain(&changes, &mut found);
    check_order(&changes, &mut found);
    check_answers(history, &changes, &mut found);
    check_refusals(history, &changes, &mut found);
    check_reads(history, &changes, &mut found);
    check_last_reads(history, &changes, &mut found);
    check_holders(history, &mut found);
    check_memberships(history, &mut found);
    check_caught_up(history, &changes, &mut found);
    check_drains(history, &mut found);
    check_calls(history, &mut found);
    check_panics(history, &mut found);
    check_progress(history, &mut found);
    found.0
}

#[derive(Default)]
struct Findings(Vec<Violation>);

impl Findings {
    fn add(&mut self, invariant: Invariant, why: String) {
        self.0.push(Violation { invariant, why });
    }
}

/// One change, over all its sendings.
struct Change {
    version: Version,
    base: u64,
    valid: bool,
    first_invoked: u64,
    first_acknowledged: Option<u64>,
    first_observed: Option<u64>,
    refused: bool,
}

impl Change {
    fn is_committed(&self) -> bool {
        self.first_acknowledged.is_some() || self.first_observed.is_some()
    }

    /// Whether it was in force before the other was even sent, and the other doesn't build on it.
    fn was_superseded_by(&self, other: &Change) -> bool {
        self.in_force_by().is_some_and(|by| by < other.first_invoked)
    }

    /// The moment by which it was surely in force.
    fn in_force_by(&self) -> Option<u64> {
        match (self.first_acknowledged, self.first_observed) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

struct Changes {
    all: BTreeMap<Version, Change>,
    /// read, but never sent by anybody
    unsent: Vec<Read>,
}

impl Changes {
    fn gather(history: &History) -> Changes {
        let mut all: BTreeMap<Version, Change> = BTreeMap::new();
        for write in &history.writes {
            let change = all.entry(write.version).or_insert_with(|| Change {
                version: write.version,
                base: write.base,
                valid: write.valid,
                first_invoked: write.invoked,
                first_acknowledged: None,
                first_observed: None,
                refused: false,
            });
            change.first_invoked = change.first_invoked.min(write.invoked);
            change.refused |= write.reply == Reply::Refused;
            if write.reply == Reply::Acknowledged {
                change.first_acknowledged = earliest(change.first_acknowledged, write.completed);
            }
        }
        let mut unsent = Vec::new();
        for read in history.reads.iter().chain(&history.last_reads) {
            match all.get_mut(&read.version) {
                Some(change) => {
                    change.first_observed = earliest(change.first_observed, read.completed);
                }
                None => unsent.push(read.clone()),
            }
        }
        Changes { all, unsent }
    }

    fn committed(&self) -> Vec<&Change> {
        self.all.values().filter(|change| change.is_committed()).collect()
    }

    /// The highest version that was surely in force at a moment.
    fn newest_at(&self, at: u64) -> Option<&Change> {
        self.committed().into_iter().rfind(|change| change.in_force_by().is_some_and(|by| by < at))
    }
}

fn earliest(current: Option<u64>, other: u64) -> Option<u64> {
    Some(current.map_or(other, |at| at.min(other)))
}

/// Versions rise, so each committed change spans base to version, and no two spans overlap. Of two
/// that do, one that was in force before the other was sent has been lost.
fn check_chain(changes: &Changes, found: &mut Findings) {
    let committed = changes.committed();
    for change in &committed {
        if !change.valid {
            let why = format!("{:?} is invalid and in force", change.version);
            found.add(Invariant::Chain, why);
        }
    }
    for pair in committed.windows(2) {
        let (before, after) = (pair[0], pair[1]);
        if after.base < before.version.number {
            let why = format!(
                "{:?} on base {} and {:?} on base {} are both in force",
                before.version, before.base, after.version, after.base
            );
            let lost = before.was_superseded_by(after) || after.was_superseded_by(before);
            found.add(if lost { Invariant::Durability } else { Invariant::Chain }, why);
        }
    }
    for read in &changes.unsent {
        found.add(Invariant::Chain, format!("nobody sent what was read: {read:?}"));
    }
}

/// A change can't take effect before one that stands before it in the chain was even sent.
fn check_order(changes: &Changes, found: &mut Findings) {
    let mut latest: Option<&Change> = None;
    for change in changes.committed() {
        if let Some(before) = latest
            && change.in_force_by().is_some_and(|by| by < before.first_invoked)
        {
            let why = format!("{:?} was in force before {:?}", change.version, before.version);
            found.add(Invariant::Chain, why);
        }
        if latest.is_none_or(|before| before.first_invoked < change.first_invoked) {
            latest = Some(change);
        }
    }
}

/// What was refused for certain must never be in force.
fn check_answers(history: &History, changes: &Changes, found: &mut Findings) {
    for change in changes.all.values() {
        if change.refused && change.is_committed() {
            let why = format!("{:?} was refused with 412 and is in force", change.version);
            found.add(Invariant::Answers, why);
        }
    }
    let wrongly_invalid = |write: &&Write| {
        write.reply == Reply::Invalid && changes.all[&write.version].is_committed()
    };
    for write in history.writes.iter().filter(wrongly_invalid) {
        found.add(Invariant::Answers, format!("refused as invalid, and in force: {write:?}"));
    }
}

/// A refusal needs another change that may have followed the base.
fn check_refusals(history: &History, changes: &Changes, found: &mut Findings) {
    for write in history.writes.iter().filter(|write| write.reply == Reply::Refused) {
        let rival = changes.all.values().any(|change| {
            change.version != write.version
                && change.base == write.base
                && change.valid
                && (change.is_committed() || !change.refused)
                && change.first_invoked < write.completed
        });
        let current = changes.newest_at(write.invoked).map_or(0, |c| c.version.number);
        if !rival && current == write.base {
            found.add(Invariant::Fresh, format!("refused though its base was current: {write:?}"));
        }
    }
}

/// A read is never older than what was in force before it began.
fn check_reads(history: &History, changes: &Changes, found: &mut Findings) {
    for read in &history.reads {
        if let Some(newest) = changes.newest_at(read.invoked)
            && newest.version.number > read.version.number
        {
            let why = format!("{:?} was in force before this began: {read:?}", newest.version);
            found.add(Invariant::Fresh, why);
        }
        let sent = changes.all.get(&read.version).map(|change| change.first_invoked);
        if sent.is_some_and(|at| at > read.completed) {
            found.add(Invariant::Fresh, format!("read before it was sent: {read:?}"));
        }
    }
}

/// With all faults ended, every node gives the newest acknowledged change or a later unknown one.
fn check_last_reads(history: &History, changes: &Changes, found: &mut Findings) {
    let acknowledged =
        changes.all.values().filter(|c| c.first_acknowledged.is_some()).map(|c| c.version).max();
    let Some(newest) = acknowledged else { return };
    if history.finished && history.last_reads.is_empty() {
        found.add(Invariant::Durability, format!("nobody gives {newest:?}, or anything, back"));
    }
    for read in &history.last_reads {
        if read.version.number < newest.number {
            let why = format!("{newest:?} was acknowledged and is lost: {read:?}");
            found.add(Invariant::Durability, why);
        }
    }
}

/// At one moment a duty has one holder; a fence has one holder ever, and later ones are higher.
fn check_holders(history: &History, found: &mut Findings) {
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
            found.add(Invariant::Holder, format!("one fence for two: {same:?} {holder:?}"));
        }
        let last = newest.entry(holder.lease_name).or_insert(holder);
        if last.fencing_token > holder.fencing_token {
            found.add(Invariant::Holder, format!("a fence fell: {last:?} {holder:?}"));
        }
        *last = holder;
    }
}

/// An epoch has one membership, and the next one differs by one member in and one out.
fn check_memberships(history: &History, found: &mut Findings) {
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
fn check_caught_up(history: &History, changes: &Changes, found: &mut Findings) {
    let newest = changes.newest_at(history.calm_from).map_or(0, |c| c.version.number);
    for member in &history.caught_up {
        if !member.votes || member.version < newest {
            let why = format!("version {newest} was in force before the calm: {member:?}");
            found.add(Invariant::CatchUp, why);
        }
    }
}

/// An acknowledged drain outlives the faults at every controller.
fn check_drains(history: &History, found: &mut Findings) {
    for observation in history.drains.iter().filter(|observation| observation.ready) {
        found.add(
            Invariant::Durability,
            format!("a drain was acknowledged and is lost: {observation:?}"),
        );
    }
}

/// An answer belongs to its call, and no call is handled twice.
fn check_calls(history: &History, found: &mut Findings) {
    for call in &history.calls {
        let astray = call.answered.as_ref().is_some_and(|answer| *answer != call.question);
        let unheard = call.answered.is_some() && call.handled == 0;
        if astray || unheard || call.handled > 1 {
            found.add(Invariant::Calls, format!("{call:?}"));
        }
    }
}

/// One line for each place.
fn check_panics(history: &History, found: &mut Findings) {
    let places: BTreeSet<&String> = history.panics.iter().collect();
    for place in places {
        found.add(Invariant::NoPanic, place.clone());
    }
}

/// After the last fault a change is acknowledged within the limit.
fn check_progress(history: &History, found: &mut Findings) {
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

#[cfg(test)]
#[path = "checker_tests.rs"]
mod tests;
