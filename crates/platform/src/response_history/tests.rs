use super::*;
use hyper::Response;

const ENDPOINT: EndpointId = EndpointId(1);

fn fingerprint(status: u16, headers: &[(&str, &str)], body: &str) -> Fingerprint {
    let builder = headers.iter().fold(
        Response::builder().status(status),
        |builder, (name, value)| builder.header(*name, *value),
    );
    let (head, ()) = builder.body(()).expect("a response").into_parts();
    Fingerprint::new(&head, body.as_bytes())
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// An endpoint that has sent these bodies, each after 100 ms but for the last, which took 200.
fn history(bodies: &[&str]) -> ResponseHistory {
    let mut history = ResponseHistory::default();
    for (number, body) in bodies.iter().enumerate() {
        let time = if number + 1 == bodies.len() { 200 } else { 100 };
        let response = fingerprint(200, &[], body);
        let identity = ResponseIdentity {
            fingerprint: response,
            content: Content::Some,
        };
        history.record(ENDPOINT, identity, ms(time), Instant::now());
    }
    history
}

#[test]
fn the_date_alone_makes_no_other_response() {
    let dated = |date| fingerprint(200, &[("date", date), ("x-server-load", "x0=1")], "");
    assert_eq!(
        dated("Fri, 04 Dec 2026 05:00:00 GMT"),
        dated("Fri, 04 Dec 2026 05:00:09 GMT")
    );
    let distinct = [
        fingerprint(200, &[], ""),
        fingerprint(503, &[], ""),
        fingerprint(200, &[("x-server-load", "x0=1")], ""),
        fingerprint(200, &[("x-server-load", "x0=0.5")], ""),
        fingerprint(200, &[], "x"),
    ];
    let set: HashSet<Fingerprint> = distinct.into_iter().collect();
    assert_eq!(set.len(), distinct.len());
}

#[test]
fn where_responses_differ_a_repeated_one_is_a_copy_however_late_it_comes() {
    let history = history(&["a", "b", "c", "d", "d"]);
    for time in [0, 99, 100, 5_000] {
        assert_eq!(
            history.attribute_repeated(ENDPOINT, ms(time), Content::None),
            Repeated::Copy
        );
    }
}

#[test]
fn where_responses_are_alike_one_that_comes_sooner_than_any_has_to_wait_for_quiet() {
    let history = history(&["a", "a", "a", "b"]);
    assert_eq!(
        history.attribute_repeated(ENDPOINT, ms(99), Content::None),
        Repeated::OwnIfQuietFor(ms(400))
    );
    assert_eq!(
        history.attribute_repeated(ENDPOINT, ms(100), Content::None),
        Repeated::Own
    );
}

#[test]
fn the_first_repeated_response_of_an_endpoint_is_a_copy_or_has_to_wait_for_quiet() {
    let history = history(&["a"]);
    assert_eq!(
        history.attribute_repeated(ENDPOINT, ms(5_000), Content::Some),
        Repeated::Copy
    );
    for (time, quiet) in [(0, 400), (200, 400), (300, 600)] {
        assert_eq!(
            history.attribute_repeated(ENDPOINT, ms(time), Content::None),
            Repeated::OwnIfQuietFor(ms(quiet))
        );
    }
}

#[test]
fn only_recent_responses_count_and_unused_endpoints_are_forgotten() {
    let mut bodies = vec!["a"; MAX_RECENT_RESPONSES];
    bodies.extend(["b", "c", "d", "e", "f", "g", "h", "i"]);
    let mut history = history(&bodies);
    assert_eq!(
        history.attribute_repeated(ENDPOINT, ms(500), Content::None),
        Repeated::Copy
    );
    let now = Instant::now();
    history.evict(now);
    assert_eq!(history.0.len(), 1);
    history.evict(now + 2 * MAX_AGE);
    assert!(history.0.is_empty());
    assert!(!history.may_mistake_copies(ENDPOINT));
}

#[test]
fn copies_may_be_mistaken_where_responses_are_known_to_be_alike_or_bare() {
    for (bodies, expected) in [
        (&[][..], false),
        (&["a"][..], false),
        (&["a", "b"][..], false),
        (&["a", "a"][..], true),
    ] {
        assert_eq!(
            history(bodies).may_mistake_copies(ENDPOINT),
            expected,
            "{bodies:?}"
        );
    }
    let mut bare = ResponseHistory::default();
    let identity = ResponseIdentity {
        fingerprint: fingerprint(200, &[], ""),
        content: Content::None,
    };
    bare.record(ENDPOINT, identity, ms(100), Instant::now());
    assert!(bare.may_mistake_copies(ENDPOINT));
}
