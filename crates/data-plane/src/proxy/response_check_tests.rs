use super::*;

const SEALED: [(&str, &str); 3] =
    [("x-attempt-id", "a"), ("x-server-seal", "s"), ("content-length", "0")];

fn head(status: u16, pairs: &[(&'static str, &'static str)]) -> Parts {
    let mut builder = http::Response::builder().status(status);
    for (name, value) in pairs {
        builder = builder.header(*name, *value);
    }
    builder.body(()).unwrap().into_parts().0
}

fn verdict(head: Parts, retry_mode: RetryMode) -> Verdict {
    let sent = SentRequest {
        attempt_id: &HeaderValue::from_static("a"),
        method: &Method::POST,
        retry_mode,
        first_on_connection: false,
    };
    check(head, &sent)
}

/// For a request that may run only once, a status that implies that it has not run is never relayed; it needs the
/// header or a 421.
#[test]
fn unproven_rejections_are_not_relayed_for_non_repeatable_requests() {
    for status in 200..600 {
        let implies_not_executed = [408, 421, 429, 503].contains(&status);
        let plain = verdict(head(status, &SEALED), RetryMode::Never);
        assert_eq!(matches!(plain, Verdict::Relay(_)), !implies_not_executed, "{status}");
        assert_eq!(matches!(plain, Verdict::NotExecuted(_)), status == 421, "{status}");
        let mut marked = head(status, &SEALED);
        marked.headers.insert(headers::NOT_EXECUTED, HeaderValue::from_static("1"));
        let proven = matches!(verdict(marked, RetryMode::Never), Verdict::NotExecuted(_));
        assert_eq!(proven, !(200..300).contains(&status), "{status}");
    }
}

#[test]
fn relayed_heads_keep_the_status_of_the_engine() {
    for status in [200, 204, 302, 400, 404, 429, 500, 503, 504] {
        let Verdict::Relay(mut relayed) = verdict(head(status, &SEALED), RetryMode::Unrestricted)
        else {
            panic!("{status} is not relayed");
        };
        assert_eq!(relayed.status().as_u16(), status);
        assert!(relayed.take_headers().contains_key(headers::SERVER_SEAL));
    }
}

#[test]
fn invalid_responses_give_the_reason() {
    use InvalidResponse::*;
    let id = ("x-attempt-id", "a");
    let seal = ("x-server-seal", "s");
    let length = ("content-length", "3");
    let cases = [
        (Unidentified, 200, vec![seal, length]),
        (Unidentified, 503, vec![("x-not-executed", "1")]),
        (Unidentified, 200, vec![("x-attempt-id", "b"), seal, length]),
        (Contradictory, 200, vec![id, seal, length, ("x-not-executed", "1")]),
        (Interim, 101, vec![id, seal, length]),
        (Encoded, 200, vec![id, seal, length, ("content-encoding", "gzip")]),
        (Unsealed, 201, vec![id, length]),
        (UnprovenRejection, 429, vec![id, length]),
        (EndUnprovable, 200, vec![id, seal]),
        (EndUnprovable, 200, vec![id, seal, length, ("transfer-encoding", "chunked")]),
    ];
    for (expected, status, pairs) in cases {
        match verdict(head(status, &pairs), RetryMode::Never) {
            Verdict::Invalid(got) => assert_eq!(got, expected, "{status} {pairs:?}"),
            other => panic!("{status} {pairs:?}: {other:?}"),
        }
    }
}
