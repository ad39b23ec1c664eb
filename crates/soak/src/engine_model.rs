//! The model of a simulated engine: the version of its weights, the prompt parts that it keeps, and the orders to load
//! other weights.

use crate::constants;
use crate::http::Message;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::watch;

/// What a request found at the engine when it began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Begun {
    /// Version of the weights.
    pub version: u64,
    /// The tenants whose requests had made the kept parts that it uses; itself among them where it used its own.
    pub makers: Vec<String>,
}

#[derive(Debug)]
struct State {
    version: u64,
    /// Number of orders that were taken.
    orders: u64,
    /// The tenant that made each kept part, by salt and part.
    makers: HashMap<(String, String), String>,
}

/// The model of one engine.
#[derive(Debug)]
pub struct EngineModel {
    state: Mutex<State>,
    is_loading: watch::Sender<bool>,
    running: watch::Sender<usize>,
}

/// A request that runs, until dropped.
pub struct RunningRequest(Arc<EngineModel>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.running.send_modify(|running| *running -= 1);
    }
}

impl EngineModel {
    /// A model with these weights, no kept parts and no order.
    pub fn new(version: u64) -> Arc<EngineModel> {
        let state = State { version, orders: 0, makers: HashMap::new() };
        Arc::new(EngineModel {
            state: Mutex::new(state),
            is_loading: watch::channel(false).0,
            running: watch::channel(0).0,
        })
    }

    /// Version of the weights.
    pub fn version(&self) -> u64 {
        self.state.lock().version
    }

    /// Whether the engine may run a request under its weights; otherwise it answers 421.
    pub fn accepts(&self, request: &Message) -> bool {
        let expected = request.header("x-expected-version").and_then(|text| text.parse().ok());
        expected.is_none_or(|expected: u64| expected == self.version())
    }

    /// Waits until an order is being carried out, which turns away what has not begun.
    ///
    /// # Cancel safety
    ///
    /// Dropping the future has no effect.
    pub async fn loading(&self) {
        // `self` owns the sender, so the wait can only end because an order was taken.
        let _ = self.is_loading.subscribe().wait_for(|is_loading| *is_loading).await;
    }

    /// Begins a request: it uses the parts of its prompt that are kept under its salt, and leaves the others there.
    pub fn begin(self: &Arc<EngineModel>, request: &Message) -> (RunningRequest, Begun) {
        self.running.send_modify(|running| *running += 1);
        let salt = request.header("x-cache-salt").unwrap_or("");
        let tenant = request.header("x-tenant").unwrap_or("");
        let mut state = self.state.lock();
        let mut makers = Vec::new();
        for part in request.header("x-prompt-prefix").unwrap_or("").split(',') {
            let key = (salt.to_owned(), part.to_owned());
            match state.makers.get(&key) {
                Some(maker) => makers.push(maker.clone()),
                None => {
                    state.makers.insert(key, tenant.to_owned());
                }
            }
        }
        let begun = Begun { version: state.version, makers };
        (RunningRequest(self.clone()), begun)
    }

    /// The body of the response to a report.
    pub fn report(&self) -> String {
        let state = self.state.lock();
        serde_json::json!({"phase": "combined", "models": [self.model_entry(state.version)],
            "busy": *self.is_loading.borrow(), "callSeq": state.orders, "queued": 0,
            "active": *self.running.borrow(), "kvUsed": 0, "kvTotal": 90_000, "handles": 0})
        .to_string()
    }

    /// The model as heartbeats name it.
    pub fn model_entry(&self, version: u64) -> serde_json::Value {
        serde_json::json!({"name": constants::MODEL, "revision": version, "adapters": []})
    }

    /// Takes an order to load other weights; returns the status of the response. The weights are loaded once no request
    /// runs any more.
    pub fn order(self: &Arc<EngineModel>, body: &[u8]) -> u16 {
        let order: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let Some(version) = order["revision"].as_u64() else { return 400 };
        let mut state = self.state.lock();
        if state.version == version {
            return 200;
        }
        let is_expected = order["expected"].as_u64().is_none_or(|seq| seq == state.orders);
        if *self.is_loading.borrow() || !is_expected {
            return 409;
        }
        state.orders += 1;
        drop(state);
        self.is_loading.send_replace(true);
        tokio::spawn(self.clone().load(version));
        202
    }

    async fn load(self: Arc<EngineModel>, version: u64) {
        // `self` owns the sender, so the wait can only end because no request runs.
        let _ = self.running.subscribe().wait_for(|running| *running == 0).await;
        tokio::time::sleep(constants::WEIGHTS_LOAD_TIME).await;
        let mut state = self.state.lock();
        state.version = version;
        state.makers.clear();
        drop(state);
        self.is_loading.send_replace(false);
    }
}
