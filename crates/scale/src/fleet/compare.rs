//! Compares real senders with the same number of simulated ones: what they cost the coordinators, and their own cost.

use super::real::Reals;
use super::rig::Rig;
use super::sheet::{Place, Sheet, other};
use super::slopes::{Plan, RATE, stewards};
use crate::Error;
use crate::cost::Cost;
use serde_json::json;
use std::time::Duration;

/// How the senders of a comparison run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Processes of the product.
    Real,
    /// Simulated senders, all in one process.
    Hollow,
    /// Simulated senders, each in a process of its own.
    HollowApart,
    /// Simulated senders with a real engine that receives the list, each in a process of its own.
    EngineApart,
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Kind::Real => "real",
            Kind::Hollow => "hollow, together",
            Kind::HollowApart => "hollow, a process each",
            Kind::EngineApart => "hollow with engine, a process each",
        }
    }
}

/// Pause after senders start, before a measurement begins.
const SETTLE: Duration = Duration::from_secs(4);

/// Rounds in which the kinds take turns, so that changes in the machine's other load affect all kinds.
const ROUNDS: usize = 2;

/// Runs the kinds one after the other, with the same list and the same changes.
///
/// # Errors
/// A process does not start or ends early.
pub fn run(plan: &Plan, sheet: &mut Sheet, senders: u64, rate: f64) -> Result<(), Error> {
    for _ in 0..ROUNDS {
        for kind in [
            Kind::Hollow,
            Kind::Real,
            Kind::HollowApart,
            Kind::EngineApart,
        ] {
            one(plan, sheet, senders, kind, rate)?;
        }
    }
    Ok(())
}

/// Runs one kind in a single region, so that all senders use the same addresses.
///
/// # Errors
/// A process does not start or ends early.
pub fn one(
    plan: &Plan,
    sheet: &mut Sheet,
    senders: u64,
    kind: Kind,
    rate: f64,
) -> Result<(), Error> {
    let setup = super::stewards::Setup {
        regions: 1,
        ..stewards(3, 9)
    };
    let hollow = if kind == Kind::Real { 0 } else { senders };
    let mut parts = plan.parts(hollow, hollow, Some(setup));
    parts.regions = 1;
    let apart = matches!(kind, Kind::HollowApart | Kind::EngineApart);
    parts.each = if apart { 1 } else { parts.each };
    parts.engines = kind == Kind::EngineApart;
    let mut rig = Rig::start(&plan.programs, parts)?;
    let group = rig
        .stewards
        .as_ref()
        .ok_or_else(|| Error::Wrong("no stewards".into()))?;
    let leader = group.leader();
    let reals = match kind {
        Kind::Real => {
            let (discovery, addresses) = (rig.discovery.addresses[0], group.addresses(0));
            Some(Reals::start(
                &plan.programs.sender,
                &rig.config,
                0..senders,
                discovery,
                &addresses,
            )?)
        }
        _ => {
            rig.begin(0..senders)?;
            None
        }
    };
    std::thread::sleep(SETTLE);
    let own = |rig: &Rig| match &reals {
        Some(reals) => reals.costs(),
        None => Ok((rig.herd.cost()?, Cost::default())),
    };
    let first = own(&rig)?;
    let (before, after, published) = rig.span(plan.span * 2, rate * RATE)?;
    let last = own(&rig)?;
    let set = other([
        ("kind", json!(kind.name())),
        ("changes", json!(published)),
        ("rate", json!(rate)),
    ]);
    let place = Place {
        axis: "senders",
        at: senders as f64,
        other: set,
    };
    let mut spans = Sheet::default();
    spans.span(&place, &before, &after, senders, senders, leader);
    // the senders' own cost is recorded below, for real senders from their processes
    spans.lines.retain(|line| {
        !matches!(line, crate::figures::Line::Point(point) if point.role == "sender"
            && ["cpu", "resident", "descriptors"].contains(&point.quantity.as_str()))
    });
    sheet.lines.append(&mut spans.lines);
    let session = |reading: &super::rig::Reading| {
        reading
            .stewards
            .iter()
            .fold(super::meter::Passed::default(), |sum, steward| {
                sum + steward.1
            })
    };
    let (session, list) = (session(&after) - session(&before), after.list - before.list);
    let per = |bytes: u64, count: u64| bytes as f64 / count.max(1) as f64;
    for (quantity, value) in [
        (
            "session_bytes_per_request",
            per(session.bytes_asked, session.asked),
        ),
        (
            "session_bytes_per_answer",
            per(session.bytes_told, session.told),
        ),
        ("list_bytes_per_line", per(list.bytes_told, list.told)),
    ] {
        sheet.point("sender", quantity, "bytes", &place, value);
    }
    sheet.point(
        "sender",
        "list_requests",
        "count",
        &place,
        list.asked as f64,
    );
    sheet.point("sender", "list_lines", "count", &place, list.told as f64);
    let span = after
        .at
        .zip(before.at)
        .map_or(f64::NAN, |(to, from)| to.duration_since(from).as_secs_f64());
    let each = senders as f64;
    for (role, cost) in [
        ("sender.process", last.0 - first.0),
        ("sender.session", last.1 - first.1),
    ] {
        if cost.resident > 0 {
            sheet.point(role, "cpu", "core", &place, cost.cpu_s / span / each);
            sheet.point(
                role,
                "resident",
                "bytes",
                &place,
                cost.resident as f64 / each,
            );
            sheet.point(
                role,
                "descriptors",
                "count",
                &place,
                cost.descriptors as f64 / each,
            );
        }
    }
    let stewards_cpu: f64 = after
        .stewards
        .iter()
        .zip(&before.stewards)
        .map(|(after, before)| (after.0 - before.0).cpu_s)
        .sum();
    sheet.point("steward.all", "cpu", "core", &place, stewards_cpu / span);
    eprintln!(
        "{senders} {}: stewards {:.4} core, stand-in {:.4} core, senders {:.5} + {:.5} core each, {} requests, {} lines",
        kind.name(),
        stewards_cpu / span,
        (after.list_cpu_s - before.list_cpu_s) / span,
        (last.0 - first.0).cpu_s / span / each,
        (last.1 - first.1).cpu_s / span / each,
        session.asked,
        list.told
    );
    Ok(())
}
