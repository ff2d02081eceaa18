//! Measures the dead-letter store: saving messages, opening the store again, and the recovery after a start.

use super::program::temp_dir;
use super::{MeasurementContext, point, probe};
use crate::Error;
use crate::figures::Point;
use bytes::Bytes;
use milletturn_dead_letter::config::Config;
use milletturn_dead_letter::redrive_service::RedriveService;
use milletturn_dead_letter::store::DeadLetterStore;
use milletturn_engine::dead_letter_sink::EndedMessage;
use milletturn_engine::{AttemptRecord, EndReason, Ending, SharedStr};
use milletturn_policy::{Effect, Micros, Outcome, SECOND};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Instant;

const NOW: Micros = 1_000_000 * SECOND;
const BODY_BYTES: usize = 256;
/// Messages per transaction, as when many messages end together.
const BATCH: u64 = 64;

fn ended_message(number: u64) -> Result<EndedMessage, Error> {
    let shared_string = |text: String| {
        SharedStr::new(text.as_bytes()).map_err(|error| Error::Unexpected(error.to_string()))
    };
    let attempt = |n: i64| AttemptRecord {
        uid: format!("s-{n}"),
        sent_at: NOW + n,
        outcome: Some(Outcome::NoConnection),
        latency: Some(1000),
        may_have_run: false,
    };
    Ok(EndedMessage {
        number,
        id: shared_string(format!("m{number}"))?,
        key: Some(shared_string(format!("key-{number}"))?),
        class: "notice".into(),
        effect: None,
        destination: number % 106,
        body: Bytes::from(vec![b'x'; BODY_BYTES]),
        accepted_at: NOW,
        deadline: NOW + 20 * SECOND,
        ended_at: NOW + SECOND,
        ending: Ending::Failed,
        reason: EndReason::DeadlineExceeded,
        attempts: (0..3).map(attempt).collect(),
        redriven: false,
    })
}

fn open_service(path: &Path) -> Result<RedriveService, Error> {
    let config = Config {
        max_bytes: 8 << 30,
        max_messages: 1 << 24,
        ..Config::default()
    };
    let store = DeadLetterStore::open(path, RedriveService::limits(&config))
        .map_err(|error| Error::Unexpected(error.to_string()))?;
    let effect = Effect::Keyed {
        window: 12 * SECOND,
        zone_only: false,
    };
    Ok(RedriveService::new(
        store,
        &config,
        BTreeMap::from([("notice".to_string(), effect)]),
    ))
}

/// Measures saving the given number of messages, opening the store that holds them, and the recovery after a start,
/// which verifies the file.
pub(super) fn store(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let new_point = |quantity: &str, unit: &str, value: f64| {
        point(
            "undelivered",
            quantity,
            unit,
            "messages kept",
            context.size,
            value,
        )
    };
    let failed =
        |error: milletturn_dead_letter::error::StoreError| Error::Unexpected(error.to_string());
    let dir = temp_dir()?;
    let path = dir.path().join("undelivered.db");
    let resident = probe::resident()?;
    let mut store = open_service(&path)?;
    let mut save_cpu = 0.0;
    for first in (0..context.size).step_by(BATCH as usize) {
        let last = context.size.min(first + BATCH);
        let batch = (first + 1..=last)
            .map(ended_message)
            .collect::<Result<Vec<_>, _>>()?;
        let (cpu, saved) = probe::cpu_in(|| store.save(&batch, NOW));
        saved.map_err(failed)?;
        save_cpu += cpu;
    }
    let grown = probe::resident()? - resident;
    drop(store);
    let disk = std::fs::metadata(&path)
        .map_err(Error::io("the store"))?
        .len() as f64;
    let started_at = Instant::now();
    let (open_cpu, store) = probe::cpu_in(|| open_service(&path));
    let mut store = store?;
    let wall = started_at.elapsed().as_secs_f64();
    let (check_cpu, checked) = probe::cpu_in(|| store.recover(&BTreeSet::new(), true, NOW));
    checked.map_err(failed)?;
    Ok(vec![
        new_point("cpu", "s", save_cpu),
        new_point("resident", "B", grown),
        new_point("disk", "B", disk),
        new_point("open.cpu", "s", open_cpu),
        new_point("open.wall", "s", wall),
        new_point("check.cpu", "s", check_cpu),
    ])
}
