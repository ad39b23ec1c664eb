//! The shape of what [`super::view`] returns; `fleetctl` reads it back.

use fleet_core::wire::Ballot;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// The control plane as one controller sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MembersView {
    /// Name of the controller that answers.
    pub name: String,
    /// Its address.
    pub ip: String,
    /// Whether a majority of the voters answered it a short time ago; without that it answers no other call.
    pub in_contact: bool,
    /// Whether it has a vote.
    pub votes: bool,
    /// Whether it is shutting down.
    #[serde(rename = "leaving")]
    pub shutting_down: bool,
    /// How its disk stands.
    pub disk: DiskState,
    /// Epoch of the membership that it goes by; 0 before it knows one.
    pub membership_epoch: u64,
    /// Its own recovery epoch.
    pub recovery_epoch: u64,
    /// Machines that may be lost at once, by its settings.
    pub tolerated_losses: usize,
    /// Highest ballot under which a voter that answered has accepted a configuration.
    pub config: Option<BallotView>,
    /// All voters of that membership, by address.
    pub voters: Vec<VoterView>,
    /// All keys that voters hold, by name.
    pub keys: Vec<KeyView>,
    /// All leases that were ever held, by name.
    #[serde(rename = "duties")]
    pub leases: Vec<LeaseView>,
}

impl MembersView {
    /// Voters whose vote counts now: they answered, vote, and go by the same membership.
    pub fn voting(&self) -> usize {
        let counts = |voter: &&VoterView| {
            voter.answered && voter.votes && voter.membership_epoch == self.membership_epoch
        };
        self.voters.iter().filter(counts).count()
    }

    /// Voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// How a controller's disk stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DiskState {
    /// It takes writes.
    #[default]
    Works,
    /// It refused the last write.
    Refused,
    /// There is none.
    Absent,
}

/// One voter, as another controller sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct VoterView {
    /// Its address.
    pub ip: String,
    /// Its zone; empty if it is not known.
    pub zone: String,
    /// Where it takes calls.
    pub control: String,
    /// Membership epoch that took it in.
    pub joined_epoch: u64,
    /// Whether it answered for this view.
    pub answered: bool,
    /// Age of its last answer; none if it has not answered since the teller's start.
    pub last_answer_ms: Option<u64>,
    /// Whether it votes; not while it reads its state back.
    pub votes: bool,
    /// The membership epoch that it goes by.
    pub membership_epoch: u64,
    /// Its recovery epoch.
    pub recovery_epoch: u64,
    /// Ballot under which it accepted its configuration.
    pub config: Option<BallotView>,
    /// How far that is behind the highest one, if it is.
    pub behind: Option<Lag>,
}

/// A ballot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BallotView {
    /// Rises with each take-over of the key.
    pub epoch: u64,
    /// Address of the owner under this epoch.
    pub owner: String,
    /// Rounds of that owner.
    pub round: u64,
}

impl BallotView {
    /// Of a ballot; none of the default, which stands for nothing accepted or promised.
    pub fn of(ballot: Ballot) -> Option<BallotView> {
        (ballot != Ballot::default()).then(|| BallotView {
            epoch: ballot.n,
            owner: address(ballot.node),
            round: ballot.seq,
        })
    }
}

/// The address that a node number in a ballot stands for.
fn address(node: u64) -> String {
    u32::try_from(node).map_or_else(|_| node.to_string(), |bits| Ipv4Addr::from(bits).to_string())
}

/// How far an accepted ballot is behind the highest one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lag {
    /// Epochs in between.
    pub epochs: u64,
    /// Rounds of the highest epoch that are missing.
    pub rounds: u64,
}

impl Lag {
    /// Of a ballot against the highest one; none if it is not behind.
    pub fn between(accepted_ballot: Ballot, highest: Ballot) -> Option<Lag> {
        if accepted_ballot >= highest {
            return None;
        }
        let known_rounds =
            if accepted_ballot.epoch() == highest.epoch() { accepted_ballot.seq } else { 0 };
        Some(Lag { epochs: highest.n - accepted_ballot.n, rounds: highest.seq - known_rounds })
    }
}

/// Who owns a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyView {
    /// Name of the key.
    pub key: String,
    /// Address of the node that a voter promised the highest epoch to.
    pub owner: String,
    /// That epoch.
    pub epoch: u64,
}

/// A lease by the newest value that the reporting controller knows, and its own part in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseView {
    /// Name of the lease.
    #[serde(rename = "duty")]
    pub name: String,
    /// Name of the node that raised the fencing token last.
    pub holder: String,
    /// The fencing token.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// Whether the teller itself may act under it now.
    pub acts: bool,
    /// The lease that the teller granted, if one runs.
    pub granted: Option<GrantView>,
}

/// A lease that a voter granted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct GrantView {
    /// Name of the node that it was granted to.
    pub node: String,
    /// How long the voter grants the lease to nobody else.
    #[serde(rename = "leftMs")]
    pub remaining_ms: u64,
}
