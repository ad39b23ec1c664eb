//! The simulated network between machines, and the byte streams over it.
//!
//! A stream simulates a TCP connection: bytes arrive in order after a delay, a blocked direction holds them
//! back, and a reset loses the bytes in flight. A port without a listener refuses connections; connection
//! attempts to an unreachable machine hang.

use crate::constants;
use parking_lot::Mutex;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};
use tokio::sync::{Notify, mpsc, watch};

/// Whether an address belongs to a client outside the cluster and not to a machine.
fn is_outside(address: Ipv4Addr) -> bool {
    address.octets()[1] == constants::CLIENT_OCTET
}

/// The network that all machines of one run share.
#[derive(Clone)]
pub struct Network {
    state: Arc<Mutex<State>>,
    /// Notified of each change of reachability; wakes waiters in the order in which they began to wait.
    changed: Arc<Notify>,
}

struct State {
    /// Blocked directions, with the number of active blocks on each.
    blocks: BTreeMap<(Ipv4Addr, Ipv4Addr), usize>,
    /// Machines that neither send nor receive.
    powered_off: BTreeSet<Ipv4Addr>,
    /// Machines that are partitioned from the other machines, but not from outside clients.
    isolated: BTreeSet<Ipv4Addr>,
    /// Machines with slow links in both directions.
    slow: BTreeSet<Ipv4Addr>,
    listeners: BTreeMap<SocketAddr, mpsc::Sender<DuplexStream>>,
    streams: BTreeMap<u64, Stream>,
    next_stream: u64,
    seed: u64,
    /// One generator for each direction, so that traffic on one link does not affect the delays of another.
    delays: BTreeMap<(Ipv4Addr, Ipv4Addr), fastrand::Rng>,
}

struct Stream {
    ends: [Ipv4Addr; 2],
    /// Holds `true` once the connection was reset.
    reset: watch::Sender<bool>,
}

/// Accepts connections to one address of a simulated machine.
pub struct Listener {
    incoming: mpsc::Receiver<DuplexStream>,
}

impl Listener {
    /// The next connection; `None` once the machine was dropped.
    pub async fn accept(&mut self) -> Option<DuplexStream> {
        self.incoming.recv().await
    }
}

impl Network {
    /// A network without faults, whose delays are drawn from the seed.
    pub fn new(seed: u64) -> Network {
        let state = State {
            blocks: BTreeMap::new(),
            powered_off: BTreeSet::new(),
            isolated: BTreeSet::new(),
            slow: BTreeSet::new(),
            listeners: BTreeMap::new(),
            streams: BTreeMap::new(),
            next_stream: 0,
            seed,
            delays: BTreeMap::new(),
        };
        Network { state: Arc::new(Mutex::new(state)), changed: Arc::default() }
    }

    /// Adds a block to one direction; each block needs its own call of [`Network::heal`].
    pub fn block(&self, from: Ipv4Addr, to: Ipv4Addr) {
        *self.state.lock().blocks.entry((from, to)).or_default() += 1;
        self.notify_changed();
    }

    /// Removes one block from a direction.
    pub fn heal(&self, from: Ipv4Addr, to: Ipv4Addr) {
        let mut state = self.state.lock();
        if let Some(count) = state.blocks.get_mut(&(from, to)) {
            *count = count.saturating_sub(1);
        }
        drop(state);
        self.notify_changed();
    }

    /// Makes a machine unreachable; its connections hang without being closed.
    pub fn power_off(&self, machine: Ipv4Addr) {
        self.state.lock().powered_off.insert(machine);
        self.notify_changed();
    }

    /// Reverts [`Network::power_off`].
    pub fn power_on(&self, machine: Ipv4Addr) {
        self.state.lock().powered_off.remove(&machine);
        self.notify_changed();
    }

    /// Partitions a machine from all other machines; outside clients still reach it.
    pub fn isolate(&self, machine: Ipv4Addr) {
        self.state.lock().isolated.insert(machine);
        self.notify_changed();
    }

    /// Reverts [`Network::isolate`].
    pub fn end_isolation(&self, machine: Ipv4Addr) {
        self.state.lock().isolated.remove(&machine);
        self.notify_changed();
    }

    /// Sets whether the links to and from a machine are slow.
    pub fn slow_down(&self, machine: Ipv4Addr, slow: bool) {
        let mut state = self.state.lock();
        if slow {
            state.slow.insert(machine);
        } else {
            state.slow.remove(&machine);
        }
    }

    /// Whether an address has an open listener.
    pub fn is_listening(&self, at: SocketAddr) -> bool {
        self.state.lock().listeners.get(&at).is_some_and(|registered| !registered.is_closed())
    }

    /// Resets the connections between two machines; bytes in flight are lost.
    pub fn reset_between(&self, one: Ipv4Addr, other: Ipv4Addr) {
        self.reset_streams(|stream| stream.ends.contains(&one) && stream.ends.contains(&other));
    }

    /// Closes a machine's listeners and connections, as the end of its process does.
    pub fn drop_machine(&self, machine: Ipv4Addr) {
        self.state.lock().listeners.retain(|at, _| at.ip() != machine);
        self.reset_streams(|stream| stream.ends.contains(&machine));
    }

    fn reset_streams(&self, chosen: impl Fn(&Stream) -> bool) {
        let mut state = self.state.lock();
        state.streams.retain(|_, stream| {
            let is_chosen = chosen(stream);
            if is_chosen {
                stream.reset.send_replace(true);
            }
            !is_chosen
        });
    }

    fn notify_changed(&self) {
        self.changed.notify_waiters();
    }

    /// Whether this direction is open.
    pub fn is_open(&self, from: Ipv4Addr, to: Ipv4Addr) -> bool {
        let state = self.state.lock();
        let is_blocked = state.blocks.get(&(from, to)).is_some_and(|count| *count > 0);
        let is_separated = |one, other| state.isolated.contains(&one) && !is_outside(other);
        let is_apart = is_separated(from, to) || is_separated(to, from);
        !is_blocked
            && !is_apart
            && !state.powered_off.contains(&from)
            && !state.powered_off.contains(&to)
    }

    /// Waits until this direction is open.
    pub async fn wait_until_open(&self, from: Ipv4Addr, to: Ipv4Addr) {
        loop {
            let changed = self.changed.notified();
            if self.is_open(from, to) {
                return;
            }
            changed.await;
        }
    }

    /// Draws the delay of the next chunk in this direction.
    fn delay(&self, from: Ipv4Addr, to: Ipv4Addr) -> Duration {
        let mut state = self.state.lock();
        let seed = state.seed.to_le_bytes();
        let slow = state.slow.contains(&from) || state.slow.contains(&to);
        let max_jitter =
            if slow { constants::SLOW_LINK_JITTER_US } else { constants::DELAY_JITTER_US };
        let rng = state.delays.entry((from, to)).or_insert_with(|| {
            let parts = [&seed[..], &from.octets(), &to.octets()];
            fastrand::Rng::with_seed(fleet_core::node::stable_hash(&parts))
        });
        let spread = rng.u64(0..=max_jitter);
        Duration::from_micros(constants::MIN_DELAY_US + spread)
    }

    /// Accepts connections at an address until the machine is dropped.
    pub fn listen(&self, at: SocketAddr) -> std::io::Result<Listener> {
        let (tx, incoming) = mpsc::channel(constants::BACKLOG);
        let mut state = self.state.lock();
        if state.listeners.get(&at).is_some_and(|registered| !registered.is_closed()) {
            return Err(std::io::ErrorKind::AddrInUse.into());
        }
        state.listeners.insert(at, tx);
        Ok(Listener { incoming })
    }

    /// Connects to a listener; hangs while either direction is blocked, and fails if there is no listener.
    pub async fn connect(&self, local: Ipv4Addr, to: SocketAddr) -> std::io::Result<DuplexStream> {
        let std::net::IpAddr::V4(machine) = to.ip() else {
            return Err(std::io::ErrorKind::Unsupported.into());
        };
        self.transmit(local, machine).await;
        let listener = self.state.lock().listeners.get(&to).cloned();
        self.transmit(machine, local).await;
        let refused = std::io::ErrorKind::ConnectionRefused;
        let listener = listener.ok_or(refused)?;
        let (near, near_remote) = tokio::io::duplex(constants::STREAM_BUFFER_BYTES);
        let (far_remote, far) = tokio::io::duplex(constants::STREAM_BUFFER_BYTES);
        listener.try_send(far).map_err(|_| refused)?;
        self.forward([local, machine], near_remote, far_remote);
        Ok(near)
    }

    /// Waits as long as one message takes in this direction: its delay, then until the direction is open.
    pub async fn transmit(&self, from: Ipv4Addr, to: Ipv4Addr) {
        tokio::time::sleep(self.delay(from, to)).await;
        self.wait_until_open(from, to).await;
    }

    /// Starts to forward the bytes of a new connection until both directions end, or it is reset or times out.
    fn forward(&self, ends: [Ipv4Addr; 2], near: DuplexStream, far: DuplexStream) {
        let (reset, is_reset) = watch::channel(false);
        let number = {
            let mut state = self.state.lock();
            state.next_stream += 1;
            let number = state.next_stream;
            state.streams.insert(number, Stream { ends, reset });
            number
        };
        let (near_read, near_write) = tokio::io::split(near);
        let (far_read, far_write) = tokio::io::split(far);
        let network = self.clone();
        tokio::spawn(async move {
            let mut is_reset = is_reset;
            let outbound = network.forward_direction(ends[0], ends[1], near_read, far_write);
            let inbound = network.forward_direction(ends[1], ends[0], far_read, near_write);
            tokio::select! {
                biased;
                _ = is_reset.wait_for(|reset| *reset) => {}
                _ = async { tokio::join!(outbound, inbound) } => {}
                () = network.wait_for_block_timeout(ends) => {}
            }
            network.state.lock().streams.remove(&number);
        });
    }

    /// Forwards one direction of a connection.
    async fn forward_direction(
        &self,
        from: Ipv4Addr,
        to: Ipv4Addr,
        mut source: ReadHalf<DuplexStream>,
        mut sink: WriteHalf<DuplexStream>,
    ) {
        let mut chunk = vec![0; constants::STREAM_BUFFER_BYTES];
        while let Ok(length) = source.read(&mut chunk).await {
            if length == 0 {
                break;
            }
            self.transmit(from, to).await;
            if sink.write_all(&chunk[..length]).await.is_err() {
                break;
            }
        }
        self.transmit(from, to).await;
        let _ = sink.shutdown().await;
    }

    /// Completes once the connection was blocked for [`constants::BLOCKED_STREAM_TIMEOUT`].
    async fn wait_for_block_timeout(&self, ends: [Ipv4Addr; 2]) {
        loop {
            let changed = self.changed.notified();
            let is_open = self.is_open(ends[0], ends[1]) && self.is_open(ends[1], ends[0]);
            if is_open {
                changed.await;
                continue;
            }
            let healed = async {
                tokio::join!(
                    self.wait_until_open(ends[0], ends[1]),
                    self.wait_until_open(ends[1], ends[0])
                )
            };
            if tokio::time::timeout(constants::BLOCKED_STREAM_TIMEOUT, healed).await.is_err() {
                return;
            }
        }
    }
}

#[cfg(test)]
#[path = "network_tests.rs"]
mod tests;
