//! The bound on older weights, from the naming of versions at controllers to the choice of an engine at a router.
//!
//! The simulation of the control plane ends at what controllers send. This is the smallest run that goes on to the
//! router's decision: cluster states of controllers, their updates, and a router, with versions named in a row, controllers
//! and routers that start again, and an engine that lags.

use control_plane::cluster_state::{ClusterStateStore, StateChange};
use data_plane::Router;
use data_plane::fleet_view::routing_table::Table;
use data_plane::load_balancer::choose_engine;
use data_plane::load_balancer::prompt::Prompt;
use fleet_core::constants;
use fleet_core::settings::Settings;
use fleet_core::wire::{Engine, Weights};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// `versionMs` of the deployment in this run.
const BOUND: Duration = Duration::from_secs(8);
/// Controllers of the deployment in this run.
const CONTROLLERS: usize = 3;

/// What happens next, after a pause.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A newer version is named.
    Name,
    /// The engine has loaded the newest weights.
    Update,
    /// A controller starts again, and knows only the newest version.
    RestartController(usize),
    /// The router starts again, and knows nothing.
    RestartRouter,
    /// Nothing.
    Wait,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        4 => Just(Step::Name),
        1 => Just(Step::Update),
        1 => (0..CONTROLLERS).prop_map(Step::RestartController),
        1 => Just(Step::RestartRouter),
        4 => Just(Step::Wait),
    ];
    prop::collection::vec((0u64..4000, step), 1..30)
}

/// A controller's state, and up to where the router has been sent it.
struct Controller {
    store: ClusterStateStore,
    sent: Option<u64>,
}

struct Run {
    controllers: Vec<Controller>,
    router: Arc<Router>,
    /// When each version above 1 was named, the oldest first.
    named: Vec<Instant>,
    engine_version: u64,
    engine_call: u64,
    /// When a controller started last: the users' rules count from there.
    restarted: Option<Instant>,
}

fn new_router() -> Arc<Router> {
    let text = "nodeName=r1\nip=127.0.0.1\nzone=z\nportRange=1,9\nbounds.versionMs=8000\n";
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let router = Router::assemble(Settings::parse(text).unwrap(), log);
    let configuration = serde_json::json!({
        "revision": 1,
        "routes": [{"host": "h.example", "pathPrefix": "/a/", "kind": "safe", "timeoutMs": 20000,
            "service": "s", "maxAttempts": 1}],
        "services": [{"name": "s", "maxConns": 100}],
    });
    router.fleet_view.set_table(Table::compile(configuration.to_string().as_bytes(), 1).unwrap());
    router
}

fn new_controller() -> Controller {
    Controller { store: ClusterStateStore::new(), sent: None }
}

impl Run {
    fn new() -> Run {
        let mut run = Run {
            controllers: (0..CONTROLLERS).map(|_| new_controller()).collect(),
            router: new_router(),
            named: Vec::new(),
            engine_version: 1,
            engine_call: 0,
            restarted: None,
        };
        run.tell_engine();
        run.send_updates();
        run
    }

    fn newest(&self) -> u64 {
        1 + self.named.len() as u64
    }

    /// The engine's heartbeat reaches all controllers.
    fn tell_engine(&mut self) {
        self.engine_call += 1;
        let engine = Engine {
            id: "e1".into(),
            call: self.engine_call,
            service: "s".into(),
            address: "127.0.0.1:1".into(),
            zone: "z".into(),
            slots: 8,
            weights: vec![Weights { model: "m".into(), version: self.engine_version }],
            ..Default::default()
        };
        for controller in &self.controllers {
            controller.store.append(StateChange::Engine(engine.clone()));
        }
    }

    fn learn_target(&self, controller: usize) {
        let change = StateChange::Weights { model: "m".into(), version: self.newest() };
        self.controllers[controller].store.append(change);
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Wait => {}
            Step::Name => {
                self.named.push(Instant::now());
                (0..CONTROLLERS).for_each(|controller| self.learn_target(controller));
            }
            Step::Update => {
                self.engine_version = self.newest();
                self.tell_engine();
            }
            Step::RestartController(controller) => {
                self.controllers[controller] = new_controller();
                self.restarted = Some(Instant::now());
                if !self.named.is_empty() {
                    self.learn_target(controller);
                }
                self.tell_engine();
            }
            Step::RestartRouter => {
                self.router = new_router();
                self.controllers.iter_mut().for_each(|controller| controller.sent = None);
            }
        }
    }

    /// All controllers send the router what is new.
    fn send_updates(&mut self) {
        for controller in &mut self.controllers {
            let (position, update) = controller.store.update_since(controller.sent);
            controller.sent = Some(position);
            if let Some(update) = update {
                self.router.fleet_view.apply(&update);
            }
        }
    }

    fn router_serves(&self) -> bool {
        let mut headers = http::HeaderMap::new();
        headers.insert("x-model", http::HeaderValue::from_static("m"));
        let prompt = Prompt::read(&headers);
        let table = self.router.fleet_view.routing_table().unwrap();
        choose_engine(&self.router, &table, "s", None, &prompt, &[]).is_ok()
    }

    /// When the first version was named that the engine lacks.
    fn outdated_since(&self) -> Option<Instant> {
        self.named.get(self.engine_version as usize - 1).copied()
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let (serves, now) = (self.router_serves(), Instant::now());
        let Some(since) = self.outdated_since() else {
            prop_assert!(serves, "the newest weights serve");
            return Ok(());
        };
        let excused = self.restarted.map_or(since, |restarted| restarted.max(since));
        if serves {
            prop_assert!(now < excused + BOUND, "{:?} past the bound", now - (excused + BOUND));
        }
        if now + constants::VERSION_MARGIN < since + BOUND {
            prop_assert!(serves, "{:?} before the bound", since + BOUND - now);
        }
        Ok(())
    }
}

async fn play(steps: Vec<(u64, Step)>) -> Result<(), TestCaseError> {
    let mut run = Run::new();
    for (pause_ms, step) in steps {
        tokio::time::advance(Duration::from_millis(pause_ms)).await;
        run.check()?;
        run.take(step);
        run.send_updates();
        run.check()?;
    }
    tokio::time::advance(BOUND).await;
    run.check()
}

proptest! {
    #[test]
    fn no_engine_is_chosen_past_the_bound_of_the_first_version_that_it_lacks(steps in steps()) {
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_time().start_paused(true).build();
        runtime.unwrap().block_on(play(steps))?;
    }
}
