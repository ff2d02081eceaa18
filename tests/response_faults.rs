//! Runs the sender against endpoints that violate HTTP at random, from a seed. Each accepted message must still be delivered
//! or ended by a notification, and at-most-once messages must run at most once.
//! `MILLETTURN_SEEDS=40..90` selects other seeds.

mod node;

use node::*;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Seeds that are used unless `MILLETTURN_SEEDS` is set.
const DEFAULT_SEEDS: Range<u64> = 1..5;
/// Time during which messages are submitted.
const SUBMIT_TIME: Duration = Duration::from_secs(6);
const SUBMIT_INTERVAL: Duration = Duration::from_millis(15);
const TIME_TO_LIVE_MS: u64 = 3_000;
/// Time after a message's deadline, or after a restart, within which a notification may still arrive, according to the
/// platform's protocol page.
const NOTIFICATION_GRACE: Duration = Duration::from_millis(1_800);

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("MILLETTURN_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (first, end) = text.split_once("..").expect("a range such as 40..90");
    first.parse().expect("a seed")..end.parse().expect("a seed")
}

/// The sender and its endpoints during the run of one seed.
struct Scenario {
    seed: u64,
    executions: Arc<Mutex<Executions>>,
    discovery: FakeDiscovery,
    node: Node,
    accepted: Vec<String>,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let executions: Arc<Mutex<Executions>> = Arc::default();
        let endpoint = |number| spawn_unreliable_endpoint(seed * 10 + number, &executions);
        let discovery = FakeDiscovery::new(vec![list_json(&[
            ("s-1", endpoint(1), "one", 7, "up"),
            ("s-2", endpoint(2), "one", 7, "up"),
            ("s-3", endpoint(3), "one", 8, "up"),
            ("s-4", endpoint(4), "bulk", 9, "up"),
        ])]);
        let node = Node::with_trace(&discovery).ready();
        Scenario {
            seed,
            executions,
            discovery,
            node,
            accepted: Vec::new(),
        }
    }

    /// Submits repeatable and at-most-once messages to all destinations. If the seed is even, kills and restarts the
    /// sender halfway through.
    fn run(mut self) -> Self {
        let begin = Instant::now();
        let mut restart_at = (self.seed.is_multiple_of(2)).then_some(SUBMIT_TIME / 2);
        for number in 0.. {
            if begin.elapsed() > SUBMIT_TIME {
                break;
            }
            if restart_at.take_if(|at| begin.elapsed() > *at).is_some() {
                self.node = self.node.restart().ready();
            }
            let (class, destination) = (
                ["webhook", "webhook", "order"][number % 3],
                7 + number as u64 % 4 % 3,
            );
            let id = format!("{class}-{number}");
            if self
                .node
                .submit(class, &id, destination, TIME_TO_LIVE_MS, b"x")
                == 202
            {
                self.accepted.push(id);
            }
            thread::sleep(SUBMIT_INTERVAL);
        }
        self
    }

    /// The accepted messages that are neither delivered nor ended by a notification.
    fn unfinished(&self) -> Vec<&String> {
        let notifications = self.discovery.notifications();
        let executions = self.executions.lock().expect("not poisoned");
        let is_ended = |id: &String| {
            let quoted = format!("\"{id}\"");
            executions.success_responses.contains_key(id)
                || notifications
                    .iter()
                    .any(|notification| notification.contains(&quoted))
        };
        self.accepted.iter().filter(|id| !is_ended(id)).collect()
    }

    /// Waits for the end of all messages; fails if one is lost or an at-most-once message ran twice.
    fn check(&self) {
        let wait_end = Instant::now() + Duration::from_millis(TIME_TO_LIVE_MS) + NOTIFICATION_GRACE;
        while !self.unfinished().is_empty() && Instant::now() < wait_end {
            thread::sleep(Duration::from_millis(20));
        }
        let (unfinished, seed) = (self.unfinished(), self.seed);
        let log_records = unfinished
            .first()
            .map(|id| self.node.log_records_of(id))
            .unwrap_or_default();
        assert!(
            unfinished.is_empty(),
            "seed {seed}: {} of {} lost: {unfinished:?}\n{log_records}",
            unfinished.len(),
            self.accepted.len()
        );
        let executions = self.executions.lock().expect("not poisoned");
        for (id, runs) in &executions.runs {
            let log_records = || self.node.log_records_of(id);
            assert!(
                *runs <= 1 || !id.starts_with("order"),
                "seed {seed}: {id} ran {runs} times\n{}",
                log_records()
            );
        }
        println!(
            "seed {seed}: {} accepted, {} delivered, {} duplicate responses",
            self.accepted.len(),
            executions.success_responses.len(),
            executions.duplicates_sent
        );
        assert!(
            executions.duplicates_sent > 20,
            "seed {seed}: duplicate responses were sent"
        );
    }
}

#[test]
fn unreliable_endpoints_lose_no_message_and_repeat_no_at_most_once_message() {
    let runs: Vec<_> = seeds()
        .map(|seed| thread::spawn(move || Scenario::new(seed).run().check()))
        .collect();
    let failed = runs.into_iter().map(thread::JoinHandle::join);
    assert_eq!(
        failed.filter(Result::is_err).count(),
        0,
        "number of failed seeds"
    );
}
