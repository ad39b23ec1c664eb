use super::*;
use proptest::prelude::*;

const MAX_BYTES: usize = 1 << 20;

fn route(number: u32, timeout: u32) -> String {
    format!("{{\"name\":\"r-{number}\",\"pathPrefix\":\"/p{number}/\",\"timeoutMs\":{timeout}}}")
}

fn body(revision: u32, routes: &[(u32, u32)]) -> String {
    let routes: Vec<_> = routes.iter().map(|(number, timeout)| route(*number, *timeout)).collect();
    format!("{{\"revision\":{revision},\"routes\":[{}],\"services\":[]}}", routes.join(","))
}

#[test]
fn changed_route_is_inserted_and_the_rest_copied() {
    let base: Vec<_> = (0..200).map(|number| (number, 50)).collect();
    let mut new = base.clone();
    new[120].1 = 70;
    let (base, new) = (body(1, &base), body(2, &new));
    let delta = between(base.as_bytes(), new.as_bytes());
    let inserted: usize = delta.ops.iter().map(|op| op.insert.len()).sum();
    assert!(inserted <= 4 * route(199, 50).len(), "{inserted} bytes of {}", new.len());
    assert_eq!(apply(&delta, base.as_bytes(), MAX_BYTES).unwrap(), new);
}

#[test]
fn out_of_range_copy_and_oversized_result_are_errors() {
    let op = |from, length| ConfigDelta {
        ops: vec![DeltaOp { from, length, insert: b"more".to_vec() }],
    };
    assert_eq!(apply(&op(2, 9), b"0123456789", MAX_BYTES), Err(DeltaError::OutOfRange));
    assert_eq!(apply(&op(u64::MAX, 2), b"0123456789", MAX_BYTES), Err(DeltaError::OutOfRange));
    assert_eq!(apply(&op(0, 9), b"0123456789", 12), Err(DeltaError::TooLarge(12)));
    assert_eq!(apply(&op(0, 9), b"0123456789", 13).unwrap(), &b"012345678more"[..]);
}

proptest! {
    /// Covers added, removed, changed, moved and duplicated routes, and bytes that are not JSON.
    #[test]
    fn delta_reproduces_any_body_byte_for_byte(
        base in prop::collection::vec((0u32..30, 0u32..3), 0..40),
        new in prop::collection::vec((0u32..30, 0u32..3), 0..40),
        arbitrary in "[}{a\",]{0,60}",
    ) {
        let bodies = [body(1, &base), body(2, &new), arbitrary];
        for base in &bodies {
            for new in &bodies {
                let delta = between(base.as_bytes(), new.as_bytes());
                prop_assert_eq!(apply(&delta, base.as_bytes(), MAX_BYTES).unwrap(), new.as_bytes());
            }
        }
    }
}
