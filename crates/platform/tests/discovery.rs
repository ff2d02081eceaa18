//! The watch and the notices in virtual time, before an agent that can't be reached, hangs, refuses, breaks off or is
//! slow, and comes back.

#![expect(
    clippy::too_many_lines,
    reason = "scenarios of this file have not had their turn yet"
)]

mod virtual_discovery;

use milletturn_engine::{Ending, Input, Notification, SharedStr};
use milletturn_platform::notifications::post_notifications;
use milletturn_platform::{DiscoveryBackoff, discovery};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use virtual_discovery::{State, VirtualDiscovery, virtual_time};

/// What discovery has counts as told so long after it had it and could be reached.
const TOLD: Duration = Duration::from_millis(6000);
/// A message whose notice has not been taken so long after its time is lost.
const LOST: Duration = Duration::from_millis(300);
/// Of an agent that is well: as late as it may be.
const ANSWER: Duration = Duration::from_millis(950);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A watch of one of so many senders; what it hands on.
fn watching(
    agent: &VirtualDiscovery,
    agents: watch::Receiver<SocketAddr>,
    asking: DiscoveryBackoff,
) -> mpsc::UnboundedReceiver<Input> {
    let (inputs, received) = mpsc::unbounded_channel();
    spawn_local(discovery::watch_endpoints(
        agent.clone(),
        agents,
        0,
        asking,
        inputs,
    ));
    received
}

/// Waits for a list of this version at least.
async fn listed(received: &mut mpsc::UnboundedReceiver<Input>, version: u64) {
    loop {
        match received.recv().await {
            Some(Input::EndpointsListed(update)) if update.version >= version => return,
            Some(_) => {}
            None => panic!("the watch has ended"),
        }
    }
}

/// How long after its return the agent's news is heard: it is well until `from`, if that is not zero, and again from
/// `back` on.
async fn heard_after(
    state: State,
    from: Duration,
    back: Duration,
    asking: DiscoveryBackoff,
) -> Duration {
    let began = Instant::now();
    let agent = VirtualDiscovery::new(
        vec![(ms(0), State::Well), (from, state), (back, State::Well)],
        ANSWER,
    );
    let (_address, agents) = watch::channel(address(1));
    let mut received = watching(&agent, agents, asking);
    let heard = timeout(back + ms(300_000), listed(&mut received, 3)).await;
    assert!(
        heard.is_ok(),
        "{state:?} from {from:?} to {back:?}: never heard"
    );
    (Instant::now() - began).saturating_sub(back)
}

#[test]
fn what_discovery_has_when_it_comes_back_is_heard_in_time_whatever_the_watch_did_just_then() {
    virtual_time(async {
        let mut worst = (ms(0), String::new());
        for state in [
            State::Refused,
            State::Lost,
            State::Silent,
            State::Cut,
            State::Half,
        ] {
            for (senders, pushed) in [(300, false), (25, false), (3, false), (300, true)] {
                // from zero on: the process has just begun
                for from in [0, 5000, 5700, 6400] {
                    for out in 0..60 {
                        let (from, back) = (ms(from), ms(from + 50 + 230 * out));
                        let asking = DiscoveryBackoff::new(
                            senders,
                            pushed,
                            from.as_millis() as u64 * 100 + out,
                        );
                        let heard = heard_after(state, from, back, asking).await;
                        let what =
                            format!("{state:?} {from:?} {back:?} {senders} {pushed}: {heard:?}");
                        worst = worst.max((heard, what));
                    }
                }
            }
        }
        assert!(worst.0 < TOLD, "{}", worst.1);
    });
}

#[test]
fn a_discovery_that_has_refused_one_call_is_asked_again_in_time() {
    virtual_time(async {
        for seed in 0..200 {
            for (senders, pushed) in [(300, false), (3, false), (300, true)] {
                let agent = VirtualDiscovery::new(vec![(ms(0), State::Refusing(1))], ANSWER);
                let (_address, agents) = watch::channel(address(1));
                let began = Instant::now();
                let mut received =
                    watching(&agent, agents, DiscoveryBackoff::new(senders, pushed, seed));
                listed(&mut received, 1).await;
                // it has answered the first call with its refusal when that had been out for so long
                assert!(
                    Instant::now() - began < ANSWER + TOLD,
                    "{senders} {pushed} {seed}"
                );
            }
        }
    });
}

#[test]
fn few_senders_hear_in_time_of_a_discovery_that_has_refused_for_long() {
    virtual_time(async {
        for (senders, pushed) in [(1, false), (5, false), (300, true)] {
            for out in 0..100 {
                let back = ms(5050 + 230 * out);
                let asking = DiscoveryBackoff::new(senders, pushed, out);
                let heard = heard_after(State::Refusing(u32::MAX), ms(5000), back, asking).await;
                assert!(heard < TOLD, "{senders} {pushed} {back:?}: {heard:?}");
            }
        }
    });
}

#[test]
fn a_moved_agent_is_asked_at_once_whatever_the_watch_is_at() {
    virtual_time(async {
        for state in [
            State::Refused,
            State::Lost,
            State::Silent,
            State::Refusing(u32::MAX),
            State::Well,
        ] {
            for moved in 0..40 {
                let moved = ms(5000 + 330 * moved);
                let agent =
                    VirtualDiscovery::new(vec![(ms(0), State::Well), (ms(5000), state)], ms(100));
                agent.lies_at(address(2), vec![(ms(0), State::Well)]);
                let (to, agents) = watch::channel(address(1));
                let mut received = watching(&agent, agents, DiscoveryBackoff::new(300, false, 7));
                listed(&mut received, 1).await;
                sleep_until(agent.began() + moved).await;
                while received.try_recv().is_ok() {}
                to.send_replace(address(2));
                listed(&mut received, 1).await;
                let heard = Instant::now() - agent.began() - moved;
                assert!(heard <= ms(200), "{state:?} {moved:?}: {heard:?}");
            }
        }
    });
}

#[test]
fn calls_that_queue_at_a_slow_discovery_for_longer_than_a_watch_may_be_silent_are_answered() {
    virtual_time(async {
        // serves 12.5 calls a second in the order of their coming, also those that nobody waits for any more
        let agent = VirtualDiscovery::new(vec![(ms(0), State::Queue(ms(80)))], ms(0));
        let (_address, agents) = watch::channel(address(1));
        let mut fleet: Vec<_> = (0..100)
            .map(|seed| {
                watching(
                    &agent,
                    agents.clone(),
                    DiscoveryBackoff::new(100, false, seed),
                )
            })
            .collect();
        sleep(ms(30_000)).await;
        let served = fleet
            .iter_mut()
            .filter_map(|received| received.try_recv().ok())
            .count();
        assert!(served >= 95, "{served} of 100 in 30 s");
    });
}

/// The notices of a sender, and what it hears of them.
struct Posting {
    notices: mpsc::UnboundedSender<Notification>,
    inputs: mpsc::UnboundedReceiver<Input>,
    agents: watch::Sender<SocketAddr>,
}

impl Posting {
    fn at(agent: &VirtualDiscovery) -> Self {
        let (notices, queue) = mpsc::unbounded_channel();
        let (inputs, received) = mpsc::unbounded_channel();
        let (to, agents) = watch::channel(address(1));
        spawn_local(post_notifications(agent.clone(), agents, queue, inputs));
        Posting {
            notices,
            inputs: received,
            agents: to,
        }
    }

    fn owe(&self, number: u64) {
        let id = SharedStr::new(format!("m{number}").as_bytes()).expect("a word");
        let notice = Notification {
            number,
            id,
            class: 0,
            ending: Ending::Failed,
        };
        self.notices.send(notice).expect("taken");
    }

    /// Waits until the agent has taken so many; the numbers in the order of their being told.
    async fn told(&mut self, count: usize) -> Vec<u64> {
        let mut told = Vec::new();
        while told.len() < count {
            match self.inputs.recv().await {
                Some(Input::Notified(numbers)) => told.extend(numbers),
                other => panic!("{other:?}"),
            }
        }
        told
    }
}

#[test]
fn a_post_that_hangs_keeps_no_notice_beyond_the_time_at_which_its_message_is_lost() {
    virtual_time(async {
        for hanging in [State::Silent, State::Lost] {
            for later in [0, 1, 30, 99, 100, 101, 250, 700] {
                // the post that is begun first hangs, and so does none behind it
                let agent =
                    VirtualDiscovery::new(vec![(ms(0), hanging), (ms(1), State::Well)], ms(5));
                let mut posting = Posting::at(&agent);
                posting.owe(1);
                sleep(ms(1 + later)).await;
                posting.owe(2);
                let owed = Instant::now();
                let mut told = posting.told(2).await;
                told.sort_unstable();
                assert_eq!(told, [1, 2], "each is told once");
                let first = agent.taken("m1") - agent.began();
                let second = agent.taken("m2") - owed;
                assert!(
                    first < LOST && second < LOST,
                    "{hanging:?} {later}: {first:?} {second:?}"
                );
            }
        }
    });
}

#[test]
fn an_agent_that_answers_late_gets_to_answer_and_few_posts_are_out() {
    virtual_time(async {
        for late in [5, 90, 150, 400, 950] {
            let agent = VirtualDiscovery::new(vec![(ms(0), State::Well)], ms(late));
            let mut posting = Posting::at(&agent);
            for number in 1..=1000 {
                posting.owe(number);
                sleep(ms(number % 7)).await;
            }
            let mut told = timeout(ms(30_000), posting.told(1000))
                .await
                .expect("all are told");
            told.sort_unstable();
            told.dedup();
            assert_eq!(told.len(), 1000, "each once");
            assert!(
                late > 100 || agent.posted() == 1000,
                "one that answers at once gets each once"
            );
            // three, and one that is being closed
            assert!(
                agent.most_open() <= 4,
                "{late}: {} at once",
                agent.most_open()
            );
        }
    });
}

#[test]
fn an_agent_that_comes_back_or_moves_hears_in_time_what_is_due_just_then() {
    virtual_time(async {
        for state in [
            State::Refused,
            State::Lost,
            State::Silent,
            State::Cut,
            State::Refusing(u32::MAX),
        ] {
            for back in 0..40 {
                let back = ms(4000 + 70 * back);
                let agent = VirtualDiscovery::new(vec![(ms(0), state), (back, State::Well)], ms(5));
                let mut posting = Posting::at(&agent);
                posting.owe(1);
                sleep_until(agent.began() + back - ms(40)).await;
                posting.owe(2);
                posting.told(2).await;
                let heard = agent.taken("m2") - agent.began() - back;
                assert!(heard < LOST - ms(40), "{state:?} {back:?}: {heard:?}");
            }
            let agent = VirtualDiscovery::new(vec![(ms(0), state)], ms(5));
            agent.lies_at(address(2), vec![(ms(0), State::Well)]);
            let mut posting = Posting::at(&agent);
            posting.owe(1);
            sleep(ms(3210)).await;
            posting.agents.send_replace(address(2));
            posting.told(1).await;
            assert!(agent.taken("m1") - agent.began() < ms(3220), "{state:?}");
        }
    });
}
