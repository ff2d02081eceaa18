//! What a held message costs in the journal and in memory, what a start with many of them takes, and how long the journal
//! is away when it is written anew.

use super::list::{alone, engine_of, file_of, limits, listed, settled};
use super::program::{Sender, Sidecar, folder, free, state};
use super::{Scene, apart, point, probe};
use crate::Error;
use crate::figures::Point;
use milletturn_engine::{Accepted, EndpointListUpdate, Journal, JournalError};
use milletturn_journal::FileJournal;
use milletturn_policy::{Effect, SECOND};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Bytes of a body, where nothing else is measured.
const BODY: usize = 256;
/// Destinations that one sender serves at the size designed for, and those of them that are down.
const SERVED: u64 = 106;
const DOWN: u64 = 5;
/// Messages whose bodies are varied.
const MESSAGES: u64 = 20_000;
/// How much more than twice what is owed the folder may hold where the writing anew is measured.
const SLACK: f64 = 0.1;

fn unwritten(error: JournalError) -> Error {
    Error::Wrong(format!("the journal: {error}"))
}

fn taken(number: u64, body: usize, now: i64) -> Accepted {
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
        destination: 1 + number % DOWN,
        accepted_at: now,
        deadline: now + 7 * 86_400 * SECOND,
        body: vec![b'x'; body],
    }
}

fn filled(folder: &Path, count: u64, body: usize) -> Result<FileJournal, Error> {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros();
    let now = i64::try_from(wall).unwrap_or(0);
    let (mut journal, _) = FileJournal::open(folder, u64::MAX / 4, 0).map_err(unwritten)?;
    for number in 1..=count {
        journal
            .record_accepted(number, taken(number, body, now))
            .map_err(unwritten)?;
    }
    Ok(journal)
}

fn size_of(folder: &Path) -> Result<f64, Error> {
    let path = folder.join("journal");
    let found = std::fs::metadata(&path).map_err(Error::io(path.display().to_string()))?;
    Ok(found.len() as f64)
}

/// Taking so many messages on.
pub(super) fn write(scene: &Scene) -> Result<Vec<Point>, Error> {
    let here = |quantity: &str, unit: &str, value: f64| {
        point("journal", quantity, unit, "messages held", scene.at, value)
    };
    let own = folder()?;
    let place = scene.folder.as_deref().unwrap_or(own.path());
    let resident = probe::resident()?;
    let (cpu, journal) = probe::cpu_in(|| filled(place, scene.at, BODY));
    let journal = journal?;
    let points = vec![
        here("cpu", "s", cpu),
        here("resident", "B", probe::resident()? - resident),
        here("disk", "B", size_of(place)?),
    ];
    drop(journal);
    Ok(points)
}

/// A start of the journal and the engine with so many messages held.
pub(super) fn open(scene: &Scene) -> Result<Vec<Point>, Error> {
    let here = |quantity: &str, unit: &str, value: f64| {
        point(
            "journal.open",
            quantity,
            unit,
            "messages held",
            scene.at,
            value,
        )
    };
    let place = folder()?;
    apart(
        "journal.write",
        scene.at,
        &scene.program,
        Some(place.path()),
    )?;
    let resident = probe::resident()?;
    let begun = Instant::now();
    let (cpu, opened) = probe::cpu_in(|| FileJournal::open(place.path(), u64::MAX / 4, 0));
    let (journal, recovery) = opened.map_err(unwritten)?;
    if recovery.records as u64 != scene.at {
        return Err(Error::Wrong(format!(
            "{} records of {}",
            recovery.records, scene.at
        )));
    }
    let wall = begun.elapsed().as_secs_f64();
    let mut points = vec![here("cpu", "s", cpu), here("wall", "s", wall)];
    points.push(here("resident", "B", probe::resident()? - resident));
    let address = free();
    alone(async move {
        let endpoints = (1..=SERVED)
            .map(|number| listed(number, address, 0.0))
            .collect();
        let known = EndpointListUpdate {
            version: 1,
            full: true,
            endpoints,
        };
        let (begun, started) = (probe::cpu(), Instant::now());
        let (mut engine, inputs, mut received) = engine_of(Box::new(journal), Some(known), 400)?;
        tokio::task::spawn_local(async move { engine.run(&mut received).await });
        let view = settled(&inputs).await?;
        if view.open_messages as u64 != scene.at {
            return Err(Error::Wrong(format!(
                "{} held of {}",
                view.open_messages, scene.at
            )));
        }
        points.push(here("resume.cpu", "s", probe::cpu() - begun));
        points.push(here("resume.wall", "s", started.elapsed().as_secs_f64()));
        let (now, most) = probe::memory_of("self")?;
        points.push(here("running", "B", now - resident));
        points.push(here("peak", "B", most - resident));
        Ok(points)
    })
}

/// Messages with bodies of so many bytes.
pub(super) fn body(scene: &Scene) -> Result<Vec<Point>, Error> {
    let here = |quantity: &str, value: f64| {
        point(
            "journal.body",
            quantity,
            "B/message",
            "bytes of a body",
            scene.at,
            value / MESSAGES as f64,
        )
    };
    let place = folder()?;
    let resident = probe::resident()?;
    let journal = filled(place.path(), MESSAGES, scene.at as usize)?;
    let points = vec![
        here("resident", probe::resident()? - resident),
        here("disk", size_of(place.path())?),
    ];
    drop(journal);
    Ok(points)
}

/// The one entry that makes the journal write anew all that is owed: nothing else happens in the sender meanwhile.
pub(super) fn compact(scene: &Scene) -> Result<Vec<Point>, Error> {
    let here = |quantity: &str, unit: &str, value: f64| {
        point(
            "journal.compact",
            quantity,
            unit,
            "messages held",
            scene.at,
            value,
        )
    };
    let place = folder()?;
    drop(filled(place.path(), scene.at, BODY)?);
    let live = size_of(place.path())?;
    let (mut journal, _) =
        FileJournal::open(place.path(), (live * (2.0 + SLACK)) as u64, 0).map_err(unwritten)?;
    let (mut most, mut wall, mut size) = (0.0f64, 0.0f64, size_of(place.path())?);
    for entry in 0u64.. {
        let begun = Instant::now();
        let (cpu, written) = probe::cpu_in(|| journal.record_never_ran(1 + entry % scene.at, 0));
        written.map_err(unwritten)?;
        if cpu > most {
            (most, wall) = (cpu, begun.elapsed().as_secs_f64());
        }
        if entry % 256 == 0 {
            let now = size_of(place.path())?;
            if now < size {
                break;
            }
            size = now;
        }
    }
    Ok(vec![here("stall", "s", wall), here("cpu", "s", most)])
}

/// A start of the whole sender with so many messages held behind destinations that take no connection.
pub(super) fn restart(scene: &Scene) -> Result<Vec<Point>, Error> {
    let here = |quantity: &str, unit: &str, value: f64| {
        point("restart", quantity, unit, "messages held", scene.at, value)
    };
    let place = folder()?;
    apart(
        "journal.write",
        scene.at,
        &scene.program,
        Some(&state(place.path())),
    )?;
    let told = Sidecar {
        limits: &limits(1_024, 100_000),
        list: &file_of(SERVED, free()),
    };
    let sender = Sender::sidecar(&scene.program, place.path(), &told)?;
    let (cpu, (now, most)) = (sender.cpu()?, sender.memory()?);
    let mut points = vec![
        here("ready", "s", sender.ready),
        here("cpu", "s", cpu),
        here("resident", "B", now),
        here("peak", "B", most),
    ];
    std::thread::sleep(Duration::from_secs(3));
    points.push(here("beside", "core", (sender.cpu()? - cpu) / 3.0));
    Ok(points)
}
