//! Formats the tables and texts that `milletturn dead-letter` prints for people.

use crate::columns::columns;
use milletturn_dead_letter::control::Response;
use milletturn_dead_letter::record::{AuditEntry, Record, Round, State, Stats, Summary};
use std::fmt::Write as _;

/// Column titles of the list of messages.
const HEADER: [&str; 10] = [
    "NUMBER", "STATE", "CLASS", "DEST", "REASON", "AGE", "RAN?", "RESENDS", "BYTES", "ID",
];

/// Formats all responses to a request as text; `now` is Unix time in microseconds.
pub(super) fn format(responses: &[Response], now: i64) -> String {
    let mut rows: Vec<Vec<String>> = Vec::new();
    let mut text = String::new();
    for response in responses {
        match response {
            Response::Summary(summary) => rows.push(summary_row(summary, now)),
            Response::Record(record) => text.push_str(&record_text(record, now)),
            Response::Stats(stats) => text.push_str(&stats_text(stats, now)),
            Response::Done {
                number,
                until,
                rejection,
            } => {
                let result = match (rejection, until) {
                    (Some(reason), _) => format!("not done: {reason}"),
                    (None, Some(until)) => {
                        format!("done; must start within {}", format_duration(until - now))
                    }
                    (None, None) => "done".to_string(),
                };
                let _ = writeln!(text, "{number:>8}  {result}");
            }
            Response::End { .. } | Response::Error(_) => {}
        }
    }
    if !rows.is_empty() {
        rows.insert(0, HEADER.map(str::to_string).to_vec());
        text.push_str(&columns(&rows));
    }
    text
}

/// One row of the list of messages.
fn summary_row(summary: &Summary, now: i64) -> Vec<String> {
    let uncertain = summary.first_uncertain_at.is_some();
    vec![
        summary.number.to_string(),
        summary.state.as_str().to_string(),
        summary.class.clone(),
        summary.destination.to_string(),
        summary.reason.clone(),
        format_duration(now - summary.accepted_at),
        if uncertain { "may have" } else { "no" }.to_string(),
        summary.redrives.to_string(),
        summary
            .body_bytes
            .map_or("dropped".to_string(), |bytes| bytes.to_string()),
        summary.id.clone(),
    ]
}

/// Formats a message with its first delivery, its redrives and its audit log.
fn record_text(record: &Record, now: i64) -> String {
    let summary = &record.summary;
    let mut text = format!(
        "message {}  {}\n  id {}  key {}\n  class {}  destination {}  taken {} ago\n",
        summary.number,
        summary.state.as_str(),
        summary.id,
        summary.key.as_deref().unwrap_or("-"),
        summary.class,
        summary.destination,
        format_duration(now - summary.accepted_at),
    );
    for (number, round) in record.rounds.iter().enumerate() {
        text.push_str(&round_text(number, round));
    }
    for entry in &record.audit_log {
        text.push_str(&audit_text(entry, now));
    }
    text
}

/// Formats a round with its attempts: number 0 is the first delivery, and each later number is a redrive.
fn round_text(number: usize, round: &Round) -> String {
    let name = if number == 0 {
        "first".to_string()
    } else {
        format!("resend {number}")
    };
    let rows: Vec<Vec<String>> = round
        .attempts
        .iter()
        .map(|attempt| {
            vec![
                format!(
                    "    +{}",
                    format_duration(attempt.sent_at - round.accepted_at)
                ),
                attempt.endpoint.clone(),
                attempt.outcome.clone().unwrap_or("unknown".to_string()),
                attempt.latency.map_or("-".to_string(), format_duration),
                if attempt.may_have_run {
                    "may have run"
                } else {
                    "never ran"
                }
                .to_string(),
            ]
        })
        .collect();
    format!(
        "  {name}: {} ({}) after {}\n{}",
        round.ending,
        round.reason,
        format_duration(round.ended_at - round.accepted_at),
        columns(&rows)
    )
}

/// One entry of the audit log: when, what and by whom, with the reason if there is one.
fn audit_text(entry: &AuditEntry, now: i64) -> String {
    let reason = if entry.reason.is_empty() {
        String::new()
    } else {
        format!(": {}", entry.reason)
    };
    format!(
        "  {} ago, {} by {}{reason}\n",
        format_duration(now - entry.at),
        entry.action,
        entry.actor
    )
}

/// The number of messages in each state, and how much of the store's limits is used.
fn stats_text(stats: &Stats, now: i64) -> String {
    let mut text = String::new();
    for (state, count) in State::ALL.iter().zip(stats.by_state) {
        let _ = writeln!(text, "{:<10} {count:>8}", state.as_str());
    }
    let (count, bytes) = (stats.count(), stats.bytes);
    let of_messages = format_share(count, stats.max_messages);
    let of_bytes = format_share(bytes, stats.max_bytes);
    let _ = writeln!(text, "messages   {count:>8}{of_messages}");
    let _ = writeln!(text, "bytes      {bytes:>8}{of_bytes}");
    if let Some(oldest) = stats.oldest_unresolved {
        let age = format_duration(now - oldest);
        let _ = writeln!(text, "oldest that nobody has settled: {age} ago");
    }
    if stats.past_max_age > 0 {
        let _ = writeln!(
            text,
            "{} that nobody has settled are older than the settings say",
            stats.past_max_age
        );
    }
    if stats.full {
        text.push_str(
            "FULL: new failures wait in the ledger; settle some, or give the store more room\n",
        );
    }
    text
}

/// Formats a limit and the percentage of it that is used; empty if there is no limit.
fn format_share(used: u64, max: u64) -> String {
    match max {
        u64::MAX => String::new(),
        0 => " of 0".to_string(),
        max => format!(" of {max} ({:.0} %)", 100.0 * used as f64 / max as f64),
    }
}

/// Formats a duration in microseconds with a unit that fits its size.
fn format_duration(micros: i64) -> String {
    let seconds = micros as f64 / 1e6;
    match seconds.abs() {
        size if size < 1.0 => format!("{:.0}ms", seconds * 1e3),
        size if size < 120.0 => format!("{seconds:.1}s"),
        size if size < 7200.0 => format!("{:.0}m", seconds / 60.0),
        size if size < 172_800.0 => format!("{:.0}h", seconds / 3600.0),
        _ => format!("{:.0}d", seconds / 86_400.0),
    }
}
