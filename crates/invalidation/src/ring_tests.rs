//! Tests of the ring: order of entries, lagging and overrun readers, and the low watermark.

use super::*;

#[test]
fn entries_are_read_once_and_in_order() {
    let ring = Ring::new(8, 3, 4);
    let (cursor, _) = ring.register_reader(1);
    assert!(ring.publish(&[1, 2, 3, 4]).is_empty());
    assert_eq!(ring.read(&cursor, 3), ReadResult::Entries(vec![1, 2, 3]));
    assert_eq!(ring.read(&cursor, 3), ReadResult::Entries(vec![4]));
    assert_eq!(ring.read(&cursor, 3), ReadResult::UpToDate);
    assert_eq!(ring.low_watermark(), 0);
    ring.publish(&[5]);
    assert_eq!(ring.low_watermark(), 4);
}

#[test]
fn lagging_reader_is_reported_once_then_reset_when_overrun() {
    let ring = Ring::new(8, 64, 4);
    let (cursor, _) = ring.register_reader(7);
    assert_eq!(ring.publish(&[0; 5]), vec![7]);
    assert!(ring.publish(&[0; 2]).is_empty());
    ring.publish(&[0; 2]);
    assert_eq!(ring.read(&cursor, 100), ReadResult::Reset(9));
    ring.publish(&[3]);
    assert_eq!(ring.read(&cursor, 100), ReadResult::Entries(vec![3]));
    assert_eq!(ring.publish(&[0; 5]), vec![7]);
}

#[test]
fn removed_reader_does_not_hold_back_the_low_watermark_and_has_no_cursor() {
    let ring = Ring::new(8, 64, 4);
    let (_, _) = ring.register_reader(1);
    ring.publish(&[1, 2]);
    assert_eq!(ring.low_watermark(), 0);
    assert!(ring.remove_reader(1));
    ring.publish(&[3]);
    assert_eq!(ring.low_watermark(), 3);
    assert!(ring.cursor(1).is_none());
}

proptest::proptest! {
    #[test]
    fn reader_sees_consecutive_entries_or_a_reset(steps in proptest::collection::vec((0u8..3, 1usize..12), 1..60)) {
        let ring = Ring::new(16, 4, 8);
        let (cursor, mut position) = ring.register_reader(1);
        let mut published = 0u64;
        for (action, size) in steps {
            if action < 2 {
                let batch: Vec<u64> = (published..published + size as u64).collect();
                ring.publish(&batch);
                published += size as u64;
                continue;
            }
            match ring.read(&cursor, size) {
                ReadResult::UpToDate => proptest::prop_assert_eq!(position, published),
                ReadResult::Reset(head) => {
                    proptest::prop_assert!(published - position > 16);
                    proptest::prop_assert_eq!(head, published);
                    position = head;
                }
                ReadResult::Entries(entries) => for entry in entries {
                    proptest::prop_assert_eq!(entry, position);
                    position += 1;
                },
            }
        }
    }
}
