//! The connecting side of a link: it maintains one connection to an address and sends calls and messages over it.

use super::LinkError;
use super::budgets::LinkBudgets;
use super::frame::{self, NO_CALL, ReceivedFrame, read_frame};
use super::queue::FrameQueue;
use super::writer::Writer;
use crate::byte_budget::{ByteBudget, Reservation};
use crate::constants;
use crate::node::Node;
use crate::transport::{BoxedStream, ByteReader, Tcp, Transport};
use crate::wire::{Body, Frame, Handshake};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::io::BufReader;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Pending calls by number. An answer of a kind that this program does not know is delivered as `None`.
///
/// Ordered, so that a broken connection wakes its callers in the order of their calls.
type PendingCalls = Arc<Mutex<BTreeMap<u64, oneshot::Sender<Option<Body>>>>>;

/// A message that the remote side pushed.
pub struct Pushed {
    /// The message.
    pub body: Body,
    /// What its frame takes of the budget until the message is handled.
    _reservation: Reservation,
}

/// The state of an established connection.
struct Connection {
    frames: FrameQueue,
    pending: PendingCalls,
}

/// The local end of a link that is maintained to one address.
///
/// Dropping it closes the connection and aborts its task.
pub struct Link {
    /// Address of the remote side.
    pub remote_addr: SocketAddr,
    local_ip: Ipv4Addr,
    transport: Arc<dyn Transport>,
    handshake: Handshake,
    budgets: LinkBudgets,
    connected: Mutex<Option<Connection>>,
    next_call: AtomicU64,
    rejected: AtomicU64,
    last_received: Mutex<Option<Instant>>,
    is_up: watch::Sender<bool>,
    task: Mutex<Option<AbortHandle>>,
}

/// Creates the handshake with which a node identifies itself on a new connection.
fn handshake(node: &Node) -> Handshake {
    Handshake {
        name: node.name.clone(),
        ip: node.ip.to_string(),
        zone: node.zone.clone(),
        role: node.role as u32,
        incarnation: node.incarnation,
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(task) = self.task.lock().take() {
            task.abort();
        }
    }
}

impl Link {
    /// Maintains a link over TCP until it is dropped; messages pushed by the remote side are sent to `pushed`.
    pub fn maintain(
        node: &Node,
        remote_addr: SocketAddr,
        pushed: Option<mpsc::Sender<Pushed>>,
    ) -> Arc<Link> {
        Self::maintain_over(Tcp::shared(), node, remote_addr, pushed)
    }

    /// Like [`Link::maintain`], over any transport.
    pub fn maintain_over(
        transport: Arc<dyn Transport>,
        node: &Node,
        remote_addr: SocketAddr,
        pushed: Option<mpsc::Sender<Pushed>>,
    ) -> Arc<Link> {
        let link = Arc::new(Link {
            remote_addr,
            local_ip: node.ip,
            transport,
            handshake: handshake(node),
            budgets: node.link_budgets.clone(),
            connected: Mutex::new(None),
            next_call: AtomicU64::new(NO_CALL + 1),
            rejected: AtomicU64::new(0),
            last_received: Mutex::new(None),
            is_up: watch::channel(false).0,
            task: Mutex::new(None),
        });
        let weak = Arc::downgrade(&link);
        let task = tokio::spawn(Self::reconnect(weak, pushed));
        *link.task.lock() = Some(task.abort_handle());
        link
    }

    /// Connects, serves the connection until it breaks, and reconnects; ends when the link is dropped.
    async fn reconnect(weak: Weak<Link>, pushed: Option<mpsc::Sender<Pushed>>) {
        loop {
            let Some(link) = weak.upgrade() else { return };
            let (local_ip, remote_addr) = (link.local_ip, link.remote_addr);
            let (handshake, budgets) = (link.handshake.clone(), link.budgets.clone());
            let transport = link.transport.clone();
            drop(link);
            if let Ok(stream) =
                transport.connect(local_ip, remote_addr, constants::CONNECT_TIMEOUT).await
            {
                Self::serve(&weak, stream, handshake, &budgets, pushed.as_ref()).await;
            }
            tokio::time::sleep(constants::RECONNECT_BACKOFF).await;
        }
    }

    /// Serves one connection from the handshake to its end.
    async fn serve(
        weak: &Weak<Link>,
        stream: BoxedStream,
        handshake: Handshake,
        budgets: &LinkBudgets,
        pushed: Option<&mpsc::Sender<Pushed>>,
    ) {
        let (reader, writer) = stream.into_halves();
        let (frames, outgoing) = FrameQueue::new(budgets);
        let pending = PendingCalls::default();
        let writer = Writer::start(writer, outgoing, budgets.queued.clone());
        let first = Frame { call: NO_CALL, answer: false, body: Some(Body::Handshake(handshake)) };
        if frames.try_send(first).is_err() {
            return;
        }
        {
            let Some(link) = weak.upgrade() else { return };
            *link.connected.lock() = Some(Connection { frames, pending: pending.clone() });
            *link.last_received.lock() = Some(Instant::now());
            link.is_up.send_replace(true);
        }
        Self::receive(weak, reader, &writer, &pending, &budgets.received, pushed).await;
        drop(writer);
        if let Some(link) = weak.upgrade() {
            *link.connected.lock() = None;
            link.is_up.send_replace(false);
        }
        // No call can be added any more; dropping the senders tells the waiting callers that no answer will come.
        pending.lock().clear();
    }

    /// Delivers answers to their calls and pushed messages to `pushed`, until the connection ends.
    async fn receive(
        weak: &Weak<Link>,
        reader: ByteReader,
        writer: &Writer,
        pending: &PendingCalls,
        budget: &Arc<ByteBudget>,
        pushed: Option<&mpsc::Sender<Pushed>>,
    ) {
        let mut reader = frame::buffered(reader);
        loop {
            let received = next_frame(&mut reader, writer, budget).await;
            let Some(link) = weak.upgrade() else { return };
            let ReceivedFrame { frame, reservation } = match received {
                Ok(received) => received,
                Err(error) => return link.count_rejected(&error),
            };
            *link.last_received.lock() = Some(Instant::now());
            drop(link);
            if frame.answer {
                if let Some(answer_sender) = pending.lock().remove(&frame.call) {
                    // The send fails if the caller has stopped waiting.
                    let _ = answer_sender.send(frame.body);
                }
            } else if let (Some(pushed), Some(body)) = (pushed, frame.body)
                && pushed.send(Pushed { body, _reservation: reservation }).await.is_err()
            {
                return;
            }
        }
    }

    /// Whether the connection is established, as far as this side knows.
    pub fn is_up(&self) -> bool {
        *self.is_up.borrow()
    }

    /// Subscribes to whether the connection is established.
    pub fn watch(&self) -> watch::Receiver<bool> {
        self.is_up.subscribe()
    }

    /// Time since the remote side last sent anything; `None` before the first connection.
    pub fn time_since_received(&self) -> Option<Duration> {
        self.last_received.lock().map(|received| received.elapsed())
    }

    /// Number of frames and answers of the remote side that were rejected.
    pub fn rejected_count(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }

    fn count_rejected(&self, error: &LinkError) {
        self.rejected.fetch_add(u64::from(error.is_protocol_violation()), Ordering::Relaxed);
    }

    /// Sends a message that needs no answer; it is lost if the connection breaks.
    ///
    /// # Errors
    ///
    /// [`LinkError::TooLarge`], or [`LinkError::NotConnected`] if there is no connection or its queue is full;
    /// nothing was sent in either case.
    pub fn notify(&self, body: Body) -> Result<(), LinkError> {
        let frame = frame::request(NO_CALL, body)?;
        let connected = self.connected.lock();
        let connected = connected.as_ref().ok_or(LinkError::NotConnected)?;
        connected.frames.try_send(frame)
    }

    /// Sends a call and waits for its answer, at most until the timeout `limit`.
    ///
    /// # Errors
    ///
    /// [`LinkError::TooLarge`] if it was not sent. After [`LinkError::NotConnected`], [`LinkError::Timeout`] and
    /// [`LinkError::UnexpectedAnswer`] the remote side may have executed the call.
    ///
    /// # Cancel safety
    ///
    /// If the future is dropped, the call may have been sent; its answer is discarded.
    pub async fn call(&self, body: Body, limit: Duration) -> Result<Body, LinkError> {
        let is_expected = body.answer_matcher();
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (answer, pending) = self.send_call(number, body)?;
        match tokio::time::timeout(limit, answer).await {
            Ok(Ok(answer)) => answer.filter(is_expected).ok_or_else(|| {
                self.count_rejected(&LinkError::UnexpectedAnswer);
                LinkError::UnexpectedAnswer
            }),
            Ok(Err(_)) => Err(LinkError::NotConnected),
            Err(_) => {
                pending.lock().remove(&number);
                Err(LinkError::Timeout)
            }
        }
    }

    /// Sends a call over the current connection; returns the receiver of its answer and the map of pending calls that
    /// it was added to.
    fn send_call(
        &self,
        number: u64,
        body: Body,
    ) -> Result<(oneshot::Receiver<Option<Body>>, PendingCalls), LinkError> {
        let frame = frame::request(number, body)?;
        let (answer_sender, answer) = oneshot::channel();
        let connected = self.connected.lock();
        let connected = connected.as_ref().ok_or(LinkError::NotConnected)?;
        connected.pending.lock().insert(number, answer_sender);
        if connected.frames.try_send(frame).is_err() {
            connected.pending.lock().remove(&number);
            return Err(LinkError::NotConnected);
        }
        Ok((answer, connected.pending.clone()))
    }
}

/// Reads the next frame; returns [`LinkError::NotConnected`] once writing has failed, because a connection that can
/// only be read is unusable.
async fn next_frame(
    reader: &mut BufReader<ByteReader>,
    writer: &Writer,
    budget: &Arc<ByteBudget>,
) -> Result<ReceivedFrame, LinkError> {
    let writer_failed = async {
        while !writer.is_finished() {
            tokio::time::sleep(constants::TCP_USER_TIMEOUT).await;
        }
    };
    tokio::select! {
        biased;
        frame = read_frame(reader, constants::FRAME_MAX_BYTES, budget) => frame,
        () = writer_failed => Err(LinkError::NotConnected),
    }
}
