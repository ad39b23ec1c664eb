//! Tests of the limits on what `link` queues for a slow reader.

use super::frame::{encode, read_frame};
use super::peer::serve_peer;
use super::*;
use crate::byte_budget::ByteBudget;
use crate::constants;
use crate::transport::ByteReader;
use crate::wire::{Body, Frame};
use crate::wire::{FleetUpdate, Handshake, LoadReport};
use std::sync::Arc;
use tokio::io::AsyncWriteExt;

const FRAMES: usize = 100;

/// A handler that reports its first peer once it is connected.
struct PeerReporter(parking_lot::Mutex<Option<tokio::sync::oneshot::Sender<Peer>>>);

impl PeerHandler for PeerReporter {
    fn connected(self: &Arc<Self>, peer: &Peer) {
        if let Some(peer_sender) = self.0.lock().take() {
            let _ = peer_sender.send(peer.clone());
        }
    }

    fn disconnected(self: &Arc<Self>, _: &Peer) {}

    async fn answer(self: &Arc<Self>, _: &Peer, _: Body) -> Option<Body> {
        None
    }

    fn link_budgets(&self) -> LinkBudgets {
        LinkBudgets::default()
    }

    fn message_rejected(self: &Arc<Self>, _: &LinkError) {}
}

/// The body of the next frame.
async fn next(reader: &mut tokio::io::BufReader<ByteReader>) -> Option<Body> {
    let budget = ByteBudget::new(usize::MAX);
    read_frame(reader, constants::FRAME_MAX_BYTES, &budget).await.unwrap().frame.body
}

/// Runs all tasks until they block on each other.
async fn run_pending_tasks() {
    for _ in 0..FRAMES * 10 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn backlog_of_a_slow_reader_is_visible_and_delivered_once() {
    let (local, remote) = tokio::io::duplex(4096);
    let (peer_sender, peer) = tokio::sync::oneshot::channel();
    let handler = Arc::new(PeerReporter(parking_lot::Mutex::new(Some(peer_sender))));
    let serving = tokio::spawn(serve_peer(Box::new(local), handler));
    let (reader, mut writer) = tokio::io::split(remote);
    let mut handshake = Vec::new();
    let first = Frame { call: 0, answer: false, body: Some(Body::Handshake(Handshake::default())) };
    encode(&first, &mut handshake);
    writer.write_all(&handshake).await.unwrap();
    let peer = peer.await.unwrap();
    assert_eq!(peer.backlog(), 0);

    let unread = vec![u32::MAX; constants::WRITE_BATCH_BYTES / 8];
    let large =
        Body::LoadReport(LoadReport { pending_prefill_units: unread, ..Default::default() });
    for _ in 0..FRAMES {
        peer.push(large.clone()).unwrap();
    }
    run_pending_tasks().await;
    assert!(peer.backlog() >= FRAMES - 3, "only {} wait", peer.backlog());

    let mut reader = tokio::io::BufReader::new(Box::new(reader) as ByteReader);
    for _ in 0..FRAMES {
        assert!(matches!(next(&mut reader).await, Some(Body::LoadReport(_))));
    }
    peer.push(Body::FleetUpdate(FleetUpdate::default())).unwrap();
    assert!(matches!(next(&mut reader).await, Some(Body::FleetUpdate(_))));
    assert_eq!(peer.backlog(), 0);
    serving.abort();
}
