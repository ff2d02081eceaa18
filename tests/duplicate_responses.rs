//! The real sender behind a proxy that sends an endpoint's responses twice: a response ends no call but its own.

mod node;

use node::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long the endpoint takes.
const SERVICE_TIME: Duration = Duration::from_millis(80);
/// How long each message may take.
const TIME_TO_LIVE_MS: u64 = 3_000;
/// A message without an end so long after its time is lost (the protocol page).
const LOST_AFTER_MS: u64 = 300;
/// Time between two messages: a connection is idle by then.
const PAUSE: Duration = Duration::from_millis(160);
/// Messages of one test.
const MESSAGES: usize = 20;

/// What the endpoint does with a request, by its number; true for the flag if a copy crosses it.
type Script = fn(crossed: bool, number: usize) -> Reply;

/// Rejects what a copy crosses. Its other responses differ, as those with a load report do.
fn reject_crossed(crossed: bool, number: usize) -> Reply {
    match crossed {
        true => Reply::Respond(REJECTED, String::new()),
        false => Reply::Respond("200 OK", number.to_string()),
    }
}

/// Rejects what a copy crosses. Its other responses are the same bytes.
fn reject_crossed_alike(crossed: bool, _: usize) -> Reply {
    match crossed {
        true => Reply::Respond(REJECTED, String::new()),
        false => OK,
    }
}

/// Delivers nothing but what a copy crosses.
fn deliver_crossed(crossed: bool, _: usize) -> Reply {
    match crossed {
        true => OK,
        false => Reply::Respond(REJECTED, String::new()),
    }
}

/// Never answers what a copy crosses.
fn ignore_crossed(crossed: bool, number: usize) -> Reply {
    match crossed {
        true => Reply::NoResponse,
        false => Reply::Respond("200 OK", number.to_string()),
    }
}

/// Closes the connection on what a copy crosses.
fn close_crossed(crossed: bool, number: usize) -> Reply {
    match crossed {
        true => Reply::Close,
        false => Reply::Respond("200 OK", number.to_string()),
    }
}

const REJECTED: &str = "503 Service Unavailable";

/// An endpoint, and the proxy between it and the sender.
struct Fixture {
    proxy: DuplicatingProxy,
    endpoint: FakeEndpoint,
    /// Ids that the endpoint has answered with 200, each time.
    delivered: Arc<Mutex<Vec<String>>>,
    agent: FakeDiscovery,
    node: Node,
}

impl Fixture {
    /// Of each connection's responses, every second one is sent twice.
    fn new(script: Script, moment: DuplicateTiming) -> Self {
        Self::with(script, SERVICE_TIME, moment, DuplicateContent::Identical)
    }

    /// `usual_time` is what the endpoint takes for a call that no copy crosses.
    fn with(
        script: Script,
        usual_time: Duration,
        moment: DuplicateTiming,
        content: DuplicateContent,
    ) -> Self {
        let duplication = Duplication {
            timing: moment,
            content,
            every_nth_response: 2,
        };
        Self::behind(script, usual_time, duplication)
    }

    fn behind(script: Script, usual_time: Duration, duplication: Duplication) -> Self {
        let delivered: Arc<Mutex<Vec<String>>> = Arc::default();
        let ran = delivered.clone();
        let endpoint = FakeEndpoint::new(move |request, number| {
            let crossed = !request.header(DUPLICATE_SENT_HEADER).is_empty();
            thread::sleep(if crossed { SERVICE_TIME } else { usual_time });
            let reply = script(crossed, number);
            if matches!(reply, Reply::Respond("200 OK", _)) {
                ran.lock()
                    .expect("not poisoned")
                    .extend(request.message_ids());
            }
            reply
        });
        let proxy = DuplicatingProxy::new(endpoint.address, duplication);
        let agent = FakeDiscovery::new(vec![list_json(&[("s-1", proxy.address, "one", 7, "up")])]);
        let node = Node::traced(&agent).ready();
        Fixture {
            proxy,
            endpoint,
            delivered,
            agent,
            node,
        }
    }

    fn delivered(&self) -> Vec<String> {
        self.delivered.lock().expect("not poisoned").clone()
    }

    fn copies(&self) -> usize {
        self.proxy.duplicates_sent.load(Ordering::SeqCst)
    }

    /// Hands messages in one after the other.
    fn hand_in(&self, class: &str, count: usize) -> Vec<String> {
        let ids: Vec<String> = (0..count).map(|number| format!("m{number}")).collect();
        for id in &ids {
            assert_eq!(self.node.hand_in(class, id, 7, TIME_TO_LIVE_MS, b"x"), 202);
            thread::sleep(PAUSE);
        }
        ids
    }

    fn is_ended(&self, id: &String) -> bool {
        let quoted = format!("\"{id}\"");
        let notices = self.agent.notifications();
        self.delivered().contains(id) || notices.iter().any(|line| line.contains(&quoted))
    }

    /// The messages that are neither delivered nor ended by a notice once their time is up.
    fn lost(&self, ids: &[String]) -> Vec<String> {
        let open = || ids.iter().filter(|id| !self.is_ended(id));
        let until =
            std::time::Instant::now() + Duration::from_millis(TIME_TO_LIVE_MS + LOST_AFTER_MS);
        while open().next().is_some() && std::time::Instant::now() < until {
            thread::sleep(Duration::from_millis(10));
        }
        open().cloned().collect()
    }

    /// Each message ran once at most.
    fn assert_none_repeated(&self) {
        let mut ran = self.delivered();
        let runs = ran.len();
        ran.sort();
        ran.dedup();
        assert_eq!(runs, ran.len(), "each ran once at most");
    }

    fn assert_none_lost(&self, ids: &[String]) {
        let lost = self.lost(ids);
        let first = lost.first().map(|id| self.node.records_of(id));
        assert!(
            lost.is_empty(),
            "{} of {} lost, {} copies: {lost:?}\n{}",
            lost.len(),
            ids.len(),
            self.copies(),
            first.unwrap_or_default()
        );
    }
}

/// Hands in messages that may be repeated, and checks that none is lost though copies are sent.
fn assert_loses_nothing(fixture: &Fixture) {
    let ids = fixture.hand_in("webhook", MESSAGES);
    fixture.assert_none_lost(&ids);
    assert!(fixture.copies() > 0, "copies were sent");
}

/// The same with messages that must run once, of which none may run twice.
fn assert_runs_once(fixture: &Fixture) {
    let ids = fixture.hand_in("order", MESSAGES);
    fixture.assert_none_lost(&ids);
    fixture.assert_none_repeated();
}

/// Copies of 200s that cross the next request.
fn assert_no_loss(script: Script, delay: Duration) {
    assert_loses_nothing(&Fixture::new(
        script,
        DuplicateTiming::DuringNextRequest(delay),
    ));
}

#[test]
fn a_copy_of_a_200_in_the_middle_of_the_next_call_delivers_nothing_where_all_are_alike() {
    assert_no_loss(reject_crossed_alike, SERVICE_TIME / 2);
}

#[test]
fn what_must_run_once_is_neither_lost_nor_repeated_where_all_are_alike() {
    let fixture = Fixture::new(
        reject_crossed_alike,
        DuplicateTiming::DuringNextRequest(SERVICE_TIME - SERVICE_TIME / 20),
    );
    assert_runs_once(&fixture);
}

#[test]
fn a_copy_of_a_200_with_the_next_request_delivers_nothing() {
    assert_no_loss(reject_crossed, Duration::ZERO);
}

#[test]
fn a_copy_of_a_200_in_the_middle_of_the_next_call_delivers_nothing() {
    assert_no_loss(reject_crossed, SERVICE_TIME / 2);
}

#[test]
fn a_copy_of_a_200_with_the_next_request_delivers_nothing_where_all_are_alike() {
    assert_no_loss(reject_crossed_alike, Duration::ZERO);
}

#[test]
fn a_copy_of_a_200_on_an_idle_connection_delivers_nothing() {
    let duplication = Duplication {
        timing: DuplicateTiming::AfterResponse(Duration::from_millis(10)),
        content: DuplicateContent::Identical,
        every_nth_response: 1,
    };
    let fixture = Fixture::behind(reject_crossed, SERVICE_TIME, duplication);
    assert_loses_nothing(&fixture);
    assert_eq!(
        fixture.endpoint.request_count(),
        MESSAGES,
        "and none was repeated"
    );
}

#[test]
fn a_copy_of_a_200_behind_the_last_response_of_a_connection_loses_nothing() {
    let moment = DuplicateTiming::AfterResponse(Duration::from_millis(10));
    let fixture = Fixture::new(reject_crossed, moment);
    assert_loses_nothing(&fixture);
}

#[test]
fn a_copy_of_a_rejection_repeats_no_message_that_runs() {
    let fixture = Fixture::new(
        deliver_crossed,
        DuplicateTiming::DuringNextRequest(Duration::ZERO),
    );
    assert_runs_once(&fixture);
}

/// Second 200s with other headers than those before, so long after the next request.
fn assert_no_loss_by_other_headers(script: Script, delay: Duration) {
    let fixture = Fixture::with(
        script,
        SERVICE_TIME,
        DuplicateTiming::DuringNextRequest(delay),
        DuplicateContent::DifferentHeaders,
    );
    assert_loses_nothing(&fixture);
}

#[test]
fn a_second_200_with_other_headers_delivers_nothing() {
    assert_no_loss_by_other_headers(reject_crossed, Duration::ZERO);
}

#[test]
fn a_second_200_with_other_headers_in_the_middle_of_the_next_call_delivers_nothing() {
    assert_no_loss_by_other_headers(reject_crossed, SERVICE_TIME / 2);
}

#[test]
fn a_second_200_with_other_headers_delivers_nothing_where_no_response_follows() {
    assert_no_loss_by_other_headers(ignore_crossed, Duration::ZERO);
}

#[test]
fn a_copy_of_a_200_delivers_nothing_where_the_endpoint_closes() {
    let fixture = Fixture::new(
        close_crossed,
        DuplicateTiming::DuringNextRequest(Duration::ZERO),
    );
    assert_loses_nothing(&fixture);
}

#[test]
fn a_200_made_for_the_present_call_delivers_nothing_where_the_endpoint_closes_in_place_of_its_own()
{
    assert_no_loss_by_other_headers(close_crossed, Duration::ZERO);
}

#[test]
fn a_copy_of_a_200_delivers_nothing_where_all_are_alike_and_fast() {
    let fixture = Fixture::with(
        reject_crossed_alike,
        SERVICE_TIME / 8,
        DuplicateTiming::DuringNextRequest(Duration::from_millis(1)),
        DuplicateContent::Identical,
    );
    assert_loses_nothing(&fixture);
}

#[test]
fn a_second_rejection_with_other_headers_repeats_no_message_that_runs() {
    let fixture = Fixture::with(
        deliver_crossed,
        SERVICE_TIME,
        DuplicateTiming::DuringNextRequest(Duration::ZERO),
        DuplicateContent::DifferentHeaders,
    );
    assert_runs_once(&fixture);
}
