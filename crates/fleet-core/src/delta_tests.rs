//! Tests of `delta`.

use super::*;
use proptest::prelude::*;

const MOST: usize = 1 << 20;

fn route(number: u32, timeout: u32) -> String {
    format!("{{\"name\":\"r-{number}\",\"pathPrefix\":\"/p{number}/\",\"timeoutMs\":{timeout}}}")
}

fn body(revision: u32, routes: &[(u32, u32)]) -> String {
    let routes: Vec<_> = routes.iter().map(|(number, timeout)| route(*number, *timeout)).collect();
    format!("{{\"revision\":{revision},\"routes\":[{}],\"services\":[]}}", routes.join(","))
}

#[test]
fn one_changed_route_is_inserted_and_the_rest_copied() {
    let former: Vec<_> = (0..200).map(|number| (number, 50)).collect();
    let mut new = former.clone();
    new[120].1 = 70;
    let (former, new) = (body(1, &former), body(2, &new));
    let delta = between(former.as_bytes(), new.as_bytes());
    let inserted: usize = delta.ops.iter().map(|op| op.insert.len()).sum();
    assert!(inserted <= 4 * route(199, 50).len(), "{inserted} bytes of {}", new.len());
    assert_eq!(apply(&delta, former.as_bytes(), MOST).unwrap(), new);
}

#[test]
fn what_reaches_outside_or_beyond_the_bound_is_an_error() {
    let op = |from, length| ConfigDelta {
        ops: vec![DeltaOp { from, length, insert: b"more".to_vec() }],
    };
    assert_eq!(apply(&op(2, 9), b"0123456789", MOST), Err(DeltaError::OutOfRange));
    assert_eq!(apply(&op(u64::MAX, 2), b"0123456789", MOST), Err(DeltaError::OutOfRange));
    assert_eq!(apply(&op(0, 9), b"0123456789", 12), Err(DeltaError::TooLarge(12)));
    assert_eq!(apply(&op(0, 9), b"0123456789", 13).unwrap(), &b"012345678more"[..]);
}

proptest! {
    /// Covers added, removed, changed, moved and duplicated routes, and bytes that are not JSON.
    #[test]
    fn any_body_comes_back_byte_for_byte(
        former in prop::collection::vec((0u32..30, 0u32..3), 0..40),
        new in prop::collection::vec((0u32..30, 0u32..3), 0..40),
        odd in "[}{a\",]{0,60}",
    ) {
        let bodies = [body(1, &former), body(2, &new), odd];
        for former in &bodies {
            for new in &bodies {
                let delta = between(former.as_bytes(), new.as_bytes());
                prop_assert_eq!(apply(&delta, former.as_bytes(), MOST).unwrap(), new.as_bytes());
            }
        }
    }
}
