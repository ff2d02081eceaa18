//! Parses and formats times and sizes with their units.

/// Units of time with their length in microseconds, shortest first. [`format_time`] searches the list from its end.
const TIME_UNITS: [(&str, i64); 6] = [
    ("us", 1),
    ("ms", 1_000),
    ("s", 1_000_000),
    ("m", 60_000_000),
    ("h", 3_600_000_000),
    ("d", 86_400_000_000),
];
/// Units of size with their number of bytes.
const SIZE_UNITS: [(&str, u64); 7] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("KB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("B", 1),
];

/// Why a text can't be parsed as a time or size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnitError {
    /// The text is a number without a unit.
    NoUnit,
    /// The text has a unit that is not in the list of units.
    UnknownUnit,
    /// The text does not start with a number, or the number is malformed.
    NoNumber,
    /// The value does not fit into the integer type of the result.
    Overflow,
}

/// Splits a text into its number and its unit.
fn split_unit(text: &str) -> Result<(f64, &str), UnitError> {
    let text = text.trim();
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    let number: f64 = number.parse().map_err(|_| UnitError::NoNumber)?;
    if unit.trim().is_empty() {
        Err(UnitError::NoUnit)
    } else {
        Ok((number, unit.trim()))
    }
}

/// Parses a time such as `4s` or `1.5h`, and returns it in microseconds.
///
/// # Errors
/// When the text is not a number followed by a known unit, or the value is too large.
pub fn parse_time(text: &str) -> Result<i64, UnitError> {
    let (number, unit) = split_unit(text)?;
    let (_, size) = TIME_UNITS
        .iter()
        .find(|(name, _)| *name == unit)
        .ok_or(UnitError::UnknownUnit)?;
    let value = number * *size as f64;
    if value < 9e18 {
        Ok(value.round() as i64)
    } else {
        Err(UnitError::Overflow)
    }
}

/// Parses a size such as `64KiB` or `3MB`, and returns it in bytes.
///
/// # Errors
/// When the text is not a number followed by a known unit, or the value is too large.
pub fn parse_size(text: &str) -> Result<u64, UnitError> {
    let (number, unit) = split_unit(text)?;
    let (_, size) = SIZE_UNITS
        .iter()
        .find(|(name, _)| *name == unit)
        .ok_or(UnitError::UnknownUnit)?;
    let value = number * *size as f64;
    if value < 1.8e19 {
        Ok(value.round() as u64)
    } else {
        Err(UnitError::Overflow)
    }
}

/// Formats a time in microseconds in the notation of configuration files, with the largest unit that gives a whole
/// number; a time of 0 becomes `0s`.
#[must_use]
pub fn format_time(micros: i64) -> String {
    let (name, size) = TIME_UNITS
        .iter()
        .rev()
        .find(|(_, size)| micros != 0 && micros % size == 0)
        .unwrap_or(&TIME_UNITS[2]);
    format!("{}{name}", micros / size)
}

/// Formats a size in the notation of configuration files, with the largest decimal unit that gives a whole number.
#[must_use]
pub fn format_size(bytes: u64) -> String {
    for (name, size) in [("GB", 1_000_000_000), ("MB", 1_000_000), ("KB", 1_000)] {
        if bytes >= size && bytes.is_multiple_of(size) {
            return format!("{}{name}", bytes / size);
        }
    }
    format!("{bytes}B")
}

#[cfg(test)]
mod tests;
