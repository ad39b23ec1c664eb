//! Tests of `ring`.

use super::*;

#[test]
fn entries_come_in_order_and_once() {
    let r = Ring::new(8, 3, 4);
    let (c, _) = r.enter(1);
    assert!(r.publish(&[1, 2, 3, 4]).is_empty());
    assert_eq!(r.read(&c, 3), Read::Entries(vec![1, 2, 3]));
    assert_eq!(r.read(&c, 3), Read::Entries(vec![4]));
    assert_eq!(r.read(&c, 3), Read::Nothing);
    assert_eq!(r.floor(), 0);
    r.publish(&[5]);
    assert_eq!(r.floor(), 4);
}

#[test]
fn laggard_is_nudged_once_then_reset_when_overrun() {
    let r = Ring::new(8, 64, 4);
    let (c, _) = r.enter(7);
    assert_eq!(r.publish(&[0; 5]), vec![7]);
    assert!(r.publish(&[0; 2]).is_empty());
    r.publish(&[0; 2]);
    assert_eq!(r.read(&c, 100), Read::Reset(9));
    r.publish(&[3]);
    assert_eq!(r.read(&c, 100), Read::Entries(vec![3]));
    assert_eq!(r.publish(&[0; 5]), vec![7]);
}

#[test]
fn stuck_reader_neither_holds_the_floor_nor_comes_back_unreset() {
    let r = Ring::new(8, 64, 4);
    let (_, _) = r.enter(1);
    r.publish(&[1, 2]);
    assert_eq!(r.floor(), 0);
    assert!(r.drop_reader(1));
    r.publish(&[3]);
    assert_eq!(r.floor(), 3);
    assert!(r.cursor(1).is_none());
}

proptest::proptest! {
    #[test]
    fn reader_sees_a_run_of_all_or_a_reset(steps in proptest::collection::vec((0u8..3, 1usize..12), 1..60)) {
        let r = Ring::new(16, 4, 8);
        let (c, mut at) = r.enter(1);
        let mut n = 0u64;
        for (what, size) in steps {
            if what < 2 {
                let batch: Vec<u64> = (n..n + size as u64).collect();
                r.publish(&batch);
                n += size as u64;
                continue;
            }
            match r.read(&c, size) {
                Read::Nothing => proptest::prop_assert_eq!(at, n),
                Read::Reset(head) => {
                    proptest::prop_assert!(n - at > 16);
                    proptest::prop_assert_eq!(head, n);
                    at = head;
                }
                Read::Entries(e) => for x in e {
                    proptest::prop_assert_eq!(x, at);
                    at += 1;
                },
            }
        }
    }
}
