//! Which membership follows: one member at a time is taken in, exchanged, or moved to another zone.

use super::failure_domains::{Tolerance, exposure, neighbours};
use fleet_core::constants;
use fleet_core::wire::{Member, Membership};
use std::time::Duration;

/// A member as the one sees it that may propose the next membership.
#[derive(Debug, Clone)]
pub struct MemberStatus {
    /// Who it is, with its zone.
    pub member: Member,
    /// How long its link has brought nothing.
    pub unreachable_for: Duration,
    /// Whether its link has ever brought anything: only then is it known since when it is unreachable.
    pub was_reachable: bool,
    /// Whether it votes now.
    pub votes: bool,
    /// How long it has not been seen to vote.
    pub not_voting_for: Duration,
}

/// A controller that waits to be taken in.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Who it is.
    pub member: Member,
    /// How long its process has run.
    pub running: Duration,
}

impl Candidate {
    /// A process that started after the member became unreachable is most likely its successor. One that ran
    /// before has stood by, and doesn't show whether the member comes back.
    fn succeeds(&self, lost: &MemberStatus) -> bool {
        lost.was_reachable && self.running < lost.unreachable_for
    }
}

/// Silence after which a successor from another zone may take a member's place: so that it votes when the
/// lost one stops counting, and no shorter than for a joiner of its own zone, since members restart.
pub fn successor_wait(catch_up: Duration) -> Duration {
    catch_up.saturating_sub(constants::REPLACEMENT_TIME).max(constants::MEMBER_TIMEOUT_SAME_ZONE)
}

/// All that the next membership depends on.
pub struct Situation<'a> {
    /// In force.
    pub membership: &'a Membership,
    /// Its members.
    pub members: &'a [MemberStatus],
    /// Who waits to be taken in.
    pub candidates: &'a [Candidate],
    /// What may be lost.
    pub tolerance: &'a Tolerance,
    /// Silence after which a successor may take a member's place.
    pub successor_wait: Duration,
}

impl Situation<'_> {
    /// The next membership, if there is to be one: a lost member is replaced at any size, then the
    /// membership grows until it is whole, then it is spread. Always so that a quorum of the next
    /// one votes already, who holds the state: a newcomer has to read it first.
    pub fn next(&self) -> Option<Membership> {
        let voters = self.members.iter().filter(|status| status.votes).count();
        if voters < self.membership.majority() {
            return None;
        }
        self.replaced().or_else(|| self.grown()).or_else(|| self.failure_domains())
    }

    fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        let is_member = |ip: &str| self.membership.members.iter().any(|m| m.ip == ip);
        self.candidates.iter().filter(move |candidate| !is_member(&candidate.member.ip))
    }

    fn holds_state(&self, next: &Membership) -> bool {
        let stays = |status: &&MemberStatus| next.members.iter().any(|m| m.ip == status.member.ip);
        self.members.iter().filter(|status| status.votes).filter(stays).count() >= next.majority()
    }

    /// The members as they would be, with their zones.
    fn located(&self, next: &Membership) -> Vec<Member> {
        let reported = |m: &Member| self.members.iter().find(|status| status.member.ip == m.ip);
        let member =
            |m: &Member| reported(m).map_or_else(|| m.clone(), |status| status.member.clone());
        next.members.iter().map(member).collect()
    }

    fn replaced(&self) -> Option<Membership> {
        let pairs = self.members.iter().flat_map(|lost| self.candidates().map(move |j| (lost, j)));
        let due = pairs.filter(|(lost, candidate)| self.is_lost(lost, candidate));
        let rated = due.filter_map(|(lost, candidate)| {
            let j = &candidate.member;
            let next = with_replacement(self.membership, &lost.member, j);
            let exposed = exposure(&self.located(&next), self.tolerance);
            let elsewhere = lost.member.zone != j.zone;
            self.holds_state(&next).then_some((
                (exposed, elsewhere, std::cmp::Reverse(lost.unreachable_for), j.ip.clone()),
                next,
            ))
        });
        rated.min_by(|a, b| a.0.cmp(&b.0)).map(|(_, next)| next)
    }

    /// Not while a member that was just taken in still reads the state.
    fn grown(&self) -> Option<Membership> {
        let reads = |status: &&MemberStatus| {
            !status.votes && status.not_voting_for < constants::MEMBER_TIMEOUT
        };
        if self.membership.members.len() >= self.tolerance.target_size()
            || self.members.iter().any(|status| reads(&status))
        {
            return None;
        }
        let rated = self.candidates().map(|candidate| {
            let candidate = &candidate.member;
            let next = grown(self.membership, candidate);
            let located = self.located(&next);
            let exposed = exposure(&located, self.tolerance);
            ((exposed, neighbours(&located, candidate), candidate.ip.clone()), next)
        });
        let next = rated.min_by(|a, b| a.0.cmp(&b.0)).map(|(_, next)| next)?;
        self.holds_state(&next).then_some(next)
    }

    /// A joiner in place of a member that votes, where that bears more: only while all vote.
    fn failure_domains(&self) -> Option<Membership> {
        let located = self.located(self.membership);
        let now = exposure(&located, self.tolerance);
        if now == Default::default() || self.members.iter().any(|status| !status.votes) {
            return None;
        }
        let pairs =
            self.members.iter().flat_map(|status| self.candidates().map(move |j| (status, j)));
        let rated = pairs.map(|(status, candidate)| {
            let candidate = &candidate.member;
            let next = with_replacement(self.membership, &status.member, candidate);
            let exposed = exposure(&self.located(&next), self.tolerance);
            ((exposed, candidate.ip.clone(), status.member.ip.clone()), next)
        });
        let ((exposed, ..), next) = rated.min_by(|a, b| a.0.cmp(&b.0))?;
        (exposed < now && self.holds_state(&next)).then_some(next)
    }

    /// Silent for long, or linked and without a vote for far longer than reading back takes.
    fn is_lost(&self, status: &MemberStatus, candidate: &Candidate) -> bool {
        let limit = if status.member.zone == candidate.member.zone {
            constants::MEMBER_TIMEOUT_SAME_ZONE
        } else if candidate.succeeds(status) {
            self.successor_wait
        } else {
            constants::MEMBER_TIMEOUT
        };
        !status.votes
            && (status.unreachable_for >= limit
                || status.not_voting_for >= constants::NON_VOTING_TIMEOUT)
    }
}

fn with_replacement(membership: &Membership, lost: &Member, candidate: &Member) -> Membership {
    let mut next = grown(membership, candidate);
    next.members.retain(|m| m.ip != lost.ip);
    next
}

fn grown(membership: &Membership, candidate: &Member) -> Membership {
    let mut next = membership.clone();
    next.epoch += 1;
    next.members.push(Member { joined_epoch: next.epoch, ..candidate.clone() });
    next.members.sort_by(|a, b| a.ip.cmp(&b.ip));
    next
}

#[cfg(test)]
#[path = "replacement_tests.rs"]
mod tests;
