//! Tests of `prompt`.

use super::*;

fn read(pairs: &[(&'static str, &str)]) -> Prompt {
    let mut h = http::HeaderMap::new();
    for (n, v) in pairs {
        h.insert(*n, http::HeaderValue::from_bytes(v.as_bytes()).unwrap());
    }
    Prompt::read(&h)
}

#[test]
fn reads_parts_in_order() {
    let p = read(&[
        ("x-model", "m"),
        ("x-token-count", "1460,80"),
        ("x-prompt-prefix", "5c:800,91:410,e4:250"),
    ]);
    assert_eq!(p.parts.len(), 3);
    assert_eq!(p.deepest_shared(), Some(0x91));
    assert_eq!((p.tokens(), p.load()), (1460, 1540));
}

#[test]
fn malformed_parts_mean_no_affinity() {
    for bad in ["", "x", "5c", "5c:", ":5", "zz:4", "5c:-1", "5c:1,,", "5c:99999999999999999999"] {
        let p = read(&[("x-prompt-prefix", bad), ("x-token-count", bad)]);
        assert!(p.parts.is_empty(), "{bad}");
        assert_eq!(p.deepest_shared(), None);
    }
}

proptest::proptest! {
    #[test]
    fn never_panics(a in "[ -~]{0,60}", b in "[0-9a-f:,]{0,60}") {
        let p = read(&[("x-prompt-prefix", &b), ("x-token-count", &a), ("x-model", &a)]);
        proptest::prop_assert!(p.load() >= p.tokens());
    }
}
