//! Tests of `verdict`.

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

fn verdict(head: Parts, repeat: Repeat) -> Verdict {
    let sent = SentRequest {
        attempt: &HeaderValue::from_static("a"),
        method: &Method::POST,
        repeat,
        first_on_connection: false,
    };
    check(head, &sent)
}

/// Over all statuses: what may run only once gets a promise by proof alone.
#[test]
fn no_promise_is_ever_relayed_to_what_may_run_only_once() {
    for status in 200..600 {
        let promise = [408, 421, 429, 503].contains(&status);
        let plain = verdict(head(status, &SEALED), Repeat::Never);
        assert_eq!(matches!(plain, Verdict::Relay(_)), !promise, "{status}");
        assert_eq!(matches!(plain, Verdict::NotExecuted(_)), status == 421, "{status}");
        let mut marked = head(status, &SEALED);
        marked.headers.insert(headers::NOT_EXECUTED, HeaderValue::from_static("1"));
        let proven = matches!(verdict(marked, Repeat::Never), Verdict::NotExecuted(_));
        assert_eq!(proven, !(200..300).contains(&status), "{status}");
    }
}

#[test]
fn relayed_heads_keep_the_status_that_the_engine_gave() {
    for status in [200, 204, 302, 400, 404, 429, 500, 503, 504] {
        let Verdict::Relay(mut relayed) = verdict(head(status, &SEALED), Repeat::Freely) else {
            panic!("{status} is not relayed");
        };
        assert_eq!(relayed.status().as_u16(), status);
        assert!(relayed.take_headers().contains_key(headers::SERVER_SEAL));
    }
}

#[test]
fn spoilt_answers_say_why() {
    use InvalidResponse::*;
    let id = ("x-attempt-id", "a");
    let seal = ("x-server-seal", "s");
    let length = ("content-length", "3");
    let routing_table = [
        (Unidentified, 200, vec![seal, length]),
        (Unidentified, 503, vec![("x-not-executed", "1")]),
        (Unidentified, 200, vec![("x-attempt-id", "b"), seal, length]),
        (Contradictory, 200, vec![id, seal, length, ("x-not-executed", "1")]),
        (Interim, 101, vec![id, seal, length]),
        (Encoded, 200, vec![id, seal, length, ("content-encoding", "gzip")]),
        (Unsealed, 201, vec![id, length]),
        (UnprovenRefusal, 429, vec![id, length]),
        (EndUnprovable, 200, vec![id, seal]),
        (EndUnprovable, 200, vec![id, seal, length, ("transfer-encoding", "chunked")]),
    ];
    for (why, status, pairs) in routing_table {
        match verdict(head(status, &pairs), Repeat::Never) {
            Verdict::Invalid(got) => assert_eq!(got, why, "{status} {pairs:?}"),
            other => panic!("{status} {pairs:?}: {other:?}"),
        }
    }
}
