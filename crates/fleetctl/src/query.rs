//! Queries controllers for the active configuration and the state of the fleet. All requests are `GET`s.

use control_plane::engines::client::HttpClient;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Redirects that are followed for one request.
const MAX_REDIRECTS: usize = 2;
/// The HTTP status of a usable response.
const STATUS_OK: u16 = 200;

/// Why a query failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum QueryError {
    /// no controller answered: {0}
    Unreachable(String),
    /// {0}: malformed response: {1}
    Malformed(SocketAddr, String),
}

/// State of the fleet as a controller reports it (`Fleet.Look`).
#[derive(Debug, Clone, Default, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Fleet {
    /// Revision of the active configuration; 0 if there is none.
    #[serde(default)]
    pub revision: u64,
    /// Number of live routers.
    #[serde(default)]
    pub routers: u32,
    /// All engines that the controller knows, including those that are gone.
    #[serde(default)]
    pub engines: Vec<EngineView>,
}

/// State of an engine as a controller reports it.
#[derive(Debug, Clone, serde::Deserialize)]
pub struct EngineView {
    /// Name of the service that it belongs to.
    pub service: String,
    /// `ready`, `draining` or `gone`.
    #[serde(rename = "standing")]
    pub state: String,
    /// Whether its heartbeats have stopped.
    #[serde(rename = "silent")]
    pub heartbeat_missed: bool,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
}

/// Status and body of an HTTP response.
struct Response {
    status: u16,
    body: Vec<u8>,
}

/// A response and the node that was asked for it.
struct NodeResponse {
    node: SocketAddr,
    response: Response,
}

/// Outcome of a request to one node.
pub struct NodeResult {
    /// The node that the request was sent to.
    pub node: SocketAddr,
    /// The body of a response with status 200, or a description of the failure.
    pub body: Result<Vec<u8>, String>,
}

/// Sends a `GET` request and follows up to [`MAX_REDIRECTS`] redirects to other nodes.
async fn get(initial: SocketAddr, path: &str, timeout: Duration) -> Result<Response, String> {
    let mut node = initial;
    for _ in 0..=MAX_REDIRECTS {
        let mut client = HttpClient::new(Ipv4Addr::UNSPECIFIED, node);
        let response = client
            .call(http::Method::GET, path, &[("Connection", "close")], Vec::new(), timeout)
            .await
            .map_err(|e| format!("{node}: {e}"))?;
        if response.status != http::StatusCode::TEMPORARY_REDIRECT {
            return Ok(Response { status: response.status.as_u16(), body: response.body.to_vec() });
        }
        let target = response.location.as_deref().and_then(|url| url.strip_prefix("http://"));
        let target = target.and_then(|rest| rest.split('/').next());
        let target = target.and_then(|address| address.parse().ok());
        node = target.ok_or_else(|| format!("{node}: redirect without a valid Location header"))?;
    }
    Err(format!("{node}: more than {MAX_REDIRECTS} redirects"))
}

/// Queries the nodes in order and returns the first response with status 200.
async fn query_first(
    nodes: &[SocketAddr],
    path: &str,
    timeout: Duration,
) -> Result<NodeResponse, QueryError> {
    let mut errors = Vec::new();
    for node in nodes {
        match get(*node, path, timeout).await {
            Ok(response) if response.status == STATUS_OK => {
                return Ok(NodeResponse { node: *node, response });
            }
            Ok(response) => errors.push(format!("{node}: status {}", response.status)),
            Err(e) => errors.push(e),
        }
    }
    Err(QueryError::Unreachable(errors.join("; ")))
}

/// Queries every node, one after the other, and returns the results in the same order.
pub async fn query_all(nodes: &[SocketAddr], path: &str, timeout: Duration) -> Vec<NodeResult> {
    let mut results = Vec::new();
    for node in nodes {
        let body = match get(*node, path, timeout).await {
            Ok(response) if response.status == STATUS_OK => Ok(response.body),
            Ok(response) => Err(format!("{node}: status {}", response.status)),
            Err(e) => Err(e),
        };
        results.push(NodeResult { node: *node, body });
    }
    results
}

/// The active configuration and the state of the fleet.
pub struct CurrentState {
    /// The active configuration; `None` before the first one has been applied.
    pub configuration: Option<fleet_core::configuration::Configuration>,
    /// State of the fleet.
    pub fleet: Fleet,
}

/// Queries the nodes in order and uses the first that answers; `timeout` applies to each request.
///
/// # Errors
///
/// Fails if no node answers in time or the response is malformed.
pub async fn fetch(nodes: &[SocketAddr], timeout: Duration) -> Result<CurrentState, QueryError> {
    let node_response = query_first(nodes, "/anisedyke/Fleet.Look", timeout).await?;
    let fleet: Fleet = serde_json::from_slice(&node_response.response.body)
        .map_err(|e| QueryError::Malformed(node_response.node, e.to_string()))?;
    if fleet.revision == 0 {
        return Ok(CurrentState { configuration: None, fleet });
    }
    let node_response = query_first(nodes, "/anisedyke/Config.Fetch", timeout).await?;
    let configuration =
        fleet_core::configuration::Configuration::parse(&node_response.response.body)
            .map_err(|e| QueryError::Malformed(node_response.node, e.to_string()))?;
    Ok(CurrentState { configuration: Some(configuration), fleet })
}
