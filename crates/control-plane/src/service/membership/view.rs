//! Types returned by [`super::view`]; `fleetctl` deserializes them.

use fleet_core::wire::Ballot;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// The control plane as one controller sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MembersView {
    /// Name of the responding controller.
    pub name: String,
    /// IP address of the responding controller.
    pub ip: String,
    /// Whether a majority of the voters responded to it recently; without such contact it rejects all calls but views.
    pub in_contact: bool,
    /// Whether it votes.
    pub votes: bool,
    /// Whether it is shutting down.
    #[serde(rename = "leaving")]
    pub shutting_down: bool,
    /// State of its disk.
    pub disk: DiskState,
    /// Epoch of the membership that it uses; 0 before it knows one.
    pub membership_epoch: u64,
    /// Its own recovery epoch.
    pub recovery_epoch: u64,
    /// Number of machines that may fail at the same time, according to its settings.
    pub tolerated_losses: usize,
    /// Highest ballot under which a responding voter has accepted a configuration.
    pub config: Option<BallotView>,
    /// All voters of that membership, sorted by address.
    pub voters: Vec<VoterView>,
    /// All keys that voters store, sorted by name.
    pub keys: Vec<KeyView>,
    /// All leases that have ever been held, sorted by name.
    #[serde(rename = "duties")]
    pub leases: Vec<LeaseView>,
}

impl MembersView {
    /// Number of voters whose votes currently count: they responded, vote, and use the same membership.
    pub fn voting(&self) -> usize {
        let counts = |voter: &&VoterView| {
            voter.answered && voter.votes && voter.membership_epoch == self.membership_epoch
        };
        self.voters.iter().filter(counts).count()
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// State of a controller's disk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DiskState {
    /// The disk accepts writes.
    #[default]
    Works,
    /// The last write failed.
    Refused,
    /// The controller runs without a disk.
    Absent,
}

/// One voter, as the responding controller sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct VoterView {
    /// IP address of the voter.
    pub ip: String,
    /// Zone of the voter; empty if unknown.
    pub zone: String,
    /// Address of its control API.
    pub control: String,
    /// Epoch of the membership that added it.
    pub joined_epoch: u64,
    /// Whether it responded to the query for this view.
    pub answered: bool,
    /// Milliseconds since its last response; `None` if it has not responded since the responding controller started.
    pub last_answer_ms: Option<u64>,
    /// Whether it votes; it doesn't while it is recovering its state.
    pub votes: bool,
    /// Epoch of the membership that it uses.
    pub membership_epoch: u64,
    /// Recovery epoch of the voter.
    pub recovery_epoch: u64,
    /// Ballot under which it accepted its configuration; `None` if it has accepted none.
    pub config: Option<BallotView>,
    /// How far that ballot is behind the highest one; `None` if it is not behind.
    pub behind: Option<Lag>,
}

/// A ballot in readable form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BallotView {
    /// Increases with each change of the key's owner.
    pub epoch: u64,
    /// Address of the owner under this epoch.
    pub owner: String,
    /// Round number within this epoch.
    pub round: u64,
}

impl BallotView {
    /// Converts a ballot; `None` for the default ballot, which means that nothing was accepted or promised.
    pub fn of(ballot: Ballot) -> Option<BallotView> {
        (ballot != Ballot::default()).then(|| BallotView {
            epoch: ballot.n,
            owner: node_address(ballot.node),
            round: ballot.seq,
        })
    }
}

/// The IP address that a node id in a ballot encodes.
fn node_address(node: u64) -> String {
    u32::try_from(node).map_or_else(|_| node.to_string(), |bits| Ipv4Addr::from(bits).to_string())
}

/// How far an accepted ballot is behind the highest one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lag {
    /// Difference of the epochs.
    pub epochs: u64,
    /// Number of missing rounds of the highest epoch.
    pub rounds: u64,
}

impl Lag {
    /// Lag of a ballot behind the highest one; `None` if it is not behind.
    pub fn between(accepted_ballot: Ballot, highest: Ballot) -> Option<Lag> {
        if accepted_ballot >= highest {
            return None;
        }
        let known_rounds =
            if accepted_ballot.epoch() == highest.epoch() { accepted_ballot.seq } else { 0 };
        Some(Lag { epochs: highest.n - accepted_ballot.n, rounds: highest.seq - known_rounds })
    }
}

/// Ownership of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyView {
    /// Name of the key.
    pub key: String,
    /// IP address of the node to which a voter promised the highest epoch.
    pub owner: String,
    /// The highest epoch that a voter promised.
    pub epoch: u64,
}

/// The newest value of a lease that the responding controller knows, and that controller's own role in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseView {
    /// Name of the lease.
    #[serde(rename = "duty")]
    pub name: String,
    /// Name of the node that last acquired the lease with a new fencing token.
    pub holder: String,
    /// Current fencing token.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// Whether the responding controller holds the lease and may act under it.
    pub acts: bool,
    /// The grant that the responding controller has made, if one is current.
    pub granted: Option<GrantView>,
}

/// A voter's current grant of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct GrantView {
    /// Name of the node that the lease was granted to.
    pub node: String,
    /// Milliseconds for which the voter grants the lease to no other node.
    #[serde(rename = "leftMs")]
    pub remaining_ms: u64,
}
