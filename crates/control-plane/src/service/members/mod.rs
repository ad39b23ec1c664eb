//! What an operator is shown of the control plane itself. Made only when asked for: nothing is kept for
//! it, and nothing that the voters answer is taken up.

mod view;

pub use view::{BallotView, DiskState, DutyView, GrantView, KeyView, Lag, MembersView, VoterView};

use crate::Controller;
use crate::control::values;
use crate::duties;
use fleet_core::constants;
use fleet_core::wire::{Ballot, BallotReport, Body, LeaseValue, Member, Membership, ReadBallots};
use prost::Message;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The control plane as this controller sees it, in contact or not.
pub async fn look(s: &Arc<Controller>) -> MembersView {
    let (membership, votes, recovery_epoch) = {
        let acceptor = s.acceptor.lock();
        (acceptor.membership().clone(), acceptor.votes(), acceptor.recovery_epoch())
    };
    let answers = ask_voters(s, &membership).await;
    let highest = highest_accepted(&answers, values::CONFIG);
    let voter = |member: &Member| voter_view(s, member, &answers, highest);
    MembersView {
        name: s.node.name.clone(),
        ip: s.node.ip.to_string(),
        in_contact: s.in_contact(),
        votes,
        leaving: *s.leaving().borrow(),
        disk: disk_state(s),
        membership_epoch: membership.epoch,
        recovery_epoch,
        tolerated_losses: s.settings().losses,
        config: BallotView::of(highest),
        voters: membership.members.iter().map(voter).collect(),
        keys: key_views(&answers),
        duties: duty_views(s),
    }
}

fn disk_state(s: &Controller) -> DiskState {
    if s.disk_absent() {
        return DiskState::Absent;
    }
    if s.disk_broken() { DiskState::Refused } else { DiskState::Works }
}

/// What each voter answers, this one too; one that says nothing in time is left out.
async fn ask_voters(s: &Arc<Controller>, membership: &Membership) -> BTreeMap<u64, BallotReport> {
    let calls = s.peers(&membership.members).into_iter().map(|(id, link)| async move {
        let ask = Body::ReadBallots(ReadBallots { membership: membership.epoch, values: false });
        match link.call(ask, constants::PHASE_LIMIT).await {
            Ok(Body::BallotReport(report)) => Some((id, report)),
            _ => None,
        }
    });
    let own = tokio::time::timeout(constants::PHASE_LIMIT, s.vote(|a| a.peek(false)));
    let (others, own) = tokio::join!(futures_util::future::join_all(calls), own);
    let mut answers: BTreeMap<u64, BallotReport> = others.into_iter().flatten().collect();
    let is_member = s.acceptor.lock().is_member();
    if is_member && let Ok(Some(report)) = own {
        answers.insert(s.node.id(), report);
    }
    answers
}

/// Highest ballot under which a voter has accepted a value of the key.
fn highest_accepted(answers: &BTreeMap<u64, BallotReport>, key: &str) -> Ballot {
    let voting = answers.values().filter(|report| report.votes);
    voting.map(|report| accepted(report, key)).max().unwrap_or_default()
}

fn accepted(report: &BallotReport, key: &str) -> Ballot {
    let register = report.registers.iter().find(|register| register.key == key);
    register.map(|register| register.accepted).unwrap_or_default()
}

fn voter_view(
    s: &Controller,
    member: &Member,
    answers: &BTreeMap<u64, BallotReport>,
    highest: Ballot,
) -> VoterView {
    let id = member.addr().map(|ip| u64::from(u32::from(ip)));
    let told_zone = member.addr().and_then(|ip| s.members.zone_of(ip));
    let own_zone = (id == Some(s.node.id())).then(|| s.node.zone.clone());
    let view = VoterView {
        ip: member.ip.clone(),
        zone: own_zone.or(told_zone).unwrap_or_else(|| member.zone.clone()),
        control: member.control.clone(),
        joined_epoch: member.joined_epoch,
        ..Default::default()
    };
    let Some(report) = id.and_then(|id| answers.get(&id)) else {
        let age = id.and_then(|id| s.last_answer_age(id));
        return VoterView { last_answer_ms: age.map(whole_ms), ..view };
    };
    let held = accepted(report, values::CONFIG);
    VoterView {
        answered: true,
        last_answer_ms: Some(0),
        votes: report.votes,
        membership_epoch: report.membership.as_ref().map_or(0, |membership| membership.epoch),
        recovery_epoch: report.recovery_epoch,
        config: BallotView::of(held),
        behind: Lag::between(held, highest),
        ..view
    }
}

/// The owner of a key is the node that a voter promised the highest epoch to.
fn key_views(answers: &BTreeMap<u64, BallotReport>) -> Vec<KeyView> {
    let mut promised: BTreeMap<&str, Ballot> = BTreeMap::new();
    let voting = answers.values().filter(|report| report.votes);
    for register in voting.flat_map(|report| &report.registers) {
        let highest = promised.entry(&register.key).or_default();
        *highest = register.promised.max(*highest);
    }
    let owned = promised.into_iter().filter_map(|(key, ballot)| {
        let BallotView { epoch, owner, .. } = BallotView::of(ballot)?;
        Some(KeyView { key: key.to_owned(), owner, epoch })
    });
    owned.collect()
}

fn duty_views(s: &Arc<Controller>) -> Vec<DutyView> {
    let all = [duties::INDEX_KEEPER, duties::ROLL_OUT];
    all.into_iter().filter_map(|duty| duty_view(s, duty)).collect()
}

fn duty_view(s: &Arc<Controller>, duty: &str) -> Option<DutyView> {
    let value = s.newest_value(&values::duty_key(duty))?;
    let value = LeaseValue::decode(value).ok()?;
    let now = Instant::now();
    let granted = s.duties.granted(duty, now);
    Some(DutyView {
        duty: duty.to_owned(),
        holder: value.holder,
        fence: value.fence,
        acts: s.duties.fence(duty).is_some(),
        granted: granted.map(|(node, until)| GrantView { node, left_ms: whole_ms(until - now) }),
    })
}

fn whole_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
