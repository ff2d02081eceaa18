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
        history.record(ENDPOINT, response, ms(time), Instant::now());
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
            history.attribute_repeated(ENDPOINT, ms(time)),
            Attribution::Copy
        );
    }
}

#[test]
fn where_responses_are_alike_one_that_comes_sooner_than_any_has_to_wait_for_quiet() {
    for bodies in [&["a", "a", "a", "b"][..], &["a"][..]] {
        let history = history(bodies);
        let fastest = if bodies.len() == 1 { 200 } else { 100 };
        assert_eq!(
            history.attribute_repeated(ENDPOINT, ms(fastest - 1)),
            Attribution::OwnIfQuietFor(ms(400))
        );
        assert_eq!(
            history.attribute_repeated(ENDPOINT, ms(fastest)),
            Attribution::Own
        );
    }
}

#[test]
fn only_recent_responses_count_and_unused_endpoints_are_forgotten() {
    let mut bodies = vec!["a"; MAX_RECENT_RESPONSES];
    bodies.extend(["b", "c", "d", "e", "f", "g", "h", "i"]);
    let mut history = history(&bodies);
    assert_eq!(
        history.attribute_repeated(ENDPOINT, ms(500)),
        Attribution::Copy
    );
    let now = Instant::now();
    history.evict(now, ms(1_000));
    assert_eq!(history.0.len(), 1);
    history.evict(now + ms(2_000), ms(1_000));
    assert!(history.0.is_empty());
    assert_eq!(
        history.attribute_repeated(ENDPOINT, ms(0)),
        Attribution::Own
    );
}
