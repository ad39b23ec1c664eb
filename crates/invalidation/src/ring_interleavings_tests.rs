//! Explores all interleavings of a few threads on a ring with loom, with the feature `checker`.

use super::*;

#[test]
fn no_entry_is_skipped_without_a_reset() {
    loom::model(|| {
        let ring = Arc::new(Ring::new(2, 2, 1));
        let (cursor, _) = ring.register_reader(1);
        let writer = {
            let ring = ring.clone();
            loom::thread::spawn(move || {
                ring.publish(&[0u64, 1]);
                ring.publish(&[2u64]);
            })
        };
        let mut position = 0;
        let read_once = |position: &mut u64| match ring.read(&cursor, 8) {
            ReadResult::UpToDate => {}
            ReadResult::Reset(head) => *position = head,
            ReadResult::Entries(entries) => {
                for entry in entries {
                    assert_eq!(entry, *position);
                    *position += 1;
                }
            }
        };
        read_once(&mut position);
        writer.join().unwrap();
        read_once(&mut position);
        read_once(&mut position);
        assert_eq!(position, 3);
    });
}

#[test]
fn two_writers_and_a_reader_agree_on_one_order() {
    loom::model(|| {
        let ring = Arc::new(Ring::new(4, 2, 4));
        let (cursor, _) = ring.register_reader(1);
        let writer = {
            let ring = ring.clone();
            loom::thread::spawn(move || {
                ring.publish(&[1u64]);
            })
        };
        ring.publish(&[2u64]);
        let mut received = Vec::new();
        if let ReadResult::Entries(entries) = ring.read(&cursor, 8) {
            received.extend(entries);
        }
        writer.join().unwrap();
        if let ReadResult::Entries(entries) = ring.read(&cursor, 8) {
            received.extend(entries);
        }
        received.sort();
        assert_eq!(received, vec![1, 2]);
        assert_eq!(cursor.next(), 2);
    });
}

#[test]
fn pending_is_never_lost_between_publish_and_read() {
    loom::model(|| {
        let ring = Arc::new(Ring::new(4, 2, 4));
        let (cursor, _) = ring.register_reader(1);
        let reader = {
            let (ring, cursor) = (ring.clone(), cursor.clone());
            loom::thread::spawn(move || match ring.read(&cursor, 8) {
                ReadResult::Entries(entries) => entries.len(),
                _ => 0,
            })
        };
        ring.publish(&[1u64, 2]);
        let first = reader.join().unwrap();
        let second = match ring.read(&cursor, 8) {
            ReadResult::Entries(entries) => entries.len(),
            _ => 0,
        };
        assert_eq!(first + second, 2);
    });
}
