//! Links between the system's own processes: frames of prost over a transport, calls by number.

use crate::constants;
use crate::transport::{self, BoxedStream, ByteReader, ByteWriter, Listener, Transport};
use crate::wire::{Body, Frame};
use prost::Message;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

pub use transport::{connect, listen, set_socket_options};

/// Why a message or a call failed.
#[derive(Debug, Clone, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum LinkError {
    /// not connected
    Down,
    /// no answer in time
    Timeout,
    /// a frame of {0} bytes is too large
    TooLarge(usize),
    /// a frame can't be read
    Malformed,
    /// an answer of another kind than the call, or to no call
    UnexpectedAnswer,
    /// a message of a kind that this program does not know
    UnknownKind,
    /// {0}
    Socket(std::io::ErrorKind),
}

impl From<std::io::Error> for LinkError {
    fn from(e: std::io::Error) -> Self {
        LinkError::Socket(e.kind())
    }
}

async fn read_frame(r: &mut tokio::io::BufReader<ByteReader>) -> Result<Frame, LinkError> {
    let len = r.read_u32().await? as usize;
    if len > constants::FRAME_MAX {
        return Err(LinkError::TooLarge(len));
    }
    let mut buf = bytes::BytesMut::zeroed(len);
    r.read_exact(&mut buf).await?;
    Frame::decode(buf.freeze()).map_err(|_| LinkError::Malformed)
}

fn encode(f: &Frame, out: &mut Vec<u8>) {
    out.extend_from_slice(&(f.encoded_len() as u32).to_be_bytes());
    f.encode_raw(out);
}

/// A frame that the other side will take.
fn sendable(call: u64, answer: bool, body: Body) -> Result<Frame, LinkError> {
    let frame = Frame { call, answer, body: Some(body) };
    match frame.encoded_len() {
        len if len > constants::FRAME_MAX => Err(LinkError::TooLarge(len)),
        _ => Ok(frame),
    }
}

async fn write_loop(mut w: ByteWriter, mut rx: tokio::sync::mpsc::Receiver<Frame>) {
    let mut out = Vec::new();
    while let Some(f) = rx.recv().await {
        out.clear();
        encode(&f, &mut out);
        while out.len() < constants::WRITE_BATCH
            && let Ok(f) = rx.try_recv()
        {
            encode(&f, &mut out);
        }
        if w.write_all(&out).await.is_err() {
            return;
        }
        if out.capacity() > (256 << 10) {
            out = Vec::new();
        }
    }
}

/// The task that writes a connection's frames; it ends with its connection.
struct Writer(tokio::task::JoinHandle<()>);

impl Writer {
    fn start(w: ByteWriter, rx: tokio::sync::mpsc::Receiver<Frame>) -> Writer {
        Writer(tokio::spawn(write_loop(w, rx)))
    }

    fn is_finished(&self) -> bool {
        self.0.is_finished()
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Ordered, so that a broken link wakes its callers in the order of their calls.
/// An answer of a kind that this program does not know comes as none.
type PendingCalls =
    Arc<parking_lot::Mutex<BTreeMap<u64, tokio::sync::oneshot::Sender<Option<Body>>>>>;

struct Connected {
    tx: tokio::sync::mpsc::Sender<Frame>,
    pending: PendingCalls,
}

/// Our end of a link that we keep up to one address.
pub struct Link {
    /// The address of the other side.
    pub to: SocketAddr,
    own: Ipv4Addr,
    transport: Arc<dyn Transport>,
    handshake: crate::wire::Handshake,
    connected: parking_lot::Mutex<Option<Connected>>,
    calls: AtomicU64,
    rejected: AtomicU64,
    last_received: parking_lot::Mutex<Option<tokio::time::Instant>>,
    state: tokio::sync::watch::Sender<bool>,
    task: parking_lot::Mutex<Option<tokio::task::AbortHandle>>,
}

/// How a node introduces itself on a new connection.
fn handshake(node: &crate::node::Node) -> crate::wire::Handshake {
    crate::wire::Handshake {
        name: node.name.clone(),
        ip: node.ip.to_string(),
        zone: node.zone.clone(),
        role: node.role as u32,
        incarnation: node.incarnation,
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(t) = self.task.lock().take() {
            t.abort();
        }
    }
}

impl Link {
    /// Keeps a link over TCP up until dropped; what the other side pushes goes to `pushed`.
    pub fn keep(
        node: &crate::node::Node,
        to: SocketAddr,
        pushed: Option<tokio::sync::mpsc::Sender<Body>>,
    ) -> Arc<Link> {
        Self::keep_over(transport::Tcp::shared(), node, to, pushed)
    }

    /// As `keep`, over any transport.
    pub fn keep_over(
        transport: Arc<dyn Transport>,
        node: &crate::node::Node,
        to: SocketAddr,
        pushed: Option<tokio::sync::mpsc::Sender<Body>>,
    ) -> Arc<Link> {
        let link = Arc::new(Link {
            to,
            own: node.ip,
            transport,
            handshake: handshake(node),
            connected: parking_lot::Mutex::new(None),
            calls: AtomicU64::new(1),
            rejected: AtomicU64::new(0),
            last_received: parking_lot::Mutex::new(None),
            state: tokio::sync::watch::channel(false).0,
            task: parking_lot::Mutex::new(None),
        });
        let weak = Arc::downgrade(&link);
        let task = tokio::spawn(Self::reconnect(weak, pushed));
        *link.task.lock() = Some(task.abort_handle());
        link
    }

    async fn reconnect(weak: Weak<Link>, pushed: Option<tokio::sync::mpsc::Sender<Body>>) {
        loop {
            let Some(link) = weak.upgrade() else { return };
            let (own, to, handshake) = (link.own, link.to, link.handshake.clone());
            let transport = link.transport.clone();
            drop(link);
            if let Ok(stream) = transport.connect(own, to, constants::CONNECT_TIMEOUT).await {
                Self::serve(&weak, stream, handshake, pushed.as_ref()).await;
            }
            tokio::time::sleep(constants::RECONNECT_BACKOFF).await;
        }
    }

    async fn serve(
        weak: &Weak<Link>,
        stream: BoxedStream,
        handshake: crate::wire::Handshake,
        pushed: Option<&tokio::sync::mpsc::Sender<Body>>,
    ) {
        let (r, w) = stream.into_halves();
        let (tx, rx) = tokio::sync::mpsc::channel(constants::LINK_BACKLOG);
        let pending: PendingCalls = Arc::default();
        let writer = Writer::start(w, rx);
        let first = Frame { call: 0, answer: false, body: Some(Body::Handshake(handshake)) };
        if tx.send(first).await.is_err() {
            return;
        }
        {
            let Some(l) = weak.upgrade() else { return };
            *l.connected.lock() = Some(Connected { tx, pending: pending.clone() });
            *l.last_received.lock() = Some(tokio::time::Instant::now());
            l.state.send_replace(true);
        }
        let mut r = tokio::io::BufReader::with_capacity(4096, r);
        loop {
            let f = tokio::select! {
                biased;
                f = read_frame(&mut r) => f,
                () = async { while !writer.is_finished() { tokio::time::sleep(constants::TCP_USER_TIMEOUT).await } } => Err(LinkError::Down),
            };
            let Some(l) = weak.upgrade() else { break };
            let f = match f {
                Ok(f) => f,
                Err(error) => {
                    l.count_rejected(&error);
                    break;
                }
            };
            *l.last_received.lock() = Some(tokio::time::Instant::now());
            drop(l);
            if f.answer {
                if let Some(tx) = pending.lock().remove(&f.call) {
                    let _ = tx.send(f.body);
                }
            } else if let (Some(p), Some(body)) = (pushed, f.body)
                && p.send(body).await.is_err()
            {
                break;
            }
        }
        drop(writer);
        if let Some(l) = weak.upgrade() {
            *l.connected.lock() = None;
            l.state.send_replace(false);
        }
        // No call can be added any more: those that wait learn that no answer will come.
        pending.lock().clear();
    }

    /// Whether the connection stands, as far as this side knows.
    pub fn is_up(&self) -> bool {
        *self.state.borrow()
    }

    /// Follows whether the connection stands.
    pub fn watch(&self) -> tokio::sync::watch::Receiver<bool> {
        self.state.subscribe()
    }

    /// Since the other side was last heard; none before the first time.
    pub fn time_since_received(&self) -> Option<Duration> {
        self.last_received.lock().map(|t| t.elapsed())
    }

    /// Frames and answers of the other side that could not be taken.
    pub fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }

    fn count_rejected(&self, error: &LinkError) {
        let theirs = matches!(
            error,
            LinkError::TooLarge(_) | LinkError::Malformed | LinkError::UnexpectedAnswer
        );
        self.rejected.fetch_add(u64::from(theirs), Ordering::Relaxed);
    }

    /// Sends without an answer; it is lost where the link breaks.
    pub fn notify(&self, body: Body) -> Result<(), LinkError> {
        let frame = sendable(0, false, body)?;
        let g = self.connected.lock();
        let connected = g.as_ref().ok_or(LinkError::Down)?;
        connected.tx.try_send(frame).map_err(|_| LinkError::Down)
    }

    /// Asks and waits for the answer, not longer than the limit.
    pub async fn call(&self, body: Body, limit: Duration) -> Result<Body, LinkError> {
        let fits = body.answer_test();
        let no = self.calls.fetch_add(1, Ordering::Relaxed);
        let frame = sendable(no, false, body)?;
        let (tx, rx) = tokio::sync::oneshot::channel();
        let pending = {
            let g = self.connected.lock();
            let connected = g.as_ref().ok_or(LinkError::Down)?;
            connected.pending.lock().insert(no, tx);
            if connected.tx.try_send(frame).is_err() {
                connected.pending.lock().remove(&no);
                return Err(LinkError::Down);
            }
            connected.pending.clone()
        };
        match tokio::time::timeout(limit, rx).await {
            Ok(Ok(answer)) => answer.filter(fits).ok_or_else(|| {
                self.count_rejected(&LinkError::UnexpectedAnswer);
                LinkError::UnexpectedAnswer
            }),
            Ok(Err(_)) => Err(LinkError::Down),
            Err(_) => {
                pending.lock().remove(&no);
                Err(LinkError::Timeout)
            }
        }
    }
}

/// The other end, as the one who accepted it sees it.
#[derive(Clone)]
pub struct Peer {
    /// How it introduced itself.
    pub handshake: Arc<crate::wire::Handshake>,
    tx: tokio::sync::mpsc::Sender<Frame>,
}

impl Peer {
    /// Sends to the other end what it hasn't asked for.
    pub fn push(&self, body: Body) -> Result<(), LinkError> {
        self.tx.try_send(sendable(0, false, body)?).map_err(|_| LinkError::Down)
    }

    /// How many frames wait because the other end reads slowly. Who can tell the newest later waits until
    /// they have gone, so that what a slow reader has not read doesn't pile up here.
    pub fn backlog(&self) -> usize {
        self.tx.max_capacity() - self.tx.capacity()
    }

    /// Whether nothing can be pushed any more.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }
}

/// What the accepting end does with connections and messages.
pub trait PeerHandler: Send + Sync + 'static {
    /// A peer has introduced itself.
    fn connected(self: &Arc<Self>, peer: &Peer);
    /// The connection of a peer has ended.
    fn disconnected(self: &Arc<Self>, peer: &Peer);
    /// The answer to a message; none where it needs none.
    fn answer(
        self: &Arc<Self>,
        peer: &Peer,
        body: Body,
    ) -> impl std::future::Future<Output = Option<Body>> + Send;
    /// A message was dropped, or a connection ended for bytes that make no frame.
    fn message_rejected(self: &Arc<Self>, error: &LinkError);
}

/// Serves all who connect to the listener, until it is dropped.
pub async fn serve_peers<H: PeerHandler>(mut listener: Box<dyn Listener>, serve_peers: Arc<H>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok(stream) = listener.accept().await else {
            tokio::time::sleep(constants::RECONNECT_BACKOFF).await;
            continue;
        };
        connections.spawn(serve_peer(stream, serve_peers.clone()));
    }
}

async fn serve_peer<H: PeerHandler>(stream: BoxedStream, serve_peers: Arc<H>) {
    let (r, w) = stream.into_halves();
    let mut r = tokio::io::BufReader::with_capacity(4096, r);
    let first = tokio::time::timeout(constants::TCP_USER_TIMEOUT, read_frame(&mut r)).await;
    let Ok(Ok(Frame { body: Some(Body::Handshake(handshake)), .. })) = first else { return };
    let (tx, rx) = tokio::sync::mpsc::channel(constants::LINK_BACKLOG);
    let writer = Writer::start(w, rx);
    let peer = Peer { handshake: Arc::new(handshake), tx };
    serve_peers.connected(&peer);
    loop {
        let f = match read_frame(&mut r).await {
            Ok(f) => f,
            Err(e) => {
                if !matches!(e, LinkError::Socket(_)) {
                    serve_peers.message_rejected(&e);
                }
                break;
            }
        };
        let Some(body) = f.body.filter(|_| !f.answer) else {
            serve_peers.message_rejected(if f.answer {
                &LinkError::UnexpectedAnswer
            } else {
                &LinkError::UnknownKind
            });
            continue;
        };
        let (serve_peers, peer) = (serve_peers.clone(), peer.clone());
        tokio::spawn(async move {
            let Some(body) = serve_peers.answer(&peer, body).await else { return };
            if f.call == 0 {
                return;
            }
            match sendable(f.call, true, body) {
                Ok(frame) => drop(peer.tx.try_send(frame)),
                Err(error) => serve_peers.message_rejected(&error),
            }
        });
    }
    drop(writer);
    serve_peers.disconnected(&peer);
}

#[cfg(test)]
#[path = "link_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "link_backlog_tests.rs"]
mod backlog_tests;
