//! Tests of `files`: which state is read back from complete, torn, truncated and damaged files.

use super::*;
use fleet_core::wire::{Ballot, Register};
use std::path::PathBuf;

/// Path of a directory that doesn't exist yet.
fn missing_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("control_plane-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

/// A record with one register that was accepted under epoch `n` and has a value of `size` bytes.
fn record(key: &str, n: u64, size: usize) -> Record {
    let ballot = Ballot { n, node: 1, seq: 0 };
    Record {
        voting: true,
        registers: vec![Register {
            key: key.to_owned(),
            promised: ballot,
            accepted: ballot,
            value: vec![n as u8; size].into(),
        }],
        reset: false,
    }
}

fn accepted_epoch(state: &State, key: &str) -> Option<u64> {
    state.registers.iter().find(|r| r.key == key).map(|r| r.accepted.n)
}

#[test]
fn state_survives_reopening_across_many_slot_writes() {
    let dir = missing_dir("reopen");
    let (mut files, state) = StateFiles::open(&dir).unwrap();
    assert!(files.was_empty && state.registers.is_empty());
    for n in 1..=60 {
        files.append(&record(if n % 2 == 0 { "a" } else { "b" }, n, 100_000)).unwrap();
    }
    assert!(files.seq > 2);
    drop(files);
    let (files, state) = StateFiles::open(&dir).unwrap();
    assert!(!files.was_empty && state.voting);
    assert_eq!((accepted_epoch(&state, "a"), accepted_epoch(&state, "b")), (Some(60), Some(59)));
}

#[test]
fn torn_log_tail_is_dropped_and_overwritten() {
    let dir = missing_dir("torn");
    let (mut files, _) = StateFiles::open(&dir).unwrap();
    files.append(&record("a", 1, 10)).unwrap();
    let end_of_first = files.log_offset;
    files.append(&record("a", 2, 10)).unwrap();
    drop(files);
    let log_path = dir.join("log");
    let mut bytes = std::fs::read(&log_path).unwrap();
    bytes[end_of_first + format::RECORD_HEADER_BYTES + 3] ^= 0xff;
    std::fs::write(&log_path, &bytes).unwrap();
    let (mut files, state) = StateFiles::open(&dir).unwrap();
    assert_eq!(accepted_epoch(&state, "a"), Some(1));
    files.append(&record("a", 3, 10)).unwrap();
    drop(files);
    assert_eq!(accepted_epoch(&StateFiles::open(&dir).unwrap().1, "a"), Some(3));
}

#[test]
fn one_damaged_slot_falls_back_to_the_other_and_two_count_as_an_empty_disk() {
    let dir = missing_dir("slots");
    let (mut files, _) = StateFiles::open(&dir).unwrap();
    files.append(&record("a", 1, 10)).unwrap();
    files.write_next_slot().unwrap();
    let newest = dir.join(format!("slot{}", files.seq % 2));
    let older = dir.join(format!("slot{}", (files.seq + 1) % 2));
    drop(files);
    let corrupt = |path: &Path| {
        let mut bytes = std::fs::read(path).unwrap();
        bytes[30] ^= 0x55;
        bytes[8] ^= 1;
        std::fs::write(path, &bytes).unwrap();
    };
    corrupt(&newest);
    let (files, state) = StateFiles::open(&dir).unwrap();
    assert!(files.was_damaged && !files.was_empty);
    assert_eq!(accepted_epoch(&state, "a"), Some(1));
    drop(files);
    corrupt(&older);
    let (files, state) = StateFiles::open(&dir).unwrap();
    assert!(files.was_empty && files.was_damaged);
    assert!(state.registers.is_empty() && !state.voting);
}

/// Records give the same state whether they are written together or one by one.
#[test]
fn batched_records_keep_the_newest_flag_and_any_reset() {
    let records = [
        record("a", 1, 10),
        Record { voting: false, reset: true, ..record("b", 2, 10) },
        Record { voting: false, ..record("c", 3, 10) },
    ];
    for batch_size in [1, 2, 3] {
        let dir = missing_dir(&format!("newest{batch_size}"));
        let (mut files, _) = StateFiles::open(&dir).unwrap();
        for batch in records.chunks(batch_size) {
            files.append_many(batch.iter()).unwrap();
        }
        drop(files);
        let (_, state) = StateFiles::open(&dir).unwrap();
        assert!(!state.voting, "{batch_size} at a time");
        assert_eq!(
            (accepted_epoch(&state, "a"), accepted_epoch(&state, "b"), accepted_epoch(&state, "c")),
            (None, Some(2), Some(3))
        );
    }
}

proptest::proptest! {
    #[test]
    fn truncated_log_gives_a_prefix_of_its_records(prefix in 0usize..400, record_count in 1u64..8) {
        let mut log = Vec::new();
        for n in 1..=record_count {
            log.extend(format::encode_record(5, &record("a", n, 20)));
        }
        let prefix = prefix.min(log.len());
        let (records, end) = format::read_log(&log[..prefix], 5);
        proptest::prop_assert!(end <= prefix);
        for (index, entry) in records.iter().enumerate() {
            proptest::prop_assert_eq!(entry.registers[0].accepted.n, index as u64 + 1);
        }
        proptest::prop_assert!(format::read_log(&log, 6).0.is_empty());
    }
}
