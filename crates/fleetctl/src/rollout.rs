//! How a roll-out of weights stands, for people and for programs.

use crate::query::{QueryError, answers};
use crate::report;
pub use control_plane::rollout::status::State;
use std::net::SocketAddr;
use std::time::Duration;

/// How a roll-out of weights stands (`Rollout.Look`).
#[derive(Debug, Clone, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Rollout {
    /// Told by the node that carries it out.
    pub holds: bool,
    /// Engines that may change at once.
    #[serde(rename = "width")]
    pub concurrency: usize,
    /// All models with named weights.
    pub models: Vec<Model>,
}

/// How far the named weights of one model have come.
#[derive(Debug, Clone, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Model {
    /// Name of the model.
    pub model: String,
    /// The named version.
    pub revision: u64,
    /// Time since it was named, in ms.
    pub age_ms: u64,
    /// Time left until all requests have to begin on it, in ms; 0 once that has passed.
    #[serde(rename = "leftMs")]
    pub remaining_ms: u64,
    /// Engines of the model.
    pub engines: Vec<Engine>,
}

/// How far one engine has come.
#[derive(Debug, Clone, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Engine {
    /// The instance's id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its state.
    pub state: State,
    /// The version that it has, if it is known.
    pub revision: Option<u64>,
    /// Why it does not come on, if it does not.
    pub stuck: Option<String>,
}

impl Model {
    fn count(&self, state: State) -> usize {
        self.engines.iter().filter(|engine| engine.state == state).count()
    }

    /// One line: engines by state.
    fn counts(&self) -> String {
        format!(
            "{} revision {}: {} of {} ready, {} turning, {} fading, {} waiting, {} silent\n",
            self.model,
            self.revision,
            self.count(State::Ready),
            self.engines.len(),
            self.count(State::Updating),
            self.count(State::DrainingStreams),
            self.count(State::Waiting),
            self.count(State::HeartbeatMissed)
        )
    }

    /// Whether all engines have the named weights.
    pub fn is_done(&self) -> bool {
        self.count(State::Ready) == self.engines.len()
    }

    /// Something is stuck, or the bound has passed.
    fn is_wrong(&self) -> bool {
        !self.is_done()
            && (self.remaining_ms == 0 || self.engines.iter().any(|engine| engine.stuck.is_some()))
    }
}

impl Rollout {
    /// Whether all engines of all models have the named weights.
    pub fn is_done(&self) -> bool {
        self.models.iter().all(Model::is_done)
    }

    /// The exit code: [`report::FOUND`] if something is stuck, or the time has passed.
    pub fn exit(&self) -> u8 {
        if self.models.iter().any(Model::is_wrong) { report::FOUND } else { report::CLEAN }
    }

    /// The roll-out for people.
    pub fn text(&self) -> String {
        if self.models.is_empty() {
            return "no weights have been named\n".to_owned();
        }
        self.models.iter().map(|model| self.text_of(model)).collect()
    }

    fn text_of(&self, model: &Model) -> String {
        let mut text = model.counts();
        if !model.is_done() {
            let progress = if self.holds {
                format!("up to {} turn at once", self.concurrency)
            } else {
                "the node that carries it out did not answer".to_owned()
            };
            let (age_ms, remaining_ms) = (model.age_ms, model.remaining_ms);
            text += &format!(
                "  named {age_ms} ms ago, {remaining_ms} ms left of the bound; {progress}\n"
            );
        }
        for engine in &model.engines {
            if let Some(why) = &engine.stuck {
                text += &format!("  stuck: {} in {}: {why}\n", engine.id, engine.zone);
            }
        }
        text
    }

    /// The roll-out as one JSON object.
    pub fn json(&self) -> String {
        serde_json::json!({ "rollout": self, "done": self.is_done() }).to_string()
    }
}

/// The view of the node that carries the roll-out out; any other's where that one can't be reached.
///
/// # Errors
///
/// No node answered with a view; each is named with the reason.
pub async fn query(nodes: &[SocketAddr], limit: Duration) -> Result<Rollout, QueryError> {
    let mut best: Option<Rollout> = None;
    let mut why = Vec::new();
    for answer in answers(nodes, "/anisedyke/Rollout.Look", limit).await {
        let node = answer.node;
        match answer.body.map(|body| serde_json::from_slice::<Rollout>(&body)) {
            Ok(Ok(rollout)) if rollout.holds => return Ok(rollout),
            Ok(Ok(rollout)) => best = best.or(Some(rollout)),
            Ok(Err(e)) => why.push(format!("{node}: the answer can't be read: {e}")),
            Err(e) => why.push(e),
        }
    }
    best.ok_or_else(|| QueryError::Unreachable(why.join("; ")))
}
