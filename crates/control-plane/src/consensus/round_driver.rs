//! Drives a [`Proposer`]: collects the votes of this node and of the other voters, and announces the chosen value.

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

/// The vote in an answer; `None` if the call failed or was answered with another message.
fn vote_from(answer: Option<Body>) -> Option<Vote> {
    match answer? {
        Body::Vote(vote) => Some(vote),
        _ => None,
    }
}

impl Consensus {
    /// Runs a round of the owner of a key, or an election and its completing round. Learns the chosen value and
    /// notifies the other voters.
    ///
    /// # Errors
    /// The value may have been chosen nevertheless, or another owner may complete it later.
    pub(super) async fn run_round(
        self: &Arc<Self>,
        key: &str,
        proposer: &mut Proposer,
        first: Action,
    ) -> Result<(), ProposalError> {
        let outcome = self.drive(proposer, first).await;
        if let Err(ProposalError::Preempted(promised)) = &outcome {
            self.key_owners.observe_ballot(key, *promised);
        }
        outcome?;
        self.announce_commit(key, proposer.ballot(), proposer.value()).await;
        Ok(())
    }

    /// Executes the actions of a proposer until its value is chosen or it fails.
    async fn drive(
        self: &Arc<Self>,
        proposer: &mut Proposer,
        first: Action,
    ) -> Result<(), ProposalError> {
        let mut action = first;
        let mut answers: Option<mpsc::Receiver<MemberAnswer>> = None;
        loop {
            let round_number = proposer.round_number();
            action = match action {
                Action::Chosen => return Ok(()),
                Action::Failed(error) => return Err(error),
                Action::SendToSelf(request) => {
                    let vote = self.local_vote(proposer, &request).await;
                    proposer.on_vote(round_number, self.process.node.id(), vote.as_ref())
                }
                Action::Broadcast => {
                    answers = Some(self.broadcast(proposer));
                    Action::Wait
                }
                Action::Wait => match next_answer(&mut answers).await {
                    Some((voter, answer)) => {
                        proposer.on_vote(round_number, voter, vote_from(answer).as_ref())
                    }
                    None => proposer.on_end_of_votes(),
                },
            };
            self.follow_recovery_epoch(proposer.latest_recovery_epoch()).await;
        }
    }

    /// This node's vote, once it is durable: a value is on the local disk before it is sent to other voters.
    async fn local_vote(&self, proposer: &Proposer, request: &Request) -> Option<Vote> {
        let timeout = constants::phase_timeout(proposer.value().len());
        let vote = async {
            match request {
                Request::Prepare(prepare) => self.vote(|acceptor| acceptor.prepare(prepare)).await,
                Request::Accept(accept) => self.vote(|acceptor| acceptor.accept(accept)).await,
            }
        };
        tokio::time::timeout(timeout, vote).await.ok().flatten()
    }

    /// Sends the request of the current round to all other voters.
    fn broadcast(self: &Arc<Self>, proposer: &Proposer) -> mpsc::Receiver<MemberAnswer> {
        let members = self.membership().members;
        let timeout = constants::phase_timeout(proposer.value().len());
        self.call_members(&members, timeout, |voter| request_body(proposer.request_for(voter)))
    }

    /// Moves this node to the latest recovery epoch seen in a vote, so that it gives no vote in an earlier one.
    async fn follow_recovery_epoch(&self, latest: u64) {
        if latest > self.with_acceptor(|acceptor| acceptor.recovery_epoch()) {
            self.persist(|acceptor| acceptor.advance_recovery_epoch(latest)).await;
        }
    }
}

async fn next_answer(answers: &mut Option<mpsc::Receiver<MemberAnswer>>) -> Option<MemberAnswer> {
    answers.as_mut()?.recv().await
}
