//! Tests of `shared_read`.

use super::*;
use futures_util::FutureExt;
use tokio::sync::oneshot;

/// A read that ends when told to, and counts that it ran.
async fn read(runs: &AtomicU64, end: oneshot::Receiver<Option<u64>>) -> Option<u64> {
    runs.fetch_add(1, Ordering::Relaxed);
    end.await.ok().flatten()
}

#[tokio::test]
async fn who_waits_behind_a_read_shares_the_next_and_never_that_one() {
    let (shared, runs) = (SharedRead::default(), AtomicU64::new(0));
    let (ends, mut reads): (Vec<_>, Vec<_>) = (0..4)
        .map(|_| {
            let (end, ended) = oneshot::channel();
            (end, Box::pin(shared.get(read(&runs, ended))))
        })
        .unzip();
    let mut ends = ends.into_iter();
    for waiting in &mut reads {
        assert!(waiting.now_or_never().is_none());
    }
    ends.next().unwrap().send(Some(7)).unwrap();
    assert_eq!(reads[0].as_mut().await.as_deref(), Some(&7));
    assert!(reads[1].as_mut().now_or_never().is_none(), "the first read began before it came");
    ends.next().unwrap().send(Some(8)).unwrap();
    for waiting in &mut reads[1..] {
        assert_eq!(waiting.as_mut().await.as_deref(), Some(&8));
    }
    assert_eq!(runs.load(Ordering::Relaxed), 2);
}

#[tokio::test]
async fn a_failure_is_shared_and_the_next_call_reads_again() {
    let shared = SharedRead::default();
    assert_eq!(shared.get(std::future::ready(None)).await, None);
    assert_eq!(shared.get(std::future::ready(Some(3))).await.as_deref(), Some(&3));
}
