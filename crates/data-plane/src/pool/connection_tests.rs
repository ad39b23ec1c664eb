//! Tests of `connection`.

use super::*;

#[test]
fn keeps_as_long_as_the_engine_says() {
    let h = |pairs: &[(&'static str, &'static str)]| {
        let mut m = http::HeaderMap::new();
        for (n, v) in pairs {
            m.insert(*n, http::HeaderValue::from_static(v));
        }
        keep_alive_limit(&m)
    };
    assert_eq!(h(&[]), Some(constants::IDLE_CONNECTION_TIMEOUT));
    assert_eq!(h(&[("connection", "x, Close")]), None);
    assert_eq!(h(&[("keep-alive", "timeout=2, max=5")]), Some(Duration::from_millis(1200)));
    assert_eq!(h(&[("keep-alive", "timeout=0")]), None);
    assert_eq!(h(&[("keep-alive", "garbage")]), Some(constants::IDLE_CONNECTION_TIMEOUT));
}
