//! Tests of `monitor`: when a disk with overdue writes counts as broken.

use super::*;
use fleet_core::transport::BoxFuture;
use fleet_core::wire::Register;
use parking_lot::Mutex;
use std::time::Duration;

type ResultSender = oneshot::Sender<Result<(), DiskError>>;

/// A disk whose writes complete when the test calls [`SlowDisk::finish`].
#[derive(Default)]
struct SlowDisk(Mutex<std::collections::VecDeque<ResultSender>>);

impl SlowDisk {
    fn finish(&self, outcome: Result<(), DiskError>) {
        let oldest = self.0.lock().pop_front().expect("a record is pending");
        oldest.send(outcome).expect("the monitor waits for every record");
    }
}

impl RecordQueue for SlowDisk {
    fn append(&self, _: Record) -> BoxFuture<'static, Result<(), DiskError>> {
        let (result_tx, result_rx) = oneshot::channel();
        self.0.lock().push_back(result_tx);
        Box::pin(async move { result_rx.await.map_err(|_| DiskError::WriterTerminated)? })
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

fn monitored_disk() -> (Arc<SlowDisk>, MonitoredDisk) {
    let slow_disk = Arc::new(SlowDisk::default());
    let log = slog::Logger::root(slog::Discard, slog::o!());
    (slow_disk.clone(), MonitoredDisk::new(slow_disk, log))
}

/// Advances the paused clock and lets the monitor run.
async fn advance(duration: Duration) {
    tokio::time::sleep(duration).await;
    tokio::task::yield_now().await;
}

const SHORT: Duration = Duration::from_millis(1);

#[tokio::test(start_paused = true)]
async fn disk_is_broken_while_any_record_is_overdue_even_without_a_waiting_caller() {
    let (slow_disk, disk) = monitored_disk();
    drop(disk.append(record(0)));
    let second = disk.append(record(0));
    advance(constants::DISK_TIMEOUT - SHORT).await;
    assert!(!disk.is_broken());
    advance(SHORT).await;
    assert!(disk.is_broken());
    slow_disk.finish(Ok(()));
    advance(SHORT).await;
    assert!(disk.is_broken(), "the second record is still pending");
    slow_disk.finish(Ok(()));
    assert_eq!(second.await, Ok(()));
    assert!(!disk.is_broken());
}

#[tokio::test(start_paused = true)]
async fn large_value_extends_the_timeout_of_itself_and_later_records() {
    let (slow_disk, disk) = monitored_disk();
    let bytes = 2 << 20;
    let _large = disk.append(record(bytes));
    tokio::task::yield_now().await;
    let _small = disk.append(record(0));
    advance(constants::disk_timeout(bytes) - SHORT).await;
    assert!(constants::disk_timeout(bytes) > constants::DISK_TIMEOUT * 2);
    assert!(!disk.is_broken());
    advance(SHORT).await;
    assert!(disk.is_broken());
    slow_disk.finish(Ok(()));
    slow_disk.finish(Ok(()));
}

#[tokio::test(start_paused = true)]
async fn outcome_of_a_write_is_returned() {
    let (slow_disk, disk) = monitored_disk();
    for outcome in [Ok(()), Err(DiskError::NoDisk)] {
        let stored = disk.append(record(0));
        tokio::task::yield_now().await;
        slow_disk.finish(outcome.clone());
        assert_eq!(stored.await, outcome);
    }
}
