//! Tests of `files`.

use super::*;
use fleet_core::wire::{Ballot, Register};
use std::path::PathBuf;

fn dir(name: &str) -> PathBuf {
    let d = std::env::temp_dir().join(format!("control_plane-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&d);
    d
}

fn reg(key: &str, n: u64, size: usize) -> Record {
    let b = Ballot { n, node: 1, seq: 0 };
    Record {
        voting: true,
        registers: vec![Register {
            key: key.to_owned(),
            promised: b,
            accepted: b,
            value: vec![n as u8; size].into(),
        }],
        reset: false,
    }
}

fn found(s: &State, key: &str) -> Option<u64> {
    s.registers.iter().find(|r| r.key == key).map(|r| r.accepted.n)
}

#[test]
fn survives_reopening_across_many_slots() {
    let d = dir("reopen");
    let (mut f, s) = Files::open(&d).unwrap();
    assert!(f.empty && s.registers.is_empty());
    for n in 1..=60 {
        f.append(&reg(if n % 2 == 0 { "a" } else { "b" }, n, 100_000)).unwrap();
    }
    assert!(f.seq > 2);
    drop(f);
    let (f, s) = Files::open(&d).unwrap();
    assert!(!f.empty && s.voting);
    assert_eq!((found(&s, "a"), found(&s, "b")), (Some(60), Some(59)));
}

#[test]
fn torn_tail_is_dropped_and_overwritten() {
    let d = dir("torn");
    let (mut f, _) = Files::open(&d).unwrap();
    f.append(&reg("a", 1, 10)).unwrap();
    let keep = f.log_at;
    f.append(&reg("a", 2, 10)).unwrap();
    drop(f);
    let p = d.join("log");
    let mut b = std::fs::read(&p).unwrap();
    b[keep + format::RECORD_HEADER_BYTES + 3] ^= 0xff;
    std::fs::write(&p, &b).unwrap();
    let (mut f, s) = Files::open(&d).unwrap();
    assert_eq!(found(&s, "a"), Some(1));
    f.append(&reg("a", 3, 10)).unwrap();
    drop(f);
    assert_eq!(found(&Files::open(&d).unwrap().1, "a"), Some(3));
}

#[test]
fn damaged_slot_falls_back_and_two_make_an_empty_disk() {
    let d = dir("slots");
    let (mut f, _) = Files::open(&d).unwrap();
    f.append(&reg("a", 1, 10)).unwrap();
    f.switch_slot().unwrap();
    let newest = d.join(format!("slot{}", f.seq % 2));
    let older = d.join(format!("slot{}", (f.seq + 1) % 2));
    drop(f);
    let spoil = |p: &Path| {
        let mut b = std::fs::read(p).unwrap();
        b[30] ^= 0x55;
        b[8] ^= 1;
        std::fs::write(p, &b).unwrap();
    };
    spoil(&newest);
    let (f, s) = Files::open(&d).unwrap();
    assert!(f.damaged && !f.empty);
    assert_eq!(found(&s, "a"), Some(1));
    drop(f);
    spoil(&older);
    let (f, s) = Files::open(&d).unwrap();
    assert!(f.empty && f.damaged);
    assert!(s.registers.is_empty() && !s.voting);
}

/// The flag and the reset of records that are written together, or one by one.
#[test]
fn flag_and_reset_follow_the_newest_record() {
    let records = [
        reg("a", 1, 10),
        Record { voting: false, reset: true, ..reg("b", 2, 10) },
        Record { voting: false, ..reg("c", 3, 10) },
    ];
    for together in [1, 2, 3] {
        let d = dir(&format!("newest{together}"));
        let (mut f, _) = Files::open(&d).unwrap();
        for batch in records.chunks(together) {
            f.append_many(batch.iter()).unwrap();
        }
        drop(f);
        let (_, s) = Files::open(&d).unwrap();
        assert!(!s.voting, "{together} at a time");
        assert_eq!((found(&s, "a"), found(&s, "b"), found(&s, "c")), (None, Some(2), Some(3)));
    }
}

proptest::proptest! {
    #[test]
    fn log_cut_anywhere_gives_a_prefix(prefix in 0usize..400, n in 1u64..8) {
        let mut log = Vec::new();
        for i in 1..=n {
            log.extend(format::record_bytes(5, &reg("a", i, 20)));
        }
        let prefix = prefix.min(log.len());
        let (r, at) = format::read_log(&log[..prefix], 5);
        proptest::prop_assert!(at <= prefix);
        for (i, x) in r.iter().enumerate() {
            proptest::prop_assert_eq!(x.registers[0].accepted.n, i as u64 + 1);
        }
        proptest::prop_assert!(format::read_log(&log, 6).0.is_empty());
    }
}
