//! Tests of `election`.

use super::*;

#[test]
fn an_owner_that_makes_progress_is_left_alone() {
    let start = Instant::now();
    let quiet = Duration::from_millis(300);
    let mut elections = Elections::default();
    assert!(elections.is_quiet("a", start, quiet), "nobody owned it");
    elections.record_progress("a", start);
    assert!(!elections.is_quiet("a", start + quiet / 2, quiet));
    elections.record_progress("a", start + quiet / 2);
    assert!(!elections.is_quiet("a", start + quiet, quiet));
    assert!(elections.is_quiet("a", start + quiet * 3 / 2, quiet));
    assert!(elections.is_quiet("b", start, quiet), "keys have owners of their own");
}
