//! `milletturn access-log`: summarizes the access logs of several senders by destination and interval.

use crate::format::Format;
use crate::output::{self, Reader};
use clap::Args;
use milletturn_access_log::{AccessLogSummary, AccessRecord, SummaryRow};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Maximum length of a line of a log; longer lines hold no access record.
const MAX_LINE_BYTES: u64 = 64 * 1024;

/// Column titles of the text format.
const COLUMN_TITLES: &str = "  to     from taken  away  sent again    ok refused failed delivered  mean-s given-up untried  held sick back left limit";

/// Summarize the access logs of all senders of a fleet by destination and interval.
///
/// A sender writes access records to its log if MILLETTURN_TRACE is 1 in its environment: about 100 bytes for each
/// accepted message, each attempt and each end. One sender makes few calls; only the sum shows whether all senders
/// together exceed a limit, or leave it unused.
///
/// Exit codes: 0 done; 1 no record was found, or a file can't be read.
#[derive(Debug, Args)]
pub(crate) struct Arguments {
    /// The log files, one or more of each sender.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Show only the destination with this number.
    #[arg(long)]
    destination: Option<u64>,
    /// Length of the interval that a row covers.
    #[arg(long, value_name = "SECONDS", default_value_t = 1.0)]
    span: f64,
    /// The output: text for people, or JSON for programs.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// A log file can't be read.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
struct LogReadError {
    path: PathBuf,
    source: io::Error,
}

/// Whether this process writes an access log.
pub(crate) fn is_enabled() -> bool {
    std::env::var_os("MILLETTURN_TRACE").is_some_and(|value| value == "1")
}

/// Reads the logs and prints their summary.
pub(crate) fn run(arguments: &Arguments) -> ExitCode {
    let summary = match read_logs(arguments) {
        Ok(summary) => summary,
        Err(error) => {
            eprintln!("milletturn: {error}");
            return ExitCode::FAILURE;
        }
    };
    if print(arguments, &summary) == 0 {
        eprintln!(
            "milletturn: no line of a trace in these files; senders write them with MILLETTURN_TRACE=1"
        );
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn read_logs(arguments: &Arguments) -> Result<AccessLogSummary, LogReadError> {
    // a negative span or NaN becomes 0, which the summary raises to its minimum of 1 us
    let mut summary = AccessLogSummary::new((arguments.span * 1e6) as u64);
    for path in &arguments.files {
        add_log(&mut summary, path).map_err(|source| LogReadError {
            path: path.clone(),
            source,
        })?;
    }
    Ok(summary)
}

/// Adds the access records of one log file to the summary; other lines are ignored.
fn add_log(summary: &mut AccessLogSummary, path: &Path) -> io::Result<()> {
    let mut log = BufReader::new(File::open(path)?);
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        let mut line = Read::take(&mut log, MAX_LINE_BYTES);
        if line.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(());
        }
        if let Some(record) = AccessRecord::parse(&String::from_utf8_lossy(&bytes)) {
            summary.add(&record);
        }
    }
}

/// Prints the rows of the selected destination, or of all, and returns their number.
///
/// Returns at least 1 if standard output can't be written: printing stops before all rows are counted, so a count of 0
/// would not mean that the logs contain no records.
fn print(arguments: &Arguments, summary: &AccessLogSummary) -> usize {
    let mut count = 0;
    let rows = summary
        .rows()
        .filter(|row| {
            let selected = arguments.destination;
            selected.is_none_or(|selected| selected == row.destination)
        })
        .inspect(|_| count += 1);
    let printed = match arguments.format {
        Format::Text => {
            let titles = std::iter::once(COLUMN_TITLES.to_string());
            output::print_lines(titles.chain(rows.map(|row| text_line(&row))))
        }
        Format::Json => output::print_lines(rows.map(|row| json_object(&row))),
    };
    if !matches!(printed, Ok(Reader::Present)) {
        return count.max(1);
    }
    if summary.dropped_records() > 0 {
        eprintln!(
            "milletturn: {} records dropped, because the summary has too many rows; a longer --span needs fewer",
            summary.dropped_records()
        );
    }
    count
}

/// Formats a row under the column titles.
fn text_line(row: &SummaryRow) -> String {
    let totals = row.totals;
    let reports = totals.reports.max(1) as f64;
    format!(
        "{:4} {:8.1} {:5} {:5} {:5} {:5} {:5} {:7} {:6} {:9} {:7.2} {:8} {:7} {:5} {:4} {:4} {:4.2} {:5.0}",
        row.destination,
        row.from_s,
        totals.accepted,
        totals.rejected,
        totals.attempts,
        totals.retries,
        totals.succeeded_attempts,
        totals.rejected_attempts,
        totals.failed_attempts,
        totals.delivered,
        totals.age_us as f64 / 1e6 / totals.delivered.max(1) as f64,
        totals.abandoned,
        totals.never_attempted.values().sum::<u64>(),
        row.in_flight,
        totals.ejections,
        totals.recoveries,
        totals.report_first / reports,
        totals.report_second / reports
    )
}

/// Formats a row as a JSON object.
fn json_object(row: &SummaryRow) -> serde_json::Value {
    let mut object = serde_json::json!(row.totals);
    object["to"] = row.destination.into();
    object["from_s"] = row.from_s.into();
    object["held"] = (row.in_flight as i64).into();
    object
}
