//! Checks of the chain of configurations, of responses to changes, and of reads (I1 to I4).

use super::changes::{Change, Changes};
use super::{Findings, Invariant};
use crate::history::{History, Reply, Write};

/// Versions increase, so each committed change covers the range from its base to its version, and no two
/// ranges overlap. If two do, and one was in effect before the other was sent, that one was lost.
pub(super) fn check_chain(changes: &Changes, findings: &mut Findings) {
    let committed = changes.committed();
    for change in &committed {
        if !change.valid {
            let why = format!("{:?} is invalid but in effect", change.version);
            findings.add(Invariant::Chain, why);
        }
    }
    for pair in committed.windows(2) {
        let (before, after) = (pair[0], pair[1]);
        if after.base < before.version.number {
            let why = format!(
                "{:?} on base {} and {:?} on base {} are both in effect",
                before.version, before.base, after.version, after.base
            );
            let is_lost = before.was_in_effect_before(after) || after.was_in_effect_before(before);
            findings.add(if is_lost { Invariant::Durability } else { Invariant::Chain }, why);
        }
    }
    for read in &changes.unsent {
        findings.add(Invariant::Chain, format!("read a version that was never sent: {read:?}"));
    }
}

/// A change cannot take effect before an earlier change in the chain was first sent.
pub(super) fn check_order(changes: &Changes, findings: &mut Findings) {
    let mut latest: Option<&Change> = None;
    for change in changes.committed() {
        if let Some(before) = latest
            && change.in_effect_by().is_some_and(|by| by < before.first_invoked)
        {
            let why =
                format!("{:?} was in effect before {:?} was sent", change.version, before.version);
            findings.add(Invariant::Chain, why);
        }
        if latest.is_none_or(|before| before.first_invoked < change.first_invoked) {
            latest = Some(change);
        }
    }
}

/// A change with a definite refusal must never be in effect.
pub(super) fn check_answers(history: &History, changes: &Changes, findings: &mut Findings) {
    for change in changes.all.values() {
        if change.refused && change.is_committed() {
            let why = format!("{:?} was refused with 412 but is in effect", change.version);
            findings.add(Invariant::Answers, why);
        }
    }
    let wrongly_invalid = |write: &&Write| {
        write.reply == Reply::Invalid && changes.all[&write.version].is_committed()
    };
    for write in history.writes.iter().filter(wrongly_invalid) {
        findings.add(Invariant::Answers, format!("refused as invalid but in effect: {write:?}"));
    }
}

/// A refusal is justified only if another change may have been made on the same base.
pub(super) fn check_refusals(history: &History, changes: &Changes, findings: &mut Findings) {
    for write in history.writes.iter().filter(|write| write.reply == Reply::Refused) {
        let has_competitor = changes.all.values().any(|change| {
            change.version != write.version
                && change.base == write.base
                && change.valid
                && (change.is_committed() || !change.refused)
                && change.first_invoked < write.completed
        });
        let current = changes.newest_at(write.invoked).map_or(0, |c| c.version.number);
        if !has_competitor && current == write.base {
            findings
                .add(Invariant::Fresh, format!("refused though its base was current: {write:?}"));
        }
    }
}

/// A read never returns a version older than one that was in effect before the read began.
pub(super) fn check_reads(history: &History, changes: &Changes, findings: &mut Findings) {
    for read in &history.reads {
        if let Some(newest) = changes.newest_at(read.invoked)
            && newest.version.number > read.version.number
        {
            let why =
                format!("{:?} was in effect before this read began: {read:?}", newest.version);
            findings.add(Invariant::Fresh, why);
        }
        let first_sent = changes.all.get(&read.version).map(|change| change.first_invoked);
        if first_sent.is_some_and(|at| at > read.completed) {
            findings.add(Invariant::Fresh, format!("read before the version was sent: {read:?}"));
        }
    }
}

/// After all faults, every node returns the newest acknowledged change, or a later one with unknown outcome.
pub(super) fn check_last_reads(history: &History, changes: &Changes, findings: &mut Findings) {
    let acknowledged =
        changes.all.values().filter(|c| c.first_acknowledged.is_some()).map(|c| c.version).max();
    let Some(newest) = acknowledged else { return };
    if history.finished && history.last_reads.is_empty() {
        findings.add(
            Invariant::Durability,
            format!("no node answered the final reads; {newest:?} was acknowledged"),
        );
    }
    for read in &history.last_reads {
        if read.version.number < newest.number {
            let why = format!("acknowledged change {newest:?} was lost: {read:?}");
            findings.add(Invariant::Durability, why);
        }
    }
}
