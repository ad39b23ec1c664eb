//! Tests of `prompt`: parsing of well-formed, malformed and arbitrary request headers.

use super::*;

fn parse(pairs: &[(&'static str, &str)]) -> Prompt {
    let mut headers = http::HeaderMap::new();
    for (name, value) in pairs {
        headers.insert(*name, http::HeaderValue::from_bytes(value.as_bytes()).unwrap());
    }
    Prompt::from_headers(&headers)
}

#[test]
fn parses_parts_in_order() {
    let prompt = parse(&[
        ("x-model", "m"),
        ("x-token-count", "1460,80"),
        ("x-prompt-prefix", "5c:800,91:410,e4:250"),
    ]);
    assert_eq!(prompt.parts.len(), 3);
    assert_eq!(prompt.deepest_shared(), Some(0x91));
    assert_eq!((prompt.tokens(), prompt.load()), (1460, 1540));
}

#[test]
fn malformed_parts_are_ignored() {
    for bad in ["", "x", "5c", "5c:", ":5", "zz:4", "5c:-1", "5c:1,,", "5c:99999999999999999999"] {
        let prompt = parse(&[("x-prompt-prefix", bad), ("x-token-count", bad)]);
        assert!(prompt.parts.is_empty(), "{bad}");
        assert_eq!(prompt.deepest_shared(), None);
    }
}

proptest::proptest! {
    #[test]
    fn never_panics(token_count in "[ -~]{0,60}", prefix in "[0-9a-f:,]{0,60}") {
        let prompt = parse(&[("x-prompt-prefix", &prefix), ("x-token-count", &token_count), ("x-model", &token_count)]);
        proptest::prop_assert!(prompt.load() >= prompt.tokens());
    }
}
