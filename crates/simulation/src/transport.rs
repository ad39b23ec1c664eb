//! The simulated network as the transport of one start of a process.

use crate::network::{self, Network};
use fleet_core::transport::{BoxFuture, BoxedStream, Listener, Transport, TransportError};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// What one start of a process connects and listens with; useless once the process is dead.
#[derive(Clone)]
pub struct ProcessTransport {
    network: Network,
    dead: Arc<AtomicBool>,
}

impl ProcessTransport {
    /// The transport of a newly started process.
    pub fn new(network: Network) -> ProcessTransport {
        ProcessTransport { network, dead: Arc::default() }
    }

    /// The process is dead: whatever of it still runs reaches nobody.
    pub fn end(&self) {
        self.dead.store(true, Ordering::Relaxed);
    }

    fn alive(&self) -> std::io::Result<()> {
        if self.dead.load(Ordering::Relaxed) {
            return Err(std::io::ErrorKind::NetworkDown.into());
        }
        Ok(())
    }
}

impl Transport for ProcessTransport {
    fn connect(
        &self,
        own: Ipv4Addr,
        to: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'_, Result<BoxedStream, TransportError>> {
        Box::pin(async move {
            self.alive()?;
            let connecting = tokio::time::timeout(limit, self.network.connect(own, to));
            let stream = connecting.await.map_err(|_| TransportError::Timeout)??;
            self.alive()?;
            Ok(Box::new(stream) as BoxedStream)
        })
    }

    fn listen(&self, at: SocketAddr) -> std::io::Result<Box<dyn Listener>> {
        self.alive()?;
        Ok(Box::new(Accepting(self.network.listen(at)?)))
    }
}

struct Accepting(network::Listener);

impl Listener for Accepting {
    fn accept(&mut self) -> BoxFuture<'_, std::io::Result<BoxedStream>> {
        Box::pin(async move {
            match self.0.accept().await {
                Some(stream) => Ok(Box::new(stream) as BoxedStream),
                None => std::future::pending().await,
            }
        })
    }
}
