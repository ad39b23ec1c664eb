use super::*;
use http::HeaderValue;

#[test]
fn valid_deadlines_are_parsed_and_malformed_ones_rejected() {
    let parse = |v: &str| {
        let mut headers = HeaderMap::new();
        headers.insert(DEADLINE_MS, HeaderValue::from_str(v).unwrap());
        parse_deadline(&headers)
    };
    assert_eq!(parse("250"), Some(Duration::from_millis(250)));
    assert_eq!(parse("1.5"), Some(Duration::from_micros(1500)));
    for bad in ["", "x", "-1", "nan", "inf", "1e30"] {
        assert_eq!(parse(bad), None, "{bad}");
    }
    assert_eq!(parse_deadline(&HeaderMap::new()), Some(constants::DEADLINE_DEFAULT));
}
