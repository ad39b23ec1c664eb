//! Tests of `link` over in-memory streams: an answer is delivered to its call or to none.

use super::frame::encode;
use super::peer::serve_peer;
use super::*;
use crate::constants;
use crate::transport::{BoxFuture, TransportError};
use crate::transport::{BoxedStream, Listener, Transport};
use crate::wire::{Body, Frame};
use crate::wire::{
    Empty, Handshake, LeaseResponse, RegisterRequest, RegisterResponse, RouterHeartbeat,
};
use prost::Message;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::mpsc;

/// Passes the remote end of each connection to the test.
struct InMemoryTransport(mpsc::UnboundedSender<DuplexStream>);

impl Transport for InMemoryTransport {
    fn connect(
        &self,
        _local_ip: Ipv4Addr,
        _remote_addr: SocketAddr,
        _limit: Duration,
    ) -> BoxFuture<'_, Result<BoxedStream, TransportError>> {
        Box::pin(async move {
            let (local, remote) = tokio::io::duplex(1 << 16);
            self.0.send(remote).map_err(|_| TransportError::Timeout)?;
            Ok(Box::new(local) as BoxedStream)
        })
    }

    fn listen(&self, _addr: SocketAddr) -> std::io::Result<Box<dyn Listener>> {
        Err(std::io::ErrorKind::Unsupported.into())
    }
}

const LIMIT: Duration = Duration::from_secs(10);

fn node() -> crate::node::Node {
    let text = "nodeName=n1\nip=127.0.0.1\nzone=z\nportRange=1,9\n";
    let settings = crate::settings::Settings::parse(text).unwrap();
    crate::node::Node::seeded(&settings, crate::node::Role::Controller, 1)
}

fn register_response(known: bool) -> Body {
    Body::RegisterResponse(RegisterResponse { is_known: known, register: None })
}

fn frame(call: u64, answer: bool, body: Option<Body>) -> Vec<u8> {
    let mut out = Vec::new();
    encode(&Frame { call, answer, body }, &mut out);
    out
}

/// A link and the remote ends of its connections.
fn link() -> (Arc<Link>, mpsc::UnboundedReceiver<DuplexStream>) {
    let (remote_sender, remote_ends) = mpsc::unbounded_channel();
    let link = Link::maintain_over(
        Arc::new(InMemoryTransport(remote_sender)),
        &node(),
        "10.0.0.2:1".parse().unwrap(),
        None,
    );
    (link, remote_ends)
}

async fn accept_remote(remote_ends: &mut mpsc::UnboundedReceiver<DuplexStream>) -> DuplexStream {
    let mut remote = remote_ends.recv().await.unwrap();
    assert!(matches!(receive_frame(&mut remote).await.body, Some(Body::Handshake(_))));
    remote
}

async fn receive_frame(remote: &mut DuplexStream) -> Frame {
    let len = remote.read_u32().await.unwrap() as usize;
    let mut buffer = vec![0; len];
    remote.read_exact(&mut buffer).await.unwrap();
    Frame::decode(&buffer[..]).unwrap()
}

type Call = tokio::task::JoinHandle<Result<Body, LinkError>>;

/// Starts a call; returns it with its number.
async fn call(link: &Arc<Link>, remote: &mut DuplexStream) -> (Call, u64) {
    while !link.is_up() {
        tokio::task::yield_now().await;
    }
    let caller_link = link.clone();
    let call = tokio::spawn(async move {
        caller_link.call(Body::RegisterRequest(RegisterRequest::default()), LIMIT).await
    });
    let request = receive_frame(remote).await;
    assert!(!request.answer && matches!(request.body, Some(Body::RegisterRequest(_))));
    (call, request.call)
}

#[tokio::test(start_paused = true)]
async fn answers_in_any_order_reach_their_own_calls() {
    let (link, mut remote_ends) = link();
    let mut remote = accept_remote(&mut remote_ends).await;
    let (first, first_number) = call(&link, &mut remote).await;
    let (second, second_number) = call(&link, &mut remote).await;
    assert_ne!(first_number, second_number);
    remote.write_all(&frame(second_number, true, Some(register_response(true)))).await.unwrap();
    remote.write_all(&frame(first_number, true, Some(register_response(false)))).await.unwrap();
    assert_eq!(second.await.unwrap(), Ok(register_response(true)));
    assert_eq!(first.await.unwrap(), Ok(register_response(false)));
}

/// The remote side answers a call of the previous connection on the new one.
#[tokio::test(start_paused = true)]
async fn answer_to_a_call_of_a_previous_connection_is_discarded() {
    let (link, mut remote_ends) = link();
    let mut remote = accept_remote(&mut remote_ends).await;
    let (lost, lost_number) = call(&link, &mut remote).await;
    drop(remote);
    assert_eq!(lost.await.unwrap(), Err(LinkError::NotConnected));
    let mut remote = accept_remote(&mut remote_ends).await;
    let (next, next_number) = call(&link, &mut remote).await;
    assert!(next_number > lost_number);
    remote.write_all(&frame(lost_number, true, Some(register_response(false)))).await.unwrap();
    remote.write_all(&frame(next_number, true, Some(register_response(true)))).await.unwrap();
    assert_eq!(next.await.unwrap(), Ok(register_response(true)));
}

/// A caller is notified immediately when its connection breaks, before its timeout.
#[tokio::test(start_paused = true)]
async fn pending_calls_fail_when_the_connection_closes() {
    let (link, mut remote_ends) = link();
    let mut remote = accept_remote(&mut remote_ends).await;
    let (lost, _) = call(&link, &mut remote).await;
    let before = tokio::time::Instant::now();
    drop(remote);
    assert_eq!(lost.await.unwrap(), Err(LinkError::NotConnected));
    assert!(before.elapsed() < LIMIT / 2, "{:?}", before.elapsed());
}

#[tokio::test(start_paused = true)]
async fn answer_after_the_timeout_is_discarded() {
    let (link, mut remote_ends) = link();
    let mut remote = accept_remote(&mut remote_ends).await;
    let (late, late_number) = call(&link, &mut remote).await;
    assert_eq!(late.await.unwrap(), Err(LinkError::Timeout));
    let (next, next_number) = call(&link, &mut remote).await;
    remote.write_all(&frame(late_number, true, Some(register_response(false)))).await.unwrap();
    remote.write_all(&frame(next_number, true, Some(register_response(true)))).await.unwrap();
    assert_eq!(next.await.unwrap(), Ok(register_response(true)));
}

#[tokio::test(start_paused = true)]
async fn answer_of_an_unexpected_kind_is_an_error() {
    for body in [
        Some(Body::LeaseResponse(LeaseResponse { granted: true })),
        Some(Body::Empty(Empty {})),
        None,
    ] {
        let (link, mut remote_ends) = link();
        let mut remote = accept_remote(&mut remote_ends).await;
        let (call, number) = call(&link, &mut remote).await;
        remote.write_all(&frame(number, true, body)).await.unwrap();
        assert_eq!(call.await.unwrap(), Err(LinkError::UnexpectedAnswer));
        assert_eq!(link.rejected_count(), 1);
        assert!(link.is_up());
    }
}

/// An invalid frame closes the connection; the next connection works normally.
#[tokio::test(start_paused = true)]
async fn malformed_frames_end_the_connection_and_its_calls() {
    let oversized = ((constants::FRAME_MAX_BYTES + 1) as u32).to_be_bytes().to_vec();
    let undecodable = [&4u32.to_be_bytes()[..], &[0xff; 4]].concat();
    let complete = frame(1, true, Some(register_response(true)));
    let truncated = complete[..complete.len() - 1].to_vec();
    for (bytes, rejected) in [(oversized, 1), (undecodable, 1), (truncated, 0)] {
        let (link, mut remote_ends) = link();
        let mut remote = accept_remote(&mut remote_ends).await;
        let (lost, _) = call(&link, &mut remote).await;
        remote.write_all(&bytes).await.unwrap();
        remote.shutdown().await.unwrap();
        assert_eq!(lost.await.unwrap(), Err(LinkError::NotConnected));
        assert_eq!(link.rejected_count(), rejected);
        let mut remote = accept_remote(&mut remote_ends).await;
        let (next, number) = call(&link, &mut remote).await;
        remote.write_all(&frame(number, true, Some(register_response(true)))).await.unwrap();
        assert_eq!(next.await.unwrap(), Ok(register_response(true)));
    }
}

/// A frame that the remote side would reject is not sent, and the connection stays open.
#[tokio::test(start_paused = true)]
async fn oversized_messages_are_not_sent() {
    let (link, mut remote_ends) = link();
    let mut remote = accept_remote(&mut remote_ends).await;
    let (waiting, number) = call(&link, &mut remote).await;
    let large = RegisterRequest { key: "k".repeat(constants::FRAME_MAX_BYTES) };
    let result = link.call(Body::RegisterRequest(large.clone()), LIMIT).await;
    assert!(matches!(result, Err(LinkError::TooLarge(_))), "{result:?}");
    assert!(matches!(link.notify(Body::RegisterRequest(large)), Err(LinkError::TooLarge(_))));
    remote.write_all(&frame(number, true, Some(register_response(true)))).await.unwrap();
    assert_eq!(waiting.await.unwrap(), Ok(register_response(true)));
}

/// Records the messages that a handler received and the errors of its connections.
#[derive(Default)]
struct RecordingHandler {
    bodies: parking_lot::Mutex<Vec<Body>>,
    errors: parking_lot::Mutex<Vec<LinkError>>,
}

impl PeerHandler for RecordingHandler {
    fn connected(self: &Arc<Self>, _peer: &Peer) {}
    fn disconnected(self: &Arc<Self>, _peer: &Peer) {}
    async fn answer(self: &Arc<Self>, _peer: &Peer, body: Body) -> Option<Body> {
        let large = matches!(body, Body::RegisterRequest(_));
        self.bodies.lock().push(body);
        if large {
            let key = "k".repeat(constants::FRAME_MAX_BYTES);
            return Some(Body::RegisterRequest(RegisterRequest { key }));
        }
        Some(Body::Acknowledged(Empty {}))
    }
    fn link_budgets(&self) -> LinkBudgets {
        LinkBudgets::default()
    }

    fn message_rejected(self: &Arc<Self>, error: &LinkError) {
        self.errors.lock().push(error.clone());
    }
}

fn heartbeat() -> Body {
    Body::RouterHeartbeat(RouterHeartbeat::default())
}

/// Sends a valid handshake and these bytes; returns what the handler received.
async fn serve_bytes(bytes: &[u8]) -> Arc<RecordingHandler> {
    let received = Arc::new(RecordingHandler::default());
    let (local, mut remote) = tokio::io::duplex(1 << 16);
    let serving = tokio::spawn(serve_peer(Box::new(local), received.clone()));
    remote.write_all(&frame(0, false, Some(Body::Handshake(Handshake::default())))).await.unwrap();
    remote.write_all(bytes).await.unwrap();
    remote.shutdown().await.unwrap();
    serving.await.unwrap();
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
    received
}

#[tokio::test(start_paused = true)]
async fn handler_reports_frames_that_are_not_calls() {
    let call = frame(1, false, Some(heartbeat()));
    let undecodable = [&3u32.to_be_bytes()[..], &[0xff; 3]].concat();
    let oversized = u32::MAX.to_be_bytes().to_vec();
    let unknown_kind = [&4u32.to_be_bytes()[..], &[0xaa, 0x3f, 0x01, 0x00]].concat();
    let table: Vec<(&str, Vec<u8>, usize, Vec<LinkError>)> = vec![
        ("call", call.clone(), 1, vec![]),
        (
            "answer to nothing",
            frame(9, true, Some(heartbeat())),
            0,
            vec![LinkError::UnexpectedAnswer],
        ),
        ("unknown kind", unknown_kind, 0, vec![LinkError::UnknownKind]),
        ("undecodable", undecodable, 0, vec![LinkError::Malformed]),
        ("oversized", oversized, 0, vec![LinkError::TooLarge(u32::MAX as usize)]),
    ];
    for (what, bytes, calls, errors) in table {
        let received = serve_bytes(&[bytes, call.clone()].concat()).await;
        let stays_open = !matches!(what, "undecodable" | "oversized");
        assert_eq!(received.bodies.lock().len(), calls + usize::from(stays_open), "{what}");
        assert_eq!(*received.errors.lock(), errors, "{what}");
    }
    let truncated = serve_bytes(&call[..call.len() - 1]).await;
    assert!(truncated.bodies.lock().is_empty());
}

/// An answer for which the caller would close the connection is not sent.
#[tokio::test(start_paused = true)]
async fn oversized_answers_are_not_sent() {
    let received =
        serve_bytes(&frame(1, false, Some(Body::RegisterRequest(RegisterRequest::default()))))
            .await;
    assert_eq!(received.bodies.lock().len(), 1);
    assert!(matches!(received.errors.lock()[..], [LinkError::TooLarge(_)]));
}

proptest::proptest! {
    /// For any input, the handler does not panic and receives only what was sent as a call.
    #[test]
    fn random_bytes_yield_no_more_calls_than_were_sent(bytes in proptest::collection::vec(0u8..4, 0..64)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let received = runtime.block_on(serve_bytes(&bytes));
        let received = received.bodies.lock();
        proptest::prop_assert!(received.len() * 4 <= bytes.len());
    }
}
