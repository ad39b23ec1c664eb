//! Tests of `config_fetch`.

use super::*;

fn current(body: &'static str) -> ConfigBody {
    ConfigBody { digest: BodyDigest::of(body.as_bytes()), body: body.into() }
}

fn response(body: &str, form: ConfigForm) -> ConfigResponse {
    let digest = BodyDigest::of(body.as_bytes());
    ConfigResponse {
        version: 2,
        isolation: 1,
        digest: bytes::Bytes::copy_from_slice(digest.as_bytes()),
        form: Some(form),
    }
}

fn delta_form(former: &str, new: &str) -> ConfigForm {
    let delta = delta::between(former.as_bytes(), new.as_bytes());
    ConfigForm::Delta(packing::pack(&delta.encode_to_vec()))
}

#[test]
fn a_body_is_rebuilt_from_the_whole_and_from_a_delta() {
    let (former, new) = ("{\"routes\":[{\"name\":\"a\"}]}", "{\"routes\":[{\"name\":\"b\"}]}");
    let full = response(new, ConfigForm::Full(packing::pack(new.as_bytes())));
    assert_eq!(rebuild(&full, None).unwrap(), current(new));
    assert_eq!(rebuild(&full, Some(&current(former))).unwrap(), current(new));
    let delta = response(new, delta_form(former, new));
    assert_eq!(rebuild(&delta, Some(&current(former))).unwrap(), current(new));
}

#[test]
fn a_body_with_another_digest_is_not_taken() {
    let (former, new) = ("{\"routes\":[{\"name\":\"a\"}]}", "{\"routes\":[{\"name\":\"b\"}]}");
    let damaged = response(new, ConfigForm::Full(packing::pack(former.as_bytes())));
    assert!(matches!(rebuild(&damaged, None), Err(FetchError::OtherDigest)));
    let (shared, next) = ("{\"routes\":[{\"name\":\"one\"}", ",{\"name\":\"two\"}]}");
    let unfitting =
        response(&[shared, next].concat(), delta_form(shared, &[shared, next].concat()));
    let other = current("{\"routes\":[{\"name\":\"six\"}");
    assert!(matches!(rebuild(&unfitting, Some(&other)), Err(FetchError::OtherDigest)));
    assert!(rebuild(&unfitting, None).is_err());
    let garbled = response(new, ConfigForm::Delta(packing::pack(&[0xff; 20])));
    assert!(matches!(rebuild(&garbled, Some(&other)), Err(FetchError::Undecodable)));
}

#[test]
fn after_a_delta_that_does_not_fit_the_whole_is_asked_for() {
    let mut fetcher = Fetcher { current: Some(current("{}")), ..Default::default() };
    assert_eq!(fetcher.request().digest, BodyDigest::of(b"{}").as_bytes());
    fetcher.full_next = true;
    assert!(fetcher.request().digest.is_empty());
}

#[test]
fn waits_and_pauses_grow_with_failures_and_stay_bounded() {
    assert_eq!(Fetcher::default().limit(), constants::CONFIG_FULL_FETCH_TIMEOUT);
    let mut fetcher = Fetcher { current: Some(current("{}")), ..Default::default() };
    let mut waits = Vec::new();
    for failures in 0..40 {
        fetcher.failures = failures;
        waits.push((fetcher.limit(), fetcher.max_backoff_ms()));
    }
    assert!(waits.is_sorted());
    assert_eq!(waits[2].0, constants::CONFIG_FETCH_TIMEOUT, "three controllers are asked soon");
    assert_eq!(waits[39].0, constants::CONFIG_FETCH_TIMEOUT_MAX);
    assert!(waits[39].1 < 2000, "ms");
}
