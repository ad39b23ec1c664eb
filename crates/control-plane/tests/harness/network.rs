//! An in-memory network: connections are pipes, and all bytes written to them are recorded in the trace.

use super::Trace;
use fleet_core::transport::{
    BoxFuture, BoxedStream, ByteStream, Listener, Transport, TransportError,
};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::sync::mpsc;

/// Time to establish a connection.
const LATENCY: Duration = Duration::from_millis(1);
/// Capacity of a connection in one direction.
const PIPE_BYTES: usize = 64 << 10;

/// The listeners by their addresses.
#[derive(Default)]
pub struct Network {
    listeners: Mutex<BTreeMap<SocketAddr, mpsc::UnboundedSender<Pipe>>>,
}

/// One run of a machine. After it has stopped, it can't connect any more.
#[derive(Clone)]
pub struct Machine {
    node: usize,
    network: Arc<Network>,
    stopped: Arc<AtomicBool>,
    trace: Trace,
}

impl Machine {
    pub fn new(node: usize, network: Arc<Network>, trace: Trace) -> Machine {
        Machine { node, network, stopped: Arc::default(), trace }
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn pipe(&self, to: SocketAddr) -> (Pipe, Pipe) {
        let (near, far) = tokio::io::duplex(PIPE_BYTES);
        let endpoint = |stream, direction| Pipe {
            stream,
            node: self.node,
            direction: format!("{direction} {to}"),
            trace: self.trace.clone(),
        };
        (endpoint(near, "to"), endpoint(far, "from"))
    }
}

/// One end of a connection.
struct Pipe {
    stream: DuplexStream,
    node: usize,
    direction: String,
    trace: Trace,
}

impl ByteStream for Pipe {}

impl AsyncRead for Pipe {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Pipe {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let hash = fleet_core::node::stable_hash(&[bytes]);
        self.trace.add(self.node, &format!("{} {hash:016x}", self.direction));
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Transport for Machine {
    fn connect(
        &self,
        _own: Ipv4Addr,
        to: SocketAddr,
        _limit: Duration,
    ) -> BoxFuture<'_, Result<BoxedStream, TransportError>> {
        Box::pin(async move {
            tokio::time::sleep(LATENCY).await;
            let listener = self.network.listeners.lock().get(&to).cloned();
            let (near, far) = self.pipe(to);
            let accepted = listener.is_some_and(|listener| listener.send(far).is_ok());
            if self.stopped.load(Ordering::Relaxed) || !accepted {
                return Err(TransportError::Io(ErrorKind::ConnectionRefused));
            }
            Ok(Box::new(near) as BoxedStream)
        })
    }

    fn listen(&self, at: SocketAddr) -> std::io::Result<Box<dyn Listener>> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.network.listeners.lock().insert(at, sender);
        Ok(Box::new(MemoryListener(receiver)))
    }
}

struct MemoryListener(mpsc::UnboundedReceiver<Pipe>);

impl Listener for MemoryListener {
    fn accept(&mut self) -> BoxFuture<'_, std::io::Result<BoxedStream>> {
        Box::pin(async move {
            let stream = self.0.recv().await;
            stream.map(|pipe| Box::new(pipe) as BoxedStream).ok_or(ErrorKind::BrokenPipe.into())
        })
    }
}
