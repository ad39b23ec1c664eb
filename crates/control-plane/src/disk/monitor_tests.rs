//! Tests of `monitor`.

use super::*;
use fleet_core::transport::BoxFuture;
use fleet_core::wire::Register;
use parking_lot::Mutex;
use std::time::Duration;

type Writer = oneshot::Sender<Result<(), DiskError>>;

/// Writes a record when the test says so.
#[derive(Default)]
struct Held(Mutex<std::collections::VecDeque<Writer>>);

impl Held {
    fn finish(&self, outcome: Result<(), DiskError>) {
        let oldest = self.0.lock().pop_front().expect("a record waits");
        oldest.send(outcome).expect("it is waited for, whatever its caller does");
    }
}

impl RecordQueue for Held {
    fn keep(&self, _: Record) -> BoxFuture<'static, Result<(), DiskError>> {
        let (done, written) = oneshot::channel();
        self.0.lock().push_back(done);
        Box::pin(async move { written.await.map_err(|_| DiskError::Ended)? })
    }

    fn is_broken(&self) -> bool {
        false
    }

    fn is_absent(&self) -> bool {
        false
    }
}

fn record(bytes: usize) -> Record {
    let register = Register { value: vec![0; bytes].into(), ..Default::default() };
    Record { registers: vec![register], ..Default::default() }
}

fn monitored() -> (Arc<Held>, MonitoredDisk) {
    let held = Arc::new(Held::default());
    let log = slog::Logger::root(slog::Discard, slog::o!());
    (held.clone(), MonitoredDisk::new(held, log))
}

async fn pass(time: Duration) {
    tokio::time::sleep(time).await;
    tokio::task::yield_now().await;
}

const MOMENT: Duration = Duration::from_millis(1);

#[tokio::test(start_paused = true)]
async fn a_disk_is_broken_while_any_record_is_overdue_also_one_that_nobody_waits_for() {
    let (held, disk) = monitored();
    drop(disk.keep(record(0)));
    let second = disk.keep(record(0));
    pass(constants::DISK_LIMIT - MOMENT).await;
    assert!(!disk.is_broken());
    pass(MOMENT).await;
    assert!(disk.is_broken());
    held.finish(Ok(()));
    pass(MOMENT).await;
    assert!(disk.is_broken(), "the second waits still");
    held.finish(Ok(()));
    assert_eq!(second.await, Ok(()));
    assert!(!disk.is_broken());
}

#[tokio::test(start_paused = true)]
async fn a_large_value_may_take_longer_and_those_behind_it() {
    let (held, disk) = monitored();
    let bytes = 2 << 20;
    let _large = disk.keep(record(bytes));
    tokio::task::yield_now().await;
    let _small = disk.keep(record(0));
    pass(constants::disk_limit(bytes) - MOMENT).await;
    assert!(constants::disk_limit(bytes) > constants::DISK_LIMIT * 2);
    assert!(!disk.is_broken());
    pass(MOMENT).await;
    assert!(disk.is_broken());
    held.finish(Ok(()));
    held.finish(Ok(()));
}

#[tokio::test(start_paused = true)]
async fn the_outcome_of_a_write_is_handed_on() {
    let (held, disk) = monitored();
    for outcome in [Ok(()), Err(DiskError::Absent)] {
        let kept = disk.keep(record(0));
        tokio::task::yield_now().await;
        held.finish(outcome.clone());
        assert_eq!(kept.await, outcome);
    }
}
