//! Controllers in one process, over streams and disks in memory.

use control_plane::disk::format::{Record, State};
use control_plane::disk::{DiskError, RecordQueue};
use control_plane::{Controller, Environment, Running};
use fleet_core::settings::Settings;
use fleet_core::transport::{BoxFuture, BoxedStream, Listener, Transport, TransportError};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// bytes; what a stream takes before its reader reads.
const STREAM_BYTES: usize = 1 << 16;

type Ports = HashMap<SocketAddr, mpsc::UnboundedSender<BoxedStream>>;

/// A network without delays and losses.
#[derive(Default)]
pub struct Network {
    ports: parking_lot::Mutex<Ports>,
}

struct MemoryListener(mpsc::UnboundedReceiver<BoxedStream>);

impl Listener for MemoryListener {
    fn accept(&mut self) -> BoxFuture<'_, std::io::Result<BoxedStream>> {
        Box::pin(async move {
            self.0.recv().await.ok_or_else(|| std::io::ErrorKind::NotConnected.into())
        })
    }
}

impl Transport for Network {
    fn connect(
        &self,
        _: Ipv4Addr,
        to: SocketAddr,
        _: Duration,
    ) -> BoxFuture<'_, Result<BoxedStream, TransportError>> {
        let (near, far) = tokio::io::duplex(STREAM_BYTES);
        let far: BoxedStream = Box::new(far);
        let taken = self.ports.lock().get(&to).is_some_and(|port| port.send(far).is_ok());
        let refused = TransportError::Socket(std::io::ErrorKind::ConnectionRefused);
        Box::pin(
            async move { if taken { Ok(Box::new(near) as BoxedStream) } else { Err(refused) } },
        )
    }

    fn listen(&self, at: SocketAddr) -> std::io::Result<Box<dyn Listener>> {
        let (port, streams) = mpsc::unbounded_channel();
        self.ports.lock().insert(at, port);
        Ok(Box::new(MemoryListener(streams)))
    }
}

/// A disk that keeps all at once and is never read again; or none at all.
struct MemoryDisk {
    absent: bool,
}

impl RecordQueue for MemoryDisk {
    fn keep(&self, _: Record) -> BoxFuture<'static, Result<(), DiskError>> {
        let kept = if self.absent { Err(DiskError::Absent) } else { Ok(()) };
        Box::pin(std::future::ready(kept))
    }

    fn is_broken(&self) -> bool {
        false
    }

    fn is_absent(&self) -> bool {
        self.absent
    }
}

/// What the last number of an address stands for.
pub const VOTERS: [u8; 3] = [1, 2, 3];
/// A controller without a disk, and so without a vote.
pub const WITHOUT_VOTE: u8 = 9;
const PORT: u16 = 7000;
/// Time after which all links are up.
const LINKED: Duration = Duration::from_secs(2);

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

/// Where other processes reach the peer service of a controller.
pub fn peer_address(last: u8) -> SocketAddr {
    SocketAddr::from((ip(last), PORT))
}

/// Settings of the process at an address.
pub fn settings(last: u8) -> Settings {
    let seeds = VOTERS.map(|voter| format!("{}:{}", ip(voter), PORT + 1)).join(",");
    let text = format!(
        "nodeName=n{last}\nip={}\nzone=z{last}\nportRange={PORT},{}\nseeds={seeds}\nbootstrap=true\n\
         bounds.leaseMs=3000\nbounds.versionMs=8000\nheartbeatMs=1200\n",
        ip(last),
        PORT + 9
    );
    Settings::parse(&text).unwrap()
}

/// Three voters and a controller without a vote.
pub struct Fleet {
    /// what links of the test go over
    pub network: Arc<Network>,
    running: HashMap<u8, Running>,
}

impl Fleet {
    /// All start for the first time, and are linked.
    pub async fn start() -> Fleet {
        let network = Arc::new(Network::default());
        let mut running = HashMap::new();
        for last in VOTERS.into_iter().chain([WITHOUT_VOTE]) {
            let voter = last != WITHOUT_VOTE;
            let environment = Environment {
                transport: network.clone(),
                disk: Arc::new(MemoryDisk { absent: !voter }),
                state: State::default(),
                first_start: voter,
                seed: u64::from(last),
            };
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let started = Controller::start(settings(last), log, environment).await.unwrap();
            running.insert(last, started);
        }
        // who started first found nobody listening, and tries again
        tokio::time::sleep(LINKED).await;
        Fleet { network, running }
    }

    /// A controller crashes.
    pub fn crash(&mut self, last: u8) {
        self.running.remove(&last).expect("it runs").abort();
    }

    /// The controller at an address.
    pub fn controller(&self, last: u8) -> &Arc<Controller> {
        &self.running[&last].controller
    }
}
