//! Tests of `recovery`: holders behind a line of 10 Mbit/s, time paused.

use super::super::state_transfer::StateTransfers;
use super::*;
use crate::consensus::acceptor::Acceptor;
use crate::storage::format::State;
use fleet_core::wire::{Accept, Member, Membership};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Bytes a millisecond of 10 Mbit/s, and the round trip beside.
const LINE_BYTES: u64 = 1250;
const ROUND_TRIP: Duration = Duration::from_millis(2);

fn ip(i: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, i)
}

fn membership() -> Membership {
    let members = (1..=3).map(|i| Member { ip: ip(i).to_string(), ..Default::default() }).collect();
    Membership { epoch: 1, members }
}

fn voter(i: u8) -> Acceptor {
    let mut acceptor = Acceptor::new(ip(i), State::default());
    acceptor.bootstrap(&membership()).unwrap();
    acceptor
}

fn write(acceptor: &mut Acceptor, seq: u64, size: usize) {
    let ballot = Ballot { n: 1, node: 1, seq };
    let value = vec![seq as u8; size].into();
    let accept = Accept {
        key: "config".into(),
        membership: 1,
        ballot,
        value,
        recovery_epoch: 10,
        same_as: None,
    };
    assert!(acceptor.accept(&accept).answer.ok);
}

/// Gives `remaining` pieces, then is gone.
struct Slow<'a> {
    acceptor: &'a parking_lot::Mutex<Acceptor>,
    state_transfers: StateTransfers,
    remaining: std::sync::atomic::AtomicUsize,
    sent: std::sync::atomic::AtomicU64,
    rewrites: bool,
}

impl Slow<'_> {
    fn of(acceptor: &parking_lot::Mutex<Acceptor>, remaining: usize, rewrites: bool) -> Slow<'_> {
        Slow {
            acceptor,
            state_transfers: StateTransfers::default(),
            remaining: remaining.into(),
            sent: 0.into(),
            rewrites,
        }
    }

    fn sent(&self) -> u64 {
        self.sent.load(std::sync::atomic::Ordering::Relaxed)
    }
}

impl ChunkSource for Slow<'_> {
    async fn chunk(&self, request: ValueChunkRequest) -> Option<ValueChunk> {
        use std::sync::atomic::Ordering::Relaxed;
        self.remaining.fetch_update(Relaxed, Relaxed, |remaining| remaining.checked_sub(1)).ok()?;
        let chunk = {
            let mut acceptor = self.acceptor.lock();
            let chunk =
                self.state_transfers.chunk("reader", &request, acceptor.register(&request.key));
            if self.rewrites {
                let seq = acceptor.register("config").map_or(0, |r| r.accepted.seq);
                write(&mut acceptor, seq + 1, chunk.total as usize);
            }
            chunk
        };
        self.sent.fetch_add(chunk.bytes.len() as u64, Relaxed);
        let line = Duration::from_millis(chunk.bytes.len() as u64 / LINE_BYTES);
        assert!(line + ROUND_TRIP < constants::CHUNK_TIMEOUT);
        tokio::time::sleep(ROUND_TRIP + line).await;
        Some(chunk)
    }
}

/// A member without a disk reads back from two; how long it took, and how many bytes came.
async fn begin_recovery(size: usize, changes: u64, rewrites: bool) -> (Duration, u64) {
    let mut holders = [voter(1), voter(2)];
    for seq in 1..=changes {
        holders.iter_mut().for_each(|holder| write(holder, seq, size));
    }
    let mut answers: Vec<(u64, BallotReport)> = holders
        .iter_mut()
        .zip([1, 2])
        .map(|(h, id)| (id, h.begin_state_transfer(10).answer))
        .collect();
    let ballots: usize = answers.iter().map(|(_, p)| prost::Message::encoded_len(p)).sum();
    assert!(ballots < 1000, "ballots come without the values");
    let [first, _] = holders.map(parking_lot::Mutex::new);
    let slow = Slow::of(&first, usize::MAX, rewrites);
    let mut catch_up = CatchUp::default();
    let began = tokio::time::Instant::now();
    for (key, (ballot, _)) in latest_ballots(&answers) {
        assert!(catch_up.fetch(&key, ballot, std::slice::from_ref(&slow)).await);
    }
    let took = began.elapsed();
    let mut answers: Vec<BallotReport> = answers.drain(..).map(|(_, p)| p).collect();
    catch_up.fill(&mut answers);
    let mut lost = Acceptor::new(ip(3), State::default());
    lost.adopt(&membership());
    lost.recover(10, &answers).unwrap();
    let register = lost.register("config").unwrap();
    assert!(lost.votes() && register.accepted.seq >= changes);
    assert_eq!(register.value.len(), size);
    assert!(register.value.iter().all(|b| u64::from(*b) == register.accepted.seq % 256));
    (took, slow.sent())
}

#[tokio::test(start_paused = true)]
async fn time_follows_the_size_and_not_the_number_of_changes() {
    for (size, most) in [(10_000, 20), (1_000_000, 900), (6_000_000, 5_200)] {
        for changes in [1, 100, 1_000] {
            let (took, bytes) = begin_recovery(size, changes, false).await;
            println!("{size} bytes, {changes} changes: {took:?}");
            assert_eq!(bytes, size as u64, "each value once");
            assert!(took <= Duration::from_millis(most), "{size} {changes} {took:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_value_that_is_replaced_with_each_piece_is_read_all_the_same() {
    let (took, bytes) = begin_recovery(1_000_000, 5, true).await;
    assert_eq!(bytes, 1_000_000);
    assert!(took <= Duration::from_millis(900));
}

#[tokio::test(start_paused = true)]
async fn reading_goes_on_at_another_holder_where_the_first_broke_off() {
    let source = parking_lot::Mutex::new(voter(1));
    write(&mut source.lock(), 1, 1_000_000);
    let (lost_source, other) = (Slow::of(&source, 3, false), Slow::of(&source, usize::MAX, false));
    let mut catch_up = CatchUp::default();
    let ballot = Ballot { n: 1, node: 1, seq: 1 };
    assert!(!catch_up.fetch("config", ballot, std::slice::from_ref(&lost_source)).await);
    assert_eq!(lost_source.sent(), 3 * constants::CHUNK_BYTES as u64);
    assert!(catch_up.fetch("config", ballot, &[lost_source, other]).await);
    let partial = &catch_up.values["config"];
    assert_eq!(partial.bytes.len(), 1_000_000);
    let later = Ballot { seq: 2, ..ballot };
    assert!(!catch_up.fetch("config", later, &[Slow::of(&source, 9, false)]).await, "older one");
    assert!(catch_up.values["config"].bytes.is_empty(), "nothing of another ballot is kept");
}
