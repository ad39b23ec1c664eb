//! Tests of `recovery`, with sources behind a simulated link of 10 Mbit/s and paused time.

use super::super::state_transfer::StateTransfers;
use super::*;
use crate::consensus::acceptor::Acceptor;
use crate::storage::format::State;
use fleet_core::wire::{Accept, Member, Membership};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Bytes per millisecond at 10 Mbit/s, and the round-trip time, which is added.
const LINK_BYTES_PER_MS: u64 = 1250;
const ROUND_TRIP: Duration = Duration::from_millis(2);

fn ip(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, index)
}

fn membership() -> Membership {
    let members =
        (1..=3).map(|index| Member { ip: ip(index).to_string(), ..Default::default() }).collect();
    Membership { epoch: 1, members }
}

fn voter(index: u8) -> Acceptor {
    let mut acceptor = Acceptor::new(ip(index), State::default());
    acceptor.bootstrap(&membership()).unwrap();
    acceptor
}

fn accept_value(acceptor: &mut Acceptor, seq: u64, size: usize) {
    let ballot = Ballot { n: 1, node: 1, seq };
    let value = vec![seq as u8; size].into();
    let accept = Accept {
        key: "config".into(),
        membership: 1,
        ballot,
        value,
        recovery_epoch: 10,
        same_value_as: None,
    };
    assert!(acceptor.accept(&accept).answer.granted);
}

/// A source behind a slow link, which fails after `remaining` chunks. If `rewrites` is set, its value is replaced after
/// each chunk.
struct SlowSource<'a> {
    acceptor: &'a parking_lot::Mutex<Acceptor>,
    state_transfers: StateTransfers,
    remaining: std::sync::atomic::AtomicUsize,
    sent: std::sync::atomic::AtomicU64,
    rewrites: bool,
}

impl SlowSource<'_> {
    fn new(
        acceptor: &parking_lot::Mutex<Acceptor>,
        remaining: usize,
        rewrites: bool,
    ) -> SlowSource<'_> {
        SlowSource {
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

impl ChunkSource for SlowSource<'_> {
    async fn chunk(&self, request: ValueChunkRequest) -> Option<ValueChunk> {
        use std::sync::atomic::Ordering::Relaxed;
        self.remaining.fetch_update(Relaxed, Relaxed, |remaining| remaining.checked_sub(1)).ok()?;
        let chunk = {
            let mut acceptor = self.acceptor.lock();
            let chunk =
                self.state_transfers.chunk("reader", &request, acceptor.register(&request.key));
            if self.rewrites {
                let seq = acceptor.register("config").map_or(0, |register| register.accepted.seq);
                accept_value(&mut acceptor, seq + 1, chunk.total_bytes as usize);
            }
            chunk
        };
        self.sent.fetch_add(chunk.bytes.len() as u64, Relaxed);
        let transmission = Duration::from_millis(chunk.bytes.len() as u64 / LINK_BYTES_PER_MS);
        assert!(transmission + ROUND_TRIP < constants::CHUNK_TIMEOUT);
        tokio::time::sleep(ROUND_TRIP + transmission).await;
        Some(chunk)
    }
}

/// Recovers a member that lost its disk from two others. Returns the time it took, and how many bytes were read.
async fn recover_member(size: usize, changes: u64, rewrites: bool) -> (Duration, u64) {
    let mut voters = [voter(1), voter(2)];
    for seq in 1..=changes {
        voters.iter_mut().for_each(|voter_state| accept_value(voter_state, seq, size));
    }
    let mut reports: Vec<(u64, BallotReport)> = voters
        .iter_mut()
        .zip([1, 2])
        .map(|(source, id)| (id, source.begin_state_transfer(10).answer))
        .collect();
    let report_bytes: usize =
        reports.iter().map(|(_, report)| prost::Message::encoded_len(report)).sum();
    assert!(report_bytes < 1000, "reports contain no values");
    let [first, _] = voters.map(parking_lot::Mutex::new);
    let source = SlowSource::new(&first, usize::MAX, rewrites);
    let mut catch_up = CatchUp::default();
    let start = tokio::time::Instant::now();
    for (key, (ballot, _)) in latest_ballots(&reports) {
        assert!(catch_up.fetch(&key, ballot, std::slice::from_ref(&source)).await);
    }
    let elapsed = start.elapsed();
    let mut reports: Vec<BallotReport> = reports.drain(..).map(|(_, report)| report).collect();
    catch_up.fill(&mut reports);
    let mut recovering = Acceptor::new(ip(3), State::default());
    recovering.adopt(&membership());
    recovering.recover(10, &reports).unwrap();
    let register = recovering.register("config").unwrap();
    assert!(recovering.votes() && register.accepted.seq >= changes);
    assert_eq!(register.value.len(), size);
    assert!(register.value.iter().all(|byte| u64::from(*byte) == register.accepted.seq % 256));
    (elapsed, source.sent())
}

#[tokio::test(start_paused = true)]
async fn duration_depends_on_the_size_and_not_on_the_number_of_changes() {
    for (size, max_ms) in [(10_000, 20), (1_000_000, 900), (6_000_000, 5_200)] {
        for changes in [1, 100, 1_000] {
            let (elapsed, bytes) = recover_member(size, changes, false).await;
            println!("{size} bytes, {changes} changes: {elapsed:?}");
            assert_eq!(bytes, size as u64, "each value is read once");
            assert!(elapsed <= Duration::from_millis(max_ms), "{size} {changes} {elapsed:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn value_replaced_after_each_chunk_is_read_completely() {
    let (elapsed, bytes) = recover_member(1_000_000, 5, true).await;
    assert_eq!(bytes, 1_000_000);
    assert!(elapsed <= Duration::from_millis(900));
}

#[tokio::test(start_paused = true)]
async fn reading_resumes_from_another_source_after_the_first_failed() {
    let acceptor = parking_lot::Mutex::new(voter(1));
    accept_value(&mut acceptor.lock(), 1, 1_000_000);
    let (failing_source, second_source) =
        (SlowSource::new(&acceptor, 3, false), SlowSource::new(&acceptor, usize::MAX, false));
    let mut catch_up = CatchUp::default();
    let ballot = Ballot { n: 1, node: 1, seq: 1 };
    assert!(!catch_up.fetch("config", ballot, std::slice::from_ref(&failing_source)).await);
    assert_eq!(failing_source.sent(), 3 * constants::CHUNK_BYTES as u64);
    assert!(catch_up.fetch("config", ballot, &[failing_source, second_source]).await);
    let partial = &catch_up.values["config"];
    assert_eq!(partial.bytes.len(), 1_000_000);
    let later = Ballot { seq: 2, ..ballot };
    assert!(
        !catch_up.fetch("config", later, &[SlowSource::new(&acceptor, 9, false)]).await,
        "the source has only an older ballot"
    );
    assert!(catch_up.values["config"].bytes.is_empty(), "data of another ballot is discarded");
}
