//! Tests of `handover`.

use super::*;
use fleet_core::wire::Ballot;
use std::time::Duration;

fn register(n: u64, size: usize) -> Register {
    let accepted = Ballot { n, node: 1, seq: 0 };
    Register { key: "k".into(), accepted, value: vec![n as u8; size].into(), ..Default::default() }
}

fn ask(n: u64, offset: u64) -> ValueChunkRequest {
    ValueChunkRequest { key: "k".into(), ballot: Ballot { n, node: 1, seq: 0 }, offset }
}

#[tokio::test(start_paused = true)]
async fn a_value_replaced_midway_is_read_to_its_end() {
    let handovers = Handovers::default();
    let size = constants::PIECE_BYTES + 10;
    let first = handovers.piece("a", &ask(1, 0), Some(&register(1, size)));
    assert_eq!((first.total, first.bytes.len()), (size as u64, constants::PIECE_BYTES));
    let newer = register(2, 7);
    let rest = handovers.piece("a", &ask(1, first.bytes.len() as u64), Some(&newer));
    assert_eq!((rest.ballot.n, rest.bytes.len()), (1, 10));
    let other = handovers.piece("b", &ask(1, 5), Some(&newer));
    assert_eq!((other.ballot.n, other.offset, other.total), (2, 0, 7), "began later");
    handovers.piece("a", &ask(1, 0), Some(&register(1, size)));
    tokio::time::advance(constants::HANDOVER_KEPT + Duration::from_millis(1)).await;
    let late = handovers.piece("a", &ask(1, constants::PIECE_BYTES as u64), Some(&newer));
    assert_eq!((late.ballot.n, late.offset), (2, 0), "not kept for ever");
    assert_eq!(handovers.piece("a", &ask(1, 0), None), ValueChunk::default());
}
