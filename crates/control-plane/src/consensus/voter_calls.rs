//! Parallel calls to all voters of a membership.

use super::Consensus;
use crate::membership::peer_links::MemberLink;
use fleet_core::wire::{Body, Member, Membership};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The id of a member, and its answer; `None` if the call failed.
pub(crate) type MemberAnswer = (u64, Option<Body>);

impl Consensus {
    /// Calls these members, except this node, in parallel. The receiver yields their answers in the order of arrival.
    ///
    /// A later membership in an answer is adopted, even if the answer arrives after the receiver was dropped. The
    /// spawned tasks end with the timeout of their calls.
    pub(crate) fn call_members(
        self: &Arc<Self>,
        members: &[Member],
        timeout: Duration,
        request: impl Fn(u64) -> Body,
    ) -> mpsc::Receiver<MemberAnswer> {
        let (answer_tx, answer_rx) = mpsc::channel(members.len().max(1));
        for MemberLink { member_id, link } in self.links_to(members) {
            let (answer_tx, consensus, request) =
                (answer_tx.clone(), self.clone(), request(member_id));
            tokio::spawn(async move {
                let answer = link.call(request, timeout).await.ok();
                if let Some(later) = answer.as_ref().and_then(later_membership) {
                    consensus.adopt(later).await;
                }
                // Fails if the caller has dropped the receiver because enough answers had arrived.
                let _ = answer_tx.send((member_id, answer)).await;
            });
        }
        answer_rx
    }

    /// Whether a majority of the membership agrees, counting `own_answer` for this node. Returns as soon as a majority
    /// agrees, or once all members have answered.
    pub(crate) async fn majority_agrees(
        self: &Arc<Self>,
        membership: &Membership,
        timeout: Duration,
        request: Body,
        own_answer: bool,
        agrees: impl Fn(Body) -> bool,
    ) -> bool {
        let quorum = membership.majority();
        let mut agreed = usize::from(own_answer);
        let mut answers = self.call_members(&membership.members, timeout, |_| request.clone());
        while agreed < quorum {
            let Some((_, answer)) = answers.recv().await else { return false };
            agreed += usize::from(answer.is_some_and(&agrees));
        }
        true
    }
}

/// The membership in a voter's answer, which may be later than the one of the caller.
fn later_membership(answer: &Body) -> Option<&Membership> {
    match answer {
        Body::Vote(vote) => vote.membership.as_ref(),
        Body::BallotReport(report) => report.membership.as_ref(),
        _ => None,
    }
}
