//! Tests of what peers make a process keep: frames that are received, and frames that wait for a slow reader.

use super::budgets::LinkBudgets;
use super::frame::{encode, read_frame};
use super::peer::serve_peer;
use super::*;
use crate::byte_budget::ByteBudget;
use crate::constants;
use crate::transport::ByteReader;
use crate::wire::{Body, Empty, Frame, Handshake, RegisterRequest};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

/// Counts the messages that are being handled, and keeps the peers. Handling a message never ends.
#[derive(Default)]
struct HangingHandler {
    budgets: LinkBudgets,
    handled: AtomicUsize,
    peers: parking_lot::Mutex<Vec<Peer>>,
}

impl PeerHandler for HangingHandler {
    fn connected(self: &Arc<Self>, peer: &Peer) {
        self.peers.lock().push(peer.clone());
    }

    fn disconnected(self: &Arc<Self>, _: &Peer) {}

    async fn answer(self: &Arc<Self>, _: &Peer, _: Body) -> Option<Body> {
        self.handled.fetch_add(1, Ordering::Relaxed);
        std::future::pending().await
    }

    fn link_budgets(&self) -> LinkBudgets {
        self.budgets.clone()
    }

    fn message_rejected(self: &Arc<Self>, _: &LinkError) {}
}

fn encoded(body: Body) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(&Frame { call: 1, answer: false, body: Some(body) }, &mut bytes);
    bytes
}

fn message(length: usize) -> Body {
    Body::RegisterRequest(RegisterRequest { key: "k".repeat(length) })
}

/// Connects to the handler; returns the remote end after its handshake.
async fn connect(handler: &Arc<HangingHandler>) -> DuplexStream {
    let (local, mut remote) = tokio::io::duplex(1 << 16);
    tokio::spawn(serve_peer(Box::new(local), handler.clone()));
    remote.write_all(&encoded(Body::Handshake(Handshake::default()))).await.unwrap();
    run_pending_tasks().await;
    remote
}

async fn run_pending_tasks() {
    for _ in 0..1000 {
        tokio::task::yield_now().await;
    }
}

async fn is_closed(remote: &mut DuplexStream) -> bool {
    matches!(tokio::time::timeout(Duration::from_millis(1), remote.read(&mut [0])).await, Ok(Ok(0)))
}

/// Peers that announce large frames and send nothing of them hold others up for a while only.
#[tokio::test(start_paused = true)]
async fn announced_frames_are_bounded_over_all_links_and_in_time() {
    let handler = Arc::<HangingHandler>::default();
    let received = handler.budgets.received.clone();
    let mut silent = Vec::new();
    for _ in 0..4 {
        let mut remote = connect(&handler).await;
        remote.write_all(&(constants::FRAME_MAX_BYTES as u32).to_be_bytes()).await.unwrap();
        silent.push(remote);
    }
    run_pending_tasks().await;
    assert_eq!(received.usage().reserved, 2 * constants::FRAME_MAX_BYTES);
    let mut small = connect(&handler).await;
    small.write_all(&encoded(message(100))).await.unwrap();
    run_pending_tasks().await;
    assert_eq!(handler.handled.load(Ordering::Relaxed), 1, "small messages need no budget");
    let timeout = constants::frame_timeout(constants::FRAME_MAX_BYTES);
    tokio::time::sleep(2 * timeout + Duration::from_secs(1)).await;
    assert_eq!(received.usage().reserved, 0);
    for remote in &mut silent {
        assert!(is_closed(remote).await);
    }
}

#[tokio::test(start_paused = true)]
async fn handshake_that_is_too_large_ends_the_connection() {
    let handler = Arc::<HangingHandler>::default();
    let (local, mut remote) = tokio::io::duplex(1 << 16);
    tokio::spawn(serve_peer(Box::new(local), handler.clone()));
    let length = constants::HANDSHAKE_MAX_BYTES as u32 + 1;
    remote.write_all(&length.to_be_bytes()).await.unwrap();
    run_pending_tasks().await;
    assert!(is_closed(&mut remote).await);
    assert!(handler.peers.lock().is_empty());
}

/// A large message takes its part of the budget until it is handled; of small ones, only so many are handled at once.
#[tokio::test(start_paused = true)]
async fn messages_that_are_being_handled_are_bounded() {
    let handler = Arc::<HangingHandler>::default();
    let mut remote = connect(&handler).await;
    let large = encoded(message(1 << 20));
    remote.write_all(&large).await.unwrap();
    run_pending_tasks().await;
    assert!(handler.budgets.received.usage().reserved > 1 << 20);
    let small = encoded(message(10)).repeat(2 * constants::MESSAGES_IN_FLIGHT);
    remote.write_all(&small).await.unwrap();
    run_pending_tasks().await;
    assert_eq!(handler.handled.load(Ordering::Relaxed), constants::MESSAGES_IN_FLIGHT);
}

/// What waits for slow readers is bounded for each and over all, and each other reader may have its minimum wait.
#[tokio::test(start_paused = true)]
async fn frames_that_wait_for_slow_readers_are_bounded_and_leave_room_for_others() {
    const LENGTH: usize = 1 << 20;
    let handler = Arc::<HangingHandler>::default();
    let mut remotes = Vec::new();
    for _ in 0..4 {
        remotes.push(connect(&handler).await);
    }
    let peers = handler.peers.lock().clone();
    let push_all = |peer: &Peer| (0..100).filter(|_| peer.push(message(LENGTH)).is_ok()).count();
    let pushed: Vec<usize> = peers[..3].iter().map(push_all).collect();
    assert!(pushed[0] * LENGTH <= constants::LINK_QUEUE_BYTES, "{pushed:?}");
    assert!(pushed[0] * LENGTH > constants::LINK_QUEUE_BYTES / 2, "{pushed:?}");
    assert!(handler.budgets.queued.usage().reserved <= constants::QUEUED_FRAMES_BUDGET_BYTES);
    assert!(pushed[2] < pushed[0], "the budget of all links is used up: {pushed:?}");
    let other = &peers[3];
    assert!(other.push(message(LENGTH)).is_err());
    for _ in 0..10 {
        assert!(other.push(message(1000)).is_ok());
    }
    let mut reader = tokio::io::BufReader::new(Box::new(remotes.pop().unwrap()) as ByteReader);
    let budget = ByteBudget::new(usize::MAX);
    for _ in 0..10 {
        let frame = read_frame(&mut reader, constants::FRAME_MAX_BYTES, &budget).await;
        assert!(matches!(frame.unwrap().frame.body, Some(Body::RegisterRequest(_))));
    }
}

/// A reader that stands still within a frame is disconnected, and what waited for it is given back.
#[tokio::test(start_paused = true)]
async fn reader_that_makes_no_progress_is_disconnected() {
    let handler = Arc::<HangingHandler>::default();
    let _remote = connect(&handler).await;
    let peer = handler.peers.lock()[0].clone();
    peer.push(message(1 << 20)).unwrap();
    peer.push(Body::Acknowledged(Empty {})).unwrap();
    run_pending_tasks().await;
    assert!(!peer.is_closed());
    tokio::time::sleep(constants::frame_timeout(2 << 20)).await;
    assert!(peer.is_closed());
    drop(peer);
    assert_eq!(handler.budgets.queued.usage().reserved, 0);
}
