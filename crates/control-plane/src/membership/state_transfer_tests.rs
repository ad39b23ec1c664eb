use super::*;
use fleet_core::wire::Ballot;
use std::time::Duration;

fn register(n: u64, size: usize) -> Register {
    let accepted = Ballot { n, node: 1, seq: 0 };
    Register { key: "k".into(), accepted, value: vec![n as u8; size].into(), ..Default::default() }
}

fn request(n: u64, offset: u64) -> ValueChunkRequest {
    ValueChunkRequest { key: "k".into(), ballot: Ballot { n, node: 1, seq: 0 }, offset }
}

#[tokio::test(start_paused = true)]
async fn value_replaced_during_a_transfer_is_read_completely() {
    let state_transfers = StateTransfers::default();
    let size = constants::CHUNK_BYTES + 10;
    let first = state_transfers.chunk("a", &request(1, 0), Some(&register(1, size)));
    assert_eq!((first.total_bytes, first.bytes.len()), (size as u64, constants::CHUNK_BYTES));
    let replacement = register(2, 7);
    let second =
        state_transfers.chunk("a", &request(1, first.bytes.len() as u64), Some(&replacement));
    assert_eq!((second.ballot.n, second.bytes.len()), (1, 10));
    let later_reader = state_transfers.chunk("b", &request(1, 5), Some(&replacement));
    assert_eq!(
        (later_reader.ballot.n, later_reader.offset, later_reader.total_bytes),
        (2, 0, 7),
        "a transfer begun after the replacement"
    );
    state_transfers.chunk("a", &request(1, 0), Some(&register(1, size)));
    tokio::time::advance(constants::STATE_TRANSFER_RETENTION + Duration::from_millis(1)).await;
    let after_retention =
        state_transfers.chunk("a", &request(1, constants::CHUNK_BYTES as u64), Some(&replacement));
    assert_eq!(
        (after_retention.ballot.n, after_retention.offset),
        (2, 0),
        "the replaced value is dropped after the retention period"
    );
    assert_eq!(state_transfers.chunk("a", &request(1, 0), None), ValueChunk::default());
}
