//! Which membership follows: one member at a time is taken in, exchanged, or moved to another zone.

use super::spread::{exposure, neighbours};
use fleet_core::constants;
use fleet_core::wire::{Member, Membership};
use std::time::Duration;

/// What may be lost together with every rule kept.
#[derive(Debug, Clone, Default)]
pub struct Tolerance {
    /// Counted machines.
    pub machines: usize,
    /// Whole zones.
    pub zones: usize,
    /// Whole regions.
    pub regions: usize,
    /// Each zone with its region.
    pub regions_of_zones: Vec<(String, String)>,
}

impl Tolerance {
    /// Members of a whole membership: a majority outlives the losses that are to be borne.
    pub fn whole(&self) -> usize {
        2 * self.machines.max(self.zones).max(self.regions).max(1) + 1
    }
}

/// A member as the one sees it that may propose the next membership.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Who it is, with the zone that it told.
    pub member: Member,
    /// How long its link has brought nothing.
    pub silent: Duration,
    /// Whether its link has ever brought anything: only then is it known when it fell silent.
    pub heard: bool,
    /// Whether it votes now.
    pub votes: bool,
    /// How long it has not been seen to vote.
    pub mute: Duration,
}

/// A controller that waits to be taken in.
#[derive(Debug, Clone)]
pub struct Joiner {
    /// Who it is.
    pub member: Member,
    /// How long its process has run.
    pub running: Duration,
}

impl Joiner {
    /// A process that started after the member fell silent is most likely its successor. One that ran
    /// before has stood by, and tells nothing about whether the member comes back.
    fn succeeds(&self, lost: &Seen) -> bool {
        lost.heard && self.running < lost.silent
    }
}

/// Silence after which a successor from another zone may take a member's place: so that it votes when the
/// lost one stops counting, and no shorter than for a joiner of its own zone, since members restart.
pub fn successor_wait(catch_up: Duration) -> Duration {
    catch_up.saturating_sub(constants::EXCHANGE_TIME).max(constants::MEMBER_SILENT_ZONE)
}

/// All that the next membership depends on.
pub struct Situation<'a> {
    /// In force.
    pub membership: &'a Membership,
    /// Its members.
    pub members: &'a [Seen],
    /// Who waits to be taken in.
    pub joiners: &'a [Joiner],
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
        let voters = self.members.iter().filter(|seen| seen.votes).count();
        if voters < quorum(self.membership) {
            return None;
        }
        self.replaced().or_else(|| self.grown()).or_else(|| self.spread())
    }

    fn joiners(&self) -> impl Iterator<Item = &Joiner> {
        let known = |ip: &str| self.membership.members.iter().any(|m| m.ip == ip);
        self.joiners.iter().filter(move |joiner| !known(&joiner.member.ip))
    }

    fn holds_state(&self, next: &Membership) -> bool {
        let stays = |seen: &&Seen| next.members.iter().any(|m| m.ip == seen.member.ip);
        self.members.iter().filter(|seen| seen.votes).filter(stays).count() >= quorum(next)
    }

    /// Members with the zones that they told, as they would be.
    fn located(&self, next: &Membership) -> Vec<Member> {
        let told = |m: &Member| self.members.iter().find(|seen| seen.member.ip == m.ip);
        let member = |m: &Member| told(m).map_or_else(|| m.clone(), |seen| seen.member.clone());
        next.members.iter().map(member).collect()
    }

    fn replaced(&self) -> Option<Membership> {
        let pairs = self.members.iter().flat_map(|lost| self.joiners().map(move |j| (lost, j)));
        let due = pairs.filter(|(lost, joiner)| self.is_lost(lost, joiner));
        let rated = due.filter_map(|(lost, joiner)| {
            let j = &joiner.member;
            let next = exchanged(self.membership, &lost.member, j);
            let exposed = exposure(&self.located(&next), self.tolerance);
            let elsewhere = lost.member.zone != j.zone;
            self.holds_state(&next).then_some((
                (exposed, elsewhere, std::cmp::Reverse(lost.silent), j.ip.clone()),
                next,
            ))
        });
        rated.min_by(|a, b| a.0.cmp(&b.0)).map(|(_, next)| next)
    }

    /// Not while a member that was just taken in still reads the state.
    fn grown(&self) -> Option<Membership> {
        let reads = |seen: &&Seen| !seen.votes && seen.mute < constants::MEMBER_SILENT;
        if self.membership.members.len() >= self.tolerance.whole()
            || self.members.iter().any(|seen| reads(&seen))
        {
            return None;
        }
        let rated = self.joiners().map(|joiner| {
            let joiner = &joiner.member;
            let next = grown(self.membership, joiner);
            let located = self.located(&next);
            let exposed = exposure(&located, self.tolerance);
            ((exposed, neighbours(&located, joiner), joiner.ip.clone()), next)
        });
        let next = rated.min_by(|a, b| a.0.cmp(&b.0)).map(|(_, next)| next)?;
        self.holds_state(&next).then_some(next)
    }

    /// A joiner in place of a member that votes, where that bears more: only while all vote.
    fn spread(&self) -> Option<Membership> {
        let located = self.located(self.membership);
        let now = exposure(&located, self.tolerance);
        if now == Default::default() || self.members.iter().any(|seen| !seen.votes) {
            return None;
        }
        let pairs = self.members.iter().flat_map(|seen| self.joiners().map(move |j| (seen, j)));
        let rated = pairs.map(|(seen, joiner)| {
            let joiner = &joiner.member;
            let next = exchanged(self.membership, &seen.member, joiner);
            let exposed = exposure(&self.located(&next), self.tolerance);
            ((exposed, joiner.ip.clone(), seen.member.ip.clone()), next)
        });
        let ((exposed, ..), next) = rated.min_by(|a, b| a.0.cmp(&b.0))?;
        (exposed < now && self.holds_state(&next)).then_some(next)
    }

    /// Silent for long, or linked and without a vote for far longer than reading back takes.
    fn is_lost(&self, seen: &Seen, joiner: &Joiner) -> bool {
        let limit = if seen.member.zone == joiner.member.zone {
            constants::MEMBER_SILENT_ZONE
        } else if joiner.succeeds(seen) {
            self.successor_wait
        } else {
            constants::MEMBER_SILENT
        };
        !seen.votes && (seen.silent >= limit || seen.mute >= constants::MEMBER_MUTE)
    }
}

fn quorum(membership: &Membership) -> usize {
    membership.members.len() / 2 + 1
}

fn exchanged(membership: &Membership, lost: &Member, joiner: &Member) -> Membership {
    let mut next = grown(membership, joiner);
    next.members.retain(|m| m.ip != lost.ip);
    next
}

fn grown(membership: &Membership, joiner: &Member) -> Membership {
    let mut next = membership.clone();
    next.epoch += 1;
    next.members.push(Member { joined_epoch: next.epoch, ..joiner.clone() });
    next.members.sort_by(|a, b| a.ip.cmp(&b.ip));
    next
}

#[cfg(test)]
#[path = "exchange_tests.rs"]
mod tests;
