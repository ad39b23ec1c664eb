//! How a roll-out of weights stands, for people and for programs.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::ask::{AskError, answers};
use crate::report;
pub use control_plane::duties::rollout::look::State;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Rollout {
    /// told by the node that carries it out
    pub holds: bool,
    pub width: usize,
    pub models: Vec<Model>,
}

#[derive(Debug, Clone, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Model {
    pub model: String,
    pub revision: u64,
    pub age_ms: u64,
    pub left_ms: u64,
    pub engines: Vec<Engine>,
}

#[derive(Debug, Clone, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Engine {
    pub id: String,
    pub zone: String,
    pub state: State,
    pub revision: Option<u64>,
    pub stuck: Option<String>,
}

impl Model {
    fn count(&self, s: State) -> usize {
        self.engines.iter().filter(|e| e.state == s).count()
    }

    pub fn is_done(&self) -> bool {
        self.count(State::Ready) == self.engines.len()
    }

    /// Something is stuck, or the bound has passed.
    fn is_wrong(&self) -> bool {
        !self.is_done() && (self.left_ms == 0 || self.engines.iter().any(|e| e.stuck.is_some()))
    }
}

impl Rollout {
    pub fn is_done(&self) -> bool {
        self.models.iter().all(Model::is_done)
    }

    pub fn exit(&self) -> u8 {
        if self.models.iter().any(Model::is_wrong) { report::FOUND } else { report::CLEAN }
    }

    pub fn text(&self) -> String {
        if self.models.is_empty() {
            return "no weights have been named\n".to_owned();
        }
        let mut out = String::new();
        for m in &self.models {
            let n = |s| m.count(s);
            out += &format!(
                "{} revision {}: {} of {} ready, {} turning, {} fading, {} waiting, {} silent\n",
                m.model,
                m.revision,
                n(State::Ready),
                m.engines.len(),
                n(State::Turning),
                n(State::Fading),
                n(State::Waiting),
                n(State::Silent)
            );
            if !m.is_done() {
                out += &format!("  named {} ms ago, {} ms left of the bound", m.age_ms, m.left_ms);
                let width = format!("; up to {} turn at once\n", self.width);
                out += if self.holds {
                    &width
                } else {
                    "; the node that carries it out did not answer\n"
                };
            }
            for e in &m.engines {
                if let Some(why) = &e.stuck {
                    out += &format!("  stuck: {} in {}: {why}\n", e.id, e.zone);
                }
            }
        }
        out
    }

    pub fn json(&self) -> String {
        serde_json::json!({ "rollout": self, "done": self.is_done() }).to_string()
    }
}

/// The view of the node that carries the roll-out out; any other's where that one can't be reached.
pub async fn ask(nodes: &[SocketAddr], limit: Duration) -> Result<Rollout, AskError> {
    let mut best: Option<Rollout> = None;
    let mut why = Vec::new();
    for (at, got) in answers(nodes, "/anisedyke/Rollout.Look", limit).await {
        match got.map(|b| serde_json::from_slice::<Rollout>(&b)) {
            Ok(Ok(r)) if r.holds => return Ok(r),
            Ok(Ok(r)) => best = best.or(Some(r)),
            Ok(Err(e)) => why.push(format!("{at}: the answer can't be read: {e}")),
            Err(e) => why.push(e),
        }
    }
    best.ok_or_else(|| AskError::Unreachable(why.join("; ")))
}
