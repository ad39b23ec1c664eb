//! Tests of `monitor`.

use super::*;
use fleet_core::transport::BoxFuture;
use fleet_core::wire::Register;
use parking_lot::Mutex;
use std::time::Duration;

type Writer = oneshot::Sender<Result<(), DiskError>>;

/// Writes a record when the test says so.
#[derive(Default)]
struct SlowDisk(Mutex<std::collections::VecDeque<Writer>>);

impl SlowDisk {
    fn finish(&self, outcome: Result<(), DiskError>) {
        let oldest = self.0.lock().pop_front().expect("a record waits");
        oldest.send(outcome).expect("it is waited for, whatever its caller does");
    }
}

impl RecordQueue for SlowDisk {
    fn append(&self, _: Record) -> BoxFuture<'static, Result<(), DiskError>> {
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

fn monitored() -> (Arc<SlowDisk>, MonitoredDisk) {
    let slow_disk = Arc::new(SlowDisk::default());
    let log = slog::Logger::root(slog::Discard, slog::o!());
    (slow_disk.clone(), MonitoredDisk::new(slow_disk, log))
}

async fn pass(time: Duration) {
    tokio::time::sleep(time).await;
    tokio::task::yield_now().await;
}

const MOMENT: Duration = Duration::from_millis(1);

#[tokio::test(start_paused = true)]
async fn a_disk_is_broken_while_any_record_is_overdue_also_one_that_nobody_waits_for() {
    let (slow_disk, disk) = monitored();
    drop(disk.append(record(0)));
    let second = disk.append(record(0));
    pass(constants::DISK_TIMEOUT - MOMENT).await;
    assert!(!disk.is_broken());
    pass(MOMENT).await;
    assert!(disk.is_broken());
    slow_disk.finish(Ok(()));
    pass(MOMENT).await;
    assert!(disk.is_broken(), "the second waits still");
    slow_disk.finish(Ok(()));
    assert_eq!(second.await, Ok(()));
    assert!(!disk.is_broken());
}

#[tokio::test(start_paused = true)]
async fn a_large_value_may_take_longer_and_those_behind_it() {
    let (slow_disk, disk) = monitored();
    let bytes = 2 << 20;
    let _large = disk.append(record(bytes));
    tokio::task::yield_now().await;
    let _small = disk.append(record(0));
    pass(constants::disk_timeout(bytes) - MOMENT).await;
    assert!(constants::disk_timeout(bytes) > constants::DISK_TIMEOUT * 2);
    assert!(!disk.is_broken());
    pass(MOMENT).await;
    assert!(disk.is_broken());
    slow_disk.finish(Ok(()));
    slow_disk.finish(Ok(()));
}

#[tokio::test(start_paused = true)]
async fn the_outcome_of_a_write_is_handed_on() {
    let (slow_disk, disk) = monitored();
    for outcome in [Ok(()), Err(DiskError::Absent)] {
        let stored = disk.append(record(0));
        tokio::task::yield_now().await;
        slow_disk.finish(outcome.clone());
        assert_eq!(stored.await, outcome);
    }
}
