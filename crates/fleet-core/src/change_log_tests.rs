//! Tests of `change_log`.

use super::*;

#[derive(Default)]
struct Sum(i64);
impl Fold for Sum {
    type Event = i64;
    fn fold(&mut self, e: &i64) {
        self.0 += e;
    }
}

#[test]
fn view_is_the_fold_and_the_tail_is_bounded() {
    let mut j = ChangeLog::new(Sum::default(), 2);
    for i in 1..=4 {
        j.append(i);
    }
    assert_eq!(j.view().0, 10);
    assert_eq!(j.since(2).unwrap().copied().collect::<Vec<_>>(), vec![3, 4]);
    assert!(j.since(1).is_none());
    assert!(j.since(5).is_none());
    assert_eq!(j.head(), 4);
}
