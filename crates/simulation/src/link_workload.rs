//! Calls over the real link to an echo service, some of whose responses come after the timeout.

use crate::constants;
use crate::history::LinkCall;
use crate::injected_bug::InjectedBug;
use crate::machine::address;
use crate::transport::ProcessTransport;
use crate::world::World;
use fleet_core::link::{Link, LinkBudgets, LinkError, Peer, PeerHandler, serve_peers};
use fleet_core::node::{Node, Role};
use fleet_core::transport::Transport;
use fleet_core::wire::{Body, Register, RegisterRequest, RegisterResponse};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Echoes requests and counts how often it handled each.
struct EchoServer {
    rng: Mutex<fastrand::Rng>,
    handled: Mutex<BTreeMap<String, usize>>,
}

impl PeerHandler for EchoServer {
    fn connected(self: &Arc<Self>, _: &Peer) {}

    fn disconnected(self: &Arc<Self>, _: &Peer) {}

    async fn answer(self: &Arc<Self>, _: &Peer, body: Body) -> Option<Body> {
        let Body::RegisterRequest(RegisterRequest { key, .. }) = body else { return None };
        *self.handled.lock().entry(key.clone()).or_default() += 1;
        let delay = self.rng.lock().u64(0..constants::MAX_ECHO_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(delay)).await;
        let register = Some(Register { key, ..Register::default() });
        Some(Body::RegisterResponse(RegisterResponse { is_known: true, register }))
    }

    fn link_budgets(&self) -> LinkBudgets {
        LinkBudgets::default()
    }

    fn message_rejected(self: &Arc<Self>, _: &LinkError) {}
}

/// Sends calls from one machine to another until the run is over, and records them.
pub async fn run_calls(world: Arc<World>) {
    let (from, to) = (0, 1);
    let echo_address = SocketAddr::new(address(to).into(), constants::ECHO_PORT);
    let transport: Arc<dyn Transport> = Arc::new(ProcessTransport::new(world.network.clone()));
    let echo =
        Arc::new(EchoServer { rng: Mutex::new(world.rng("echo", 0)), handled: Mutex::default() });
    let server_task =
        tokio::spawn(run_echo_server(world.clone(), echo_address, transport.clone(), echo.clone()));
    let link = Link::maintain_over(transport, &caller_node(&world, from), echo_address, None);
    let mut calls = Vec::new();
    while !world.is_over() {
        tokio::time::sleep(Duration::from_millis(constants::ECHO_INTERVAL_MS)).await;
        let question = format!("call-{}", calls.len());
        calls.push(tokio::spawn(call(world.clone(), link.clone(), question)));
    }
    for call in calls {
        let Ok(mut call) = call.await else { continue };
        call.handled = echo.handled.lock().get(&call.question).copied().unwrap_or(0);
        world.history.lock().calls.push(call);
    }
    server_task.abort();
}

fn caller_node(world: &World, machine: usize) -> Node {
    Node {
        name: "caller".to_owned(),
        zone: "zone-0".to_owned(),
        ip: address(machine),
        role: Role::Router,
        incarnation: world.rng("caller", machine).u64(1..),
        link_budgets: LinkBudgets::default(),
    }
}

/// Reopens the listener whenever it was closed by the end of the machine's process.
async fn run_echo_server(
    world: Arc<World>,
    echo_address: SocketAddr,
    transport: Arc<dyn Transport>,
    echo: Arc<EchoServer>,
) {
    let mut server_task: Option<tokio::task::JoinHandle<()>> = None;
    loop {
        if !world.network.is_listening(echo_address)
            && let Ok(listener) = transport.listen(echo_address)
        {
            if let Some(previous) = server_task.take() {
                previous.abort();
            }
            server_task = Some(tokio::spawn(serve_peers(listener, echo.clone())));
        }
        tokio::time::sleep(constants::CALLER_TIMEOUT).await;
    }
}

async fn call(world: Arc<World>, link: Arc<Link>, question: String) -> LinkCall {
    let request = Body::RegisterRequest(RegisterRequest { key: question.clone() });
    let mut answer = link.call(request.clone(), constants::ECHO_TIMEOUT).await;
    let repeats = world.injected_bug == Some(InjectedBug::RepeatedCall);
    if repeats && answer == Err(LinkError::Timeout) {
        answer = link.call(request, constants::ECHO_TIMEOUT).await;
    }
    let answered = match answer {
        Ok(Body::RegisterResponse(fetched)) => fetched.register.map(|register| register.key),
        _ => None,
    };
    LinkCall { question, answered, handled: 0 }
}
