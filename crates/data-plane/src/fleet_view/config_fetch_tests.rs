use super::*;

fn current(body: &'static str) -> ConfigBody {
    ConfigBody { digest: BodyDigest::of(body.as_bytes()), body: body.into() }
}

fn response(body: &str, payload: ConfigPayload) -> ConfigResponse {
    let digest = BodyDigest::of(body.as_bytes());
    ConfigResponse {
        version: 2,
        isolation: 1,
        digest: bytes::Bytes::copy_from_slice(digest.as_bytes()),
        payload: Some(payload),
    }
}

fn delta_form(old: &str, new: &str) -> ConfigPayload {
    let delta = delta::between(old.as_bytes(), new.as_bytes());
    ConfigPayload::Delta(compression::compress(&delta.encode_to_vec()))
}

#[test]
fn a_body_is_rebuilt_from_a_full_response_and_from_a_delta() {
    let (old, new) = ("{\"routes\":[{\"name\":\"a\"}]}", "{\"routes\":[{\"name\":\"b\"}]}");
    let full = response(new, ConfigPayload::Full(compression::compress(new.as_bytes())));
    assert_eq!(rebuild(&full, None).unwrap(), current(new));
    assert_eq!(rebuild(&full, Some(&current(old))).unwrap(), current(new));
    let delta = response(new, delta_form(old, new));
    assert_eq!(rebuild(&delta, Some(&current(old))).unwrap(), current(new));
}

#[test]
fn a_body_that_does_not_match_its_digest_is_rejected() {
    let (old, new) = ("{\"routes\":[{\"name\":\"a\"}]}", "{\"routes\":[{\"name\":\"b\"}]}");
    let damaged = response(new, ConfigPayload::Full(compression::compress(old.as_bytes())));
    assert!(matches!(rebuild(&damaged, None), Err(FetchError::DigestMismatch)));
    let (shared, next) = ("{\"routes\":[{\"name\":\"one\"}", ",{\"name\":\"two\"}]}");
    let mismatched =
        response(&[shared, next].concat(), delta_form(shared, &[shared, next].concat()));
    let other = current("{\"routes\":[{\"name\":\"six\"}");
    assert!(matches!(rebuild(&mismatched, Some(&other)), Err(FetchError::DigestMismatch)));
    assert!(rebuild(&mismatched, None).is_err());
    let undecodable = response(new, ConfigPayload::Delta(compression::compress(&[0xff; 20])));
    assert!(matches!(rebuild(&undecodable, Some(&other)), Err(FetchError::Undecodable)));
}

#[test]
fn the_full_body_is_requested_after_a_delta_that_does_not_apply() {
    let mut fetcher = Fetcher { current: Some(current("{}")), ..Default::default() };
    assert_eq!(fetcher.request().digest, BodyDigest::of(b"{}").as_bytes());
    fetcher.request_full = true;
    assert!(fetcher.request().digest.is_empty());
}

#[test]
fn timeouts_and_backoff_grow_with_failures_up_to_a_limit() {
    assert_eq!(Fetcher::default().timeout(), constants::CONFIG_FULL_FETCH_TIMEOUT);
    let mut fetcher = Fetcher { current: Some(current("{}")), ..Default::default() };
    let mut delays = Vec::new();
    for failures in 0..40 {
        fetcher.failures = failures;
        delays.push((fetcher.timeout(), fetcher.max_backoff_ms()));
    }
    assert!(delays.is_sorted());
    assert_eq!(
        delays[2].0,
        constants::CONFIG_FETCH_TIMEOUT,
        "three controllers are tried before the timeout grows"
    );
    assert_eq!(delays[39].0, constants::CONFIG_FETCH_TIMEOUT_MAX);
    assert!(delays[39].1 < 2000, "ms");
}
