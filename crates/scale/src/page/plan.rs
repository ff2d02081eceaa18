//! The design size: the users' plan for the next two years, and the figures per sender, zone and region derived from
//! it.

/// Figures of the plan. None of them is measured.
#[derive(Debug, Clone, Copy)]
pub(super) struct Plan {
    /// Number of senders.
    pub senders: f64,
    /// Events per second that all senders together accept.
    pub events_per_s: f64,
    /// Number of destinations.
    pub destinations: f64,
    /// Fraction of the destinations that is down at any time.
    pub down_share: f64,
    /// Events pending at one time in all senders together.
    pub pending_events: f64,
    /// Number of regions.
    pub regions: f64,
    /// Number of zones.
    pub zones: f64,
    /// Configuration changes per day.
    pub changes_per_day: f64,
    /// Maximum time until a change is in force everywhere, in seconds.
    pub max_propagation_s: f64,
    /// Fraction of a core that a sender may spend on its control plane.
    pub control_cores: f64,
    /// Bytes of memory that a sender may spend on its control plane.
    pub control_memory_bytes: f64,
    /// Network bytes per second that a sender may spend on its control plane.
    pub control_bytes_per_s: f64,
    /// Number of machines reserved for the control plane.
    pub control_machines: f64,
    /// Maximum number of the control plane's machines that are down or being replaced at any time.
    pub max_machines_down: f64,
    /// Number of machines that fail on an ordinary day.
    pub machine_failures_per_day: f64,
    /// Number of machines that are restarted or replaced on an ordinary day.
    pub restarts_per_day: f64,
    /// Maximum time from the start of a sender until it is ready, in seconds.
    pub max_start_s: f64,
    /// Duration of an occasional network partition between regions, in seconds.
    pub partition_s: f64,
}

/// The plan as the users gave it.
pub(super) const PLAN: Plan = Plan {
    senders: 16_000.0,
    events_per_s: 4.6e6,
    destinations: 1.7e6,
    down_share: 0.047,
    pending_events: 24e9,
    regions: 11.0,
    zones: 31.0,
    changes_per_day: 48_000.0,
    max_propagation_s: 17.0,
    control_cores: 0.018,
    control_memory_bytes: 128e6,
    control_bytes_per_s: 6e3,
    control_machines: 19.0,
    max_machines_down: 3.0,
    machine_failures_per_day: 35.0,
    restarts_per_day: 1_000.0,
    max_start_s: 10.0,
    partition_s: 3_600.0,
};

/// One day in seconds.
pub(super) const DAY_S: f64 = 86_400.0;
/// Cores that a sender uses at most (docs/operate/platform.md).
pub(super) const MAX_SENDER_CORES: f64 = 1.0;
/// Default of a sidecar's `limits.sockets`: the file descriptors that it may have open.
pub(super) const DEFAULT_SOCKETS: f64 = 256.0;
/// Default of a sidecar's `load.call`: the duration of a usual call, in seconds.
pub(super) const DEFAULT_CALL_S: f64 = 0.25;
/// Default of a sidecar's `connections.idle`: the time after which an unused connection is closed, in seconds.
pub(super) const DEFAULT_CONNECTION_IDLE_S: f64 = 5.0;
/// Time after which the state of an unused destination is compacted to its idle state, in seconds
/// (docs/design/many-destinations.md).
pub(super) const DESTINATION_STATE_IDLE_S: f64 = 300.0;
/// Default duration of a lease in the coordinators' configuration, in seconds (docs/operate/coordination.md).
pub(super) const DEFAULT_LEASE_S: f64 = 9.0;
/// Senders that share one rack or switch. This number is assumed, as the plan does not give one.
pub(super) const SENDERS_PER_RACK: f64 = 40.0;

impl Plan {
    /// Returns the events per second of one sender.
    pub(super) fn events_per_s_per_sender(&self) -> f64 {
        self.events_per_s / self.senders
    }

    /// Returns the destinations of one sender if each destination is served by one sender.
    pub(super) fn destinations_per_sender(&self) -> f64 {
        self.destinations / self.senders
    }

    /// Returns the number of messages pending in one sender.
    pub(super) fn pending_per_sender(&self) -> f64 {
        self.pending_events / self.senders
    }

    /// Returns the configuration changes per second.
    pub(super) fn changes_per_s(&self) -> f64 {
        self.changes_per_day / DAY_S
    }

    /// Returns the number of senders in one zone.
    pub(super) fn senders_per_zone(&self) -> f64 {
        self.senders / self.zones
    }

    /// Returns the number of senders in one region.
    pub(super) fn senders_per_region(&self) -> f64 {
        self.senders / self.regions
    }
}
