//! How long a sender rests before it asks discovery again. It opens no socket and reads no clock.
//!
//! A fleet loses its watches together, and one sender's short rest is a storm of all: calls that queue for longer
//! than a caller waits are answered for nobody, so discovery works at its limit and no one is served (metastable
//! failure: Bronson and others, Metastable Failures in Distributed Systems, HotOS 2021). So the rests after a refusal
//! grow with the number of senders, and each is drawn at random (M. Brooker, Exponential Backoff and Jitter, 2015).
//!
//! A discovery that could not be reached has no queue that a call could lengthen: the rests after that stay short, so
//! that what it has when it comes back is heard in time.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// What discovery has counts as told so long after it had it and could be reached.
const TOLD: Duration = Duration::from_millis(6000);
/// An empty line is due every 2 s: a watch, and a call that opens one, is given up when it is silent for longer.
pub(crate) const SILENCE: Duration = Duration::from_millis(3000);
/// Longest rest before discovery is asked again that could not be reached, and after a first refusal.
pub(crate) const SOON: Duration = Duration::from_millis(1900);
/// The agent is on this machine: one that is well has answered by then.
pub(crate) const ANSWER: Duration = Duration::from_millis(1000);
/// What the sockets' 50 ms and a busy machine leave of the sum.
const SLACK: Duration = Duration::from_millis(100);
// discovery may come back just behind the last sign of life, or just behind a call that it will never answer
const _: () = assert!(
    SILENCE.as_millis() + SOON.as_millis() + ANSWER.as_millis() + SLACK.as_millis()
        <= TOLD.as_millis()
);
const _: () =
    assert!(FIRST.as_millis() <= MOST.as_millis() && MOST.as_millis() <= SOON.as_millis());

/// Rest after a first failure where nobody else asks, and the longest one there.
pub(crate) const FIRST: Duration = Duration::from_millis(50);
pub(crate) const MOST: Duration = Duration::from_millis(1000);
/// Time of discovery that a sender leaves to each of the others: all together ask at most so often. Shorter hears
/// sooner from a discovery with room, longer gets through to one that is short of it.
const EACH: Duration = Duration::from_millis(80);
/// Longest rest after refusals as a multiple of the time that all senders take to ask once.
const ROUNDS: u32 = 4;

/// How a try to hear from discovery ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was answered, or the answer ended.
    Unreachable,
    /// It answered that it does not serve this call.
    Rejected,
}

/// The rests of one sender.
#[derive(Debug)]
pub struct DiscoveryBackoff {
    random: Pcg32,
    round: Duration,
    unreached: u32,
    refused: u32,
}

impl DiscoveryBackoff {
    /// Of one among so many senders that ask one discovery; each has a seed of its own. A list that is pushed is the
    /// own agent's, whom nobody else asks: what the agent has counts as told, so no rest may grow with the fleet.
    #[must_use]
    pub fn new(senders: u32, pushed: bool, seed: u64) -> Self {
        let senders = if pushed { 1 } else { senders };
        DiscoveryBackoff {
            random: Pcg32::seed_from_u64(seed),
            round: EACH * senders,
            unreached: 0,
            refused: 0,
        }
    }

    /// Something came: the next failure is a first one.
    pub fn reset(&mut self) {
        (self.unreached, self.refused) = (0, 0);
    }

    /// How long a call stays worth waiting for in discovery's queue: as long as all senders may take to ask.
    #[must_use]
    pub fn max_queue_wait(&self) -> Duration {
        MOST.max(self.round * ROUNDS)
    }

    /// The rest after a failure: two seconds at most, or from a second refusal on a second or four rounds of all
    /// senders.
    pub fn next_delay(&mut self, failure: Failure) -> Duration {
        let (failures, most) = match failure {
            Failure::Unreachable => (&mut self.unreached, SOON),
            Failure::Rejected if self.refused == 0 => (&mut self.refused, SOON),
            Failure::Rejected => (&mut self.refused, Duration::MAX),
        };
        let grown = self
            .round
            .saturating_mul(1 << failures.saturating_sub(1).min(16));
        let most = grown.min(MOST.max(self.round * ROUNDS)).min(most);
        let part = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        // all lose their watches at one moment: the first rests are spread from the start
        let part = if *failures <= 1 {
            part
        } else {
            0.5 + 0.5 * part
        };
        *failures = failures.saturating_add(1);
        most.mul_f64(part).max(FIRST)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    const CALLER_WAITS: f64 = 2.0;

    /// How many of the senders have been answered by a time, after all have lost their watches at once. Discovery
    /// takes so many calls a second, one after the other; who waits for longer than 2 s is gone when it is served,
    /// and who would wait for more than that is turned away. What cut the watches has filled its queue.
    fn answered(
        senders: u32,
        calls_a_second: f64,
        until: f64,
        rest: &mut dyn FnMut(u32) -> f64,
    ) -> usize {
        let mut due: BTreeMap<(u64, u32), ()> = BTreeMap::new();
        let at = |seconds: f64| (seconds * 1e6) as u64;
        for sender in 0..senders {
            due.insert((at(rest(sender)), sender), ());
        }
        let (mut free_at, mut served) = (CALLER_WAITS, 0);
        while let Some(((now, sender), ())) = due.pop_first() {
            let now = now as f64 / 1e6;
            if now > until {
                break;
            }
            let waits = (free_at - now).max(0.0);
            if waits > CALLER_WAITS {
                due.insert((at(now + rest(sender)), sender), ());
                continue;
            }
            free_at = now + waits + 1.0 / calls_a_second;
            if free_at - now <= CALLER_WAITS {
                served += 1;
            } else {
                due.insert((at(now + CALLER_WAITS + rest(sender)), sender), ());
            }
        }
        served
    }

    #[test]
    fn a_fleet_that_lost_its_watches_together_gets_through_to_a_discovery_short_of_room() {
        for seed in 0..5 {
            let mut fleet: Vec<DiscoveryBackoff> = (0..100)
                .map(|n| DiscoveryBackoff::new(100, false, seed * 1000 + n))
                .collect();
            let rest = &mut |n| {
                fleet[n as usize]
                    .next_delay(Failure::Rejected)
                    .as_secs_f64()
            };
            let served = answered(100, 12.5, 30.0, rest);
            assert!(served >= 95, "seed {seed}: {served} of 100 in 30 s");
        }
    }

    /// Why the rests after refusals may not stay as short as the others: what many senders are told by a discovery
    /// that is short of room comes late, or nobody is told anything.
    #[test]
    fn with_short_rests_after_refusals_too_nobody_would_get_through() {
        for seed in 0..5 {
            let mut fleet: Vec<DiscoveryBackoff> = (0..100)
                .map(|n| DiscoveryBackoff::new(100, false, seed * 1000 + n))
                .collect();
            let rest = &mut |n| {
                fleet[n as usize]
                    .next_delay(Failure::Unreachable)
                    .as_secs_f64()
            };
            let served = answered(100, 12.5, 30.0, rest);
            assert!(served < 50, "seed {seed}: {served} of 100 in 30 s");
        }
    }

    #[test]
    fn a_discovery_that_can_not_be_reached_is_asked_soon_however_many_senders_there_are() {
        for seed in 0..200 {
            let mut many = DiscoveryBackoff::new(300, false, seed);
            assert!(
                (0..20).all(|_| many.next_delay(Failure::Unreachable) <= SOON),
                "seed {seed}"
            );
            assert!(
                many.next_delay(Failure::Rejected) <= SOON,
                "seed {seed}: the first refusal"
            );
            let mut own = DiscoveryBackoff::new(300, true, seed);
            for failure in [Failure::Unreachable, Failure::Rejected] {
                assert!(
                    (0..20).all(|_| own.next_delay(failure) <= MOST),
                    "seed {seed}: nobody else asks the own agent"
                );
            }
        }
    }

    #[test]
    fn a_few_senders_ask_again_soon() {
        let mut alone = DiscoveryBackoff::new(2, false, 7);
        let first = alone.next_delay(Failure::Rejected);
        assert!(
            first >= FIRST && first <= Duration::from_millis(160),
            "{first:?}"
        );
        let rests: Vec<Duration> = (0..10)
            .map(|_| alone.next_delay(Failure::Rejected))
            .collect();
        assert!(rests.iter().all(|&rest| rest <= MOST), "{rests:?}");
        alone.reset();
        assert!(
            alone.next_delay(Failure::Rejected) <= Duration::from_millis(160),
            "as at first"
        );
    }
}
