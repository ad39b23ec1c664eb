//! Owning keys: drives a [`Proposer`] for each key that this node owns or takes over.

use super::Consensus;
use super::election::Elections;
use super::proposer::{Action, ProposalError, Proposer, Request, Scope};
use super::resignation::ResignedBallots;
use super::state_machine::Decision;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::wire::{Ballot, Body, ChangeResponse, PreVoteRequest, PreVoteResponse, Vote};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

type Slot = Arc<tokio::sync::Mutex<Option<Proposer>>>;
type Votes = mpsc::Receiver<(u64, Option<Vote>)>;

/// The keys that this node owns, each under a lock that one change holds at a time.
#[derive(Default)]
pub struct KeyOwners {
    slots: parking_lot::Mutex<hashbrown::HashMap<String, Slot>>,
    elections: parking_lot::Mutex<Elections>,
    /// highest promised ballot heard of in refusals, by key: who owns it now
    observed_ballots: parking_lot::Mutex<hashbrown::HashMap<String, Ballot>>,
    resigned: parking_lot::Mutex<ResignedBallots>,
}

impl KeyOwners {
    fn slot(&self, key: &str) -> Slot {
        self.slots.lock().entry_ref(key).or_default().clone()
    }

    /// The own acceptor has voted for another node's request, or this node begins a round as the owner.
    pub fn record_progress(&self, key: &str) {
        self.elections.lock().record_progress(key, Instant::now());
    }

    /// Another voter has promised this ballot.
    pub fn observe_ballot(&self, key: &str, promised: Ballot) {
        let mut observed_ballots = self.observed_ballots.lock();
        let highest = observed_ballots.entry_ref(key).or_default();
        *highest = promised.max(*highest);
    }

    /// Highest promised ballot heard of.
    pub fn observed_ballot(&self, key: &str) -> Ballot {
        self.observed_ballots.lock().get(key).copied().unwrap_or_default()
    }

    /// The owner of this ballot has left.
    pub fn owner_resigned(&self, key: &str, promised: Ballot) {
        self.resigned.lock().insert(key, promised);
    }

    /// Whether the owner of this ballot has left.
    pub fn has_resigned(&self, key: &str, promised: Ballot) -> bool {
        self.resigned.lock().contains(key, promised)
    }

    /// Waits for the rounds under way, and owns nothing from then on unless a key is taken over again.
    pub async fn release_keys(&self) {
        let mut slots: Vec<(String, Slot)> =
            self.slots.lock().iter().map(|(key, slot)| (key.clone(), slot.clone())).collect();
        slots.sort_by(|a, b| a.0.cmp(&b.0));
        let releases = slots.iter().map(|(_, slot)| async move {
            if let Ok(mut slot) = tokio::time::timeout(constants::PHASE_TIMEOUT, slot.lock()).await
            {
                *slot = None;
            }
        });
        futures_util::future::join_all(releases).await;
    }

    fn is_quiet(&self, key: &str, value_bytes: usize) -> bool {
        let span = constants::ELECTION_TIMEOUT + constants::phase_timeout(value_bytes)
            - constants::PHASE_TIMEOUT;
        self.elections.lock().is_quiet(key, Instant::now(), span)
    }
}

/// Answers whether this voter would take part in electing another owner for the key.
pub fn pre_vote(consensus: &Consensus, request: &PreVoteRequest) -> PreVoteResponse {
    let (eligible, promised, bytes) = {
        let acceptor = consensus.acceptor.lock();
        let votes = acceptor.votes() && !consensus.is_disk_broken();
        let eligible = votes && acceptor.membership().epoch == request.membership;
        let bytes = acceptor.register(&request.key).map_or(0, |r| r.value.len());
        (eligible, acceptor.promised(&request.key), bytes)
    };
    let key_owners = &consensus.key_owners;
    let free =
        key_owners.has_resigned(&request.key, promised) || key_owners.is_quiet(&request.key, bytes);
    PreVoteResponse { ok: eligible && free, promised }
}

async fn own_vote(consensus: &Arc<Consensus>, request: &Request) -> Option<Vote> {
    match request {
        Request::Prepare(p) => consensus.vote(|a| a.prepare(p)).await,
        Request::Accept(a) => consensus.vote(|acceptor| acceptor.accept(a)).await,
    }
}

fn body_of(request: Request) -> Body {
    match request {
        Request::Prepare(p) => Body::Prepare(p),
        Request::Accept(a) => Body::Accept(a),
    }
}

/// One voter's vote over its link. A later membership in the answer is adopted.
async fn vote_of(
    consensus: Arc<Consensus>,
    link: Arc<Link>,
    request: Request,
    limit: Duration,
) -> Option<Vote> {
    let Ok(Body::Vote(vote)) = link.call(body_of(request), limit).await else { return None };
    if let Some(membership) = &vote.membership {
        consensus.adopt(membership).await;
    }
    Some(vote)
}

/// Sends the round's request to all other voters; their votes come in as they answer.
fn broadcast(consensus: &Arc<Consensus>, proposer: &Proposer) -> Votes {
    let members = consensus.acceptor.lock().membership().members.clone();
    let limit = constants::phase_timeout(proposer.value().len());
    let (votes, inbox) = mpsc::channel(members.len().max(1));
    for (id, link) in consensus.links_to(&members) {
        let request = proposer.request_for(id);
        let (consensus, votes) = (consensus.clone(), votes.clone());
        tokio::spawn(async move {
            let vote = vote_of(consensus, link, request, limit).await;
            let _ = votes.send((id, vote)).await;
        });
    }
    inbox
}

/// Carries out what a proposer asks for, until its value is chosen or it fails.
async fn drive(
    consensus: &Arc<Consensus>,
    proposer: &mut Proposer,
    first: Action,
) -> Result<(), ProposalError> {
    let mut action = first;
    let mut inbox: Option<Votes> = None;
    loop {
        let step = proposer.step();
        action = match action {
            Action::Chosen => return Ok(()),
            Action::Failed(error) => return Err(error),
            Action::SendToSelf(request) => {
                let limit = constants::phase_timeout(proposer.value().len());
                let vote = tokio::time::timeout(limit, own_vote(consensus, &request)).await;
                let vote = vote.ok().flatten();
                proposer.on_vote(step, consensus.process.node.id(), vote.as_ref())
            }
            Action::Broadcast => {
                inbox = Some(broadcast(consensus, proposer));
                Action::Wait
            }
            Action::Wait => match next_vote(&mut inbox).await {
                Some((from, vote)) => proposer.on_vote(step, from, vote.as_ref()),
                None => proposer.on_end_of_votes(),
            },
        };
        let latest = proposer.latest_recovery_epoch();
        if latest > consensus.acceptor.lock().recovery_epoch() {
            consensus.persist(|a| a.advance(latest)).await;
        }
    }
}

async fn next_vote(inbox: &mut Option<Votes>) -> Option<(u64, Option<Vote>)> {
    inbox.as_mut()?.recv().await
}

/// A round of an owner: the value is told to the others once it is chosen.
async fn run_round(
    consensus: &Arc<Consensus>,
    key: &str,
    proposer: &mut Proposer,
    first: Action,
) -> Result<(), ProposalError> {
    let done = drive(consensus, proposer, first).await;
    if let Err(ProposalError::Preempted(promised)) = &done {
        consensus.key_owners.observe_ballot(key, *promised);
    }
    done?;
    consensus.committed(key, proposer.ballot(), proposer.value()).await;
    Ok(())
}

/// Whether a quorum has seen nothing of the key's owner for a while.
async fn owner_timed_out(consensus: &Arc<Consensus>, key: &str) -> bool {
    let membership = consensus.acceptor.lock().membership().clone();
    let request = PreVoteRequest { key: key.to_owned(), membership: membership.epoch };
    let quorum = membership.members.len() / 2 + 1;
    let (answers, mut inbox) = mpsc::channel(membership.members.len().max(1));
    for (_, link) in consensus.links_to(&membership.members) {
        let (answers, request) = (answers.clone(), request.clone());
        tokio::spawn(async move {
            if let Ok(Body::PreVoteResponse(answer)) =
                link.call(Body::PreVoteRequest(request), constants::PHASE_TIMEOUT).await
            {
                let _ = answers.send(answer).await;
            }
        });
    }
    drop(answers);
    let mut willing = usize::from(pre_vote(consensus, &request).ok);
    while willing < quorum {
        let Some(answer) = inbox.recv().await else { return false };
        consensus.key_owners.observe_ballot(key, answer.promised);
        willing += usize::from(answer.ok);
    }
    true
}

/// Takes a key over: once its owner is silent, prepares above all that was seen and completes what was open.
async fn acquire_ownership(
    consensus: &Arc<Consensus>,
    key: &str,
) -> Result<Proposer, ProposalError> {
    let until = Instant::now() + constants::CHANGE_TIMEOUT;
    let mut backoff_ms = constants::ELECTION_BACKOFF_MS;
    loop {
        let error = match elect(consensus, key).await {
            Ok(proposer) => return Ok(proposer),
            Err(error) => error,
        };
        let wait = Duration::from_millis(1 + consensus.process.random_below(backoff_ms));
        let hopeless = matches!(error, ProposalError::NoOwnVote | ProposalError::Preempted(_));
        if hopeless || Instant::now() + wait >= until {
            return Err(error);
        }
        tokio::time::sleep(wait).await;
        backoff_ms *= 2;
    }
}

async fn elect(consensus: &Arc<Consensus>, key: &str) -> Result<Proposer, ProposalError> {
    let (scope, above) = {
        let acceptor = consensus.acceptor.lock();
        if !acceptor.votes() || !consensus.may_own() {
            return Err(ProposalError::NoOwnVote);
        }
        let scope = Scope {
            membership: acceptor.membership().epoch,
            recovery_epoch: acceptor.recovery_epoch(),
            voters: acceptor.membership().members.len(),
        };
        (scope, acceptor.highest(key))
    };
    if !owner_timed_out(consensus, key).await {
        return Err(ProposalError::OwnerActive);
    }
    let observed_ballots = consensus.key_owners.observed_ballot(key);
    let is_plausible = consensus.acceptor.lock().is_plausible(key, observed_ballots);
    let above = if is_plausible { above.max(observed_ballots.n) } else { above };
    let (mut proposer, first) = Proposer::prepare(consensus.process.node.id(), key, scope, above);
    run_round(consensus, key, &mut proposer, first).await?;
    fleet_core::log_event!(consensus.process.log, fleet_core::log::Event::KeyOwnershipAcquired,
        "key" => key, "epoch" => proposer.ballot().n);
    Ok(proposer)
}

/// Whether an ownership still stands: same scope, and the own acceptor has promised nobody else.
fn stands(consensus: &Consensus, key: &str, proposer: &Proposer) -> bool {
    let acceptor = consensus.acceptor.lock();
    let scope = proposer.scope();
    proposer.is_owner()
        && scope.membership == acceptor.membership().epoch
        && scope.recovery_epoch == acceptor.recovery_epoch()
        && acceptor.promised(key).epoch() == proposer.ballot().epoch()
}

/// Changes a key here: as its owner, or after taking it over. `decide` sees the chosen value.
///
/// # Errors
/// The change may have been chosen all the same, except after [`ProposalError::NoOwnVote`] of a take-over.
pub async fn propose_and_commit(
    consensus: &Arc<Consensus>,
    key: &str,
    decide: impl Fn(&[u8]) -> Decision,
) -> Result<ChangeResponse, ProposalError> {
    let slot = consensus.key_owners.slot(key);
    let mut slot = slot.lock().await;
    if !consensus.may_own() {
        return Err(ProposalError::NoOwnVote);
    }
    let owned = slot.take().filter(|proposer| stands(consensus, key, proposer));
    let mut owned = match owned {
        Some(proposer) => {
            consensus.key_owners.record_progress(key);
            proposer
        }
        None => acquire_ownership(consensus, key).await?,
    };
    let answer = match decide(owned.value()) {
        Decision::Answer(answer) => {
            confirm(consensus, key, &mut owned).await?;
            answer
        }
        Decision::Write(value, answer) => {
            let first = owned.propose(value);
            run_round(consensus, key, &mut owned, first).await?;
            answer
        }
    };
    *slot = Some(owned);
    Ok(answer)
}

/// An answer without a change still needs a quorum that has not moved on.
async fn confirm(
    consensus: &Arc<Consensus>,
    key: &str,
    owned: &mut Proposer,
) -> Result<(), ProposalError> {
    if consensus.majority_at(key, owned.ballot()).await {
        return Ok(());
    }
    let first = owned.confirm();
    run_round(consensus, key, owned, first).await
}
