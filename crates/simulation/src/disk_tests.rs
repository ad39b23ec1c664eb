//! State of a simulated disk after faults: full, hung, lossy, or with its process killed.

use super::*;
use fleet_core::wire::Register;

fn record(key: &str) -> Record {
    let register = Register { key: key.to_owned(), ..Register::default() };
    Record { registers: vec![register], voting: true, ..Record::default() }
}

fn keys(disk: &SimulatedDisk) -> Vec<String> {
    disk.state().registers.into_iter().map(|register| register.key).collect()
}

#[tokio::test(start_paused = true)]
async fn records_are_stored_in_order() {
    let disk = SimulatedDisk::new(1, false);
    let queue = disk.open();
    let (first, second) = (queue.append(record("a")), queue.append(record("b")));
    assert_eq!((first.await, second.await), (Ok(()), Ok(())));
    assert_eq!(keys(&disk), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn records_of_an_ended_process_are_not_written() {
    let disk = SimulatedDisk::new(1, false);
    let queue = disk.open();
    let appended = queue.append(record("a"));
    queue.end();
    assert!(appended.await.is_err());
    assert!(disk.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_full_disk_refuses_records_and_writes_them_once_it_has_space() {
    let disk = SimulatedDisk::new(1, false);
    let queue = disk.open();
    disk.update_condition(|now| now.full = true);
    assert!(queue.append(record("a")).await.is_err());
    assert!(queue.is_refused());
    disk.update_condition(|now| now.full = false);
    assert_eq!(queue.append(record("b")).await, Ok(()));
    assert!(!queue.is_refused());
    assert_eq!(keys(&disk), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn a_hung_disk_completes_writes_once_repaired() {
    let disk = SimulatedDisk::new(1, false);
    let queue = disk.open();
    disk.update_condition(|now| now.hung = true);
    let mut appended = std::pin::pin!(queue.append(record("a")));
    let waited = tokio::time::timeout(Duration::from_secs(5), &mut appended).await;
    assert!(waited.is_err());
    disk.update_condition(|now| now.hung = false);
    assert_eq!(appended.await, Ok(()));
}

#[tokio::test(start_paused = true)]
async fn a_lying_disk_stores_only_some_acknowledged_records() {
    let disk = SimulatedDisk::new(1, true);
    let queue = disk.open();
    for key in 0..40 {
        assert_eq!(queue.append(record(&key.to_string())).await, Ok(()));
    }
    let appended = keys(&disk).len();
    assert!((5..35).contains(&appended), "{appended} of 40");
}
