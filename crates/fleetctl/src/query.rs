//! Reads what is in force and the fleet as seen; never writes.

use control_plane::engines::client::EngineClient;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Redirections that are followed.
const REDIRECTS: usize = 2;
/// The status of an answer that counts.
const OK: u16 = 200;

/// Why the fleet could not be asked.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum QueryError {
    /// no node answered: {0}
    Unreachable(String),
    /// {0}: the answer can't be read: {1}
    Malformed(SocketAddr, String),
}

/// The fleet as a controller sees it (`Fleet.Look`).
#[derive(Debug, Clone, Default, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Fleet {
    /// Number of the configuration in force; 0 for none.
    #[serde(default)]
    pub revision: u64,
    /// Live routers.
    #[serde(default)]
    pub routers: u32,
    /// All engines that the controller remembers, gone ones too.
    #[serde(default)]
    pub engines: Vec<EngineView>,
}

/// An engine as a controller sees it.
#[derive(Debug, Clone, serde::Deserialize)]
pub struct EngineView {
    /// Name of its service.
    pub service: String,
    /// `ready`, `draining` or `gone`.
    #[serde(rename = "standing")]
    pub state: String,
    /// Whether its heartbeats have stopped.
    #[serde(rename = "silent")]
    pub heartbeat_missed: bool,
    /// Requests that it runs at a time.
    pub slots: u32,
}

/// A status and a body.
struct Response {
    status: u16,
    body: Vec<u8>,
}

/// A response, and the node that gave it.
struct NodeResponse {
    node: SocketAddr,
    response: Response,
}

/// What one node answered: its body, or why there is none.
pub struct NodeAnswer {
    /// The node that was asked.
    pub node: SocketAddr,
    /// The body of an answer with status 200; else the reason, in words.
    pub body: Result<Vec<u8>, String>,
}

/// Follows a node that names another, at most twice.
async fn get(first: SocketAddr, path: &str, limit: Duration) -> Result<Response, String> {
    let mut to = first;
    for _ in 0..=REDIRECTS {
        let mut client = EngineClient::new(Ipv4Addr::UNSPECIFIED, to);
        let answer = client
            .call(http::Method::GET, path, &[("Connection", "close")], Vec::new(), limit)
            .await
            .map_err(|e| format!("{to}: {e}"))?;
        if answer.status != http::StatusCode::TEMPORARY_REDIRECT {
            return Ok(Response { status: answer.status.as_u16(), body: answer.body.to_vec() });
        }
        let target = answer.location.as_deref().and_then(|url| url.strip_prefix("http://"));
        let target = target.and_then(|rest| rest.split('/').next());
        let target = target.and_then(|address| address.parse().ok());
        to = target.ok_or_else(|| format!("{to}: names no other node"))?;
    }
    Err(format!("{to}: named too many other nodes"))
}

/// The first node that answers with status 200.
async fn first_of(
    nodes: &[SocketAddr],
    path: &str,
    limit: Duration,
) -> Result<NodeResponse, QueryError> {
    let mut why = Vec::new();
    for node in nodes {
        match get(*node, path, limit).await {
            Ok(response) if response.status == OK => {
                return Ok(NodeResponse { node: *node, response });
            }
            Ok(response) => why.push(format!("{node}: status {}", response.status)),
            Err(e) => why.push(e),
        }
    }
    Err(QueryError::Unreachable(why.join("; ")))
}

/// What each node answers to a read, one node after the other.
pub async fn answers(nodes: &[SocketAddr], path: &str, limit: Duration) -> Vec<NodeAnswer> {
    let mut answers = Vec::new();
    for node in nodes {
        let body = match get(*node, path, limit).await {
            Ok(response) if response.status == OK => Ok(response.body),
            Ok(response) => Err(format!("{node}: status {}", response.status)),
            Err(e) => Err(e),
        };
        answers.push(NodeAnswer { node: *node, body });
    }
    answers
}

/// The fleet, and the configuration in force, if there is one.
pub struct AsItIs {
    /// The configuration in force; none before the first.
    pub in_force: Option<fleet_core::configuration::Configuration>,
    /// The fleet.
    pub fleet: Fleet,
}

/// Asks the first node that answers, with up to `limit` for each call.
///
/// # Errors
///
/// No node answered in time, or the answer can't be read.
pub async fn fetch(nodes: &[SocketAddr], limit: Duration) -> Result<AsItIs, QueryError> {
    let found = first_of(nodes, "/anisedyke/Fleet.Look", limit).await?;
    let fleet: Fleet = serde_json::from_slice(&found.response.body)
        .map_err(|e| QueryError::Malformed(found.node, e.to_string()))?;
    if fleet.revision == 0 {
        return Ok(AsItIs { in_force: None, fleet });
    }
    let found = first_of(nodes, "/anisedyke/Config.Fetch", limit).await?;
    let in_force = fleet_core::configuration::Configuration::read(&found.response.body)
        .map_err(|e| QueryError::Malformed(found.node, e.to_string()))?;
    Ok(AsItIs { in_force: Some(in_force), fleet })
}
