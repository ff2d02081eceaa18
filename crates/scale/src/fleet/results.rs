//! Results of a run as JSON lines, and the curves fitted to them.

use super::harness::Reading;
use crate::Error;
use crate::figures::{Fit, Point, Record};
use crate::fit::{Fitted, best};
use crate::plot::{Series, draw};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// Settings of a measurement besides the axis, by name.
pub type Parameters = BTreeMap<String, Value>;

/// Builds [`Parameters`].
#[must_use]
pub fn parameters_from<const N: usize>(parameters: [(&str, Value); N]) -> Parameters {
    parameters
        .into_iter()
        .map(|(name, value)| (name.to_string(), value))
        .collect()
}

/// All results of a run.
#[derive(Debug, Default)]
pub struct Results {
    /// Records so far, in the order in which they are written.
    pub records: Vec<Record>,
}

/// The measurement that a result belongs to.
#[derive(Debug, Clone)]
pub struct Conditions<'a> {
    /// Name of the quantity that was varied.
    pub axis: &'a str,
    /// Value on the axis.
    pub at: f64,
    /// Settings besides the axis.
    pub parameters: Parameters,
}

impl Results {
    /// Records one result; a value that is not finite, such as the maximum of no samples, is skipped.
    pub fn add_point(
        &mut self,
        role: &str,
        quantity: &str,
        unit: &str,
        conditions: &Conditions<'_>,
        value: f64,
    ) {
        if !value.is_finite() {
            return;
        }
        self.records.push(Record::Point(Point {
            role: role.to_string(),
            quantity: quantity.to_string(),
            unit: unit.to_string(),
            axis: conditions.axis.to_string(),
            at: conditions.at,
            value,
            other: conditions.parameters.clone(),
        }));
    }

    /// Records all results of a span. `senders` senders were running, `sessions` of them with a session; `leader` is
    /// the index of the leading coordinator.
    pub fn record_span(
        &mut self,
        conditions: &Conditions<'_>,
        before: &Reading,
        after: &Reading,
        senders: u64,
        sessions: u64,
        leader: Option<usize>,
    ) {
        let (Some(from), Some(to)) = (before.at, after.at) else {
            return;
        };
        let span = to.duration_since(from).as_secs_f64();
        for (index, (after, before)) in after
            .coordinators
            .iter()
            .zip(&before.coordinators)
            .enumerate()
        {
            let role = if leader == Some(index) {
                "steward.leader"
            } else {
                "steward.follower"
            };
            let (cost, member_traffic) = (after.0 - before.0, after.1 - before.1);
            let (sent_to_peers, received_from_peers) = (after.2 - before.2, after.3 - before.3);
            for (quantity, unit, value) in [
                ("cpu", "core", cost.cpu_s / span),
                ("resident", "bytes", cost.resident as f64),
                ("descriptors", "count", cost.descriptors as f64),
                ("disk", "bytes/s", cost.written as f64 / span),
                (
                    "asked_by_senders",
                    "messages/s",
                    member_traffic.requests as f64 / span,
                ),
                (
                    "bytes_from_senders",
                    "bytes/s",
                    member_traffic.request_bytes as f64 / span,
                ),
                (
                    "bytes_to_senders",
                    "bytes/s",
                    member_traffic.response_bytes as f64 / span,
                ),
                (
                    "asked_between_stewards",
                    "messages/s",
                    (sent_to_peers.requests + received_from_peers.requests) as f64 / span,
                ),
                (
                    "bytes_to_stewards",
                    "bytes/s",
                    (sent_to_peers.request_bytes + received_from_peers.response_bytes) as f64
                        / span,
                ),
                (
                    "bytes_from_stewards",
                    "bytes/s",
                    (sent_to_peers.response_bytes + received_from_peers.request_bytes) as f64
                        / span,
                ),
            ] {
                self.add_point(role, quantity, unit, conditions, value);
            }
        }
        if senders == 0 {
            return;
        }
        let traffic_of = |of: fn(&Reading) -> super::meter::Traffic| of(after) - of(before);
        let list = traffic_of(|reading| reading.list);
        let session = traffic_of(|reading| {
            reading
                .coordinators
                .iter()
                .fold(Default::default(), |sum, coordinator| sum + coordinator.1)
        });
        let (sender_count, cost) = (senders.max(1) as f64, after.fleet - before.fleet);
        for (quantity, unit, value) in [
            ("cpu", "core", cost.cpu_s / span / sender_count),
            ("resident", "bytes", cost.resident as f64 / sender_count),
            (
                "descriptors",
                "count",
                cost.descriptors as f64 / sender_count,
            ),
            (
                "list_messages",
                "messages/s",
                list.messages() as f64 / span / sender_count,
            ),
            (
                "list_bytes_out",
                "bytes/s",
                list.request_bytes as f64 / span / sender_count,
            ),
            (
                "list_bytes_in",
                "bytes/s",
                list.response_bytes as f64 / span / sender_count,
            ),
        ] {
            self.add_point("sender", quantity, unit, conditions, value);
        }
        if sessions > 0 {
            let session_count = sessions as f64;
            for (quantity, unit, value) in [
                (
                    "session_messages",
                    "messages/s",
                    session.messages() as f64 / span / session_count,
                ),
                (
                    "session_bytes_out",
                    "bytes/s",
                    session.request_bytes as f64 / span / session_count,
                ),
                (
                    "session_bytes_in",
                    "bytes/s",
                    session.response_bytes as f64 / span / session_count,
                ),
            ] {
                self.add_point("sender", quantity, unit, conditions, value);
            }
        }
        for (quantity, unit, value) in [
            ("cpu", "core", (after.list_cpu_s - before.list_cpu_s) / span),
            ("messages", "messages/s", list.messages() as f64 / span),
            ("bytes_out", "bytes/s", list.response_bytes as f64 / span),
        ] {
            self.add_point("stand-in.discovery", quantity, unit, conditions, value);
        }
    }

    /// Returns the points of one quantity along an axis that were measured with these settings.
    #[must_use]
    pub fn points(
        &self,
        role: &str,
        quantity: &str,
        axis: &str,
        parameters: &Parameters,
    ) -> Vec<(f64, f64)> {
        let matches = |point: &&Point| {
            (point.role == role && point.quantity == quantity && point.axis == axis)
                // points of another kind at the same size belong to another curve
                && point.other.get("kind") == parameters.get("kind")
                && parameters.iter().all(|(name, value)| point.other.get(name) == Some(value))
        };
        let points = self.records.iter().filter_map(|record| {
            if let Record::Point(point) = record {
                Some(point)
            } else {
                None
            }
        });
        points
            .filter(matches)
            .map(|point| (point.at, point.value))
            .collect()
    }

    /// Fits a curve to one quantity along an axis; `term` names the code that causes the growth. Adds no fit and
    /// returns `None` if the points have fewer than three distinct sizes.
    pub fn add_fit(
        &mut self,
        role: &str,
        quantity: &str,
        axis: &str,
        parameters: &Parameters,
        term: &str,
    ) -> Option<Fitted> {
        let points = self.points(role, quantity, axis, parameters);
        let mut distinct_sizes: Vec<u64> = points.iter().map(|point| point.0.to_bits()).collect();
        distinct_sizes.sort_unstable();
        distinct_sizes.dedup();
        let fitted = best(&points).filter(|_| distinct_sizes.len() >= 3)?;
        let unit = self.records.iter().find_map(|record| match record {
            Record::Point(point) if point.role == role && point.quantity == quantity => {
                Some(point.unit.clone())
            }
            _ => None,
        })?;
        let role = match parameters.get("kind").and_then(Value::as_str) {
            Some(kind) => format!("{role}, {kind}"),
            None => role.to_string(),
        };
        let parameters: Vec<String> = parameters
            .iter()
            .map(|(name, value)| format!("{name} {value}"))
            .collect();
        let parameters = if parameters.is_empty() {
            String::new()
        } else {
            format!(" [{}]", parameters.join(", "))
        };
        self.records.push(Record::Fit(Fit {
            role,
            quantity: quantity.to_string(),
            unit,
            axis: axis.to_string(),
            form: fitted.form.name().to_string(),
            coefficients: vec![fitted.constant, fitted.slope],
            residual_rms: fitted.rms,
            worst_residual: fitted.worst,
            term: format!("{term}{parameters}"),
        }));
        Some(fitted)
    }

    /// Draws quantities along an axis, each with its fitted curve.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn plot(
        &self,
        path: &Path,
        title: &str,
        axis: &str,
        unit: &str,
        shown: &[(&str, &str, &str, &Parameters)],
    ) -> Result<(), Error> {
        let series: Vec<Series> = shown
            .iter()
            .map(|(name, role, quantity, parameters)| {
                let points = self.points(role, quantity, axis, parameters);
                Series {
                    name: (*name).to_string(),
                    fitted: best(&points),
                    points,
                }
            })
            .filter(|series| series.points.iter().any(|point| point.1 > 0.0))
            .collect();
        if series.is_empty() {
            Ok(())
        } else {
            draw(path, title, axis, unit, &series)
        }
    }
}
