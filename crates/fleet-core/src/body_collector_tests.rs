use super::*;

const LIMITS: BodyLimits = BodyLimits { max_bytes: 10, free_bytes: 4 };

#[test]
fn body_takes_from_the_budget_what_it_has_beyond_its_free_bytes() {
    let budget = ByteBudget::new(5);
    let mut body = BodyCollector::new(Some(&budget), LIMITS);
    assert_eq!(body.push(b"abcd"), Ok(()));
    assert_eq!(budget.usage().reserved, 0);
    assert_eq!(body.push(b"efg"), Ok(()));
    assert_eq!(budget.usage().reserved, 3);
    let complete = body.finish().unwrap();
    assert_eq!(complete.bytes, "abcdefg");
    assert_eq!(budget.usage().reserved, 3, "until it is dropped");
    drop(complete);
    assert_eq!(budget.usage().reserved, 0);
}

/// What is discarded is given back at once, and still counted against the body's own limit.
#[test]
fn body_without_budget_is_discarded_and_counted() {
    let budget = ByteBudget::new(2);
    let mut body = BodyCollector::new(Some(&budget), LIMITS);
    assert_eq!(body.push(b"abcdef"), Ok(()));
    assert_eq!(body.push(b"g"), Err(CollectError::Overloaded));
    assert_eq!(budget.usage().reserved, 0);
    assert_eq!(body.push(b"hij"), Err(CollectError::Overloaded));
    assert_eq!(body.push(b"k"), Err(CollectError::TooLarge));
    assert_eq!(body.finish().map(|body| body.bytes).unwrap_err(), CollectError::Overloaded);
    let none = BodyCollector::new(None, LIMITS).finish();
    assert_eq!(none.map(|body| body.bytes).unwrap_err(), CollectError::Overloaded);
}

#[test]
fn body_may_be_as_long_as_its_limit() {
    let budget = ByteBudget::new(100);
    let mut body = BodyCollector::new(Some(&budget), LIMITS).with_capacity(7);
    assert_eq!(body.push(&[b'x'; 10]), Ok(()));
    assert_eq!(body.push(b"x"), Err(CollectError::TooLarge));
}
