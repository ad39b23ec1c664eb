//! Reads what is in force and the fleet as seen; never writes.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use control_plane::engines::outside::Line;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

const REDIRECTS: usize = 2;

#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum AskError {
    /// no node answered: {0}
    Unreachable(String),
    /// {0}: the answer can't be read: {1}
    Malformed(SocketAddr, String),
}

#[derive(Debug, Clone, Default, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Fleet {
    /// of the configuration in force; 0 for none
    #[serde(default)]
    pub revision: u64,
    #[serde(default)]
    pub routers: u32,
    #[serde(default)]
    pub engines: Vec<SeenEngine>,
}

#[derive(Debug, Clone, serde::Deserialize)]
pub struct SeenEngine {
    pub service: String,
    pub standing: String,
    pub silent: bool,
    pub slots: u32,
}

/// Follows a node that names another, at most twice.
async fn get(first: SocketAddr, path: &str, limit: Duration) -> Result<(u16, Vec<u8>), String> {
    let mut to = first;
    for _ in 0..=REDIRECTS {
        let mut line = Line::new(Ipv4Addr::UNSPECIFIED, to);
        let a = line
            .call(http::Method::GET, path, &[("Connection", "close")], Vec::new(), limit)
            .await
            .map_err(|e| format!("{to}: {e}"))?;
        if a.status != http::StatusCode::TEMPORARY_REDIRECT {
            return Ok((a.status.as_u16(), a.body.to_vec()));
        }
        let target = a.location.as_deref().and_then(|l| l.strip_prefix("http://"));
        let target = target.and_then(|l| l.split('/').next()).and_then(|l| l.parse().ok());
        to = target.ok_or_else(|| format!("{to}: names no other node"))?;
    }
    Err(format!("{to}: named too many other nodes"))
}

/// The first node that answers with one of these statuses.
async fn first_of(
    nodes: &[SocketAddr],
    path: &str,
    limit: Duration,
    good: &[u16],
) -> Result<(SocketAddr, u16, Vec<u8>), AskError> {
    let mut why = Vec::new();
    for n in nodes {
        match get(*n, path, limit).await {
            Ok((s, body)) if good.contains(&s) => return Ok((*n, s, body)),
            Ok((s, _)) => why.push(format!("{n}: status {s}")),
            Err(e) => why.push(e),
        }
    }
    Err(AskError::Unreachable(why.join("; ")))
}

/// What each node answers, one after the other.
pub async fn answers(
    nodes: &[SocketAddr],
    path: &str,
    limit: Duration,
) -> Vec<(SocketAddr, Result<Vec<u8>, String>)> {
    let mut out = Vec::new();
    for n in nodes {
        let got = match get(*n, path, limit).await {
            Ok((200, body)) => Ok(body),
            Ok((s, _)) => Err(format!("{n}: status {s}")),
            Err(e) => Err(e),
        };
        out.push((*n, got));
    }
    out
}

pub struct AsItIs {
    pub in_force: Option<fleet_core::configuration::Configuration>,
    pub fleet: Fleet,
}

pub async fn look(nodes: &[SocketAddr], limit: Duration) -> Result<AsItIs, AskError> {
    let (at, _, body) = first_of(nodes, "/anisedyke/Fleet.Look", limit, &[200]).await?;
    let fleet: Fleet =
        serde_json::from_slice(&body).map_err(|e| AskError::Malformed(at, e.to_string()))?;
    if fleet.revision == 0 {
        return Ok(AsItIs { in_force: None, fleet });
    }
    let (at, _, body) = first_of(nodes, "/anisedyke/Config.Fetch", limit, &[200]).await?;
    let in_force = fleet_core::configuration::Configuration::read(&body)
        .map_err(|e| AskError::Malformed(at, e.to_string()))?;
    Ok(AsItIs { in_force: Some(in_force), fleet })
}
