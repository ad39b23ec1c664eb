//! Carries the rounds of a [`Proposer`] out: votes of this node, votes of the others, and the notice of what was chosen.

use super::Consensus;
use super::proposer::{Action, ProposalError, Proposer, Request};
use super::voter_calls::MemberAnswer;
use fleet_core::constants;
use fleet_core::wire::{Body, Vote};
use std::sync::Arc;
use tokio::sync::mpsc;

fn request_body(request: Request) -> Body {
    match request {
        Request::Prepare(prepare) => Body::Prepare(prepare),
        Request::Accept(accept) => Body::Accept(accept),
    }
}

/// The vote in an answer; none where the call failed or was answered by something else.
fn vote_in(answer: Option<Body>) -> Option<Vote> {
    match answer? {
        Body::Vote(vote) => Some(vote),
        _ => None,
    }
}

impl Consensus {
    /// A round of a key's owner, or of who is to be: once its value is chosen, the others are notified.
    ///
    /// # Errors
    /// The value may have been chosen all the same, or be chosen later by another owner that completes it.
    pub(super) async fn run_round(
        self: &Arc<Self>,
        key: &str,
        proposer: &mut Proposer,
        first: Action,
    ) -> Result<(), ProposalError> {
        let done = self.drive(proposer, first).await;
        if let Err(ProposalError::Preempted(promised)) = &done {
            self.key_owners.observe_ballot(key, *promised);
        }
        done?;
        self.committed(key, proposer.ballot(), proposer.value()).await;
        Ok(())
    }

    /// Carries out what a proposer asks for, until its value is chosen or it fails.
    async fn drive(
        self: &Arc<Self>,
        proposer: &mut Proposer,
        first: Action,
    ) -> Result<(), ProposalError> {
        let mut action = first;
        let mut answers: Option<mpsc::Receiver<MemberAnswer>> = None;
        loop {
            let step = proposer.step();
            action = match action {
                Action::Chosen => return Ok(()),
                Action::Failed(error) => return Err(error),
                Action::SendToSelf(request) => {
                    let vote = self.own_vote(proposer, &request).await;
                    proposer.on_vote(step, self.process.node.id(), vote.as_ref())
                }
                Action::Broadcast => {
                    answers = Some(self.broadcast(proposer));
                    Action::Wait
                }
                Action::Wait => match next_answer(&mut answers).await {
                    Some((voter, answer)) => {
                        proposer.on_vote(step, voter, vote_in(answer).as_ref())
                    }
                    None => proposer.on_end_of_votes(),
                },
            };
            self.follow_recovery_epoch(proposer.latest_recovery_epoch()).await;
        }
    }

    /// This node's own vote: a value is on the own disk before it is sent to others.
    async fn own_vote(&self, proposer: &Proposer, request: &Request) -> Option<Vote> {
        let timeout = constants::phase_timeout(proposer.value().len());
        let vote = async {
            match request {
                Request::Prepare(prepare) => self.vote(|a| a.prepare(prepare)).await,
                Request::Accept(accept) => self.vote(|a| a.accept(accept)).await,
            }
        };
        tokio::time::timeout(timeout, vote).await.ok().flatten()
    }

    /// Sends the round's request to all other voters.
    fn broadcast(self: &Arc<Self>, proposer: &Proposer) -> mpsc::Receiver<MemberAnswer> {
        let members = self.membership().members;
        let timeout = constants::phase_timeout(proposer.value().len());
        self.call_members(&members, timeout, |voter| request_body(proposer.request_for(voter)))
    }

    /// A vote bore a later recovery epoch: this node votes in no earlier one from now on.
    async fn follow_recovery_epoch(&self, latest: u64) {
        if latest > self.with_acceptor(|acceptor| acceptor.recovery_epoch()) {
            self.persist(|acceptor| acceptor.advance(latest)).await;
        }
    }
}

async fn next_answer(answers: &mut Option<mpsc::Receiver<MemberAnswer>>) -> Option<MemberAnswer> {
    answers.as_mut()?.recv().await
}
