//! A row of a table: its quantity, the size at which it is taken, the source of its value and its budget.
//!
//! A share of the plan is a fraction of the planned size: at a share of 0.1, a row that grows with the number of
//! senders is taken at a tenth of the planned senders.

use super::data::{Data, Slope, Value};
use super::format::{amount, integer, margin, table};

/// Fractions of the plan for which the tables have columns.
pub(super) const SHARES: [f64; 3] = [0.01, 0.1, 1.0];

/// Where the value of a row comes from.
enum Source {
    /// A measured slope, taken at a size computed from the share of the plan and multiplied by a factor that may also
    /// depend on that share.
    Slope {
        slope: Box<Slope>,
        quantity_name: String,
        size: fn(f64) -> f64,
        times: fn(f64) -> f64,
        per_unit_only: bool,
    },
    /// The value at the largest measured size, for a quantity that does not grow along the axis.
    Largest {
        slope: Box<Slope>,
        quantity_name: String,
    },
    /// A value computed from the plan alone, given a share of the plan.
    Plan(fn(f64) -> f64),
    /// The row names a mechanism that the system does not have, so that there is nothing to measure.
    NoMechanism,
    /// The named quantity was not measured.
    Unmeasured(String),
}

pub(super) struct Row {
    name: &'static str,
    unit: &'static str,
    source: Source,
    budget: Option<(f64, &'static str)>,
    /// The quantity of the plan with which the value grows, and its size at the full plan; 0 if the row does not grow.
    pub scales_with: (&'static str, f64),
}

fn unit_factor(_: f64) -> f64 {
    1.0
}

impl Row {
    /// Creates a row of a measured quantity (role, quantity, axis). `size` gives the size at a share of the plan.
    pub(super) fn slope(
        data: &Data,
        name: &'static str,
        (role, quantity, axis): (&str, &str, &str),
        size: fn(f64) -> f64,
        unit: &'static str,
    ) -> Self {
        let quantity_name = format!("`{role} {quantity}` by {axis}");
        let source = match data.find(role, quantity, axis) {
            Some(slope) => Source::Slope {
                slope: Box::new(slope.clone()),
                quantity_name,
                size,
                times: unit_factor,
                per_unit_only: false,
            },
            None => Source::Unmeasured(quantity_name),
        };
        Row {
            name,
            unit,
            source,
            budget: None,
            scales_with: ("", 0.0),
        }
    }

    /// Creates a row of a measured quantity per sender that does not depend on the number of senders. Its value is the
    /// one at the largest measured number.
    pub(super) fn at_largest_size(
        data: &Data,
        name: &'static str,
        (role, quantity, axis): (&str, &str, &str),
        unit: &'static str,
    ) -> Self {
        let quantity_name = format!("`{role} {quantity}` by {axis}");
        let source = match data
            .find(role, quantity, axis)
            .filter(|slope| !slope.points.is_empty())
        {
            Some(slope) => Source::Largest {
                slope: Box::new(slope.clone()),
                quantity_name,
            },
            None => Source::Unmeasured(quantity_name),
        };
        Row {
            name,
            unit,
            source,
            budget: None,
            scales_with: ("", 0.0),
        }
    }

    /// Creates a row whose value is computed from the plan alone.
    pub(super) fn plan(name: &'static str, value: fn(f64) -> f64, unit: &'static str) -> Self {
        Row {
            name,
            unit,
            source: Source::Plan(value),
            budget: None,
            scales_with: ("", 0.0),
        }
    }

    /// Creates a row that names a mechanism that the system does not have.
    pub(super) fn no_mechanism(name: &'static str) -> Self {
        Row {
            name,
            unit: "",
            source: Source::NoMechanism,
            budget: None,
            scales_with: ("", 0.0),
        }
    }

    /// Uses only the growth per unit and leaves out the constant part, which belongs to another row.
    pub(super) fn per_unit_only(mut self) -> Self {
        if let Source::Slope { per_unit_only, .. } = &mut self.source {
            *per_unit_only = true;
        }
        self
    }

    /// Multiplies the value by a factor that may depend on the share of the plan, such as a rate per second.
    pub(super) fn times(mut self, factor: fn(f64) -> f64) -> Self {
        if let Source::Slope { times, .. } = &mut self.source {
            *times = factor;
        }
        self
    }

    /// Sets the maximum allowed value and names the origin of that budget.
    pub(super) fn budget(mut self, budget: f64, origin: &'static str) -> Self {
        self.budget = Some((budget, origin));
        self
    }

    /// Sets the quantity of the plan with which the value grows, and its size at the full plan.
    pub(super) fn grows_with(mut self, scales_with: &'static str, full_size: f64) -> Self {
        self.scales_with = (scales_with, full_size);
        self
    }

    pub(super) fn name(&self) -> &'static str {
        self.name
    }

    /// Returns the row's value at the fraction `share` of the planned size; `None` if there is no value.
    pub(super) fn at(&self, share: f64) -> Option<Value> {
        match &self.source {
            Source::Slope {
                slope,
                size,
                times,
                per_unit_only: true,
                ..
            } => {
                let amount = slope.slope_per_unit()? * size(share) * times(share);
                Some(Value {
                    amount,
                    measured: false,
                })
            }
            Source::Slope {
                slope, size, times, ..
            } => {
                let value = slope.at(size(share))?;
                let factor = times(share);
                // a value multiplied by a factor counts as derived, even if its size was measured
                Some(Value {
                    amount: value.amount * factor,
                    measured: value.measured && factor == 1.0,
                })
            }
            Source::Largest { slope, .. } => slope.at(slope.max_size()),
            Source::Plan(value) => Some(Value {
                amount: value(share),
                measured: false,
            }),
            Source::NoMechanism | Source::Unmeasured(_) => None,
        }
    }

    /// Returns the largest share of the plan at which the value stays within its budget, using the fitted line beyond
    /// the measured sizes. Returns `None` without a budget or a value, for a value that does not grow, and where the
    /// budget holds for up to 10,000 times the plan.
    pub(super) fn max_share_within_budget(&self) -> Option<f64> {
        let (budget, _) = self.budget?;
        if let Source::Largest { .. } = self.source {
            return None;
        }
        let value = |share: f64| self.at(share).map(|value| value.amount);
        let (mut low, mut high) = (1e-7f64, 1e4f64);
        if value(low)? > budget {
            return Some(0.0);
        }
        if value(high)? <= budget {
            return None;
        }
        for _ in 0..200 {
            let middle = (low * high).sqrt();
            if value(middle)? > budget {
                high = middle;
            } else {
                low = middle;
            }
        }
        Some(low)
    }

    /// Formats the budget and its origin.
    pub(super) fn budget_text(&self) -> String {
        self.budget.map_or("none given".into(), |(budget, origin)| {
            format!("{} ({origin})", amount(budget, self.unit))
        })
    }

    /// Formats the source of the value.
    pub(super) fn source_text(&self) -> String {
        match &self.source {
            Source::Slope {
                slope,
                quantity_name,
                size,
                ..
            } => {
                let beyond = size(1.0) / slope.max_size();
                let extrapolation = if beyond > 1.03 {
                    format!(", 100 % is ×{} beyond", super::format::digits(beyond))
                } else {
                    String::new()
                };
                format!(
                    "{quantity_name} up to {}{extrapolation} ({})",
                    integer(slope.max_size()),
                    slope.file
                )
            }
            Source::Largest {
                slope,
                quantity_name,
            } => {
                format!(
                    "{quantity_name}: of one, at {} ({})",
                    integer(slope.max_size()),
                    slope.file
                )
            }
            Source::Plan(_) => "plan".into(),
            Source::NoMechanism => "—".into(),
            Source::Unmeasured(quantity_name) => format!("{quantity_name}: not run yet"),
        }
    }

    fn cells(&self) -> Vec<String> {
        if let Source::NoMechanism = self.source {
            let nothing = || "no mechanism today".to_string();
            return vec![
                self.name.into(),
                "".into(),
                nothing(),
                nothing(),
                nothing(),
                "—".into(),
                "".into(),
                "".into(),
            ];
        }
        let per_unit = match &self.source {
            Source::Slope { slope, .. } => slope.slope_per_unit().and_then(|each| {
                let unit = slope
                    .points
                    .first()
                    .map(|point| point.unit.as_str())
                    .unwrap_or("");
                (each > 0.0).then(|| amount(each, unit))
            }),
            _ => None,
        };
        let value_text = |share: f64| match (self.at(share), &self.source) {
            (Some(value), _) if value.measured => {
                format!("**{}**", amount(value.amount, self.unit))
            }
            (Some(value), _) => format!("*{}*", amount(value.amount, self.unit)),
            (None, _) => "not run yet".to_string(),
        };
        let margin_text = match (self.budget, self.at(1.0)) {
            (Some((budget, _)), Some(value)) => margin(value.amount, budget),
            _ => String::new(),
        };
        let mut cells = vec![self.name.to_string(), per_unit.unwrap_or_default()];
        cells.extend(SHARES.map(value_text));
        cells.extend([self.source_text(), self.budget_text(), margin_text]);
        cells
    }
}

/// Renders the rows as a Markdown table.
pub(super) fn row_table(rows: &[Row]) -> String {
    let columns = [
        "what",
        "one more",
        "1 %",
        "10 %",
        "100 %",
        "behind it",
        "budget",
        "margin at 100 %",
    ];
    let cells: Vec<Vec<String>> = rows.iter().map(Row::cells).collect();
    table(&columns, &cells)
}
