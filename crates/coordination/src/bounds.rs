//! Upper bounds on the coordination state and on the queues of the batchers, with the reason for each.
//!
//! A snapshot of a full state is smaller than 8 MB with names of typical length (about 40 bytes per member in all), and
//! smaller than 32 MB with every string at its bound. A coordinator that has lost its disk can therefore fetch one in
//! seconds over a slow link.

/// Maximum number of open sessions. Deployments of 16,000 senders are planned, and a rolling release briefly doubles
/// the number.
pub const MAX_SESSIONS: usize = 32_768;
/// Maximum number of members that send heartbeats to a coordinator directly; larger fleets use session proxies. Each
/// member takes up a connection, and each heartbeat needs a round trip to a quorum. 600 heartbeats per second take a
/// third of a core.
pub const MAX_DIRECT_MEMBERS: usize = 1_024;
/// Maximum number of heartbeats that wait at one session proxy, and of commands in its queue. Each waiting heartbeat
/// holds a connection. With 16,000 members and 19 proxies, each proxy serves 842 members while all proxies are up. The
/// bound is more than four times 842, so that the service continues when three of four proxies have failed.
pub const MAX_PROXY_WAITERS: usize = 4_096;
/// Maximum number of heartbeats or commands in one call of a session proxy to the coordinators. At about 24 bytes per
/// heartbeat, the body of a full heartbeat call stays below the limit of 16 KiB (`MAX_CALL_BYTES`).
pub const MAX_BATCH_LEN: usize = 512;
/// Maximum bytes of commands in one call of a session proxy to the coordinators. The commands of a call become one
/// entry of the log; about 460 `OpenSession` commands of typical size fit. The leader sends a follower up to 300
/// entries at once. 300 entries of this size make 24 MB with their overhead, below the limit of 32 MB for a request
/// body between coordinators.
pub const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Maximum number of resources in the state, owned or not. There is one for each destination that has a limit, and a
/// few more.
pub const MAX_RESOURCES: usize = 4_096;
/// Maximum length of the name of a member, zone, version, role or resource, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum length of the checkpoint that an owner stores for the next owner, in bytes.
pub const MAX_CHECKPOINT_BYTES: usize = 512;
/// Distance between the first fencing tokens, session ids and event numbers of two consecutive generations. It is also
/// how many of each a state may assign between two restores, which suffices for more than 30 years at 1,000 per second.
pub const GENERATION_STRIDE: u64 = 1 << 40;
/// Exclusive upper bound on generations; a generation is the number of a restore.
pub const MAX_GENERATIONS: u64 = 1 << 20;
/// Maximum number of events in the history; the oldest are dropped.
pub const MAX_HISTORY_EVENTS: usize = 1_024;
