//! Chooses the next membership. Each change adds one member, replaces a lost member, or replaces a working member for a
//! better distribution over failure domains.

use super::failure_domains::{Tolerance, exposure, others_in_zone};
use fleet_core::constants;
use fleet_core::wire::{Member, Membership};
use std::time::Duration;

/// State of a member as seen by the node that may propose the next membership.
#[derive(Debug, Clone)]
pub struct MemberStatus {
    /// The member, with the zone from its latest handshake.
    pub member: Member,
    /// Time since anything was last received from it, or since this process started if nothing ever was.
    pub unreachable_for: Duration,
    /// Whether anything was ever received from it. Only then is it known since when the member has been unreachable.
    pub was_reachable: bool,
    /// Whether it currently votes.
    pub votes: bool,
    /// Time since it was last seen voting.
    pub not_voting_for: Duration,
}

/// A controller that asks to become a member.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The controller's member entry.
    pub member: Member,
    /// Uptime of its process.
    pub uptime: Duration,
}

impl Candidate {
    /// Whether this candidate is presumably the successor of a lost member, because its process started after the
    /// member became unreachable. A candidate that started earlier is a standby, whose presence does not indicate
    /// whether the member will come back.
    fn is_successor_of(&self, lost: &MemberStatus) -> bool {
        lost.was_reachable && self.uptime < lost.unreachable_for
    }
}

/// Time for which a member has to be unreachable before a successor from another zone may replace it. It is short
/// enough for the successor to vote by the time the lost member stops counting, but not shorter than for a candidate
/// from the member's own zone, since members may be restarting.
pub fn successor_wait(catch_up: Duration) -> Duration {
    catch_up
        .saturating_sub(constants::REPLACEMENT_DURATION)
        .max(constants::MEMBER_TIMEOUT_SAME_ZONE)
}

/// Chooses the next membership, from everything that it depends on.
pub struct MembershipPlanner<'a> {
    /// The membership in force.
    pub membership: &'a Membership,
    /// State of each of its members.
    pub members: &'a [MemberStatus],
    /// Controllers that ask to become members.
    pub candidates: &'a [Candidate],
    /// Failures that the membership has to tolerate.
    pub tolerance: &'a Tolerance,
    /// Time for which a member has to be unreachable before a successor may replace it.
    pub successor_wait: Duration,
}

impl MembershipPlanner<'_> {
    /// The next membership, or `None` if no change is due. In order of priority: a lost member is replaced, whatever
    /// the size of the membership; the membership grows to its target size; members are redistributed over the failure
    /// domains. A quorum of the next membership always votes already and so has the state, which a new member first has
    /// to read.
    pub fn next(&self) -> Option<Membership> {
        let voters = self.members.iter().filter(|status| status.votes).count();
        if voters < self.membership.majority() {
            return None;
        }
        self.replace_lost_member()
            .or_else(|| self.add_member())
            .or_else(|| self.redistribute_members())
    }

    fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        let is_member = |ip: &str| self.membership.members.iter().any(|member| member.ip == ip);
        self.candidates.iter().filter(move |candidate| !is_member(&candidate.member.ip))
    }

    fn quorum_has_state(&self, next: &Membership) -> bool {
        let stays = |status: &&MemberStatus| {
            next.members.iter().any(|member| member.ip == status.member.ip)
        };
        self.members.iter().filter(|status| status.votes).filter(stays).count() >= next.majority()
    }

    /// The members of a membership, with the zones that this node knows of.
    fn with_known_zones(&self, next: &Membership) -> Vec<Member> {
        let status_of =
            |member: &Member| self.members.iter().find(|status| status.member.ip == member.ip);
        let with_known_zone = |member: &Member| {
            status_of(member).map_or_else(|| member.clone(), |status| status.member.clone())
        };
        next.members.iter().map(with_known_zone).collect()
    }

    fn replace_lost_member(&self) -> Option<Membership> {
        let pairs = self
            .members
            .iter()
            .flat_map(|lost| self.candidates().map(move |candidate| (lost, candidate)));
        let due = pairs.filter(|(lost, candidate)| self.is_lost(lost, candidate));
        let ranked = due.filter_map(|(lost, candidate)| {
            let replacement = &candidate.member;
            let next = with_replacement(self.membership, &lost.member, replacement);
            let exposed = exposure(&self.with_known_zones(&next), self.tolerance);
            let is_other_zone = lost.member.zone != replacement.zone;
            self.quorum_has_state(&next).then_some((
                (
                    exposed,
                    is_other_zone,
                    std::cmp::Reverse(lost.unreachable_for),
                    replacement.ip.clone(),
                ),
                next,
            ))
        });
        ranked.min_by(|a, b| a.0.cmp(&b.0)).map(|(_, next)| next)
    }

    /// Adds a candidate, unless the target size is reached or a member that joined recently is still reading the state.
    fn add_member(&self) -> Option<Membership> {
        let is_reading_state = |status: &&MemberStatus| {
            !status.votes && status.not_voting_for < constants::MEMBER_TIMEOUT
        };
        if self.membership.members.len() >= self.tolerance.target_size()
            || self.members.iter().any(|status| is_reading_state(&status))
        {
            return None;
        }
        let ranked = self.candidates().map(|candidate| {
            let candidate = &candidate.member;
            let next = with_added(self.membership, candidate);
            let located = self.with_known_zones(&next);
            let exposed = exposure(&located, self.tolerance);
            ((exposed, others_in_zone(&located, candidate), candidate.ip.clone()), next)
        });
        let next = ranked.min_by(|a, b| a.0.cmp(&b.0)).map(|(_, next)| next)?;
        self.quorum_has_state(&next).then_some(next)
    }

    /// Replaces a voting member by a candidate if that lowers the exposure. Only done while all members vote.
    fn redistribute_members(&self) -> Option<Membership> {
        let located = self.with_known_zones(self.membership);
        let current = exposure(&located, self.tolerance);
        if current == Default::default() || self.members.iter().any(|status| !status.votes) {
            return None;
        }
        let pairs = self
            .members
            .iter()
            .flat_map(|status| self.candidates().map(move |candidate| (status, candidate)));
        let ranked = pairs.map(|(status, candidate)| {
            let candidate = &candidate.member;
            let next = with_replacement(self.membership, &status.member, candidate);
            let exposed = exposure(&self.with_known_zones(&next), self.tolerance);
            ((exposed, candidate.ip.clone(), status.member.ip.clone()), next)
        });
        let ((exposed, ..), next) = ranked.min_by(|a, b| a.0.cmp(&b.0))?;
        (exposed < current && self.quorum_has_state(&next)).then_some(next)
    }

    /// Whether a member counts as lost with regard to a candidate: it does not vote, and it has been unreachable for a
    /// time that depends on the candidate, or has not voted for far longer than a recovery takes.
    fn is_lost(&self, status: &MemberStatus, candidate: &Candidate) -> bool {
        let limit = if status.member.zone == candidate.member.zone {
            constants::MEMBER_TIMEOUT_SAME_ZONE
        } else if candidate.is_successor_of(status) {
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
    let mut next = with_added(membership, candidate);
    next.members.retain(|member| member.ip != lost.ip);
    next
}

fn with_added(membership: &Membership, candidate: &Member) -> Membership {
    let mut next = membership.clone();
    next.epoch += 1;
    next.members.push(Member { joined_epoch: next.epoch, ..candidate.clone() });
    next.members.sort_by(|a, b| a.ip.cmp(&b.ip));
    next
}

#[cfg(test)]
#[path = "replacement_tests.rs"]
mod tests;
