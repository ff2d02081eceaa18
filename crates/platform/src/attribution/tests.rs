use super::{CallHistory, CloseBehaviour, CloseBehaviours, MAX_AGE, announces_close};
use hyper::Response;
use hyper::http::response::Parts;
use milletturn_engine::{Attribution, CallItem, SharedStr};
use milletturn_policy::EndpointId;
use tokio::time::Instant;

const ENDPOINT: EndpointId = EndpointId(1);

fn head(headers: &[(&str, &str)]) -> Parts {
    let response = headers
        .iter()
        .fold(Response::builder(), |builder, (name, value)| {
            builder.header(*name, *value)
        });
    response.body(()).expect("a response").into_parts().0
}

fn items(ids: &[&str]) -> Vec<CallItem> {
    ids.iter()
        .map(|id| CallItem {
            id: SharedStr::new(id.as_bytes()).expect("an id"),
            key: None,
            body: Vec::new().into(),
        })
        .collect()
}

#[test]
fn a_response_must_name_its_messages_unless_its_call_is_the_first_or_last_on_the_connection() {
    let (one, other, two) = (items(&["m1"]), items(&["m2"]), items(&["m3", "m4"]));
    let mut history = CallHistory::default();
    assert_eq!(history.attribution(&one), Attribution::FirstCall);
    history.record(&one, &head(&[]), true);
    assert_eq!(history.attribution(&other), Attribution::LastCall);
    assert_eq!(history.attribution(&two), Attribution::NamesMessages);
    history.record(&two, &head(&[]), true);
    assert_eq!(history.attribution(&items(&["m5"])), Attribution::LastCall);
    let repeated = items(&["m6", "m1"]);
    assert_eq!(history.attribution(&repeated), Attribution::LastCall);
}

#[test]
fn a_connection_carries_one_more_call_after_a_rejection() {
    let mut history = CallHistory::default();
    let response_with_id = head(&[("x-request-id", "m1")]);
    history.record(&items(&["m1"]), &response_with_id, true);
    let next = items(&["m2"]);
    assert_eq!(history.attribution(&next), Attribution::NamesMessages);
    let response_with_id = head(&[("x-request-id", "m2")]);
    history.record(&next, &response_with_id, false);
    let batch = items(&["m3", "m4"]);
    assert_eq!(history.attribution(&batch), Attribution::LastCall);
}

#[test]
fn any_connection_option_can_announce_the_close() {
    for (value, expected) in [
        ("close", true),
        ("Keep-Alive, Close", true),
        ("keep-alive", false),
        ("closed", false),
    ] {
        assert_eq!(announces_close(&head(&[("connection", value)])), expected);
    }
    assert!(!announces_close(&head(&[])));
}

#[test]
fn last_calls_require_an_endpoint_that_closes_in_order_and_are_allowed_again_after_max_age() {
    let now = Instant::now();
    let mut behaviours = CloseBehaviours::default();
    let allowed = |behaviours: &CloseBehaviours| {
        [false, true]
            .map(|at_most_once| behaviours.allows(ENDPOINT, Attribution::LastCall, at_most_once))
    };
    assert_eq!(
        allowed(&behaviours),
        [true, false],
        "the behaviour is unknown"
    );
    behaviours.record(ENDPOINT, CloseBehaviour::Other, now);
    assert_eq!(allowed(&behaviours), [false, false]);
    assert!(behaviours.allows(ENDPOINT, Attribution::NamesMessages, true));
    behaviours.evict(now + MAX_AGE);
    assert_eq!(
        allowed(&behaviours),
        [true, false],
        "the entry has been evicted"
    );
    behaviours.record(ENDPOINT, CloseBehaviour::Orderly, now);
    behaviours.evict(now + MAX_AGE);
    assert_eq!(allowed(&behaviours), [true, true]);
}
