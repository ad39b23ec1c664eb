//! The control plane itself: who votes, who is in contact, who lags, and whether enough of it is left.

mod verdict;

pub use control_plane::service::membership::MembersView;
pub use verdict::Verdict;

use crate::query::{NodeAnswer, QueryError, answers};
use crate::report;
use control_plane::service::membership::{LeaseView, VoterView};
use std::net::SocketAddr;
use std::time::Duration;

/// What one controller told of the control plane, or why nothing.
#[derive(Debug, Clone, serde::Serialize)]
pub struct NodeView {
    /// The node that was asked.
    pub node: SocketAddr,
    /// Its view.
    pub view: Option<MembersView>,
    /// Why there is none.
    pub error: Option<String>,
}

impl NodeView {
    fn of(answer: NodeAnswer) -> NodeView {
        let node = answer.node;
        let read = |body: Vec<u8>| {
            serde_json::from_slice(&body)
                .map_err(|e| format!("{node}: the answer can't be read: {e}"))
        };
        match answer.body.and_then(read) {
            Ok(view) => NodeView { node, view: Some(view), error: None },
            Err(error) => NodeView { node, view: None, error: Some(error) },
        }
    }
}

/// The control plane by all who told of it.
#[derive(Debug, Clone)]
pub struct Members {
    /// The view that is believed.
    pub view: MembersView,
    /// All nodes that were asked.
    pub nodes: Vec<NodeView>,
}

impl Members {
    /// Believes a node in contact before others, then the later membership, then who hears more voters.
    fn of(nodes: Vec<NodeView>) -> Result<Members, QueryError> {
        let rank = |view: &&MembersView| (view.in_contact, view.membership_epoch, view.voting());
        let views = nodes.iter().filter_map(|node| node.view.as_ref());
        let Some(view) = views.max_by_key(rank).cloned() else {
            let why: Vec<String> = nodes.into_iter().filter_map(|node| node.error).collect();
            return Err(QueryError::Unreachable(why.join("; ")));
        };
        Ok(Members { view, nodes })
    }

    /// Whether enough voters are left.
    pub fn verdict(&self) -> Verdict {
        Verdict::of(&self.view)
    }

    /// The exit code: [`report::FOUND`] unless all is well.
    pub fn exit(&self) -> u8 {
        if self.verdict() == Verdict::Healthy { report::CLEAN } else { report::FOUND }
    }

    /// All of it as one JSON object.
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

    /// All of it for people.
    pub fn text(&self) -> String {
        let view = &self.view;
        let mut lines = vec![
            self.verdict().text(view),
            format!("membership epoch {}, as {} tells it", view.membership_epoch, view.ip),
        ];
        lines.extend(view.voters.iter().map(|voter| self.voter_line(voter)));
        lines.extend(self.nodes.iter().filter_map(|node| self.learner_line(node)));
        let key = |key: &control_plane::service::membership::KeyView| {
            format!("key {}: owner {}, epoch {}", key.key, key.owner, key.epoch)
        };
        lines.extend(view.keys.iter().map(key));
        lines.extend(view.leases.iter().map(|lease| self.lease_line(lease)));
        let errors = self.nodes.iter().filter_map(|node| node.error.as_ref());
        lines.extend(errors.map(|error| format!("no view of {error}")));
        lines.into_iter().map(|line| line + "\n").collect()
    }

    fn view_of(&self, ip: &str) -> Option<&MembersView> {
        self.nodes.iter().filter_map(|node| node.view.as_ref()).find(|view| view.ip == ip)
    }

    fn voter_line(&self, voter: &VoterView) -> String {
        let zone = if voter.zone.is_empty() { "an unknown zone" } else { &voter.zone };
        let status = voter_status(voter);
        let own = self.view_of(&voter.ip).map_or(String::new(), |view| format!(", {}", own(view)));
        format!("voter {} in {zone}: {status}{own}", voter.ip)
    }

    /// A node that was asked and is no voter.
    fn learner_line(&self, node: &NodeView) -> Option<String> {
        let view = node.view.as_ref()?;
        let is_voter = self.view.voters.iter().any(|voter| voter.ip == view.ip);
        (!is_voter).then(|| format!("learner {}: {}", view.ip, own(view)))
    }

    fn lease_line(&self, lease: &LeaseView) -> String {
        let (name, holder, fencing_token) = (&lease.name, &lease.holder, lease.fencing_token);
        let answers = self.nodes.iter().filter_map(|node| node.view.as_ref());
        let lease = answers.flat_map(|view| &view.leases).filter(|lease| lease.name == *name);
        let grants: Vec<u64> = lease
            .filter_map(|lease| lease.granted.as_ref())
            .filter(|grant| grant.node == *holder)
            .map(|grant| grant.remaining_ms)
            .collect();
        let remaining = match grants.iter().max() {
            Some(remaining) => format!("granted by {} for up to {remaining} ms more", grants.len()),
            None => "no lease is known to run".to_owned(),
        };
        format!("duty {name}: holder {holder}, fencing token {fencing_token}, {remaining}")
    }
}

/// What others see of a voter.
fn voter_status(voter: &VoterView) -> String {
    if !voter.answered {
        return match voter.last_answer_ms {
            Some(age) => format!("no answer, the last one {age} ms ago"),
            None => "no answer yet".to_owned(),
        };
    }
    let votes = if voter.votes { "votes" } else { "answers without a vote" };
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

/// What a controller says of itself.
fn own(view: &MembersView) -> String {
    use control_plane::service::membership::DiskState;
    let contact = if view.in_contact { "in contact" } else { "out of contact" };
    let disk = match view.disk {
        DiskState::Works => "",
        DiskState::Refused => ", disk refused",
        DiskState::Absent => ", no disk",
    };
    let shutting_down = if view.shutting_down { ", leaving" } else { "" };
    format!("{contact}{disk}{shutting_down}")
}

async fn query_each(nodes: &[SocketAddr], limit: Duration) -> Vec<NodeView> {
    let answers = answers(nodes, "/anisedyke/Members.Look", limit).await;
    answers.into_iter().map(NodeView::of).collect()
}

/// Asks these nodes, and then the voters that they name, each once.
///
/// # Errors
///
/// No node answered with a view; each is named with the reason.
pub async fn query(nodes: &[SocketAddr], limit: Duration) -> Result<Members, QueryError> {
    let mut queried = query_each(nodes, limit).await;
    let voters = queried.iter().filter_map(|node| node.view.as_ref()).flat_map(|view| &view.voters);
    let control_addresses = voters.filter_map(|voter| voter.control.parse().ok());
    let mut others: Vec<SocketAddr> =
        control_addresses.filter(|node| !nodes.contains(node)).collect();
    others.sort_unstable();
    others.dedup();
    queried.extend(query_each(&others, limit).await);
    Members::of(queried)
}
