//! The bound on the use of older weights, from setting a target version at controllers to the selection of an engine at
//! a router.
//!
//! The simulation of the control plane ends at the updates that controllers send. This test is the smallest setup that
//! also covers the router's decision: the cluster states of several controllers, their updates and a router, with a
//! series of target versions, restarts of controllers and of the router, and an engine that falls behind.

use control_plane::cluster_state::{ClusterStateStore, StateChange};
use data_plane::Router;
use data_plane::fleet_view::routing_table::RoutingTable;
use data_plane::load_balancer::choose_engine;
use data_plane::load_balancer::prompt::Prompt;
use fleet_core::constants;
use fleet_core::settings::Settings;
use fleet_core::wire::{Engine, WeightsVersion};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// `bounds.versionMs` in this test: time from setting a target version until no request may begin on an older one.
const VERSION_BOUND: Duration = Duration::from_secs(8);
/// Number of controllers in this test.
const CONTROLLERS: usize = 3;

/// An event; a pause precedes each.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A newer target version is set.
    SetTarget,
    /// The engine loads the newest weights.
    UpdateEngine,
    /// A controller restarts and learns only the newest target version.
    RestartController(usize),
    /// The router restarts without any state.
    RestartRouter,
    /// Nothing happens.
    Wait,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        4 => Just(Step::SetTarget),
        1 => Just(Step::UpdateEngine),
        1 => (0..CONTROLLERS).prop_map(Step::RestartController),
        1 => Just(Step::RestartRouter),
        4 => Just(Step::Wait),
    ];
    prop::collection::vec((0u64..4000, step), 1..30)
}

/// A controller's cluster state, and the position up to which it was sent to the router.
struct Controller {
    store: ClusterStateStore,
    sent_position: Option<u64>,
}

struct Deployment {
    controllers: Vec<Controller>,
    router: Arc<Router>,
    /// When each target version above 1 was set, oldest first.
    target_set_at: Vec<Instant>,
    engine_version: u64,
    engine_call_number: u64,
    /// When a controller last restarted. The requirement counts the bound from there at the earliest.
    controller_restarted_at: Option<Instant>,
}

fn new_router() -> Arc<Router> {
    let settings = "nodeName=r1\nip=127.0.0.1\nzone=z\nportRange=1,9\nbounds.versionMs=8000\n";
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let router = Router::assemble(Settings::parse(settings).unwrap(), log);
    let configuration = serde_json::json!({
        "revision": 1,
        "routes": [{"host": "h.example", "pathPrefix": "/a/", "kind": "safe", "timeoutMs": 20000,
            "service": "s", "maxAttempts": 1}],
        "services": [{"name": "s", "maxConns": 100}],
    });
    router
        .fleet_view
        .set_routing_table(RoutingTable::compile(configuration.to_string().as_bytes(), 1).unwrap());
    router
}

fn new_controller() -> Controller {
    Controller { store: ClusterStateStore::new(), sent_position: None }
}

impl Deployment {
    fn new() -> Deployment {
        let mut deployment = Deployment {
            controllers: (0..CONTROLLERS).map(|_| new_controller()).collect(),
            router: new_router(),
            target_set_at: Vec::new(),
            engine_version: 1,
            engine_call_number: 0,
            controller_restarted_at: None,
        };
        deployment.send_engine_heartbeat();
        deployment.send_updates();
        deployment
    }

    fn newest_version(&self) -> u64 {
        1 + self.target_set_at.len() as u64
    }

    /// Delivers a heartbeat of the engine to all controllers.
    fn send_engine_heartbeat(&mut self) {
        self.engine_call_number += 1;
        let engine = Engine {
            id: "e1".into(),
            call_seq: self.engine_call_number,
            service: "s".into(),
            address: "127.0.0.1:1".into(),
            zone: "z".into(),
            slots: 8,
            weights: vec![WeightsVersion { model: "m".into(), version: self.engine_version }],
            ..Default::default()
        };
        for controller in &self.controllers {
            controller.store.append(StateChange::Engine(engine.clone()));
        }
    }

    fn apply_target(&self, controller: usize) {
        let change = StateChange::Weights { model: "m".into(), version: self.newest_version() };
        self.controllers[controller].store.append(change);
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Wait => {}
            Step::SetTarget => {
                self.target_set_at.push(Instant::now());
                (0..CONTROLLERS).for_each(|controller| self.apply_target(controller));
            }
            Step::UpdateEngine => {
                self.engine_version = self.newest_version();
                self.send_engine_heartbeat();
            }
            Step::RestartController(controller) => {
                self.controllers[controller] = new_controller();
                self.controller_restarted_at = Some(Instant::now());
                if !self.target_set_at.is_empty() {
                    self.apply_target(controller);
                }
                self.send_engine_heartbeat();
            }
            Step::RestartRouter => {
                self.router = new_router();
                self.controllers.iter_mut().for_each(|controller| controller.sent_position = None);
            }
        }
    }

    /// Every controller sends its new state changes to the router.
    fn send_updates(&mut self) {
        for controller in &mut self.controllers {
            let (position, update) = controller.store.update_since(controller.sent_position);
            controller.sent_position = Some(position);
            if let Some(update) = update {
                self.router.fleet_view.apply_update(&update);
            }
        }
    }

    fn router_selects_engine(&self) -> bool {
        let mut headers = http::HeaderMap::new();
        headers.insert("x-model", http::HeaderValue::from_static("m"));
        let prompt = Prompt::from_headers(&headers);
        let table = self.router.fleet_view.routing_table().unwrap();
        choose_engine(&self.router, &table, "s", None, &prompt, &[]).is_ok()
    }

    /// When the first target version newer than the engine's weights was set; `None` if the engine is up to date.
    fn outdated_since(&self) -> Option<Instant> {
        self.target_set_at.get(self.engine_version as usize - 1).copied()
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let (is_selected, now) = (self.router_selects_engine(), Instant::now());
        let Some(since) = self.outdated_since() else {
            prop_assert!(is_selected, "an engine with the newest weights is selected");
            return Ok(());
        };
        let bound_start =
            self.controller_restarted_at.map_or(since, |restarted_at| restarted_at.max(since));
        if is_selected {
            prop_assert!(
                now < bound_start + VERSION_BOUND,
                "selected {:?} past the bound",
                now - (bound_start + VERSION_BOUND)
            );
        }
        if now + constants::VERSION_MARGIN < since + VERSION_BOUND {
            prop_assert!(
                is_selected,
                "not selected {:?} before the bound",
                since + VERSION_BOUND - now
            );
        }
        Ok(())
    }
}

async fn run_steps(steps: Vec<(u64, Step)>) -> Result<(), TestCaseError> {
    let mut deployment = Deployment::new();
    for (pause_ms, step) in steps {
        tokio::time::advance(Duration::from_millis(pause_ms)).await;
        deployment.check()?;
        deployment.apply(step);
        deployment.send_updates();
        deployment.check()?;
    }
    tokio::time::advance(VERSION_BOUND).await;
    deployment.check()
}

proptest! {
    #[test]
    fn an_outdated_engine_is_not_selected_past_the_version_bound(steps in steps()) {
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_time().start_paused(true).build();
        runtime.unwrap().block_on(run_steps(steps))?;
    }
}
