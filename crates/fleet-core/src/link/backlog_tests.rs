//! Tests of the limits on what `link` queues for a slow reader.

use super::frame::{encode, read_frame};
use super::peer::serve_peer;
use super::*;
use crate::constants;
use crate::transport::ByteReader;
use crate::wire::{Body, Frame};
use crate::wire::{FleetUpdate, Handshake, LoadReport};
use std::sync::Arc;
use tokio::io::AsyncWriteExt;

const FRAMES: usize = 100;

/// A handler that reports its first peer once it is connected.
struct Shows(parking_lot::Mutex<Option<tokio::sync::oneshot::Sender<Peer>>>);

impl PeerHandler for Shows {
    fn connected(self: &Arc<Self>, peer: &Peer) {
        if let Some(shown) = self.0.lock().take() {
            let _ = shown.send(peer.clone());
        }
    }

    fn disconnected(self: &Arc<Self>, _: &Peer) {}

    async fn answer(self: &Arc<Self>, _: &Peer, _: Body) -> Option<Body> {
        None
    }

    fn message_rejected(self: &Arc<Self>, _: &LinkError) {}
}

/// Runs all tasks until they block on each other.
async fn settle() {
    for _ in 0..FRAMES * 10 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn what_a_slow_reader_leaves_unread_is_seen_and_not_taken_up_twice() {
    let (near, far) = tokio::io::duplex(4096);
    let (shown, peer) = tokio::sync::oneshot::channel();
    let host = Arc::new(Shows(parking_lot::Mutex::new(Some(shown))));
    let serving = tokio::spawn(serve_peer(Box::new(near), host));
    let (reader, mut writer) = tokio::io::split(far);
    let mut handshake = Vec::new();
    let first = Frame { call: 0, answer: false, body: Some(Body::Handshake(Handshake::default())) };
    encode(&first, &mut handshake);
    writer.write_all(&handshake).await.unwrap();
    let peer = peer.await.unwrap();
    assert_eq!(peer.backlog(), 0);

    let unread = vec![u32::MAX; constants::WRITE_BATCH / 8];
    let large = Body::LoadReport(LoadReport { unread, ..Default::default() });
    for _ in 0..FRAMES {
        peer.push(large.clone()).unwrap();
    }
    settle().await;
    assert!(peer.backlog() >= FRAMES - 3, "only {} wait", peer.backlog());

    let mut reader = tokio::io::BufReader::new(Box::new(reader) as ByteReader);
    for _ in 0..FRAMES {
        assert!(matches!(read_frame(&mut reader).await.unwrap().body, Some(Body::LoadReport(_))));
    }
    peer.push(Body::FleetUpdate(FleetUpdate::default())).unwrap();
    assert!(matches!(read_frame(&mut reader).await.unwrap().body, Some(Body::FleetUpdate(_))));
    assert_eq!(peer.backlog(), 0);
    serving.abort();
}
