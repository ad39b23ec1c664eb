use super::*;

fn body(number: usize) -> (BodyDigest, bytes::Bytes) {
    let body = format!("{{\"revision\":{number}}}");
    (BodyDigest::of(body.as_bytes()), compression::compress(body.as_bytes()))
}

#[test]
fn only_the_newest_bodies_are_retained_and_their_bytes_are_bounded() {
    let mut bodies = Bodies::default();
    for number in 0..=constants::PREVIOUS_CONFIGS_CAPACITY {
        let (digest, compressed) = body(number);
        bodies.retain(digest, compressed.clone());
        bodies.retain(digest, compressed);
    }
    assert!(bodies.compressed(body(0).0).is_none());
    assert!(bodies.compressed(body(1).0).is_some());
    let large = vec![0; constants::PREVIOUS_CONFIGS_CAPACITY_BYTES - 10].into();
    bodies.retain(BodyDigest::of(b"large"), large);
    assert_eq!(bodies.retained.len(), 1);
    assert!(bodies.bytes <= constants::PREVIOUS_CONFIGS_CAPACITY_BYTES);
}

#[test]
fn a_delta_requires_both_bodies() {
    let mut bodies = Bodies::default();
    let ((base, compressed), (target, _)) = (body(1), body(2));
    bodies.retain(base, compressed);
    assert_eq!(bodies.delta(base, target), None);
    bodies.retain(target, body(2).1);
    let first = bodies.delta(base, target).unwrap();
    assert_eq!(bodies.delta(base, target).unwrap(), first);
    assert_eq!(bodies.deltas.len(), 1);
}
