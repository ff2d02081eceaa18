//! Compares real senders with the same number of simulated ones: what they cost the coordinators, and their own cost.

use super::harness::Harness;
use super::real_senders::RealSenders;
use super::results::{Conditions, Results, parameters_from};
use super::scaling::{CHANGES_PER_S, Plan, default_group};
use crate::Error;
use crate::cost::Cost;
use serde_json::json;
use std::time::Duration;

/// What kind of senders a comparison measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Processes of the product.
    Real,
    /// Simulated senders, all in one process.
    Simulated,
    /// Simulated senders, each in a process of its own.
    SimulatedSeparately,
    /// Simulated senders with a real engine that receives the list, each in a process of its own.
    EngineSeparately,
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Kind::Real => "real",
            Kind::Simulated => "hollow, together",
            Kind::SimulatedSeparately => "hollow, a process each",
            Kind::EngineSeparately => "hollow with engine, a process each",
        }
    }
}

/// Pause after senders start, before a measurement begins.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Rounds in which the kinds take turns, so that changes in the machine's other load affect all kinds.
const ROUNDS: usize = 2;

/// Runs the kinds one after the other, with the same list and the same rate of changes. `rate` is a multiple of
/// [`CHANGES_PER_S`].
///
/// # Errors
/// A process does not start or ends early.
pub fn run(plan: &Plan, results: &mut Results, senders: u64, rate: f64) -> Result<(), Error> {
    for _ in 0..ROUNDS {
        for kind in [
            Kind::Simulated,
            Kind::Real,
            Kind::SimulatedSeparately,
            Kind::EngineSeparately,
        ] {
            measure_kind(plan, results, senders, kind, rate)?;
        }
    }
    Ok(())
}

/// Runs one kind in a single region, so that all senders use the same addresses. The measurement lasts twice the plan's
/// span; `rate` is a multiple of [`CHANGES_PER_S`].
///
/// # Errors
/// A process does not start or ends early.
pub fn measure_kind(
    plan: &Plan,
    results: &mut Results,
    senders: u64,
    kind: Kind,
    rate: f64,
) -> Result<(), Error> {
    let group_config = super::coordinators::GroupConfig {
        regions: 1,
        ..default_group(3, 9)
    };
    let simulated = if kind == Kind::Real { 0 } else { senders };
    let mut options = plan.options(simulated, simulated, Some(group_config));
    options.regions = 1;
    let separate_processes = matches!(kind, Kind::SimulatedSeparately | Kind::EngineSeparately);
    options.senders_per_process = if separate_processes {
        1
    } else {
        options.senders_per_process
    };
    options.run_engines = kind == Kind::EngineSeparately;
    let mut harness = Harness::start(&plan.programs, options)?;
    let group = harness
        .coordinators
        .as_ref()
        .ok_or_else(|| Error::Unexpected("the harness has no coordinators".into()))?;
    let leader = group.leader();
    let real_senders = match kind {
        Kind::Real => {
            let (discovery, addresses) = (harness.discovery.addresses[0], group.addresses(0));
            Some(RealSenders::start(
                &plan.programs.sender,
                &harness.config,
                0..senders,
                discovery,
                &addresses,
            )?)
        }
        _ => {
            harness.start_senders(0..senders)?;
            None
        }
    };
    std::thread::sleep(SETTLE_TIME);
    let senders_cost = |harness: &Harness| match &real_senders {
        Some(real_senders) => real_senders.costs(),
        None => Ok((harness.fleet.cost()?, Cost::default())),
    };
    let cost_before = senders_cost(&harness)?;
    let (before, after, published) = harness.measure_span(plan.span * 2, rate * CHANGES_PER_S)?;
    let cost_after = senders_cost(&harness)?;
    let parameters = parameters_from([
        ("kind", json!(kind.name())),
        ("changes", json!(published)),
        ("rate", json!(rate)),
    ]);
    let conditions = Conditions {
        axis: "senders",
        at: senders as f64,
        parameters,
    };
    let mut span_results = Results::default();
    span_results.record_span(&conditions, &before, &after, senders, senders, leader);
    // the senders' own cost is recorded below, for real senders from their processes
    span_results.records.retain(|record| {
        !matches!(record, crate::figures::Record::Point(point) if point.role == "sender"
            && ["cpu", "resident", "descriptors"].contains(&point.quantity.as_str()))
    });
    results.records.append(&mut span_results.records);
    let session = |reading: &super::harness::Reading| {
        reading
            .coordinators
            .iter()
            .fold(super::meter::Traffic::default(), |sum, coordinator| {
                sum + coordinator.1
            })
    };
    let (session, list) = (session(&after) - session(&before), after.list - before.list);
    let bytes_per = |bytes: u64, count: u64| bytes as f64 / count.max(1) as f64;
    for (quantity, value) in [
        (
            "session_bytes_per_request",
            bytes_per(session.request_bytes, session.requests),
        ),
        (
            "session_bytes_per_answer",
            bytes_per(session.response_bytes, session.responses),
        ),
        (
            "list_bytes_per_line",
            bytes_per(list.response_bytes, list.responses),
        ),
    ] {
        results.add_point("sender", quantity, "bytes", &conditions, value);
    }
    results.add_point(
        "sender",
        "list_requests",
        "count",
        &conditions,
        list.requests as f64,
    );
    results.add_point(
        "sender",
        "list_lines",
        "count",
        &conditions,
        list.responses as f64,
    );
    let span = after
        .at
        .zip(before.at)
        .map_or(f64::NAN, |(to, from)| to.duration_since(from).as_secs_f64());
    let sender_count = senders as f64;
    for (role, cost) in [
        ("sender.process", cost_after.0 - cost_before.0),
        ("sender.session", cost_after.1 - cost_before.1),
    ] {
        if cost.resident > 0 {
            results.add_point(
                role,
                "cpu",
                "core",
                &conditions,
                cost.cpu_s / span / sender_count,
            );
            results.add_point(
                role,
                "resident",
                "bytes",
                &conditions,
                cost.resident as f64 / sender_count,
            );
            results.add_point(
                role,
                "descriptors",
                "count",
                &conditions,
                cost.descriptors as f64 / sender_count,
            );
        }
    }
    let coordinators_cpu: f64 = after
        .coordinators
        .iter()
        .zip(&before.coordinators)
        .map(|(after, before)| (after.0 - before.0).cpu_s)
        .sum();
    results.add_point(
        "steward.all",
        "cpu",
        "core",
        &conditions,
        coordinators_cpu / span,
    );
    eprintln!(
        "{senders} {}: coordinators {:.4} core, discovery test double {:.4} core, senders {:.5} + {:.5} core each, {} requests, {} lines",
        kind.name(),
        coordinators_cpu / span,
        (after.list_cpu_s - before.list_cpu_s) / span,
        (cost_after.0 - cost_before.0).cpu_s / span / sender_count,
        (cost_after.1 - cost_before.1).cpu_s / span / sender_count,
        session.requests,
        list.responses
    );
    Ok(())
}
