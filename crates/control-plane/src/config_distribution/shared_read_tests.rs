use super::*;
use futures_util::FutureExt;
use tokio::sync::oneshot;

/// A read that increments `runs`, then completes with the value sent through `end`.
async fn read(runs: &AtomicU64, end: oneshot::Receiver<Option<u64>>) -> Option<u64> {
    runs.fetch_add(1, Ordering::Relaxed);
    end.await.ok().flatten()
}

#[tokio::test]
async fn callers_that_wait_for_a_read_share_the_next_one() {
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
    assert!(reads[1].as_mut().now_or_never().is_none(), "the first read started before this call");
    ends.next().unwrap().send(Some(8)).unwrap();
    for waiting in &mut reads[1..] {
        assert_eq!(waiting.as_mut().await.as_deref(), Some(&8));
    }
    assert_eq!(runs.load(Ordering::Relaxed), 2);
}

#[tokio::test]
async fn the_call_after_a_failed_read_reads_again() {
    let shared = SharedRead::default();
    assert_eq!(shared.get(std::future::ready(None)).await, None);
    assert_eq!(shared.get(std::future::ready(Some(3))).await.as_deref(), Some(&3));
}
