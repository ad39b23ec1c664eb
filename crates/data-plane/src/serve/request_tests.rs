//! Tests of `request`.

use super::*;

#[test]
fn deadlines_are_read_or_rejected() {
    let d = |v: &str| {
        let mut h = HeaderMap::new();
        h.insert(DEADLINE, HeaderValue::from_str(v).unwrap());
        deadline(&h)
    };
    assert_eq!(d("250"), Some(Duration::from_millis(250)));
    assert_eq!(d("1.5"), Some(Duration::from_micros(1500)));
    for bad in ["", "x", "-1", "nan", "inf", "1e30"] {
        assert_eq!(d(bad), None, "{bad}");
    }
    assert_eq!(deadline(&HeaderMap::new()), Some(constants::DEADLINE_DEFAULT));
}
