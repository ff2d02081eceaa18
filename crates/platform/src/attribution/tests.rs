use super::{CloseBehaviour, CloseBehaviours, ConnectionRecord, MAX_AGE, announces_close};
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
fn a_call_needs_a_name_in_its_response_to_be_neither_the_first_nor_the_last() {
    let (one, other, two) = (items(&["m1"]), items(&["m2"]), items(&["m3", "m4"]));
    let mut record = ConnectionRecord::default();
    assert_eq!(record.attribution(&one), Attribution::FirstCall);
    record.record(&one, &head(&[]), true);
    assert_eq!(record.attribution(&other), Attribution::LastCall);
    assert_eq!(record.attribution(&two), Attribution::NamesMessages);
    record.record(&two, &head(&[]), true);
    assert_eq!(record.attribution(&items(&["m5"])), Attribution::LastCall);
    let again = items(&["m6", "m1"]);
    assert_eq!(record.attribution(&again), Attribution::LastCall);
}

#[test]
fn a_connection_behind_a_rejection_carries_one_more_call() {
    let mut record = ConnectionRecord::default();
    let naming = head(&[("x-request-id", "m1")]);
    record.record(&items(&["m1"]), &naming, true);
    let next = items(&["m2"]);
    assert_eq!(record.attribution(&next), Attribution::NamesMessages);
    let naming = head(&[("x-request-id", "m2")]);
    record.record(&next, &naming, false);
    let bulk = items(&["m3", "m4"]);
    assert_eq!(record.attribution(&bulk), Attribution::LastCall);
}

#[test]
fn the_end_of_a_connection_is_announced_by_one_of_its_options() {
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
fn last_calls_are_made_where_endpoints_close_and_tried_anew_after_a_while() {
    let now = Instant::now();
    let mut behaviours = CloseBehaviours::default();
    let allowed = |behaviours: &CloseBehaviours| {
        [false, true].map(|once| behaviours.allow(ENDPOINT, Attribution::LastCall, once))
    };
    assert_eq!(allowed(&behaviours), [true, false], "nothing is known");
    behaviours.record(ENDPOINT, CloseBehaviour::Other, now);
    assert_eq!(allowed(&behaviours), [false, false]);
    assert!(behaviours.allow(ENDPOINT, Attribution::NamesMessages, true));
    behaviours.evict(now + MAX_AGE);
    assert_eq!(allowed(&behaviours), [true, false], "it is forgotten");
    behaviours.record(ENDPOINT, CloseBehaviour::InOrder, now);
    behaviours.evict(now + MAX_AGE);
    assert_eq!(allowed(&behaviours), [true, true]);
}
