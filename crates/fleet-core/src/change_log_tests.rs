use super::*;

#[derive(Default)]
struct Sum(i64);
impl Projection for Sum {
    type Event = i64;
    fn apply(&mut self, event: &i64) {
        self.0 += event;
    }
}

#[test]
fn view_reflects_all_events_and_log_is_bounded() {
    let mut log = ChangeLog::new(Sum::default(), 2);
    for number in 1..=4 {
        log.append(number);
    }
    assert_eq!(log.view().0, 10);
    assert_eq!(log.since(2).unwrap().copied().collect::<Vec<_>>(), vec![3, 4]);
    assert!(log.since(1).is_none());
    assert!(log.since(5).is_none());
    assert_eq!(log.head(), 4);
}
