//! Transport of one start of a process over the simulated network.

use crate::network::{self, Network};
use fleet_core::transport::{BoxFuture, BoxedStream, Listener, Transport, TransportError};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The transport of one start of a process; every operation fails once the process has ended.
#[derive(Clone)]
pub struct ProcessTransport {
    network: Network,
    dead: Arc<AtomicBool>,
}

impl ProcessTransport {
    /// Creates the transport of a newly started process.
    pub fn new(network: Network) -> ProcessTransport {
        ProcessTransport { network, dead: Arc::default() }
    }

    /// Marks the process as ended, so that its remaining tasks cannot use the network.
    pub fn end(&self) {
        self.dead.store(true, Ordering::Relaxed);
    }

    fn check_alive(&self) -> std::io::Result<()> {
        if self.dead.load(Ordering::Relaxed) {
            return Err(std::io::ErrorKind::NetworkDown.into());
        }
        Ok(())
    }
}

impl Transport for ProcessTransport {
    fn connect(
        &self,
        local: Ipv4Addr,
        to: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'_, Result<BoxedStream, TransportError>> {
        Box::pin(async move {
            self.check_alive()?;
            let connecting = tokio::time::timeout(limit, self.network.connect(local, to));
            let stream = connecting.await.map_err(|_| TransportError::Timeout)??;
            self.check_alive()?;
            Ok(Box::new(stream) as BoxedStream)
        })
    }

    fn listen(&self, at: SocketAddr) -> std::io::Result<Box<dyn Listener>> {
        self.check_alive()?;
        Ok(Box::new(SimulatedListener(self.network.listen(at)?)))
    }
}

struct SimulatedListener(network::Listener);

impl Listener for SimulatedListener {
    fn accept(&mut self) -> BoxFuture<'_, std::io::Result<BoxedStream>> {
        Box::pin(async move {
            match self.0.accept().await {
                Some(stream) => Ok(Box::new(stream) as BoxedStream),
                None => std::future::pending().await,
            }
        })
    }
}
