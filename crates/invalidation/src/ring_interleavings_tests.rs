//! All interleavings of a few threads at the ring, run by loom under the feature `checker`.

use super::*;

#[test]
fn no_entry_is_skipped_without_a_reset() {
    loom::model(|| {
        let r = Arc::new(Ring::new(2, 2, 1));
        let (c, _) = r.enter(1);
        let w = {
            let r = r.clone();
            loom::thread::spawn(move || {
                r.publish(&[0u64, 1]);
                r.publish(&[2u64]);
            })
        };
        let mut at = 0;
        let read_once = |at: &mut u64| match r.read(&c, 8) {
            Read::Nothing => {}
            Read::Reset(h) => *at = h,
            Read::Entries(e) => {
                for x in e {
                    assert_eq!(x, *at);
                    *at += 1;
                }
            }
        };
        read_once(&mut at);
        w.join().unwrap();
        read_once(&mut at);
        read_once(&mut at);
        assert_eq!(at, 3);
    });
}

#[test]
fn two_writers_and_a_reader_agree_on_one_order() {
    loom::model(|| {
        let r = Arc::new(Ring::new(4, 2, 4));
        let (c, _) = r.enter(1);
        let w = {
            let r = r.clone();
            loom::thread::spawn(move || {
                r.publish(&[1u64]);
            })
        };
        r.publish(&[2u64]);
        let mut got = Vec::new();
        if let Read::Entries(e) = r.read(&c, 8) {
            got.extend(e);
        }
        w.join().unwrap();
        if let Read::Entries(e) = r.read(&c, 8) {
            got.extend(e);
        }
        got.sort();
        assert_eq!(got, vec![1, 2]);
        assert_eq!(c.next(), 2);
    });
}

#[test]
fn pending_is_never_lost_between_publish_and_read() {
    loom::model(|| {
        let r = Arc::new(Ring::new(4, 2, 4));
        let (c, _) = r.enter(1);
        let reader = {
            let (r, c) = (r.clone(), c.clone());
            loom::thread::spawn(move || match r.read(&c, 8) {
                Read::Entries(e) => e.len(),
                _ => 0,
            })
        };
        r.publish(&[1u64, 2]);
        let first = reader.join().unwrap();
        let second = match r.read(&c, 8) {
            Read::Entries(e) => e.len(),
            _ => 0,
        };
        assert_eq!(first + second, 2);
    });
}
