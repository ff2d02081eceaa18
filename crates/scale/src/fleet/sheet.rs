//! Results of a run as JSON lines, and the fits through them.

use super::rig::Reading;
use crate::Error;
use crate::figures::{Fit, Line, Point};
use crate::fit::{Fitted, best};
use crate::plot::{Series, draw};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// Settings of a measurement besides the axis, by name.
pub type Other = BTreeMap<String, Value>;

/// Builds [`Other`].
#[must_use]
pub fn other<const N: usize>(set: [(&str, Value); N]) -> Other {
    set.into_iter()
        .map(|(name, value)| (name.to_string(), value))
        .collect()
}

/// All results of a run.
#[derive(Debug, Default)]
pub struct Sheet {
    /// Lines recorded so far.
    pub lines: Vec<Line>,
}

/// The measurement that a result belongs to.
#[derive(Debug, Clone)]
pub struct Place<'a> {
    /// Name of the quantity that was varied.
    pub axis: &'a str,
    /// Value on the axis.
    pub at: f64,
    /// Settings besides the axis.
    pub other: Other,
}

impl Sheet {
    /// Records one result; a value that is not finite, such as the maximum of no samples, is skipped.
    pub fn point(&mut self, role: &str, quantity: &str, unit: &str, place: &Place<'_>, value: f64) {
        if !value.is_finite() {
            return;
        }
        self.lines.push(Line::Point(Point {
            role: role.to_string(),
            quantity: quantity.to_string(),
            unit: unit.to_string(),
            axis: place.axis.to_string(),
            at: place.at,
            value,
            other: place.other.clone(),
        }));
    }

    /// Records all results of a span. `senders` senders were running, `sessions` of them with a session; `leader` is
    /// the index of the leading coordinator.
    pub fn span(
        &mut self,
        place: &Place<'_>,
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
        for (steward, (after, before)) in after.stewards.iter().zip(&before.stewards).enumerate() {
            let role = if leader == Some(steward) {
                "steward.leader"
            } else {
                "steward.follower"
            };
            let (cost, passed) = (after.0 - before.0, after.1 - before.1);
            let (asks, asked) = (after.2 - before.2, after.3 - before.3);
            for (quantity, unit, value) in [
                ("cpu", "core", cost.cpu_s / span),
                ("resident", "bytes", cost.resident as f64),
                ("descriptors", "count", cost.descriptors as f64),
                ("disk", "bytes/s", cost.written as f64 / span),
                ("asked_by_senders", "messages/s", passed.asked as f64 / span),
                (
                    "bytes_from_senders",
                    "bytes/s",
                    passed.bytes_asked as f64 / span,
                ),
                (
                    "bytes_to_senders",
                    "bytes/s",
                    passed.bytes_told as f64 / span,
                ),
                (
                    "asked_between_stewards",
                    "messages/s",
                    (asks.asked + asked.asked) as f64 / span,
                ),
                (
                    "bytes_to_stewards",
                    "bytes/s",
                    (asks.bytes_asked + asked.bytes_told) as f64 / span,
                ),
                (
                    "bytes_from_stewards",
                    "bytes/s",
                    (asks.bytes_told + asked.bytes_asked) as f64 / span,
                ),
            ] {
                self.point(role, quantity, unit, place, value);
            }
        }
        if senders == 0 {
            return;
        }
        let all = |of: fn(&Reading) -> super::meter::Passed| of(after) - of(before);
        let list = all(|reading| reading.list);
        let session = all(|reading| {
            reading
                .stewards
                .iter()
                .fold(Default::default(), |sum, steward| sum + steward.1)
        });
        let (each, cost) = (senders.max(1) as f64, after.herd - before.herd);
        for (quantity, unit, value) in [
            ("cpu", "core", cost.cpu_s / span / each),
            ("resident", "bytes", cost.resident as f64 / each),
            ("descriptors", "count", cost.descriptors as f64 / each),
            (
                "list_messages",
                "messages/s",
                list.messages() as f64 / span / each,
            ),
            (
                "list_bytes_out",
                "bytes/s",
                list.bytes_asked as f64 / span / each,
            ),
            (
                "list_bytes_in",
                "bytes/s",
                list.bytes_told as f64 / span / each,
            ),
        ] {
            self.point("sender", quantity, unit, place, value);
        }
        if sessions > 0 {
            let each = sessions as f64;
            for (quantity, unit, value) in [
                (
                    "session_messages",
                    "messages/s",
                    session.messages() as f64 / span / each,
                ),
                (
                    "session_bytes_out",
                    "bytes/s",
                    session.bytes_asked as f64 / span / each,
                ),
                (
                    "session_bytes_in",
                    "bytes/s",
                    session.bytes_told as f64 / span / each,
                ),
            ] {
                self.point("sender", quantity, unit, place, value);
            }
        }
        for (quantity, unit, value) in [
            ("cpu", "core", (after.list_cpu_s - before.list_cpu_s) / span),
            ("messages", "messages/s", list.messages() as f64 / span),
            ("bytes_out", "bytes/s", list.bytes_told as f64 / span),
        ] {
            self.point("stand-in.discovery", quantity, unit, place, value);
        }
    }

    /// Returns the points of one quantity along an axis that were measured with these settings.
    #[must_use]
    pub fn points(&self, role: &str, quantity: &str, axis: &str, set: &Other) -> Vec<(f64, f64)> {
        let such = |point: &&Point| {
            (point.role == role && point.quantity == quantity && point.axis == axis)
                // points of another kind at the same size belong to another curve
                && point.other.get("kind") == set.get("kind")
                && set.iter().all(|(name, value)| point.other.get(name) == Some(value))
        };
        let points = self.lines.iter().filter_map(|line| {
            if let Line::Point(point) = line {
                Some(point)
            } else {
                None
            }
        });
        points
            .filter(such)
            .map(|point| (point.at, point.value))
            .collect()
    }

    /// Fits a curve to one quantity along an axis; `term` names the code that causes the growth. None with fewer than
    /// three distinct sizes.
    pub fn fit(
        &mut self,
        role: &str,
        quantity: &str,
        axis: &str,
        set: &Other,
        term: &str,
    ) -> Option<Fitted> {
        let points = self.points(role, quantity, axis, set);
        let mut sizes: Vec<u64> = points.iter().map(|point| point.0.to_bits()).collect();
        sizes.sort_unstable();
        sizes.dedup();
        let fitted = best(&points).filter(|_| sizes.len() >= 3)?;
        let unit = self.lines.iter().find_map(|line| match line {
            Line::Point(point) if point.role == role && point.quantity == quantity => {
                Some(point.unit.clone())
            }
            _ => None,
        })?;
        let role = match set.get("kind").and_then(Value::as_str) {
            Some(kind) => format!("{role}, {kind}"),
            None => role.to_string(),
        };
        let set: Vec<String> = set
            .iter()
            .map(|(name, value)| format!("{name} {value}"))
            .collect();
        let set = if set.is_empty() {
            String::new()
        } else {
            format!(" [{}]", set.join(", "))
        };
        self.lines.push(Line::Fit(Fit {
            role,
            quantity: quantity.to_string(),
            unit,
            axis: axis.to_string(),
            form: fitted.form.name().to_string(),
            coefficients: vec![fitted.constant, fitted.slope],
            residual_rms: fitted.rms,
            worst_residual: fitted.worst,
            term: format!("{term}{set}"),
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
        shown: &[(&str, &str, &str, &Other)],
    ) -> Result<(), Error> {
        let series: Vec<Series> = shown
            .iter()
            .map(|(name, role, quantity, set)| {
                let points = self.points(role, quantity, axis, set);
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
