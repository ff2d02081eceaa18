//! The real sender before endpoints that keep to no rule of HTTP, by seeds: whatever they send, each message that was
//! accepted is delivered or ended by a notice, and what must run once runs once. `MILLETTURN_SEEDS=40..90` plays others.

mod node;

use node::*;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Seeds of a run with no other wish.
const SEEDS: Range<u64> = 1..5;
/// Time in which messages are handed in.
const HAND_IN_TIME: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_millis(15);
const TIME_TO_LIVE_MS: u64 = 3_000;
/// A notice may come this long behind a message's time, and as long behind a restart (the protocol page).
const GRACE: Duration = Duration::from_millis(1_800);

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("MILLETTURN_SEEDS") else {
        return SEEDS;
    };
    let (first, end) = text.split_once("..").expect("a range such as 40..90");
    first.parse().expect("a seed")..end.parse().expect("a seed")
}

/// One play of a seed.
struct Play {
    seed: u64,
    executions: Arc<Mutex<Executions>>,
    agent: FakeDiscovery,
    node: Node,
    accepted: Vec<String>,
}

impl Play {
    fn new(seed: u64) -> Self {
        let executions: Arc<Mutex<Executions>> = Arc::default();
        let endpoint = |number| spawn_unreliable_endpoint(seed * 10 + number, &executions);
        let agent = FakeDiscovery::new(vec![list_json(&[
            ("s-1", endpoint(1), "one", 7, "up"),
            ("s-2", endpoint(2), "one", 7, "up"),
            ("s-3", endpoint(3), "one", 8, "up"),
            ("s-4", endpoint(4), "bulk", 9, "up"),
        ])]);
        let node = Node::traced(&agent).ready();
        Play {
            seed,
            executions,
            agent,
            node,
            accepted: Vec::new(),
        }
    }

    /// Hands messages of both effects in to all destinations. Every second seed kills the sender in between.
    fn run(mut self) -> Self {
        let begin = Instant::now();
        let mut restart_at = (self.seed.is_multiple_of(2)).then_some(HAND_IN_TIME / 2);
        for number in 0.. {
            if begin.elapsed() > HAND_IN_TIME {
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
                .hand_in(class, &id, destination, TIME_TO_LIVE_MS, b"x")
                == 202
            {
                self.accepted.push(id);
            }
            thread::sleep(PAUSE);
        }
        self
    }

    fn open(&self) -> Vec<&String> {
        let notices = self.agent.notifications();
        let executions = self.executions.lock().expect("not poisoned");
        let is_ended = |id: &String| {
            let quoted = format!("\"{id}\"");
            executions.success_responses.contains_key(id)
                || notices.iter().any(|line| line.contains(&quoted))
        };
        self.accepted.iter().filter(|id| !is_ended(id)).collect()
    }

    fn check(&self) {
        let until = Instant::now() + Duration::from_millis(TIME_TO_LIVE_MS) + GRACE;
        while !self.open().is_empty() && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        let (open, seed) = (self.open(), self.seed);
        let records = open
            .first()
            .map(|id| self.node.records_of(id))
            .unwrap_or_default();
        assert!(
            open.is_empty(),
            "seed {seed}: {} of {} lost: {open:?}\n{records}",
            open.len(),
            self.accepted.len()
        );
        let executions = self.executions.lock().expect("not poisoned");
        for (id, runs) in &executions.runs {
            let records = || self.node.records_of(id);
            assert!(
                *runs <= 1 || !id.starts_with("order"),
                "seed {seed}: {id} ran {runs} times\n{}",
                records()
            );
        }
        println!(
            "seed {seed}: {} accepted, {} delivered, {} copies",
            self.accepted.len(),
            executions.success_responses.len(),
            executions.duplicates_sent
        );
        assert!(
            executions.duplicates_sent > 20,
            "seed {seed}: copies were sent"
        );
    }
}

#[test]
fn whatever_endpoints_send_each_message_has_its_one_end() {
    let plays: Vec<_> = seeds()
        .map(|seed| thread::spawn(move || Play::new(seed).run().check()))
        .collect();
    let failed = plays.into_iter().map(thread::JoinHandle::join);
    assert_eq!(failed.filter(Result::is_err).count(), 0, "seeds failed");
}
