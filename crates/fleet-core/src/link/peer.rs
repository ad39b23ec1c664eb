//! The listening side of a link: peers connect, identify themselves, send messages and receive answers and pushes.

use super::LinkError;
use super::budgets::LinkBudgets;
use super::frame::{self, NO_CALL, ReceivedFrame, read_frame};
use super::queue::FrameQueue;
use super::writer::Writer;
use crate::constants;
use crate::transport::{BoxedStream, ByteReader, Listener};
use crate::wire::{Body, Frame, Handshake};
use std::sync::Arc;
use tokio::io::BufReader;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// The remote end of an accepted connection.
#[derive(Clone)]
pub struct Peer {
    /// The handshake that the remote end sent.
    pub handshake: Arc<Handshake>,
    frames: FrameQueue,
}

impl Peer {
    /// Sends a message that is not an answer; it is lost if the connection breaks.
    ///
    /// # Errors
    ///
    /// [`LinkError::TooLarge`], or [`LinkError::NotConnected`] if the connection has ended or its queue is full.
    pub fn push(&self, body: Body) -> Result<(), LinkError> {
        let frame = frame::request(NO_CALL, body)?;
        self.frames.try_send(frame)
    }

    /// Number of frames that are queued because the remote end reads slowly.
    ///
    /// A sender that only needs to deliver the newest state waits until the queue is empty, so that no outdated
    /// messages accumulate for a slow reader.
    pub fn backlog(&self) -> usize {
        self.frames.len()
    }

    /// Whether the connection has ended, so that nothing can be pushed any more.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

/// Handles connections and messages on the listening side.
pub trait PeerHandler: Send + Sync + 'static {
    /// Called when a peer has sent its handshake.
    fn connected(self: &Arc<Self>, peer: &Peer);
    /// Called when the connection of a peer has ended.
    fn disconnected(self: &Arc<Self>, peer: &Peer);
    /// Returns the answer to a message; `None` if it needs none.
    fn answer(
        self: &Arc<Self>,
        peer: &Peer,
        body: Body,
    ) -> impl std::future::Future<Output = Option<Body>> + Send;
    /// Budgets of the frames of all links of this process.
    fn link_budgets(&self) -> LinkBudgets;
    /// Called when a message was dropped, or a connection was closed because of an invalid frame.
    fn message_rejected(self: &Arc<Self>, error: &LinkError);
}

/// Serves all connections to the listener until the future is dropped.
pub async fn serve_peers<H: PeerHandler>(mut listener: Box<dyn Listener>, handler: Arc<H>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok(stream) = listener.accept().await else {
            tokio::time::sleep(constants::RECONNECT_BACKOFF).await;
            continue;
        };
        connections.spawn(serve_peer(stream, handler.clone()));
    }
}

pub(super) async fn serve_peer<H: PeerHandler>(stream: BoxedStream, handler: Arc<H>) {
    let (reader, writer) = stream.into_halves();
    let mut reader = frame::buffered(reader);
    let budgets = handler.link_budgets();
    let first = read_frame(&mut reader, constants::HANDSHAKE_MAX_BYTES, &budgets.received);
    let Ok(Ok(first)) = tokio::time::timeout(constants::TCP_USER_TIMEOUT, first).await else {
        return;
    };
    let Some(Body::Handshake(handshake)) = first.frame.body else { return };
    let (frames, outgoing) = FrameQueue::new(&budgets);
    let writer = Writer::start(writer, outgoing, budgets.queued.clone());
    let peer = Peer { handshake: Arc::new(handshake), frames };
    handler.connected(&peer);
    answer_messages(&mut reader, &handler, &peer, &budgets).await;
    drop(writer);
    handler.disconnected(&peer);
}

/// Answers messages until the connection ends.
async fn answer_messages<H: PeerHandler>(
    reader: &mut BufReader<ByteReader>,
    handler: &Arc<H>,
    peer: &Peer,
    budgets: &LinkBudgets,
) {
    let permits = Arc::new(Semaphore::new(constants::MESSAGES_IN_FLIGHT));
    loop {
        // The semaphore is never closed.
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let received = read_frame(reader, constants::FRAME_MAX_BYTES, &budgets.received).await;
        let (message, reservation) = match received {
            Ok(ReceivedFrame { frame, reservation }) => (message(frame), reservation),
            Err(LinkError::Io(_)) => return,
            Err(error) => return handler.message_rejected(&error),
        };
        match message {
            // Each message has its own task, so that a slow answer delays no other; the task needs no supervision.
            Ok((call, body)) => {
                let answering = answer(handler.clone(), peer.clone(), call, body);
                tokio::spawn(async move {
                    answering.await;
                    drop((permit, reservation));
                });
            }
            Err(error) => handler.message_rejected(&error),
        }
    }
}

/// Returns the number and body of a message. It must not be an answer, because this side sends no calls.
fn message(frame: Frame) -> Result<(u64, Body), LinkError> {
    if frame.answer {
        return Err(LinkError::UnexpectedAnswer);
    }
    let body = frame.body.ok_or(LinkError::UnknownKind)?;
    Ok((frame.call, body))
}

async fn answer<H: PeerHandler>(handler: Arc<H>, peer: Peer, call: u64, body: Body) {
    let Some(body) = handler.answer(&peer, body).await else { return };
    if call == NO_CALL {
        return;
    }
    match frame::response(call, body) {
        // An answer that cannot be queued is lost with its connection; the caller's timeout covers this.
        Ok(frame) => {
            let _ = peer.frames.try_send(frame);
        }
        Err(error) => handler.message_rejected(&error),
    }
}
