//! The machines of one run, the network between them, and how callers reach them.

use crate::constants;
use crate::fault::Plan;
use crate::history::{History, Micros};
use crate::injected_bug::InjectedBug;
use crate::machine::{Common, Machine, address, zone_of};
use crate::network::Network;
use control_plane::Controller;
use parking_lot::Mutex;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::watch;

/// The address that operators and engines call from.
pub const CALLERS: Ipv4Addr = Ipv4Addr::new(10, constants::OUTSIDE, 0, 1);

/// Everything of one run.
pub struct World {
    /// What the run was drawn as.
    pub plan: Plan,
    /// A defect of the world, to see that the checker finds it.
    pub injected_bug: Option<InjectedBug>,
    /// What all machines are connected by.
    pub network: Network,
    /// What is recorded.
    pub history: Mutex<History>,
    common: Common,
    machines: Mutex<Vec<Arc<Machine>>>,
    began: tokio::time::Instant,
    over: watch::Sender<bool>,
}

impl World {
    /// The machines of a plan, none of them started.
    pub fn new(plan: Plan, injected_bug: Option<InjectedBug>) -> World {
        let network = Network::new(plan.seed);
        let seeds = (0..constants::SEEDS).map(address).collect();
        let common = Common {
            network: network.clone(),
            seeds,
            losses: plan.losses(),
            seed: plan.seed,
            injected_bug,
        };
        let count = plan.members + plan.standbys;
        let machine = |number| Arc::new(Machine::new(number, zone_of(number), &common));
        let machines = (0..count).map(machine).collect();
        World {
            plan,
            injected_bug,
            network,
            history: Mutex::default(),
            common,
            machines: Mutex::new(machines),
            began: tokio::time::Instant::now(),
            over: watch::channel(false).0,
        }
    }

    /// Time since the run began.
    pub fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// Waits until a time of the run.
    pub async fn until(&self, ms: u64) {
        tokio::time::sleep_until(self.began + std::time::Duration::from_millis(ms)).await;
    }

    /// Tells all stand-ins to end.
    pub fn end(&self) {
        self.over.send_replace(true);
    }

    /// Whether the stand-ins are to end.
    pub fn is_over(&self) -> bool {
        *self.over.borrow()
    }

    /// A generator of its own for one stand-in.
    pub fn rng(&self, name: &str, number: usize) -> fastrand::Rng {
        let seed = self.plan.seed.to_le_bytes();
        let parts = [name.as_bytes(), &seed, &number.to_le_bytes()];
        fastrand::Rng::with_seed(fleet_core::node::stable_hash(&parts))
    }

    /// All machines that are not gone for good.
    pub fn machines(&self) -> Vec<Arc<Machine>> {
        let machines = self.machines.lock();
        machines.iter().filter(|m| !m.removed.load(Ordering::Relaxed)).cloned().collect()
    }

    /// One machine by its number.
    pub fn machine(&self, number: usize) -> Arc<Machine> {
        self.machines.lock()[number].clone()
    }

    /// A machine that was never there before.
    pub fn add_machine(&self, zone: u8) -> Arc<Machine> {
        let mut machines = self.machines.lock();
        let machine = Arc::new(Machine::new(machines.len(), zone, &self.common));
        machines.push(machine.clone());
        machine
    }

    /// Calls a controller from outside, and waits as callers of `control` do.
    ///
    /// None when nothing came back: the call may have been carried out, or may be yet.
    pub async fn call<A, F>(
        &self,
        machine: &Arc<Machine>,
        call: impl FnOnce(Arc<Controller>) -> F,
    ) -> Option<A>
    where
        A: Send + 'static,
        F: Future<Output = A> + Send + 'static,
    {
        let asking = async {
            self.network.pass(CALLERS, machine.ip).await;
            let (start, controller) = machine.controller()?;
            let answer = tokio::spawn(call(controller)).await.ok()?;
            if !machine.runs(start) {
                return None;
            }
            self.network.pass(machine.ip, CALLERS).await;
            Some(answer)
        };
        tokio::time::timeout(constants::CALLER_TIMEOUT, asking).await.ok().flatten()
    }
}
