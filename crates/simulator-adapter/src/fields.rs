//! Parser for the fields of one line of the simulator's protocol.

use crate::error::{Malformed, malformed};
use milletturn_policy::{Micros, Outcome};

/// Whole numbers below this bound are also accepted when written with a decimal point or an exponent.
const MAX_INTEGER: f64 = 9.1e15;

/// The fields of one line, separated by spaces and read from left to right. In each method, `what` names the expected
/// field in errors.
pub(crate) struct Fields<'a>(std::str::Split<'a, char>);

impl<'a> Fields<'a> {
    /// Splits a line into its fields; the next field is the first one of the line.
    pub(crate) fn new(line: &'a str) -> Self {
        Fields(line.split(' '))
    }

    /// The next field, which must not be empty.
    pub(crate) fn text(&mut self, what: &str) -> Result<&'a str, Malformed> {
        match self.0.next() {
            Some(text) if !text.is_empty() => Ok(text),
            _ => malformed(what, "end of line"),
        }
    }

    /// The next field as a finite number.
    pub(crate) fn number(&mut self, what: &str) -> Result<f64, Malformed> {
        let text = self.text(what)?;
        parse_number(text, what)
    }

    /// The next field, a time in seconds, converted to microseconds.
    pub(crate) fn time(&mut self, what: &str) -> Result<Micros, Malformed> {
        Ok(to_micros(self.number(what)?))
    }

    /// The next field as a whole number of at least 0.
    pub(crate) fn integer(&mut self, what: &str) -> Result<u64, Malformed> {
        let text = self.text(what)?;
        parse_integer(text, what)
    }

    /// The next field; `None` if the field is `-`.
    pub(crate) fn optional(&mut self, what: &str) -> Result<Option<&'a str>, Malformed> {
        let text = self.text(what)?;
        Ok(if text == "-" { None } else { Some(text) })
    }

    /// The next field as a flag: `1` is true, `0` and `-` are false.
    pub(crate) fn flag(&mut self, what: &str) -> Result<bool, Malformed> {
        match self.text(what)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => malformed(what, other),
        }
    }

    /// The next field as the name of an attempt's outcome, which [`outcome_from`] converts.
    pub(crate) fn outcome_name(&mut self) -> Result<&'a str, Malformed> {
        let text = self.text("an outcome")?;
        match text {
            "delivered" | "app_error" | "shed" | "expired" | "dial_failed" | "dropped"
            | "revoked" | "unused" => Ok(text),
            other => malformed("an outcome", other),
        }
    }

    /// The next field as a load report: numbers separated by commas. The report is empty if the field is `-` or
    /// missing.
    pub(crate) fn report(&mut self) -> Result<Vec<f64>, Malformed> {
        match self.0.next() {
            None | Some("" | "-") => Ok(Vec::new()),
            Some(row) => row
                .split(',')
                .map(|part| parse_number(part, "a load report"))
                .collect(),
        }
    }
}

/// Parses a finite number.
pub(crate) fn parse_number(text: &str, what: &str) -> Result<f64, Malformed> {
    match text.parse::<f64>() {
        Ok(value) if value.is_finite() => Ok(value),
        _ => malformed(what, text),
    }
}

/// Parses a whole number of at least 0, which may be written as a decimal such as `5.0`.
pub(crate) fn parse_integer(text: &str, what: &str) -> Result<u64, Malformed> {
    if let Ok(value) = text.parse::<u64>() {
        return Ok(value);
    }
    match text.parse::<f64>() {
        Ok(value) if (0.0..MAX_INTEGER).contains(&value) && value.fract() == 0.0 => {
            Ok(value as u64)
        }
        _ => malformed(what, text),
    }
}

fn to_micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

/// Converts an outcome's name and the detail that follows the name. For `shed`, the detail is the retry-after delay in
/// milliseconds (0 for none); for `unused`, it is 1 if no call slot was free.
pub(crate) fn outcome_from(name: &str, detail: f64) -> Outcome {
    match name {
        "delivered" => Outcome::Success,
        "app_error" => Outcome::Error,
        "shed" => Outcome::Rejected {
            retry_after: (detail > 0.0).then(|| (detail * 1e3).ceil() as Micros),
        },
        "expired" => Outcome::TimedOut,
        "dial_failed" => Outcome::NoConnection,
        "dropped" => Outcome::Reset,
        "revoked" => Outcome::Cancelled,
        _ => Outcome::Unsent {
            no_slot: detail == 1.0,
        },
    }
}
