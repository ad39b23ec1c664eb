//! The machines of one run, the network between them, and calls from outside clients.

use crate::constants;
use crate::fault::Plan;
use crate::history::{History, Micros};
use crate::injected_bug::InjectedBug;
use crate::machine::{Machine, MachineConfig, address, zone_of};
use crate::network::Network;
use control_plane::Controller;
use parking_lot::Mutex;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::watch;

/// The address of operators, engines and readers.
pub const CLIENT_ADDRESS: Ipv4Addr = Ipv4Addr::new(10, constants::CLIENT_OCTET, 0, 1);

/// The shared state of one run.
pub struct World {
    /// The run's plan.
    pub plan: Plan,
    /// A bug that the checker must detect, if any.
    pub injected_bug: Option<InjectedBug>,
    /// The simulated network.
    pub network: Network,
    /// The events recorded so far.
    pub history: Mutex<History>,
    machine_config: MachineConfig,
    machines: Mutex<Vec<Arc<Machine>>>,
    began: tokio::time::Instant,
    over: watch::Sender<bool>,
}

impl World {
    /// Creates a plan's machines without starting them.
    pub fn new(plan: Plan, injected_bug: Option<InjectedBug>) -> World {
        let network = Network::new(plan.seed);
        let seeds = (0..constants::SEED_COUNT).map(address).collect();
        let machine_config = MachineConfig {
            network: network.clone(),
            seeds,
            max_losses: plan.max_losses(),
            seed: plan.seed,
            injected_bug,
        };
        let count = plan.members + plan.standbys;
        let machine = |number| Arc::new(Machine::new(number, zone_of(number), &machine_config));
        let machines = (0..count).map(machine).collect();
        World {
            plan,
            injected_bug,
            network,
            history: Mutex::default(),
            machine_config,
            machines: Mutex::new(machines),
            began: tokio::time::Instant::now(),
            over: watch::channel(false).0,
        }
    }

    /// Time since the run began.
    pub fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// Waits until this time after the start of the run.
    pub async fn sleep_until_ms(&self, ms: u64) {
        tokio::time::sleep_until(self.began + std::time::Duration::from_millis(ms)).await;
    }

    /// Tells all workloads to stop.
    pub fn stop_workloads(&self) {
        self.over.send_replace(true);
    }

    /// Whether the workloads have been told to stop.
    pub fn is_over(&self) -> bool {
        *self.over.borrow()
    }

    /// A separate random number generator for one workload, derived from the run's seed.
    pub fn rng(&self, name: &str, number: usize) -> fastrand::Rng {
        let seed = self.plan.seed.to_le_bytes();
        let parts = [name.as_bytes(), &seed, &number.to_le_bytes()];
        fastrand::Rng::with_seed(fleet_core::node::stable_hash(&parts))
    }

    /// All machines that have not been permanently removed.
    pub fn machines(&self) -> Vec<Arc<Machine>> {
        let machines = self.machines.lock();
        machines.iter().filter(|m| !m.removed.load(Ordering::Relaxed)).cloned().collect()
    }

    /// The machine with a number, even if it was removed.
    pub fn machine(&self, number: usize) -> Arc<Machine> {
        self.machines.lock()[number].clone()
    }

    /// Adds a new machine.
    pub fn add_machine(&self, zone: u8) -> Arc<Machine> {
        let mut machines = self.machines.lock();
        let machine = Arc::new(Machine::new(machines.len(), zone, &self.machine_config));
        machines.push(machine.clone());
        machine
    }

    /// Calls a controller as a client of `control` does, with the same timeout.
    ///
    /// Returns `None` if no response arrived: the call may have been executed, or may still be.
    pub async fn call<A, F>(
        &self,
        machine: &Arc<Machine>,
        call: impl FnOnce(Arc<Controller>) -> F,
    ) -> Option<A>
    where
        A: Send + 'static,
        F: Future<Output = A> + Send + 'static,
    {
        let exchange = async {
            self.network.transmit(CLIENT_ADDRESS, machine.ip).await;
            let (start, controller) = machine.controller()?;
            let answer = tokio::spawn(call(controller)).await.ok()?;
            if !machine.is_running(start) {
                return None;
            }
            self.network.transmit(machine.ip, CLIENT_ADDRESS).await;
            Some(answer)
        };
        tokio::time::timeout(constants::CALLER_TIMEOUT, exchange).await.ok().flatten()
    }
}
