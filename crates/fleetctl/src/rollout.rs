//! Status of weight rollouts, as text or JSON.

use crate::query::{QueryError, query_all};
use crate::report;
pub use control_plane::rollout::status::State;
use std::net::SocketAddr;
use std::time::Duration;

/// Status of the weight rollouts of all models (`Rollout.Look`).
#[derive(Debug, Clone, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Rollout {
    /// Whether the node that reports this holds the rollout lease and so runs the rollout.
    pub holds: bool,
    /// Maximum number of engines that are updated at the same time.
    #[serde(rename = "width")]
    pub concurrency: usize,
    /// All models that have target weights.
    pub models: Vec<Model>,
}

/// Progress of the weight rollout of one model.
#[derive(Debug, Clone, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Model {
    /// Name of the model.
    pub model: String,
    /// Target version of the weights.
    pub revision: u64,
    /// Time since the target was set, in ms.
    pub age_ms: u64,
    /// Time in ms until the deadline, after which no request may begin on an older version; 0 once it has passed.
    #[serde(rename = "leftMs")]
    pub remaining_ms: u64,
    /// Engines that serve the model.
    pub engines: Vec<Engine>,
}

/// Progress of one engine.
#[derive(Debug, Clone, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Engine {
    /// Instance ID.
    pub id: String,
    /// Zone that it runs in.
    pub zone: String,
    /// State of its update.
    pub state: State,
    /// Version of the weights that it serves; `None` if it is not known.
    pub revision: Option<u64>,
    /// Why its update makes no progress; `None` if nothing is wrong.
    pub stuck: Option<String>,
}

impl Model {
    fn count(&self, state: State) -> usize {
        self.engines.iter().filter(|engine| engine.state == state).count()
    }

    /// Formats the number of engines in each state as one line.
    fn state_counts(&self) -> String {
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

    /// Whether all engines serve the target version.
    pub fn is_done(&self) -> bool {
        self.count(State::Ready) == self.engines.len()
    }

    /// Whether the rollout is incomplete and some engine is stuck or the deadline has passed.
    fn is_stuck_or_late(&self) -> bool {
        !self.is_done()
            && (self.remaining_ms == 0 || self.engines.iter().any(|engine| engine.stuck.is_some()))
    }
}

impl Rollout {
    /// Whether all engines of all models serve their target versions.
    pub fn is_done(&self) -> bool {
        self.models.iter().all(Model::is_done)
    }

    /// The exit code: [`report::EXIT_FINDINGS`] if the rollout of some model is stuck or past its deadline.
    pub fn exit_code(&self) -> u8 {
        if self.models.iter().any(Model::is_stuck_or_late) {
            report::EXIT_FINDINGS
        } else {
            report::EXIT_CLEAN
        }
    }

    /// Formats the status as text.
    pub fn text(&self) -> String {
        if self.models.is_empty() {
            return "no target weights have been set\n".to_owned();
        }
        self.models.iter().map(|model| self.model_text(model)).collect()
    }

    fn model_text(&self, model: &Model) -> String {
        let mut text = model.state_counts();
        if !model.is_done() {
            let progress = if self.holds {
                format!("up to {} engines updated at once", self.concurrency)
            } else {
                "the controller that runs the rollout did not answer".to_owned()
            };
            let (age_ms, remaining_ms) = (model.age_ms, model.remaining_ms);
            text += &format!(
                "  target set {age_ms} ms ago, {remaining_ms} ms left until the deadline; {progress}\n"
            );
        }
        for engine in &model.engines {
            if let Some(reason) = &engine.stuck {
                text += &format!("  stuck: {} in {}: {reason}\n", engine.id, engine.zone);
            }
        }
        text
    }

    /// Formats the status as one JSON object.
    pub fn json(&self) -> String {
        serde_json::json!({ "rollout": self, "done": self.is_done() }).to_string()
    }
}

/// Queries the nodes and returns the report of the one that runs the rollout, or else the first valid report.
///
/// # Errors
///
/// Fails if no node returns a valid report; the error names each node with the reason.
pub async fn query(nodes: &[SocketAddr], timeout: Duration) -> Result<Rollout, QueryError> {
    let mut fallback: Option<Rollout> = None;
    let mut errors = Vec::new();
    for result in query_all(nodes, "/anisedyke/Rollout.Look", timeout).await {
        let node = result.node;
        match result.body.map(|body| serde_json::from_slice::<Rollout>(&body)) {
            Ok(Ok(rollout)) if rollout.holds => return Ok(rollout),
            Ok(Ok(rollout)) => fallback = fallback.or(Some(rollout)),
            Ok(Err(e)) => errors.push(format!("{node}: malformed response: {e}")),
            Err(e) => errors.push(e),
        }
    }
    fallback.ok_or_else(|| QueryError::Unreachable(errors.join("; ")))
}
