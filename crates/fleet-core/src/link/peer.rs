//! The side of a link that listens: whoever connects introduces itself, sends messages and gets answers and pushes.

use super::LinkError;
use super::frame::{self, NO_CALL, read_frame};
use super::writer::Writer;
use crate::constants;
use crate::transport::{BoxedStream, ByteReader, Listener};
use crate::wire::{Body, Frame, Handshake};
use std::sync::Arc;
use tokio::io::BufReader;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// The other end of a connection, as the side that accepted it sees it.
#[derive(Clone)]
pub struct Peer {
    /// How it introduced itself.
    pub handshake: Arc<Handshake>,
    frames: mpsc::Sender<Frame>,
}

impl Peer {
    /// Sends to the other end what it hasn't asked for; it is lost where the connection breaks.
    ///
    /// # Errors
    ///
    /// [`LinkError::TooLarge`], or [`LinkError::Down`] where the connection has ended or its backlog is full.
    pub fn push(&self, body: Body) -> Result<(), LinkError> {
        let frame = frame::request(NO_CALL, body)?;
        self.frames.try_send(frame).map_err(|_| LinkError::Down)
    }

    /// How many frames wait because the other end reads slowly.
    ///
    /// A sender that only has the newest state to send waits until they have gone, so that nothing outdated piles up
    /// here for a slow reader.
    pub fn backlog(&self) -> usize {
        self.frames.max_capacity() - self.frames.capacity()
    }

    /// Whether nothing can be pushed any more.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

/// What the listening side does with connections and messages.
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
    let first = tokio::time::timeout(constants::TCP_USER_TIMEOUT, read_frame(&mut reader)).await;
    let Ok(Ok(Frame { body: Some(Body::Handshake(handshake)), .. })) = first else { return };
    let (frames, outgoing) = mpsc::channel(constants::LINK_BACKLOG);
    let writer = Writer::start(writer, outgoing);
    let peer = Peer { handshake: Arc::new(handshake), frames };
    handler.connected(&peer);
    answer_messages(&mut reader, &handler, &peer).await;
    drop(writer);
    handler.disconnected(&peer);
}

/// Answers until the connection ends.
async fn answer_messages<H: PeerHandler>(
    reader: &mut BufReader<ByteReader>,
    handler: &Arc<H>,
    peer: &Peer,
) {
    loop {
        let message = match read_frame(reader).await {
            Ok(frame) => message(frame),
            Err(LinkError::Socket(_)) => return,
            Err(error) => return handler.message_rejected(&error),
        };
        match message {
            // A task of its own for each message, so that a slow answer delays no other; it ends by itself.
            Ok((call, body)) => {
                drop(tokio::spawn(answer(handler.clone(), peer.clone(), call, body)))
            }
            Err(error) => handler.message_rejected(&error),
        }
    }
}

/// The number and body of a message of the other side, which must be no answer: nothing was asked.
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
        // An answer that can't be queued is lost with its connection: the caller's time-out covers it.
        Ok(frame) => drop(peer.frames.try_send(frame)),
        Err(error) => handler.message_rejected(&error),
    }
}
