//! Runs the sender behind a proxy that sends some of an endpoint's responses twice. The tests guard against a duplicate
//! response that the sender takes for the response to the next call on the same connection: that call's message would
//! count as delivered though the endpoint rejected it, or would be sent again though it ran.

mod node;

use node::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time that the endpoint takes to process a request.
const SERVICE_TIME: Duration = Duration::from_millis(80);
/// Time from the submission of a message to its deadline.
const TIME_TO_LIVE_MS: u64 = 3_000;
/// Time after a message's deadline by which it must have been delivered or ended by a notification, according to the
/// platform's protocol page. After that time it counts as lost.
const LOST_AFTER_MS: u64 = 300;
/// Time between two submissions, long enough that the connection to the endpoint is idle again.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(160);
/// Number of messages that a test submits.
const MESSAGES: usize = 20;

/// Chooses the endpoint's reply to a request. `overlaps_duplicate` is true if the proxy sends a duplicate response while
/// the request is in flight. `number` is the number of requests that the endpoint received before it.
type Script = fn(overlaps_duplicate: bool, number: usize) -> Reply;

/// Rejects requests that overlap with a duplicate response. Answers all other requests with 200 and their numbers, so
/// that no two of these responses are identical; in production, responses differ because of their load reports.
fn reject_overlapping(overlaps_duplicate: bool, number: usize) -> Reply {
    match overlaps_duplicate {
        true => Reply::Respond(REJECTED, String::new()),
        false => Reply::Respond("200 OK", number.to_string()),
    }
}

/// Rejects requests that overlap with a duplicate response. All other responses are identical.
fn reject_overlapping_with_identical_responses(overlaps_duplicate: bool, _: usize) -> Reply {
    match overlaps_duplicate {
        true => Reply::Respond(REJECTED, String::new()),
        false => OK,
    }
}

/// Answers 200 to requests that overlap with a duplicate response, and rejects all others.
fn deliver_overlapping(overlaps_duplicate: bool, _: usize) -> Reply {
    match overlaps_duplicate {
        true => OK,
        false => Reply::Respond(REJECTED, String::new()),
    }
}

/// Never responds to requests that overlap with a duplicate response.
fn ignore_overlapping(overlaps_duplicate: bool, number: usize) -> Reply {
    match overlaps_duplicate {
        true => Reply::NoResponse,
        false => Reply::Respond("200 OK", number.to_string()),
    }
}

/// Closes the connection on requests that overlap with a duplicate response.
fn close_overlapping(overlaps_duplicate: bool, number: usize) -> Reply {
    match overlaps_duplicate {
        true => Reply::Close,
        false => Reply::Respond("200 OK", number.to_string()),
    }
}

const REJECTED: &str = "503 Service Unavailable";

/// A sender, an endpoint, and the proxy between the two.
struct Fixture {
    proxy: DuplicatingProxy,
    endpoint: FakeEndpoint,
    /// Message ids that the endpoint answered with 200, one entry for each response.
    delivered: Arc<Mutex<Vec<String>>>,
    discovery: FakeDiscovery,
    node: Node,
}

impl Fixture {
    /// Starts a fixture whose proxy sends every second response of each connection twice, byte for byte.
    fn new(script: Script, timing: DuplicateTiming) -> Self {
        Self::with(script, SERVICE_TIME, timing, DuplicateContent::Identical)
    }

    /// `usual_time` is the time that the endpoint takes for a request that does not overlap with a duplicate response.
    fn with(
        script: Script,
        usual_time: Duration,
        timing: DuplicateTiming,
        content: DuplicateContent,
    ) -> Self {
        let duplication = Duplication {
            timing,
            content,
            every_nth_response: 2,
        };
        Self::with_duplication(script, usual_time, duplication)
    }

    fn with_duplication(script: Script, usual_time: Duration, duplication: Duplication) -> Self {
        let delivered: Arc<Mutex<Vec<String>>> = Arc::default();
        let delivered_ids = delivered.clone();
        let endpoint = FakeEndpoint::new(move |request, number| {
            let overlaps_duplicate = !request.header(DUPLICATE_SENT_HEADER).is_empty();
            thread::sleep(if overlaps_duplicate {
                SERVICE_TIME
            } else {
                usual_time
            });
            let reply = script(overlaps_duplicate, number);
            if matches!(reply, Reply::Respond("200 OK", _)) {
                delivered_ids
                    .lock()
                    .expect("not poisoned")
                    .extend(request.message_ids());
            }
            reply
        });
        let proxy = DuplicatingProxy::new(endpoint.address, duplication);
        let discovery =
            FakeDiscovery::new(vec![list_json(&[("s-1", proxy.address, "one", 7, "up")])]);
        let node = Node::with_trace(&discovery).ready();
        Fixture {
            proxy,
            endpoint,
            delivered,
            discovery,
            node,
        }
    }

    fn delivered(&self) -> Vec<String> {
        self.delivered.lock().expect("not poisoned").clone()
    }

    fn duplicate_count(&self) -> usize {
        self.proxy.duplicates_sent.load(Ordering::SeqCst)
    }

    /// Submits this number of messages one after the other.
    fn submit(&self, class: &str, count: usize) -> Vec<String> {
        let ids: Vec<String> = (0..count).map(|number| format!("m{number}")).collect();
        for id in &ids {
            assert_eq!(self.node.submit(class, id, 7, TIME_TO_LIVE_MS, b"x"), 202);
            thread::sleep(SUBMIT_INTERVAL);
        }
        ids
    }

    fn is_ended(&self, id: &String) -> bool {
        let quoted = format!("\"{id}\"");
        let notifications = self.discovery.notifications();
        self.delivered().contains(id)
            || notifications
                .iter()
                .any(|notification| notification.contains(&quoted))
    }

    /// The messages that are neither delivered nor ended by a notification once their deadline and [`LOST_AFTER_MS`] are
    /// over.
    fn lost(&self, ids: &[String]) -> Vec<String> {
        let unfinished = || ids.iter().filter(|id| !self.is_ended(id));
        let wait_end =
            std::time::Instant::now() + Duration::from_millis(TIME_TO_LIVE_MS + LOST_AFTER_MS);
        while unfinished().next().is_some() && std::time::Instant::now() < wait_end {
            thread::sleep(Duration::from_millis(10));
        }
        unfinished().cloned().collect()
    }

    /// Checks that the endpoint answered each message with 200 at most once, so that none ran twice.
    fn assert_none_repeated(&self) {
        let mut delivered = self.delivered();
        let run_count = delivered.len();
        delivered.sort();
        delivered.dedup();
        assert_eq!(run_count, delivered.len(), "each ran once at most");
    }

    fn assert_none_lost(&self, ids: &[String]) {
        let lost = self.lost(ids);
        let first = lost.first().map(|id| self.node.log_records_of(id));
        assert!(
            lost.is_empty(),
            "{} of {} lost, {} duplicate responses: {lost:?}\n{}",
            lost.len(),
            ids.len(),
            self.duplicate_count(),
            first.unwrap_or_default()
        );
    }
}

/// Submits messages that may be repeated, and checks that duplicate responses were sent and no message is lost.
fn submit_and_assert_none_lost(fixture: &Fixture) {
    let ids = fixture.submit("webhook", MESSAGES);
    fixture.assert_none_lost(&ids);
    assert!(
        fixture.duplicate_count() > 0,
        "duplicate responses were sent"
    );
}

/// Submits messages that must run at most once, and checks that none is lost or run twice.
fn submit_and_assert_each_runs_at_most_once(fixture: &Fixture) {
    let ids = fixture.submit("order", MESSAGES);
    fixture.assert_none_lost(&ids);
    fixture.assert_none_repeated();
}

/// Checks that no message is lost when a 200 is sent a second time, `delay` after the next request.
fn assert_no_loss(script: Script, delay: Duration) {
    submit_and_assert_none_lost(&Fixture::new(
        script,
        DuplicateTiming::DuringNextRequest(delay),
    ));
}

#[test]
fn a_duplicate_200_during_the_next_call_delivers_nothing_when_responses_are_identical() {
    assert_no_loss(
        reject_overlapping_with_identical_responses,
        SERVICE_TIME / 2,
    );
}

#[test]
fn at_most_once_messages_are_neither_lost_nor_repeated_when_responses_are_identical() {
    let fixture = Fixture::new(
        reject_overlapping_with_identical_responses,
        DuplicateTiming::DuringNextRequest(SERVICE_TIME - SERVICE_TIME / 20),
    );
    submit_and_assert_each_runs_at_most_once(&fixture);
}

#[test]
fn a_duplicate_200_with_the_next_request_delivers_nothing() {
    assert_no_loss(reject_overlapping, Duration::ZERO);
}

#[test]
fn a_duplicate_200_during_the_next_call_delivers_nothing() {
    assert_no_loss(reject_overlapping, SERVICE_TIME / 2);
}

#[test]
fn a_duplicate_200_with_the_next_request_delivers_nothing_when_responses_are_identical() {
    assert_no_loss(reject_overlapping_with_identical_responses, Duration::ZERO);
}

#[test]
fn a_duplicate_200_on_an_idle_connection_delivers_nothing() {
    let duplication = Duplication {
        timing: DuplicateTiming::AfterResponse(Duration::from_millis(10)),
        content: DuplicateContent::Identical,
        every_nth_response: 1,
    };
    let fixture = Fixture::with_duplication(reject_overlapping, SERVICE_TIME, duplication);
    submit_and_assert_none_lost(&fixture);
    assert_eq!(
        fixture.endpoint.request_count(),
        MESSAGES,
        "no message was sent again"
    );
}

#[test]
fn a_duplicate_200_after_the_last_response_of_a_connection_loses_no_message() {
    let timing = DuplicateTiming::AfterResponse(Duration::from_millis(10));
    let fixture = Fixture::new(reject_overlapping, timing);
    submit_and_assert_none_lost(&fixture);
}

#[test]
fn a_duplicate_rejection_repeats_no_running_message() {
    let fixture = Fixture::new(
        deliver_overlapping,
        DuplicateTiming::DuringNextRequest(Duration::ZERO),
    );
    submit_and_assert_each_runs_at_most_once(&fixture);
}

/// Checks that no message is lost when a second 200 with other headers is sent, `delay` after the next request.
fn assert_no_loss_with_different_headers(script: Script, delay: Duration) {
    let fixture = Fixture::with(
        script,
        SERVICE_TIME,
        DuplicateTiming::DuringNextRequest(delay),
        DuplicateContent::DifferentHeaders,
    );
    submit_and_assert_none_lost(&fixture);
}

#[test]
fn a_second_200_with_different_headers_delivers_nothing() {
    assert_no_loss_with_different_headers(reject_overlapping, Duration::ZERO);
}

#[test]
fn a_second_200_with_different_headers_during_the_next_call_delivers_nothing() {
    assert_no_loss_with_different_headers(reject_overlapping, SERVICE_TIME / 2);
}

#[test]
fn a_second_200_with_different_headers_delivers_nothing_when_the_endpoint_does_not_respond() {
    assert_no_loss_with_different_headers(ignore_overlapping, Duration::ZERO);
}

#[test]
fn a_duplicate_200_delivers_nothing_when_the_endpoint_closes_the_connection() {
    let fixture = Fixture::new(
        close_overlapping,
        DuplicateTiming::DuringNextRequest(Duration::ZERO),
    );
    submit_and_assert_none_lost(&fixture);
}

#[test]
fn a_second_200_with_different_headers_delivers_nothing_when_the_endpoint_closes_the_connection() {
    assert_no_loss_with_different_headers(close_overlapping, Duration::ZERO);
}

#[test]
fn a_duplicate_200_delivers_nothing_when_responses_are_identical_and_fast() {
    let fixture = Fixture::with(
        reject_overlapping_with_identical_responses,
        SERVICE_TIME / 8,
        DuplicateTiming::DuringNextRequest(Duration::from_millis(1)),
        DuplicateContent::Identical,
    );
    submit_and_assert_none_lost(&fixture);
}

#[test]
fn a_second_rejection_with_different_headers_repeats_no_running_message() {
    let fixture = Fixture::with(
        deliver_overlapping,
        SERVICE_TIME,
        DuplicateTiming::DuringNextRequest(Duration::ZERO),
        DuplicateContent::DifferentHeaders,
    );
    submit_and_assert_each_runs_at_most_once(&fixture);
}
