//! The format of the settings file, and the checks of its values.

use super::Settings;
use crate::ReplicaId;
use milletturn_config::units;
use milletturn_coordination::{LeaseTiming, Micros, bounds};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

const LEASE_RANGE_US: RangeInclusive<i64> = 500_000..=600_000_000;
const HEARTBEAT_RANGE_US: RangeInclusive<i64> = 20_000..=10_000_000;
/// Smallest ratio of the lease to the interval of the leader's calls to the other replicas. When the leader fails, an
/// election and a member's heartbeat to the new leader have to fit into the lease.
const MIN_HEARTBEATS_PER_LEASE: u64 = 15;

/// The keys of the settings file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SettingsFile {
    group: String,
    id: ReplicaId,
    listen: String,
    state: PathBuf,
    #[serde(default = "default_lease")]
    lease: String,
    #[serde(default = "default_clock_error")]
    clock_error: f64,
    #[serde(default = "default_heartbeat")]
    heartbeat: String,
    #[serde(rename = "steward")]
    replicas: Vec<ReplicaEntry>,
}

/// One `[[steward]]` table: a replica of the group.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplicaEntry {
    id: ReplicaId,
    address: String,
}

fn default_lease() -> String {
    "9s".to_string()
}

fn default_clock_error() -> f64 {
    0.02
}

fn default_heartbeat() -> String {
    "200ms".to_string()
}

impl SettingsFile {
    /// Checks all values, and resolves relative paths against `folder`. The error lists all problems.
    pub(super) fn check(self, folder: &Path) -> Result<Settings, Vec<String>> {
        let mut problems = Vec::new();
        let lease = parse_duration("lease", &self.lease, &LEASE_RANGE_US, &mut problems);
        let heartbeat = parse_duration(
            "heartbeat",
            &self.heartbeat,
            &HEARTBEAT_RANGE_US,
            &mut problems,
        );
        self.check_group_and_clock(&mut problems);
        let replicas = check_replicas(self.id, self.replicas, &mut problems);
        if lease > 0 && heartbeat > 0 && lease < MIN_HEARTBEATS_PER_LEASE * heartbeat {
            problems.push(format!(
                "lease = {:?} is shorter than 15 times heartbeat = {:?}: an election would end the sessions of healthy members",
                self.lease, self.heartbeat
            ));
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        Ok(Settings {
            group: self.group,
            id: self.id,
            listen_address: self.listen,
            state_folder: folder.join(self.state),
            lease_timing: LeaseTiming {
                lease: Micros(lease),
                clock_error_ppm: (self.clock_error * 1e6).round() as u32,
            },
            heartbeat_interval: Duration::from_micros(heartbeat),
            replicas,
        })
    }

    fn check_group_and_clock(&self, problems: &mut Vec<String>) {
        if self.group.is_empty()
            || self.group.len() > bounds::MAX_NAME_BYTES
            || !self.group.is_ascii()
        {
            problems.push(
                "group: the name that identifies this group needs 1 to 128 ASCII characters"
                    .to_string(),
            );
        }
        if !(0.0..=0.5).contains(&self.clock_error) {
            problems.push(format!(
                "clock_error = {}: needs a fraction from 0 to 0.5",
                self.clock_error
            ));
        }
    }
}

/// Parses a duration to microseconds. If the text is not a duration or is out of range, adds a problem and
/// returns 0.
fn parse_duration(
    key: &str,
    text: &str,
    range: &RangeInclusive<i64>,
    problems: &mut Vec<String>,
) -> u64 {
    match units::parse_time(text) {
        Ok(micros) if range.contains(&micros) => micros.unsigned_abs(),
        Ok(_) => {
            let (min, max) = (
                units::format_time(*range.start()),
                units::format_time(*range.end()),
            );
            problems.push(format!(
                "{key} = {text:?}: needs a duration from {min} to {max}"
            ));
            0
        }
        Err(_) => {
            problems.push(format!(
                "{key} = {text:?} is not a duration such as \"9s\" or \"200ms\""
            ));
            0
        }
    }
}

/// Returns the replicas' addresses by their numbers. Adds a problem for a duplicate id or address, for a number of
/// replicas that is not allowed, and if this replica is not listed.
fn check_replicas(
    own_id: ReplicaId,
    entries: Vec<ReplicaEntry>,
    problems: &mut Vec<String>,
) -> BTreeMap<ReplicaId, String> {
    let count = entries.len();
    let replicas: BTreeMap<ReplicaId, String> = entries
        .into_iter()
        .map(|entry| (entry.id, entry.address))
        .collect();
    if replicas.len() != count {
        problems.push(
            "two [[steward]] tables have the same id; each coordinator needs its own".to_string(),
        );
    }
    let mut addresses: Vec<&String> = replicas.values().collect();
    addresses.sort();
    addresses.dedup();
    if addresses.len() != replicas.len() {
        problems.push(
            "two [[steward]] tables have the same address; each coordinator needs its own"
                .to_string(),
        );
    }
    if !matches!(count, 1 | 3 | 5 | 7) {
        problems.push(format!(
            "{count} coordinators: a group needs 1, 3, 5 or 7. Three tolerate the failure of one and five that of two; an even number tolerates no more failures than one coordinator fewer, and two stop when either fails"
        ));
    }
    if !replicas.contains_key(&own_id) {
        problems.push(format!("id = {own_id}: no [[steward]] table has this id"));
    }
    replicas
}
