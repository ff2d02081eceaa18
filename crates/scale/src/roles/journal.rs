//! Measures pending messages in the journal: their memory and disk space, the time of a start with many of them, and
//! how long a compaction of the journal blocks the sender.

use super::list::{endpoint, endpoints_file, engine_status, limits_section, new_engine, run_local};
use super::program::{Sender, SidecarConfig, journal_dir, temp_dir, unused_address};
use super::{MeasurementContext, measure_in_subprocess, point, probe};
use crate::Error;
use crate::figures::Point;
use milletturn_engine::{Accepted, EndpointListUpdate, Journal, JournalError};
use milletturn_journal::FileJournal;
use milletturn_policy::{Effect, SECOND};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Size of a message body in bytes, except where the body size is varied.
const BODY_BYTES: usize = 256;
/// Destinations that one sender serves at the design size.
const DESTINATIONS: u64 = 106;
/// Number of the sender's destinations that are down; all messages go to them.
const UNREACHABLE_DESTINATIONS: u64 = 5;
/// Number of messages in each measurement that varies the body size.
const MESSAGES: u64 = 20_000;
/// In the measurement of compaction, the journal's size limit is 2 plus this number, multiplied by the size of its
/// unfinished messages.
const EXTRA_SPACE: f64 = 0.1;

fn journal_error(error: JournalError) -> Error {
    Error::Unexpected(format!("journal failed: {error}"))
}

fn accepted_message(number: u64, body: usize, now: i64) -> Accepted {
    Accepted {
        id: format!("m{number:08}"),
        key: Some(format!("key-m{number:08}")),
        class: "notice".into(),
        effect: Some(Effect::Keyed {
            window: 3_600 * SECOND,
            zone_only: false,
        }),
        subject: None,
        tenant: None,
        destination: 1 + number % UNREACHABLE_DESTINATIONS,
        accepted_at: now,
        deadline: now + 7 * 86_400 * SECOND,
        body: vec![b'x'; body].into(),
    }
}

fn journal_with_messages(folder: &Path, count: u64, body: usize) -> Result<FileJournal, Error> {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros();
    let now = i64::try_from(wall).unwrap_or(0);
    let (mut journal, _) = FileJournal::open(folder, u64::MAX / 4, 0).map_err(journal_error)?;
    for number in 1..=count {
        journal
            .record_accepted(number, accepted_message(number, body, now))
            .map_err(journal_error)?;
    }
    Ok(journal)
}

fn journal_file_bytes(folder: &Path) -> Result<f64, Error> {
    let path = folder.join("journal");
    let found = std::fs::metadata(&path).map_err(Error::io(path.display().to_string()))?;
    Ok(found.len() as f64)
}

/// Measures recording the given number of accepted messages.
pub(super) fn write(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let new_point = |quantity: &str, unit: &str, value: f64| {
        point(
            "journal",
            quantity,
            unit,
            "messages held",
            context.size,
            value,
        )
    };
    let own_folder = temp_dir()?;
    let dir = context.folder.as_deref().unwrap_or(own_folder.path());
    let resident = probe::resident()?;
    let (cpu, journal) = probe::cpu_in(|| journal_with_messages(dir, context.size, BODY_BYTES));
    let journal = journal?;
    let points = vec![
        new_point("cpu", "s", cpu),
        new_point("resident", "B", probe::resident()? - resident),
        new_point("disk", "B", journal_file_bytes(dir)?),
    ];
    drop(journal);
    Ok(points)
}

/// Measures opening the journal and starting the engine with the given number of pending messages.
pub(super) fn open(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let new_point = |quantity: &str, unit: &str, value: f64| {
        point(
            "journal.open",
            quantity,
            unit,
            "messages held",
            context.size,
            value,
        )
    };
    let dir = temp_dir()?;
    measure_in_subprocess(
        "journal.write",
        context.size,
        &context.program,
        Some(dir.path()),
    )?;
    let resident = probe::resident()?;
    let started_at = Instant::now();
    let (cpu, opened) = probe::cpu_in(|| FileJournal::open(dir.path(), u64::MAX / 4, 0));
    let (journal, recovery) = opened.map_err(journal_error)?;
    if recovery.records as u64 != context.size {
        return Err(Error::Unexpected(format!(
            "journal recovered {} of {} records",
            recovery.records, context.size
        )));
    }
    let wall = started_at.elapsed().as_secs_f64();
    let mut points = vec![new_point("cpu", "s", cpu), new_point("wall", "s", wall)];
    points.push(new_point("resident", "B", probe::resident()? - resident));
    let address = unused_address();
    run_local(async move {
        let endpoints = (1..=DESTINATIONS)
            .map(|number| endpoint(number, address, 0.0))
            .collect();
        let endpoint_list = EndpointListUpdate {
            version: 1,
            full: true,
            endpoints,
        };
        let (cpu_before, started) = (probe::cpu(), Instant::now());
        let (mut engine, inputs, mut received) =
            new_engine(Box::new(journal), Some(endpoint_list), 400)?;
        tokio::task::spawn_local(async move { engine.run(&mut received).await });
        let view = engine_status(&inputs).await?;
        if view.open_messages as u64 != context.size {
            return Err(Error::Unexpected(format!(
                "engine resumed {} of {} messages",
                view.open_messages, context.size
            )));
        }
        points.push(new_point("resume.cpu", "s", probe::cpu() - cpu_before));
        points.push(new_point(
            "resume.wall",
            "s",
            started.elapsed().as_secs_f64(),
        ));
        let (memory, peak) = probe::memory_of("self")?;
        points.push(new_point("running", "B", memory - resident));
        points.push(new_point("peak", "B", peak - resident));
        Ok(points)
    })
}

/// Measures memory and disk space per message with bodies of the given number of bytes.
pub(super) fn body(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let new_point = |quantity: &str, value: f64| {
        point(
            "journal.body",
            quantity,
            "B/message",
            "bytes of a body",
            context.size,
            value / MESSAGES as f64,
        )
    };
    let dir = temp_dir()?;
    let resident = probe::resident()?;
    let journal = journal_with_messages(dir.path(), MESSAGES, context.size as usize)?;
    let points = vec![
        new_point("resident", probe::resident()? - resident),
        new_point("disk", journal_file_bytes(dir.path())?),
    ];
    drop(journal);
    Ok(points)
}

/// Measures the journal entry that triggers a compaction, during which the sender does nothing else. Entries are
/// written until the file shrinks, and the one with the most CPU time is reported.
pub(super) fn compact(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let new_point = |quantity: &str, unit: &str, value: f64| {
        point(
            "journal.compact",
            quantity,
            unit,
            "messages held",
            context.size,
            value,
        )
    };
    let dir = temp_dir()?;
    drop(journal_with_messages(dir.path(), context.size, BODY_BYTES)?);
    let live_bytes = journal_file_bytes(dir.path())?;
    let (mut journal, _) =
        FileJournal::open(dir.path(), (live_bytes * (2.0 + EXTRA_SPACE)) as u64, 0)
            .map_err(journal_error)?;
    let (mut max_cpu, mut wall, mut size) = (0.0f64, 0.0f64, journal_file_bytes(dir.path())?);
    for entry in 0u64.. {
        let started_at = Instant::now();
        let (cpu, written) =
            probe::cpu_in(|| journal.record_never_ran(1 + entry % context.size, 0));
        written.map_err(journal_error)?;
        if cpu > max_cpu {
            (max_cpu, wall) = (cpu, started_at.elapsed().as_secs_f64());
        }
        if entry % 256 == 0 {
            let now = journal_file_bytes(dir.path())?;
            if now < size {
                break;
            }
            size = now;
        }
    }
    Ok(vec![
        new_point("stall", "s", wall),
        new_point("cpu", "s", max_cpu),
    ])
}

/// Measures a start of the whole sender with the given number of messages pending for destinations that accept no
/// connection.
pub(super) fn restart(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let new_point = |quantity: &str, unit: &str, value: f64| {
        point(
            "restart",
            quantity,
            unit,
            "messages held",
            context.size,
            value,
        )
    };
    let dir = temp_dir()?;
    measure_in_subprocess(
        "journal.write",
        context.size,
        &context.program,
        Some(&journal_dir(dir.path())),
    )?;
    let config = SidecarConfig {
        limits: &limits_section(1_024, 100_000),
        list: &endpoints_file(DESTINATIONS, unused_address()),
    };
    let sender = Sender::start_sidecar(&context.program, dir.path(), &config)?;
    let (cpu, (memory, peak)) = (sender.cpu()?, sender.memory()?);
    let mut points = vec![
        new_point("ready", "s", sender.ready),
        new_point("cpu", "s", cpu),
        new_point("resident", "B", memory),
        new_point("peak", "B", peak),
    ];
    std::thread::sleep(Duration::from_secs(3));
    points.push(new_point("beside", "core", (sender.cpu()? - cpu) / 3.0));
    Ok(points)
}
