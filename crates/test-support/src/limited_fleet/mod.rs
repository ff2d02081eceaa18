//! Simulates many senders that share destinations with rate limits, in virtual time and from a seed.

mod connection_table;
mod rate_limit;
mod simulation;

use milletturn_policy::{Effect, EndpointEntry, EndpointId, MILLISECOND, Micros, SECOND};
pub use rate_limit::{LimitPolicy, RateLimit};
pub use simulation::simulate;

/// One hour, longer than any scenario lasts.
pub const HOUR: Micros = 3600 * SECOND;

/// The load on a fleet of senders, and the limits of its destinations.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Number of senders in the fleet.
    pub sender_count: usize,
    /// Messages per second over all senders, each submitted to a random sender.
    pub messages_per_s: f64,
    /// Time during which messages are submitted.
    pub duration: Micros,
    /// Calls per second that all destinations together serve. Rejected calls use up the limit too, unless
    /// `limit_policy` says otherwise.
    pub calls_per_s: f64,
    /// Maximum number of messages in one call.
    pub max_batch_size: usize,
    /// Time after the start from which messages arrive at five times the rate for one second. `Micros::MAX` means that
    /// there is no burst.
    pub burst_at: Micros,
    /// How unevenly messages are spread over the senders: 1 is even, and with 2 a tenth of the senders gets a third of
    /// the messages.
    pub skew: f64,
    /// The class of the messages and the behavior of the clients.
    pub profile: MessageProfile,
    /// Number of destinations. The n-th has a share of the messages and of the limit proportional to n^-0.8.
    pub destination_count: usize,
    /// How each destination limits calls, and what its responses report about that.
    pub limit_policy: LimitPolicy,
    /// Maximum number of connections to each destination; a call that would need another is rejected. `None` means no
    /// maximum.
    pub max_connections: Option<usize>,
    /// Maximum number of pending messages in each sender.
    pub max_pending: usize,
    /// Seed of the arrivals, the limits and the senders.
    pub seed: u64,
}

/// The class of the messages, the behavior of the clients and the time that calls take.
#[derive(Debug, Clone, Copy)]
pub struct MessageProfile {
    /// Whether, and within which window, a message may be executed again.
    pub effect: Effect,
    /// Time within which a message should be delivered.
    pub latency_objective: Micros,
    /// Time from the submission of a message to its deadline.
    pub time_to_live: Micros,
    /// Time after which a client resubmits a message that a sender has returned undelivered.
    pub resubmit_delay: Micros,
    /// Maximum number of times that a client resubmits a returned message.
    pub max_resubmits: usize,
    /// How long a call takes.
    pub call_duration: Micros,
    /// Time in which the token bucket of a destination's limit fills up.
    pub fill_time: Micros,
}

impl MessageProfile {
    /// Messages with a latency objective of 4 s, and clients that resubmit a returned message up to three times.
    #[must_use]
    pub fn patient() -> Self {
        let effect = Effect::Keyed {
            window: 12 * SECOND,
            zone_only: false,
        };
        let (latency_objective, time_to_live, resubmit_delay, max_resubmits) =
            (4 * SECOND, 20 * SECOND, SECOND, 3);
        MessageProfile {
            effect,
            latency_objective,
            time_to_live,
            resubmit_delay,
            max_resubmits,
            call_duration: 60 * MILLISECOND,
            fill_time: SECOND / 2,
        }
    }

    /// Messages with a latency objective of 300 ms that must not be executed twice, and clients that resubmit a returned
    /// message once.
    #[must_use]
    pub fn urgent() -> Self {
        let (latency_objective, time_to_live, resubmit_delay) =
            (300 * MILLISECOND, 900 * MILLISECOND, 130 * MILLISECOND);
        let (call_duration, fill_time) = (40 * MILLISECOND, 350 * MILLISECOND);
        MessageProfile {
            effect: Effect::Unsafe,
            latency_objective,
            time_to_live,
            resubmit_delay,
            max_resubmits: 1,
            call_duration,
            fill_time,
        }
    }
}

impl Scenario {
    /// A load of `messages_per_s` for 30 s on 100 senders, with one destination that serves `calls_per_s`.
    #[must_use]
    pub fn new(messages_per_s: f64, calls_per_s: f64) -> Self {
        Scenario {
            sender_count: 100,
            messages_per_s,
            duration: 30 * SECOND,
            calls_per_s,
            max_batch_size: 1,
            burst_at: Micros::MAX,
            skew: 1.0,
            profile: MessageProfile::patient(),
            destination_count: 1,
            limit_policy: LimitPolicy::reported(),
            max_connections: None,
            max_pending: 40,
            seed: 1,
        }
    }
}

/// Measured results of a scenario.
#[derive(Debug, Default)]
pub struct ScenarioResult {
    /// Messages submitted by clients, without resubmissions.
    pub submitted: usize,
    /// Messages delivered within the latency objective.
    pub delivered_in_time: usize,
    /// Messages delivered at all.
    pub delivered: usize,
    /// Calls sent to the destinations.
    pub calls: usize,
    /// Calls that were rejected.
    pub rejected: usize,
    /// Figures of each second since the start.
    pub seconds: Vec<SecondFigures>,
    /// For each sender, the number of messages that were first submitted to it, and how many of those were delivered by
    /// any sender.
    pub by_sender: Vec<(usize, usize)>,
}

/// Figures of one second, over all senders and destinations.
#[derive(Debug, Default, Clone, Copy)]
pub struct SecondFigures {
    /// Messages submitted, without resubmissions.
    pub submitted: usize,
    /// Messages returned to their clients.
    pub returned: usize,
    /// Calls sent.
    pub calls: usize,
    /// Calls sent that were rejected.
    pub rejected: usize,
    /// Messages delivered.
    pub delivered: usize,
    /// Messages pending in the senders at the end of the second.
    pub pending: usize,
    /// Calls that the limits allow.
    pub allowed_calls: f64,
}

impl ScenarioResult {
    /// Calls served as a fraction of the smaller of limit and demand, in the seconds from `from` until before `until`.
    #[must_use]
    pub fn goodput(&self, from: usize, until: usize) -> f64 {
        let (mut served, mut demand, mut allowed_calls) = (0, 0, 0.0);
        for second in self.seconds.iter().take(until).skip(from) {
            served += second.calls - second.rejected;
            demand += second.submitted;
            allowed_calls += second.allowed_calls;
        }
        served as f64 / allowed_calls.min(demand as f64).max(1.0)
    }

    /// Rejected calls as a fraction of all calls, in the seconds from `from` until before `until`.
    #[must_use]
    pub fn rejected_share(&self, from: usize, until: usize) -> f64 {
        let seconds = self.seconds.iter().take(until).skip(from);
        let (rejected, calls) = seconds.fold((0, 0), |sum, second| {
            (sum.0 + second.rejected, sum.1 + second.calls)
        });
        rejected as f64 / calls.max(1) as f64
    }

    /// Jain's fairness index over the senders' shares of delivered messages: 1 if all shares are equal.
    #[must_use]
    pub fn fairness(&self) -> f64 {
        let senders = self
            .by_sender
            .iter()
            .filter(|(submitted, _)| *submitted > 0);
        let shares: Vec<f64> = senders
            .map(|&(submitted, delivered)| delivered as f64 / submitted as f64)
            .collect();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        shares.iter().sum::<f64>().powi(2) / (shares.len() as f64 * squares).max(1e-9)
    }
}

/// Endpoint list with one destination that receives messages, and 16 idle ones that share the sender's capacity for
/// pending messages.
#[must_use]
pub fn one_among_idle_destinations() -> Vec<EndpointEntry> {
    among_idle_destinations(1)
}

/// Endpoint list with `count` destinations that receive messages, and 16 idle ones.
fn among_idle_destinations(count: usize) -> Vec<EndpointEntry> {
    let used = (0..count as u64).map(|index| {
        EndpointEntry::new(
            EndpointId(1 + index as u32),
            simulation::DESTINATION + index,
        )
    });
    let idle = (100..116).map(|number| EndpointEntry::new(EndpointId(number), u64::from(number)));
    used.chain(idle).collect()
}

fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}
