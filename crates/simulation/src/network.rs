//! Links between the simulated machines, and the byte streams over them.
//!
//! A stream is a stand-in for TCP: bytes come late and in order, a cut holds them up, and a reset
//! loses what was on its way. A port without a listener refuses; a machine behind a cut is silent.

use crate::constants;
use parking_lot::Mutex;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};
use tokio::sync::{Notify, mpsc, watch};

/// Whether an address is that of a caller and not of a machine.
fn is_outside(address: Ipv4Addr) -> bool {
    address.octets()[1] == constants::OUTSIDE
}

/// The network that all machines of one run share.
#[derive(Clone)]
pub struct Network {
    state: Arc<Mutex<State>>,
    /// told of each change of the links; wakes those who wait in the order in which they came
    changed: Arc<Notify>,
}

struct State {
    /// directions in which nothing passes, with the number of cuts that lie on each
    cuts: BTreeMap<(Ipv4Addr, Ipv4Addr), usize>,
    /// machines that neither send nor hear
    dark: BTreeSet<Ipv4Addr>,
    /// machines that are cut off from the other machines, but not from those outside
    isolated: BTreeSet<Ipv4Addr>,
    /// machines to and from which all bytes come late
    slow: BTreeSet<Ipv4Addr>,
    listeners: BTreeMap<SocketAddr, mpsc::Sender<DuplexStream>>,
    streams: BTreeMap<u64, Stream>,
    next_stream: u64,
    seed: u64,
    /// one for each direction, so that what passes on one link moves no other's delays
    delays: BTreeMap<(Ipv4Addr, Ipv4Addr), fastrand::Rng>,
}

struct Stream {
    ends: [Ipv4Addr; 2],
    /// true once the connection is lost
    lost: watch::Sender<bool>,
}

/// Where a simulated machine accepts connections.
pub struct Listener {
    incoming: mpsc::Receiver<DuplexStream>,
}

impl Listener {
    /// The next connection; none once the machine has stopped.
    pub async fn accept(&mut self) -> Option<DuplexStream> {
        self.incoming.recv().await
    }
}

impl Network {
    /// A network without cuts, whose delays follow from the seed.
    pub fn new(seed: u64) -> Network {
        let state = State {
            cuts: BTreeMap::new(),
            dark: BTreeSet::new(),
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

    /// Cuts one direction; cuts add up.
    pub fn block(&self, from: Ipv4Addr, to: Ipv4Addr) {
        *self.state.lock().cuts.entry((from, to)).or_default() += 1;
        self.touch();
    }

    /// Takes one cut off a direction.
    pub fn heal(&self, from: Ipv4Addr, to: Ipv4Addr) {
        let mut state = self.state.lock();
        if let Some(count) = state.cuts.get_mut(&(from, to)) {
            *count = count.saturating_sub(1);
        }
        drop(state);
        self.touch();
    }

    /// A dark machine loses its connections without a word, and nobody reaches it.
    pub fn power_off(&self, machine: Ipv4Addr) {
        self.state.lock().dark.insert(machine);
        self.touch();
    }

    /// Ends darkness.
    pub fn power_on(&self, machine: Ipv4Addr) {
        self.state.lock().dark.remove(&machine);
        self.touch();
    }

    /// Cuts a machine off from all other machines; who calls from outside still reaches it.
    pub fn isolate(&self, machine: Ipv4Addr) {
        self.state.lock().isolated.insert(machine);
        self.touch();
    }

    /// Ends an isolation.
    pub fn rejoin(&self, machine: Ipv4Addr) {
        self.state.lock().isolated.remove(&machine);
        self.touch();
    }

    /// Makes all bytes to and from a machine late, or no longer.
    pub fn slow_down(&self, machine: Ipv4Addr, slow: bool) {
        let mut state = self.state.lock();
        if slow {
            state.slow.insert(machine);
        } else {
            state.slow.remove(&machine);
        }
    }

    /// Whether somebody accepts connections there.
    pub fn is_listening(&self, at: SocketAddr) -> bool {
        self.state.lock().listeners.get(&at).is_some_and(|registered| !registered.is_closed())
    }

    /// Resets the connections between two machines; what was on its way is lost.
    pub fn reset_between(&self, one: Ipv4Addr, other: Ipv4Addr) {
        self.lose(|stream| stream.ends.contains(&one) && stream.ends.contains(&other));
    }

    /// Ends all that a machine has open, as its death does.
    pub fn drop_machine(&self, machine: Ipv4Addr) {
        self.state.lock().listeners.retain(|at, _| at.ip() != machine);
        self.lose(|stream| stream.ends.contains(&machine));
    }

    fn lose(&self, chosen: impl Fn(&Stream) -> bool) {
        let mut state = self.state.lock();
        state.streams.retain(|_, stream| {
            let goes = chosen(stream);
            if goes {
                stream.lost.send_replace(true);
            }
            !goes
        });
    }

    fn touch(&self) {
        self.changed.notify_waiters();
    }

    /// Whether bytes pass in this direction now.
    pub fn is_open(&self, from: Ipv4Addr, to: Ipv4Addr) -> bool {
        let state = self.state.lock();
        let is_blocked = state.cuts.get(&(from, to)).is_some_and(|count| *count > 0);
        let apart = |one, other| state.isolated.contains(&one) && !is_outside(other);
        let is_apart = apart(from, to) || apart(to, from);
        !is_blocked && !is_apart && !state.dark.contains(&from) && !state.dark.contains(&to)
    }

    /// Waits until bytes pass in this direction.
    pub async fn opened(&self, from: Ipv4Addr, to: Ipv4Addr) {
        loop {
            let changed = self.changed.notified();
            if self.is_open(from, to) {
                return;
            }
            changed.await;
        }
    }

    /// The time that the next chunk takes in this direction.
    fn delay(&self, from: Ipv4Addr, to: Ipv4Addr) -> Duration {
        let mut state = self.state.lock();
        let seed = state.seed.to_le_bytes();
        let slow = state.slow.contains(&from) || state.slow.contains(&to);
        let most = if slow { constants::SLOW_SPREAD_US } else { constants::DELAY_SPREAD_US };
        let rng = state.delays.entry((from, to)).or_insert_with(|| {
            let parts = [&seed[..], &from.octets(), &to.octets()];
            fastrand::Rng::with_seed(fleet_core::node::stable_hash(&parts))
        });
        let spread = rng.u64(0..=most);
        Duration::from_micros(constants::DELAY_LEAST_US + spread)
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

    /// Connects; hangs while a cut lies between, and is refused where nobody listens.
    pub async fn connect(&self, own: Ipv4Addr, to: SocketAddr) -> std::io::Result<DuplexStream> {
        let std::net::IpAddr::V4(machine) = to.ip() else {
            return Err(std::io::ErrorKind::Unsupported.into());
        };
        self.pass(own, machine).await;
        let listener = self.state.lock().listeners.get(&to).cloned();
        self.pass(machine, own).await;
        let refused = std::io::ErrorKind::ConnectionRefused;
        let listener = listener.ok_or(refused)?;
        let (near, near_inside) = tokio::io::duplex(constants::STREAM_BYTES);
        let (far_inside, far) = tokio::io::duplex(constants::STREAM_BYTES);
        listener.try_send(far).map_err(|_| refused)?;
        self.join([own, machine], near_inside, far_inside);
        Ok(near)
    }

    /// One way of a message, with its delay.
    pub async fn pass(&self, from: Ipv4Addr, to: Ipv4Addr) {
        tokio::time::sleep(self.delay(from, to)).await;
        self.opened(from, to).await;
    }

    /// Moves the bytes of a new connection until either end closes it or it is lost.
    fn join(&self, ends: [Ipv4Addr; 2], near: DuplexStream, far: DuplexStream) {
        let (lost, is_lost) = watch::channel(false);
        let number = {
            let mut state = self.state.lock();
            state.next_stream += 1;
            let number = state.next_stream;
            state.streams.insert(number, Stream { ends, lost });
            number
        };
        let (near_read, near_write) = tokio::io::split(near);
        let (far_read, far_write) = tokio::io::split(far);
        let network = self.clone();
        tokio::spawn(async move {
            let mut is_lost = is_lost;
            let there = network.carry(ends[0], ends[1], near_read, far_write);
            let back = network.carry(ends[1], ends[0], far_read, near_write);
            tokio::select! {
                biased;
                _ = is_lost.wait_for(|lost| *lost) => {}
                _ = async { tokio::join!(there, back) } => {}
                () = network.delayed(ends) => {}
            }
            network.state.lock().streams.remove(&number);
        });
    }

    /// Carries one direction of a connection.
    async fn carry(
        &self,
        from: Ipv4Addr,
        to: Ipv4Addr,
        mut source: ReadHalf<DuplexStream>,
        mut sink: WriteHalf<DuplexStream>,
    ) {
        let mut chunk = vec![0; constants::STREAM_BYTES];
        while let Ok(length) = source.read(&mut chunk).await {
            if length == 0 {
                break;
            }
            self.pass(from, to).await;
            if sink.write_all(&chunk[..length]).await.is_err() {
                break;
            }
        }
        self.pass(from, to).await;
        let _ = sink.shutdown().await;
    }

    /// Ends once one direction was shut for as long as the kernel bears it.
    async fn delayed(&self, ends: [Ipv4Addr; 2]) {
        loop {
            let changed = self.changed.notified();
            let is_open = self.is_open(ends[0], ends[1]) && self.is_open(ends[1], ends[0]);
            if is_open {
                changed.await;
                continue;
            }
            let healed = async {
                tokio::join!(self.opened(ends[0], ends[1]), self.opened(ends[1], ends[0]))
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
