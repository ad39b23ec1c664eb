use super::*;

#[test]
fn idle_limit_follows_the_engines_keep_alive_headers() {
    let idle_limit = |pairs: &[(&'static str, &'static str)]| {
        let mut headers = http::HeaderMap::new();
        for (name, value) in pairs {
            headers.insert(*name, http::HeaderValue::from_static(value));
        }
        keep_alive_limit(&headers)
    };
    assert_eq!(idle_limit(&[]), Some(constants::IDLE_CONNECTION_TIMEOUT));
    assert_eq!(idle_limit(&[("connection", "x, Close")]), None);
    assert_eq!(
        idle_limit(&[("keep-alive", "timeout=2, max=5")]),
        Some(Duration::from_millis(1200))
    );
    assert_eq!(idle_limit(&[("keep-alive", "timeout=0")]), None);
    assert_eq!(idle_limit(&[("keep-alive", "garbage")]), Some(constants::IDLE_CONNECTION_TIMEOUT));
}
