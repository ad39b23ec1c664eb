//! Links between the system's own processes: frames of prost over TCP, calls by number.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::constants;
use crate::wire::{Body, Frame};
use prost::Message;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[derive(Debug, Clone, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum LinkError {
    /// not connected
    Down,
    /// no answer in time
    Late,
    /// a frame of {0} bytes is too large
    TooLarge(usize),
    /// a frame can't be read
    Undecodable,
    /// an answer of another kind than the call
    Unfitting,
    /// {0}
    Socket(std::io::ErrorKind),
}

impl From<std::io::Error> for LinkError {
    fn from(e: std::io::Error) -> Self {
        LinkError::Socket(e.kind())
    }
}

/// Bounds how long a socket may hang behind a cut.
pub fn tame(s: &tokio::net::TcpStream) -> std::io::Result<()> {
    s.set_nodelay(true)?;
    let r = socket2::SockRef::from(s);
    r.set_tcp_user_timeout(Some(constants::TCP_SILENCE))?;
    r.set_tcp_keepalive(
        &socket2::TcpKeepalive::new()
            .with_time(constants::KEEPALIVE_IDLE)
            .with_interval(constants::KEEPALIVE_GAP)
            .with_retries(constants::KEEPALIVE_PROBES),
    )
}

pub fn listen(addr: SocketAddr) -> std::io::Result<tokio::net::TcpListener> {
    let s = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    s.set_reuse_address(true)?;
    s.set_nonblocking(true)?;
    s.bind(&addr.into())?;
    s.listen(constants::LISTEN_BACKLOG)?;
    tokio::net::TcpListener::from_std(s.into())
}

/// Connects from the machine's own address.
pub async fn connect(
    own: Ipv4Addr,
    to: SocketAddr,
    limit: Duration,
) -> Result<tokio::net::TcpStream, LinkError> {
    let s = tokio::net::TcpSocket::new_v4()?;
    s.bind(SocketAddr::new(own.into(), 0))?;
    let c = tokio::time::timeout(limit, s.connect(to)).await.map_err(|_| LinkError::Late)??;
    tame(&c)?;
    Ok(c)
}

async fn read_frame(
    r: &mut tokio::io::BufReader<tokio::net::tcp::OwnedReadHalf>,
) -> Result<Frame, LinkError> {
    let len = r.read_u32().await? as usize;
    if len > constants::FRAME_MAX {
        return Err(LinkError::TooLarge(len));
    }
    let mut buf = bytes::BytesMut::zeroed(len);
    r.read_exact(&mut buf).await?;
    Frame::decode(buf.freeze()).map_err(|_| LinkError::Undecodable)
}

fn encode(f: &Frame, out: &mut Vec<u8>) {
    out.extend_from_slice(&(f.encoded_len() as u32).to_be_bytes());
    f.encode_raw(out);
}

async fn write_loop(
    mut w: tokio::net::tcp::OwnedWriteHalf,
    mut rx: tokio::sync::mpsc::Receiver<Frame>,
) {
    let mut out = Vec::new();
    while let Some(f) = rx.recv().await {
        out.clear();
        encode(&f, &mut out);
        while let Ok(f) = rx.try_recv() {
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

type Waiting = Arc<parking_lot::Mutex<hashbrown::HashMap<u64, tokio::sync::oneshot::Sender<Body>>>>;

struct Live {
    tx: tokio::sync::mpsc::Sender<Frame>,
    waiting: Waiting,
}

/// Our end of a link that we keep up to one address.
pub struct Link {
    pub to: SocketAddr,
    own: Ipv4Addr,
    hello: crate::wire::Hello,
    live: parking_lot::Mutex<Option<Live>>,
    calls: AtomicU64,
    heard: parking_lot::Mutex<Option<tokio::time::Instant>>,
    state: tokio::sync::watch::Sender<bool>,
    task: parking_lot::Mutex<Option<tokio::task::AbortHandle>>,
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(t) = self.task.lock().take() {
            t.abort();
        }
    }
}

impl Link {
    /// Keeps the link up until dropped; what the other side pushes goes to `pushed`.
    pub fn keep(
        node: &crate::node::Node,
        to: SocketAddr,
        pushed: Option<tokio::sync::mpsc::Sender<Body>>,
    ) -> Arc<Link> {
        let link = Arc::new(Link {
            to,
            own: node.ip,
            hello: crate::wire::Hello {
                name: node.name.clone(),
                ip: node.ip.to_string(),
                zone: node.zone.clone(),
                role: node.role as u32,
                incarnation: node.incarnation,
            },
            live: parking_lot::Mutex::new(None),
            calls: AtomicU64::new(1),
            heard: parking_lot::Mutex::new(None),
            state: tokio::sync::watch::channel(false).0,
            task: parking_lot::Mutex::new(None),
        });
        let weak = Arc::downgrade(&link);
        let task = tokio::spawn(async move {
            loop {
                let Some(l) = weak.upgrade() else { return };
                let (own, to, hello) = (l.own, l.to, l.hello.clone());
                drop(l);
                if let Ok(s) = connect(own, to, constants::CONNECT_LIMIT).await {
                    Self::serve(&weak, s, hello, pushed.as_ref()).await;
                }
                tokio::time::sleep(constants::RELINK_PAUSE).await;
            }
        });
        *link.task.lock() = Some(task.abort_handle());
        link
    }

    async fn serve(
        weak: &std::sync::Weak<Link>,
        s: tokio::net::TcpStream,
        hello: crate::wire::Hello,
        pushed: Option<&tokio::sync::mpsc::Sender<Body>>,
    ) {
        let (r, w) = s.into_split();
        let (tx, rx) = tokio::sync::mpsc::channel(constants::LINK_BACKLOG);
        let waiting: Waiting = Arc::default();
        let writer = tokio::spawn(write_loop(w, rx));
        let first = Frame { call: 0, answer: false, body: Some(Body::Hello(hello)) };
        if tx.send(first).await.is_err() {
            return;
        }
        {
            let Some(l) = weak.upgrade() else { return };
            *l.live.lock() = Some(Live { tx, waiting: waiting.clone() });
            *l.heard.lock() = Some(tokio::time::Instant::now());
            l.state.send_replace(true);
        }
        let mut r = tokio::io::BufReader::with_capacity(4096, r);
        loop {
            let f = tokio::select! {
                f = read_frame(&mut r) => f,
                () = async { while !writer.is_finished() { tokio::time::sleep(constants::TCP_SILENCE).await } } => Err(LinkError::Down),
            };
            let Ok(f) = f else { break };
            let Some(l) = weak.upgrade() else { break };
            *l.heard.lock() = Some(tokio::time::Instant::now());
            drop(l);
            let Some(body) = f.body else { continue };
            if f.answer {
                if let Some(tx) = waiting.lock().remove(&f.call) {
                    let _ = tx.send(body);
                }
            } else if let Some(p) = pushed
                && p.send(body).await.is_err()
            {
                break;
            }
        }
        writer.abort();
        if let Some(l) = weak.upgrade() {
            *l.live.lock() = None;
            l.state.send_replace(false);
        }
    }

    pub fn is_up(&self) -> bool {
        *self.state.borrow()
    }

    pub fn watch(&self) -> tokio::sync::watch::Receiver<bool> {
        self.state.subscribe()
    }

    pub fn silent_for(&self) -> Option<Duration> {
        self.heard.lock().map(|t| t.elapsed())
    }

    pub fn tell(&self, body: Body) -> Result<(), LinkError> {
        let g = self.live.lock();
        let live = g.as_ref().ok_or(LinkError::Down)?;
        live.tx
            .try_send(Frame { call: 0, answer: false, body: Some(body) })
            .map_err(|_| LinkError::Down)
    }

    pub async fn call(&self, body: Body, limit: Duration) -> Result<Body, LinkError> {
        let no = self.calls.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = tokio::sync::oneshot::channel();
        let waiting = {
            let g = self.live.lock();
            let live = g.as_ref().ok_or(LinkError::Down)?;
            live.waiting.lock().insert(no, tx);
            let f = Frame { call: no, answer: false, body: Some(body) };
            if live.tx.try_send(f).is_err() {
                live.waiting.lock().remove(&no);
                return Err(LinkError::Down);
            }
            live.waiting.clone()
        };
        match tokio::time::timeout(limit, rx).await {
            Ok(Ok(b)) => Ok(b),
            Ok(Err(_)) => Err(LinkError::Down),
            Err(_) => {
                waiting.lock().remove(&no);
                Err(LinkError::Late)
            }
        }
    }
}

/// The other end, as the one who accepted it sees it.
#[derive(Clone)]
pub struct Peer {
    pub hello: Arc<crate::wire::Hello>,
    tx: tokio::sync::mpsc::Sender<Frame>,
}

impl Peer {
    pub fn push(&self, body: Body) -> Result<(), LinkError> {
        self.tx
            .try_send(Frame { call: 0, answer: false, body: Some(body) })
            .map_err(|_| LinkError::Down)
    }

    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }
}

pub trait Host: Send + Sync + 'static {
    fn joined(self: &Arc<Self>, peer: &Peer);
    fn left(self: &Arc<Self>, peer: &Peer);
    fn answer(
        self: &Arc<Self>,
        peer: &Peer,
        body: Body,
    ) -> impl std::future::Future<Output = Option<Body>> + Send;
    fn spoilt(self: &Arc<Self>, error: &LinkError);
}

pub async fn host<H: Host>(listener: tokio::net::TcpListener, host: Arc<H>) {
    loop {
        let Ok((s, _)) = listener.accept().await else {
            tokio::time::sleep(constants::RELINK_PAUSE).await;
            continue;
        };
        if tame(&s).is_ok() {
            tokio::spawn(host_one(s, host.clone()));
        }
    }
}

async fn host_one<H: Host>(s: tokio::net::TcpStream, host: Arc<H>) {
    let (r, w) = s.into_split();
    let mut r = tokio::io::BufReader::with_capacity(4096, r);
    let first = tokio::time::timeout(constants::TCP_SILENCE, read_frame(&mut r)).await;
    let Ok(Ok(Frame { body: Some(Body::Hello(hello)), .. })) = first else { return };
    let (tx, rx) = tokio::sync::mpsc::channel(constants::LINK_BACKLOG);
    let writer = tokio::spawn(write_loop(w, rx));
    let peer = Peer { hello: Arc::new(hello), tx };
    host.joined(&peer);
    loop {
        let f = match read_frame(&mut r).await {
            Ok(f) => f,
            Err(e) => {
                if !matches!(e, LinkError::Socket(_)) {
                    host.spoilt(&e);
                }
                break;
            }
        };
        let Some(body) = f.body else { continue };
        let (host, peer) = (host.clone(), peer.clone());
        tokio::spawn(async move {
            let Some(body) = host.answer(&peer, body).await else { return };
            if f.call != 0 {
                let _ = peer.tx.try_send(Frame { call: f.call, answer: true, body: Some(body) });
            }
        });
    }
    writer.abort();
    host.left(&peer);
}
