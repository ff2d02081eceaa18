//! Formats numbers for the page, with three significant digits and a unit, and Markdown tables.

/// Formats a number with its unit, scaled to a suitable multiple of the unit.
pub(super) fn amount(value: f64, unit: &str) -> String {
    match unit {
        "B" | "B/s" | "B/message" => bytes(value, unit.strip_prefix('B').unwrap_or("")),
        "bytes" | "bytes/s" => bytes(value, unit.strip_prefix("bytes").unwrap_or("")),
        "count" => digits(value),
        "s" => seconds(value),
        "core" if value == 1.0 => "1 core".to_string(),
        "core" if value != 0.0 && value.abs() < 1e-3 => format!("{} µcores", digits(value * 1e6)),
        "core" => format!("{} cores", digits(value)),
        // counts below a million are shown exactly
        "" if value.fract() == 0.0 && value.abs() < 1e6 => integer(value),
        "" => digits(value),
        other => format!("{} {other}", digits(value)),
    }
}

fn bytes(value: f64, suffix: &str) -> String {
    let steps = [
        (1e15, "PB"),
        (1e12, "TB"),
        (1e9, "GB"),
        (1e6, "MB"),
        (1e3, "KB"),
    ];
    match steps.iter().find(|(step, _)| value.abs() >= *step) {
        Some((step, name)) => format!("{} {name}{suffix}", digits(value / step)),
        // less than 0.01 bytes is measurement noise
        None if value.abs() < 0.01 => format!("0 B{suffix}"),
        None => format!("{} B{suffix}", digits(value)),
    }
}

fn seconds(value: f64) -> String {
    let steps = [
        (86_400.0 * 2.0, 86_400.0, "days"),
        (7_200.0, 3_600.0, "h"),
        (180.0, 60.0, "min"),
        (1.0, 1.0, "s"),
    ];
    if let Some((_, step, name)) = steps.iter().find(|(from, ..)| value.abs() >= *from) {
        return format!("{} {name}", digits(value / step));
    }
    let small = [(1e-3, "ms"), (1e-6, "µs"), (1e-9, "ns")];
    match small.iter().find(|(step, _)| value.abs() >= *step) {
        Some((step, name)) => format!("{} {name}", digits(value / step)),
        None => "0 s".to_string(),
    }
}

/// Formats a number with three significant digits and thousands separators; a value that is not finite gives "no
/// number".
pub(super) fn digits(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 || !size.is_finite() {
        return if size == 0.0 {
            "0".to_string()
        } else {
            "no number".to_string()
        };
    }
    let decimals = (2 - size.log10().floor() as i32).clamp(-12, 12);
    if decimals > 0 {
        let text = format!("{value:.*}", decimals as usize);
        return match text.split_once('.') {
            Some(_) => text.trim_end_matches('0').trim_end_matches('.').to_string(),
            None => text,
        };
    }
    let step = 10f64.powi(-decimals);
    integer((value / step).round() * step)
}

/// Formats a number rounded to an integer, with thousands separators.
pub(super) fn integer(value: f64) -> String {
    let text = format!("{:.0}", value.abs());
    let mut parts: Vec<&str> = text
        .as_bytes()
        .rchunks(3)
        .filter_map(|part| std::str::from_utf8(part).ok())
        .collect();
    parts.reverse();
    format!("{}{}", if value < 0.0 { "-" } else { "" }, parts.join(","))
}

/// Formats the ratio of a budget to a value, or the factor by which the value exceeds the budget; a value of zero or
/// less gives "free".
pub(super) fn margin(value: f64, budget: f64) -> String {
    if value <= 0.0 {
        return "free".to_string();
    }
    let ratio = budget / value;
    if ratio >= 1.0 {
        format!("{} times", digits(ratio))
    } else {
        format!("**short by ×{}**", digits(1.0 / ratio))
    }
}

/// Renders a Markdown table.
pub(super) fn table(columns: &[&str], rows: &[Vec<String>]) -> String {
    let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
    let columns: Vec<String> = columns
        .iter()
        .map(std::string::ToString::to_string)
        .collect();
    let separator: Vec<String> = columns.iter().map(|_| "---".to_string()).collect();
    let body: String = rows.iter().map(|row| line(row)).collect();
    format!("{}{}{body}", line(&columns), line(&separator))
}
