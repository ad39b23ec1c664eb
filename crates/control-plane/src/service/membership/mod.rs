//! The operator's view of the control plane itself. Computed on request: no state is kept for it, and the voters'
//! responses don't change this node's state.

mod view;

pub use view::{BallotView, DiskState, GrantView, KeyView, Lag, LeaseView, MembersView, VoterView};

use crate::consensus::{Consensus, state_machine};
use crate::leases::{self, LeaseManager};
use crate::membership::peer_links::{MemberLink, PeerLinks};
use fleet_core::constants;
use fleet_core::wire::{Ballot, BallotReport, Body, LeaseValue, Member, Membership, ReadBallots};
use prost::Message;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The components that a view is built from.
pub struct ViewSources {
    /// This node's acceptor state, and its contact with the other voters.
    pub consensus: Arc<Consensus>,
    /// Provides the zones of the other controllers.
    pub links: Arc<PeerLinks>,
    /// The leases that this node granted and holds.
    pub leases: Arc<LeaseManager>,
}

/// The control plane as this controller sees it. Available even without contact with a majority.
pub async fn view(sources: &ViewSources) -> MembersView {
    let consensus = &sources.consensus;
    let (membership, votes, recovery_epoch) = consensus.with_acceptor(|acceptor| {
        (acceptor.membership().clone(), acceptor.votes(), acceptor.recovery_epoch())
    });
    let reports = query_voters(consensus, &membership).await;
    let highest = highest_accepted(&reports, state_machine::CONFIG);
    let voter = |member: &Member| voter_view(sources, member, &reports, highest);
    let process = consensus.process();
    MembersView {
        name: process.node.name.clone(),
        ip: process.node.ip.to_string(),
        in_contact: consensus.in_contact(),
        votes,
        shutting_down: process.is_shutting_down(),
        disk: disk_state(consensus),
        membership_epoch: membership.epoch,
        recovery_epoch,
        tolerated_losses: process.settings().tolerated_machine_losses,
        config: BallotView::of(highest),
        voters: membership.members.iter().map(voter).collect(),
        keys: key_views(&reports),
        leases: lease_views(sources),
    }
}

fn disk_state(consensus: &Consensus) -> DiskState {
    if consensus.is_disk_absent() {
        return DiskState::Absent;
    }
    if consensus.is_disk_broken() { DiskState::Refused } else { DiskState::Works }
}

/// Queries all voters, including this node. Voters that don't respond in time are left out.
async fn query_voters(
    consensus: &Consensus,
    membership: &Membership,
) -> BTreeMap<u64, BallotReport> {
    let calls = consensus.links_to(&membership.members).into_iter().map(
        |MemberLink { member_id: id, link }| async move {
            let request =
                Body::ReadBallots(ReadBallots { membership: membership.epoch, values: false });
            match link.call(request, constants::PHASE_TIMEOUT).await {
                Ok(Body::BallotReport(report)) => Some((id, report)),
                _ => None,
            }
        },
    );
    let own_report = tokio::time::timeout(
        constants::PHASE_TIMEOUT,
        consensus.vote(|acceptor| acceptor.read_ballots(false)),
    );
    let (others, own_report) = tokio::join!(futures_util::future::join_all(calls), own_report);
    let mut reports: BTreeMap<u64, BallotReport> = others.into_iter().flatten().collect();
    let is_member = consensus.with_acceptor(|acceptor| acceptor.is_member());
    if is_member && let Ok(Some(report)) = own_report {
        reports.insert(consensus.process().node.id(), report);
    }
    reports
}

/// Highest ballot under which a responding voter has accepted a value of the key.
fn highest_accepted(reports: &BTreeMap<u64, BallotReport>, key: &str) -> Ballot {
    let voting = reports.values().filter(|report| report.votes);
    voting.map(|report| accepted(report, key)).max().unwrap_or_default()
}

fn accepted(report: &BallotReport, key: &str) -> Ballot {
    let register = report.registers.iter().find(|register| register.key == key);
    register.map(|register| register.accepted).unwrap_or_default()
}

fn voter_view(
    sources: &ViewSources,
    member: &Member,
    reports: &BTreeMap<u64, BallotReport>,
    highest: Ballot,
) -> VoterView {
    let node = &sources.consensus.process().node;
    let id = member.id();
    let reported_zone = member.addr().and_then(|ip| sources.links.zone_of(ip));
    let own_zone = (id == Some(node.id())).then(|| node.zone.clone());
    let view = VoterView {
        ip: member.ip.clone(),
        zone: own_zone.or(reported_zone).unwrap_or_else(|| member.zone.clone()),
        control: member.control.clone(),
        joined_epoch: member.joined_epoch,
        ..Default::default()
    };
    let Some(report) = id.and_then(|id| reports.get(&id)) else {
        let age = id.and_then(|id| sources.consensus.last_answer_age(id));
        return VoterView { last_answer_ms: age.map(as_millis), ..view };
    };
    let accepted_ballot = accepted(report, state_machine::CONFIG);
    VoterView {
        answered: true,
        last_answer_ms: Some(0),
        votes: report.votes,
        membership_epoch: report.membership.as_ref().map_or(0, |membership| membership.epoch),
        recovery_epoch: report.recovery_epoch,
        config: BallotView::of(accepted_ballot),
        behind: Lag::between(accepted_ballot, highest),
        ..view
    }
}

/// One view per key. A key's owner is the node to which a voter promised the highest epoch.
fn key_views(reports: &BTreeMap<u64, BallotReport>) -> Vec<KeyView> {
    let mut promised: BTreeMap<&str, Ballot> = BTreeMap::new();
    let voting = reports.values().filter(|report| report.votes);
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

fn lease_views(sources: &ViewSources) -> Vec<LeaseView> {
    let names = [leases::INDEX_OWNER_LEASE, leases::ROLLOUT_LEASE];
    names.into_iter().filter_map(|lease_name| lease_view(sources, lease_name)).collect()
}

fn lease_view(sources: &ViewSources, lease_name: &str) -> Option<LeaseView> {
    let register = sources.consensus.newest_register(&state_machine::lease_key(lease_name))?;
    let value = LeaseValue::decode(register.value).ok()?;
    let now = Instant::now();
    let granted = sources.leases.granted(lease_name, now);
    Some(LeaseView {
        name: lease_name.to_owned(),
        holder: value.holder,
        fencing_token: value.fencing_token,
        acts: sources.leases.fencing_token(lease_name).is_some(),
        granted: granted.map(|grant| GrantView {
            node: grant.node,
            remaining_ms: as_millis(grant.expires_at - now),
        }),
    })
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
