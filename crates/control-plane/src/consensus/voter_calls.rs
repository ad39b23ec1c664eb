//! Calls to all voters of a membership at once.

use super::Consensus;
use crate::membership::peer_links::MemberLink;
use fleet_core::wire::{Body, Member, Membership};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// A member, and its answer; none where the call failed.
pub(crate) type MemberAnswer = (u64, Option<Body>);

impl Consensus {
    /// Calls these members but this node; their answers come in as they are given.
    ///
    /// A later membership in an answer is adopted, also in one that comes after the receiver was dropped. The tasks end
    /// with the time-out of their calls.
    pub(crate) fn call_members(
        self: &Arc<Self>,
        members: &[Member],
        timeout: Duration,
        request: impl Fn(u64) -> Body,
    ) -> mpsc::Receiver<MemberAnswer> {
        let (answers, inbox) = mpsc::channel(members.len().max(1));
        for MemberLink { member, link } in self.links_to(members) {
            let (answers, consensus, request) = (answers.clone(), self.clone(), request(member));
            tokio::spawn(async move {
                let answer = link.call(request, timeout).await.ok();
                if let Some(later) = answer.as_ref().and_then(later_membership) {
                    consensus.adopt(later).await;
                }
                // Nobody waits for an answer that comes after a majority has.
                let _ = answers.send((member, answer)).await;
            });
        }
        inbox
    }

    /// Whether a majority of the membership agrees, this node with `own_answer`; returns once that is certain.
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

/// The membership that the answer of a voter bears, for an asker that knows an earlier one.
fn later_membership(answer: &Body) -> Option<&Membership> {
    match answer {
        Body::Vote(vote) => vote.membership.as_ref(),
        Body::BallotReport(report) => report.membership.as_ref(),
        _ => None,
    }
}
