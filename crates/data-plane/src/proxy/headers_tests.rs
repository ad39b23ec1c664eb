//! Tests of `headers`.

use super::*;
use http::HeaderValue;

#[test]
fn deadlines_are_read_or_rejected() {
    let read = |v: &str| {
        let mut headers = HeaderMap::new();
        headers.insert(DEADLINE_MS, HeaderValue::from_str(v).unwrap());
        read_deadline(&headers)
    };
    assert_eq!(read("250"), Some(Duration::from_millis(250)));
    assert_eq!(read("1.5"), Some(Duration::from_micros(1500)));
    for bad in ["", "x", "-1", "nan", "inf", "1e30"] {
        assert_eq!(read(bad), None, "{bad}");
    }
    assert_eq!(read_deadline(&HeaderMap::new()), Some(constants::DEADLINE_DEFAULT));
}
