use super::*;
use std::collections::BTreeMap;

const CALLER_TIMEOUT_S: f64 = 2.0;

/// How many senders have received a response by `end_s`, after all have lost their watches at once. Discovery serves
/// `requests_per_s` one after the other. It rejects a request that would be queued for more than 2 s. A caller
/// disconnects 2 s after its request, but discovery still spends the service time on a request whose response would
/// come later. The queue is full at the beginning.
fn served_senders(
    senders: u32,
    requests_per_s: f64,
    end_s: f64,
    next_delay_s: &mut dyn FnMut(u32) -> f64,
) -> usize {
    let mut due: BTreeMap<(u64, u32), ()> = BTreeMap::new();
    let at = |seconds: f64| (seconds * 1e6) as u64;
    for sender in 0..senders {
        due.insert((at(next_delay_s(sender)), sender), ());
    }
    let (mut free_at_s, mut served) = (CALLER_TIMEOUT_S, 0);
    while let Some(((now, sender), ())) = due.pop_first() {
        let now_s = now as f64 / 1e6;
        if now_s > end_s {
            break;
        }
        let queue_wait_s = (free_at_s - now_s).max(0.0);
        if queue_wait_s > CALLER_TIMEOUT_S {
            due.insert((at(now_s + next_delay_s(sender)), sender), ());
            continue;
        }
        free_at_s = now_s + queue_wait_s + 1.0 / requests_per_s;
        if free_at_s - now_s <= CALLER_TIMEOUT_S {
            served += 1;
        } else {
            due.insert(
                (at(now_s + CALLER_TIMEOUT_S + next_delay_s(sender)), sender),
                (),
            );
        }
    }
    served
}

#[test]
fn all_senders_reconnect_to_an_overloaded_discovery_after_losing_their_watches_together() {
    for seed in 0..5 {
        let mut fleet: Vec<DiscoveryBackoff> = (0..100)
            .map(|n| DiscoveryBackoff::new(100, false, seed * 1000 + n))
            .collect();
        let next_delay_s = &mut |n| {
            fleet[n as usize]
                .next_delay(Failure::Rejected)
                .as_secs_f64()
        };
        let served = served_senders(100, 12.5, 30.0, next_delay_s);
        assert!(served >= 95, "seed {seed}: {served} of 100 in 30 s");
    }
}

/// Shows why delays after rejections must be longer than those after an unreachable discovery: with short ones, an
/// overloaded discovery serves fewer than half of the senders.
#[test]
fn short_delays_after_rejections_would_keep_discovery_overloaded() {
    for seed in 0..5 {
        let mut fleet: Vec<DiscoveryBackoff> = (0..100)
            .map(|n| DiscoveryBackoff::new(100, false, seed * 1000 + n))
            .collect();
        let next_delay_s = &mut |n| {
            fleet[n as usize]
                .next_delay(Failure::Unreachable)
                .as_secs_f64()
        };
        let served = served_senders(100, 12.5, 30.0, next_delay_s);
        assert!(served < 50, "seed {seed}: {served} of 100 in 30 s");
    }
}

#[test]
fn delays_after_an_unreachable_discovery_do_not_grow_with_the_number_of_senders() {
    for seed in 0..200 {
        let mut shared = DiscoveryBackoff::new(300, false, seed);
        assert!(
            (0..20).all(|_| shared.next_delay(Failure::Unreachable) <= MAX_SHORT_DELAY),
            "seed {seed}"
        );
        assert!(
            shared.next_delay(Failure::Rejected) <= MAX_SHORT_DELAY,
            "seed {seed}: the first rejection"
        );
        let mut local = DiscoveryBackoff::new(300, true, seed);
        for failure in [Failure::Unreachable, Failure::Rejected] {
            assert!(
                (0..20).all(|_| local.next_delay(failure) <= DEFAULT_MAX_DELAY),
                "seed {seed}: discovery serves no other sender"
            );
        }
    }
}

#[test]
fn a_few_senders_retry_soon() {
    let mut backoff = DiscoveryBackoff::new(2, false, 7);
    let first = backoff.next_delay(Failure::Rejected);
    assert!(
        first >= MIN_DELAY && first <= Duration::from_millis(160),
        "{first:?}"
    );
    let delays: Vec<Duration> = (0..10)
        .map(|_| backoff.next_delay(Failure::Rejected))
        .collect();
    assert!(
        delays.iter().all(|&delay| delay <= DEFAULT_MAX_DELAY),
        "{delays:?}"
    );
    backoff.reset();
    assert!(
        backoff.next_delay(Failure::Rejected) <= Duration::from_millis(160),
        "a first failure again after the reset"
    );
}
