//! Status of the control plane: its voters, their contact and lag, the leases, and whether a quorum is safe.

mod verdict;

pub use control_plane::service::membership::MembersView;
pub use verdict::Verdict;

use crate::query::{NodeResult, QueryError, query_all};
use crate::report;
use control_plane::service::membership::{LeaseView, VoterView};
use std::net::SocketAddr;
use std::time::Duration;

/// Status of the control plane as one controller reports it, or why there is no report from it.
#[derive(Debug, Clone, serde::Serialize)]
pub struct NodeView {
    /// The node that was queried.
    pub node: SocketAddr,
    /// What it reported; `None` if the query failed.
    pub view: Option<MembersView>,
    /// Why the query failed; `None` if it did not.
    pub error: Option<String>,
}

impl NodeView {
    fn from_result(result: NodeResult) -> NodeView {
        let node = result.node;
        let parse = |body: Vec<u8>| {
            serde_json::from_slice(&body).map_err(|e| format!("{node}: malformed response: {e}"))
        };
        match result.body.and_then(parse) {
            Ok(view) => NodeView { node, view: Some(view), error: None },
            Err(error) => NodeView { node, view: None, error: Some(error) },
        }
    }
}

/// Status of the control plane, combined from the reports of all queried nodes.
#[derive(Debug, Clone)]
pub struct Members {
    /// The report that the verdict is based on.
    pub view: MembersView,
    /// All nodes that were queried, with their reports.
    pub nodes: Vec<NodeView>,
}

impl Members {
    /// Prefers the report of a node in contact with a majority, then the highest membership epoch, then the most voting
    /// voters.
    fn from_nodes(nodes: Vec<NodeView>) -> Result<Members, QueryError> {
        let rank = |view: &&MembersView| (view.in_contact, view.membership_epoch, view.voting());
        let views = nodes.iter().filter_map(|node| node.view.as_ref());
        let Some(view) = views.max_by_key(rank).cloned() else {
            let errors: Vec<String> = nodes.into_iter().filter_map(|node| node.error).collect();
            return Err(QueryError::Unreachable(errors.join("; ")));
        };
        Ok(Members { view, nodes })
    }

    /// Whether the control plane has a quorum, and keeps it after the tolerated losses.
    pub fn verdict(&self) -> Verdict {
        Verdict::from_view(&self.view)
    }

    /// The exit code: [`report::EXIT_CLEAN`] if the verdict is [`Verdict::Healthy`], else [`report::EXIT_FINDINGS`].
    pub fn exit_code(&self) -> u8 {
        if self.verdict() == Verdict::Healthy { report::EXIT_CLEAN } else { report::EXIT_FINDINGS }
    }

    /// Formats the status as one JSON object.
    pub fn json(&self) -> String {
        serde_json::json!({
            "verdict": self.verdict(),
            "voting": self.view.voting(),
            "quorum": self.view.quorum(),
            "view": self.view,
            "nodes": self.nodes,
        })
        .to_string()
    }

    /// Formats the status as text.
    pub fn text(&self) -> String {
        let view = &self.view;
        let mut lines = vec![
            self.verdict().text(view),
            format!("membership epoch {}, reported by {}", view.membership_epoch, view.ip),
        ];
        lines.extend(view.voters.iter().map(|voter| self.voter_line(voter)));
        lines.extend(self.nodes.iter().filter_map(|node| self.learner_line(node)));
        let key_line = |key: &control_plane::service::membership::KeyView| {
            format!("key {}: owner {}, epoch {}", key.key, key.owner, key.epoch)
        };
        lines.extend(view.keys.iter().map(key_line));
        lines.extend(view.leases.iter().map(|lease| self.lease_line(lease)));
        let errors = self.nodes.iter().filter_map(|node| node.error.as_ref());
        lines.extend(errors.map(|error| format!("no report from {error}")));
        lines.into_iter().map(|line| line + "\n").collect()
    }

    fn reported_by(&self, ip: &str) -> Option<&MembersView> {
        self.nodes.iter().filter_map(|node| node.view.as_ref()).find(|view| view.ip == ip)
    }

    fn voter_line(&self, voter: &VoterView) -> String {
        let zone = if voter.zone.is_empty() { "an unknown zone" } else { &voter.zone };
        let status = voter_status(voter);
        let own_status = self
            .reported_by(&voter.ip)
            .map_or(String::new(), |view| format!(", {}", own_status(view)));
        format!("voter {} in {zone}: {status}{own_status}", voter.ip)
    }

    /// The line for a queried node that is not a voter; `None` for voters and nodes without a report.
    fn learner_line(&self, node: &NodeView) -> Option<String> {
        let view = node.view.as_ref()?;
        let is_voter = self.view.voters.iter().any(|voter| voter.ip == view.ip);
        (!is_voter).then(|| format!("learner {}: {}", view.ip, own_status(view)))
    }

    fn lease_line(&self, lease: &LeaseView) -> String {
        let (name, holder, fencing_token) = (&lease.name, &lease.holder, lease.fencing_token);
        let views = self.nodes.iter().filter_map(|node| node.view.as_ref());
        let reports = views.flat_map(|view| &view.leases).filter(|lease| lease.name == *name);
        let grants: Vec<u64> = reports
            .filter_map(|lease| lease.granted.as_ref())
            .filter(|grant| grant.node == *holder)
            .map(|grant| grant.remaining_ms)
            .collect();
        let remaining = match grants.iter().max() {
            Some(remaining) => format!("granted by {} for up to {remaining} ms more", grants.len()),
            None => "no running grant is known".to_owned(),
        };
        format!("lease {name}: holder {holder}, fencing token {fencing_token}, {remaining}")
    }
}

/// Status of a voter as the reporting controller sees it.
fn voter_status(voter: &VoterView) -> String {
    if !voter.answered {
        return match voter.last_answer_ms {
            Some(age) => format!("no answer, last one {age} ms ago"),
            None => "no answer yet".to_owned(),
        };
    }
    let votes = if voter.votes { "votes" } else { "answers but does not vote" };
    let lag = match (&voter.config, voter.behind) {
        (_, Some(lag)) => {
            format!("config {} epochs and {} rounds behind", lag.epochs, lag.rounds)
        }
        (Some(_), None) => "config up to date".to_owned(),
        (None, None) => "no config yet".to_owned(),
    };
    let (membership, recovery) = (voter.membership_epoch, voter.recovery_epoch);
    format!("{votes}, {lag}, membership epoch {membership}, recovery epoch {recovery}")
}

/// Status that a controller reports of itself.
fn own_status(view: &MembersView) -> String {
    use control_plane::service::membership::DiskState;
    let contact = if view.in_contact { "in contact" } else { "out of contact" };
    let disk = match view.disk {
        DiskState::Works => "",
        DiskState::Refused => ", disk refused the last write",
        DiskState::Absent => ", no disk",
    };
    let shutting_down = if view.shutting_down { ", shutting down" } else { "" };
    format!("{contact}{disk}{shutting_down}")
}

async fn query_views(nodes: &[SocketAddr], timeout: Duration) -> Vec<NodeView> {
    let results = query_all(nodes, "/anisedyke/Members.Look", timeout).await;
    results.into_iter().map(NodeView::from_result).collect()
}

/// Queries these nodes, then the remaining voters that they report, each once.
///
/// # Errors
///
/// Fails if no node returns a valid report; the error names each node with the reason.
pub async fn query(nodes: &[SocketAddr], timeout: Duration) -> Result<Members, QueryError> {
    let mut queried = query_views(nodes, timeout).await;
    let voters = queried.iter().filter_map(|node| node.view.as_ref()).flat_map(|view| &view.voters);
    let control_addresses = voters.filter_map(|voter| voter.control.parse().ok());
    let mut other_voters: Vec<SocketAddr> =
        control_addresses.filter(|node| !nodes.contains(node)).collect();
    other_voters.sort_unstable();
    other_voters.dedup();
    queried.extend(query_views(&other_voters, timeout).await);
    Members::from_nodes(queried)
}
