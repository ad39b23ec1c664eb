#[test]
fn stable_hash_distinguishes_part_boundaries() {
    assert_ne!(super::stable_hash(&[b"ab", b"c"]), super::stable_hash(&[b"a", b"bc"]));
    assert_eq!(super::stable_hash(&[b"ab"]), super::stable_hash(&[b"ab"]));
}
