//! Measures the state machines of the shard map at the planned size: the assignment of shards to senders, the memory of
//! a replica, and the bytes of its requests and updates as JSON, without HTTP.

use super::{MeasurementContext, point, probe};
use crate::Error;
use crate::figures::Point;
use milletturn_shard_map::membership::Member;
use milletturn_shard_map::{
    Assignment, LeaderTerm, Limits, Membership, ShardCount, ShardId, ShardMapReplica,
    ShardMapSource, SyncRequest, Update,
};
use milletturn_shard_map::{Change, Endpoint, Operation};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Figures of the capacity plan.
const ZONES: u64 = 31;
const DESTINATIONS: u64 = 1_700_000;
const SENDERS: u64 = 16_000;
const REPLICATION_FACTOR: u8 = 3;
/// Number of lost senders over which the cost of a loss is averaged.
const SENDER_LOSSES: u64 = 20;
/// Number of senders over which the cost of catching up is averaged.
const SAMPLED_SENDERS: u64 = 200;
/// Maximum size of all endpoints of a replica, in bytes; enough for a session proxy, which holds all destinations.
const MAX_REPLICA_BYTES: usize = 4 << 30;

fn failure(error: impl ToString) -> Error {
    Error::Unexpected(error.to_string())
}

/// Limits for a link of 6 KB/s over which a shard's snapshot has to be sent within 17 s.
fn replica_limits() -> Limits {
    Limits::new(
        6_000,
        17,
        MAX_REPLICA_BYTES,
        milletturn_shard_map::limits::MAX_HISTORY,
    )
}

/// Builds the same endpoint as [`super::list::endpoint`].
fn endpoint(number: u64, port: u16) -> Endpoint {
    Endpoint {
        uid: format!("t-{number:07}").into(),
        destination: number,
        address: ([127, 0, 0, 1], port.max(1)).into(),
        zone: "a".into(),
        kind: "one".into(),
        draining: false,
        weight: 1_000,
    }
}

fn put_change(number: u64, port: u16) -> Change {
    Change {
        destination: number,
        operations: vec![Operation::Put(endpoint(number, port))],
    }
}

fn source_with_destinations(destinations: u64) -> Result<ShardMapSource, Error> {
    let mut source = ShardMapSource::new(ShardCount::default(), replica_limits(), LeaderTerm(1));
    for number in 0..destinations {
        source.propose(put_change(number, 8_080)).map_err(failure)?;
    }
    Ok(source)
}

fn members(senders: u64) -> BTreeMap<Box<str>, Member> {
    let member = |n: u64| {
        let zone = format!("zone-{}", n % ZONES).into();
        (format!("sender-{n:05}").into(), Member { zone, weight: 1 })
    };
    (0..senders).map(member).collect()
}

fn membership(senders: u64) -> Result<Membership, Error> {
    let first = Membership::new(LeaderTerm(1), REPLICATION_FACTOR).map_err(failure)?;
    first
        .with_members(members(senders), ShardCount::default())
        .map_err(failure)
}

/// Returns the size of a value as JSON, in bytes.
fn json_bytes(value: &impl Serialize) -> Result<f64, Error> {
    Ok(serde_json::to_vec(value).map_err(failure)?.len() as f64)
}

/// Measures the assignment of shards: its first computation, changes after the loss of senders or of a zone, and how
/// evenly the shards are distributed.
pub(super) fn assign(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let shard_count = ShardCount::default();
    let new_point = |quantity: &str, unit: &str, value: f64| {
        point(
            "catalog.assign",
            quantity,
            unit,
            "senders",
            context.size,
            value,
        )
    };
    let mut now = membership(context.size)?;
    let before = probe::resident()?;
    let (cpu, mut assignment) = probe::cpu_in(|| Assignment::new(shard_count, now.clone()));
    let mut points = vec![
        new_point("cpu", "s", cpu),
        new_point("resident", "B", probe::resident()? - before),
    ];

    let loads = assignment.loads();
    let max_load = loads.values().max().copied().unwrap_or(0) as f64;
    let mean = loads.values().sum::<usize>() as f64 / loads.len().max(1) as f64;
    points.push(new_point("load.mean", "ranges", mean));
    points.push(new_point("load.most", "ranges", max_load));
    points.push(new_point(
        "short",
        "copies",
        assignment.unassigned_replicas() as f64,
    ));
    // the number of destinations per sender is that of the plan
    let mut destinations_in_shard = vec![0u32; ShardCount::MAX as usize];
    for destination in 0..context.size * DESTINATIONS / SENDERS {
        destinations_in_shard[usize::from(shard_count.shard_of(destination).0)] += 1;
    }
    let mut served: BTreeMap<&str, u32> = BTreeMap::new();
    for shard in shard_count.shards() {
        for name in assignment.senders_of(shard) {
            *served.entry(name).or_default() += destinations_in_shard[usize::from(shard.0)];
        }
    }
    points.push(new_point(
        "destinations.most",
        "destinations",
        f64::from(served.values().max().copied().unwrap_or(0)),
    ));

    let (mut cpu, mut moved, mut lost, mut worst) = (0.0, 0.0, 0.0, 0.0f64);
    let mut all = members(context.size);
    for n in 0..SENDER_LOSSES {
        let name = format!(
            "sender-{:05}",
            n * (context.size / SENDER_LOSSES) + n % (context.size / SENDER_LOSSES)
        );
        let load = assignment.shards_of(&name).len() as f64;
        all.remove(name.as_str());
        now = now
            .with_members(all.clone(), ShardCount::default())
            .map_err(failure)?;
        let next = now.clone();
        let (loss_cpu, moves) = probe::cpu_in(|| assignment.update(next));
        cpu += loss_cpu / SENDER_LOSSES as f64;
        moved += moves.gained as f64 / SENDER_LOSSES as f64;
        lost += load / SENDER_LOSSES as f64;
        worst = worst.max(moves.gained as f64 / load.max(1.0));
    }
    points.push(new_point("loss.cpu", "s", cpu));
    points.push(new_point("loss.moves", "copies", moved));
    points.push(new_point("loss.lost", "copies", lost));
    points.push(new_point("loss.worst", "moves for a lost copy", worst));

    // one sender joins
    all.insert(
        "sender-new".into(),
        Member {
            zone: "zone-1".into(),
            weight: 1,
        },
    );
    now = now
        .with_members(all.clone(), ShardCount::default())
        .map_err(failure)?;
    let next = now.clone();
    let (cpu, moves) = probe::cpu_in(|| assignment.update(next));
    points.push(new_point("join.cpu", "s", cpu));
    points.push(new_point("join.moves", "copies", moves.gained as f64));

    // a whole zone is lost
    all.retain(|_, member| &*member.zone != "zone-7");
    let lost_senders: BTreeSet<&Box<str>> = now
        .members()
        .keys()
        .filter(|name| !all.contains_key(*name))
        .collect();
    let lost: usize = assignment
        .loads()
        .iter()
        .filter(|(name, _)| lost_senders.contains(&Box::from(**name)))
        .map(|(_, load)| load)
        .sum();
    let next = now
        .with_members(all.clone(), ShardCount::default())
        .map_err(failure)?;
    let (cpu, moves) = probe::cpu_in(|| assignment.update(next.clone()));
    points.push(new_point("zone.cpu", "s", cpu));
    points.push(new_point("zone.lost", "copies", lost as f64));
    points.push(new_point("zone.moves", "copies", moves.gained as f64));
    points.push(new_point(
        "zone.short",
        "copies",
        assignment.unassigned_replicas() as f64,
    ));

    // a fifth of the senders leaves at once, so that the number of shards per unit of weight may grow, which also moves
    // shards between the senders that stay
    let remaining = (context.size * 4 / 5) as usize;
    let mut fewer = all.clone();
    while fewer.len() > remaining {
        fewer.pop_last();
    }
    let load = assignment.loads();
    let lost: usize = load
        .iter()
        .filter(|(name, _)| !fewer.contains_key(**name))
        .map(|(_, load)| load)
        .sum();
    let shards_per_weight = next.shards_per_weight();
    let next = next
        .with_members(fewer, ShardCount::default())
        .map_err(failure)?;
    let grown = next.shards_per_weight() > shards_per_weight;
    let moves = assignment.update(next);
    if grown {
        points.push(new_point("places.lost", "copies", lost as f64));
        points.push(new_point("places.moves", "copies", moves.gained as f64));
    }
    Ok(points)
}

/// Syncs a replica until it has no further requests. Returns the number of requests, and the bytes of requests and
/// updates.
fn sync_until_current(
    replica: &mut ShardMapReplica,
    source: &ShardMapSource,
) -> Result<(f64, f64), Error> {
    let (mut requests, mut request_count, mut bytes) = (replica.sync_requests(), 0.0, 0.0);
    while let Some(request) = requests.pop() {
        request_count += 1.0;
        bytes += json_bytes(&request)?;
        for update in source.respond(&request).map_err(failure)? {
            bytes += json_bytes(&update)?;
            if let Ok(applied) = replica.apply(update) {
                requests.extend(applied.requests);
            }
        }
    }
    Ok((request_count, bytes))
}

/// Measures a replica of the given number of destinations: its memory, and the CPU time and bytes of its first sync, of
/// one change, and of the requests that check whether it is current.
pub(super) fn replica(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let new_point = |quantity: &str, unit: &str, value: f64| {
        point(
            "catalog.holder",
            quantity,
            unit,
            "destinations",
            context.size,
            value,
        )
    };
    let shard_count = ShardCount::default();
    // as many shards of the planned size as are needed to hold the given number of destinations
    let count = (context.size * u64::from(shard_count.count()))
        .div_ceil(DESTINATIONS)
        .min(u64::from(shard_count.count()));
    let wanted = |shard: ShardId| u64::from(shard.0) < count;
    let mut source = ShardMapSource::new(shard_count, replica_limits(), LeaderTerm(1));
    let mut kept_destinations = Vec::new();
    for number in 0..DESTINATIONS {
        if wanted(shard_count.shard_of(number)) {
            source.propose(put_change(number, 8_080)).map_err(failure)?;
            kept_destinations.push(number);
        }
    }
    // updates are parsed from JSON, as they are when received from the network
    let mut text = Vec::new();
    let mut bytes = 0;
    let mut replica = ShardMapReplica::new(
        shard_count,
        Limits {
            history: 0,
            ..replica_limits()
        },
    );
    replica.subscribe(shard_count.shards().filter(|shard| wanted(*shard)));
    let mut cpu = 0.0;
    let before = probe::resident()?;
    for request in replica.sync_requests() {
        // A session proxy first requests the whole span, a sender each of its shards. A request for the span is
        // replaced by requests for all shards, as from a replica that has none of them, 512 shards each.
        let requests = match request {
            SyncRequest::Span { .. } => {
                let versions: Vec<_> = shard_count
                    .shards()
                    .map(|shard| milletturn_shard_map::ShardVersion {
                        shard,
                        version: Default::default(),
                        digest: Default::default(),
                    })
                    .collect();
                versions
                    .chunks(512)
                    .map(|part| SyncRequest::Shards {
                        shard_count,
                        versions: part.to_vec(),
                    })
                    .collect()
            }
            each => vec![each],
        };
        for request in requests {
            for update in source.respond(&request).map_err(failure)? {
                text.clear();
                serde_json::to_writer(&mut text, &update).map_err(failure)?;
                bytes += text.len();
                let (apply_cpu, done) = probe::cpu_in(|| -> Result<(), Error> {
                    let update: Update = serde_json::from_slice(&text).map_err(failure)?;
                    replica.apply(update).map(drop).map_err(failure)
                });
                cpu += apply_cpu;
                done?;
            }
        }
    }
    let resident = probe::resident()? - before;
    let mut change = (0.0, 0.0);
    const CHANGES: u64 = 200;
    for n in 0..CHANGES {
        let number = kept_destinations[(n * 7_919 % kept_destinations.len() as u64) as usize];
        let update = Update::Change(
            source
                .propose(put_change(number, 9_000 + n as u16))
                .map_err(failure)?,
        );
        let text = serde_json::to_vec(&update).map_err(failure)?;
        let (apply_cpu, done) = probe::cpu_in(|| -> Result<(), Error> {
            let update: Update = serde_json::from_slice(&text).map_err(failure)?;
            replica.apply(update).map(drop).map_err(failure)
        });
        done?;
        change = (
            change.0 + apply_cpu / CHANGES as f64,
            change.1 + text.len() as f64 / CHANGES as f64,
        );
    }
    let mut points = vec![
        point(
            "catalog.holder",
            "resident",
            "B",
            "destinations",
            context.size,
            resident,
        ),
        new_point("cpu", "s", cpu),
        new_point("wire", "B", bytes as f64),
        new_point("change.cpu", "s", change.0),
        new_point("change.wire", "B", change.1),
    ];
    let (cpu, requests) = probe::cpu_in(|| replica.sync_requests());
    points.push(new_point("check.cpu", "s", cpu));
    points.push(new_point(
        "check.wire",
        "B",
        requests
            .iter()
            .map(json_bytes)
            .sum::<Result<f64, Error>>()?,
    ));
    Ok(points)
}

/// Measures catching up after the given number of missed changes, for a session proxy that holds all destinations of
/// the plan and for senders that hold their shards.
pub(super) fn missed(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let mut random = Pcg64::seed_from_u64(0);
    let new_point = |role: &str, quantity: &str, unit: &str, value: f64| {
        point(role, quantity, unit, "missed changes", context.size, value)
    };
    let shard_count = ShardCount::default();
    let mut source = source_with_destinations(DESTINATIONS)?;
    let assignment = Assignment::new(shard_count, membership(SENDERS)?);
    let mut session_proxy = ShardMapReplica::new(shard_count, replica_limits());
    session_proxy.subscribe(shard_count.shards());
    sync_until_current(&mut session_proxy, &source)?;
    let mut senders = Vec::new();
    for n in 0..SAMPLED_SENDERS {
        let mut sender = ShardMapReplica::new(
            shard_count,
            Limits {
                history: 0,
                ..replica_limits()
            },
        );
        sender.subscribe(
            assignment.shards_of(&format!("sender-{:05}", n * (SENDERS / SAMPLED_SENDERS))),
        );
        let (_, whole) = sync_until_current(&mut sender, &source)?;
        senders.push((sender, whole));
    }
    let mut changes = 0.0;
    for _ in 0..context.size {
        let number = random.next_u64() % DESTINATIONS;
        let port = 1 + (random.next_u32() % 60_000) as u16;
        changes += json_bytes(&Update::Change(
            source.propose(put_change(number, port)).map_err(failure)?,
        ))?;
    }
    let (cpu, synced) = probe::cpu_in(|| sync_until_current(&mut session_proxy, &source));
    let (request_count, bytes) = synced?;
    let mut points = vec![
        new_point("catalog.relay", "missed.wire", "B", bytes),
        new_point("catalog.relay", "missed.changes", "B", changes),
        new_point(
            "catalog.relay",
            "missed.questions",
            "messages",
            request_count,
        ),
        new_point("catalog.relay", "missed.cpu", "s", cpu),
    ];
    let (mut sum, mut max_bytes, mut first, mut max_first) = (0.0, 0.0f64, 0.0, 0.0f64);
    for (sender, whole) in &mut senders {
        let (_, bytes) = sync_until_current(sender, &source)?;
        sum += bytes / SAMPLED_SENDERS as f64;
        max_bytes = max_bytes.max(bytes);
        first += *whole / SAMPLED_SENDERS as f64;
        max_first = max_first.max(*whole);
    }
    points.push(new_point("catalog.sender", "missed.wire", "B", sum));
    points.push(new_point("catalog.sender", "missed.most", "B", max_bytes));
    points.push(new_point("catalog.sender", "first.wire", "B", first));
    points.push(new_point("catalog.sender", "first.most", "B", max_first));
    Ok(points)
}
