//! Checks of the configuration's chain, of answers to changes, and of reads (I1 to I4).

use super::changes::{Change, Changes};
use super::{Findings, Invariant};
use crate::history::{History, Reply, Write};

/// Versions rise, so each committed change spans base to version, and no two spans overlap. Of two
/// that do, one that was in force before the other was sent has been lost.
pub(super) fn check_chain(changes: &Changes, found: &mut Findings) {
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
pub(super) fn check_order(changes: &Changes, found: &mut Findings) {
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
pub(super) fn check_answers(history: &History, changes: &Changes, found: &mut Findings) {
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
pub(super) fn check_refusals(history: &History, changes: &Changes, found: &mut Findings) {
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
pub(super) fn check_reads(history: &History, changes: &Changes, found: &mut Findings) {
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
pub(super) fn check_last_reads(history: &History, changes: &Changes, found: &mut Findings) {
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
