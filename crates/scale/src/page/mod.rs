//! `milletturn-scale page`: generates the tables of docs/CAPACITY.md from the records in docs/capacity.
//!
//! Only the text between `<!-- made: NAME -->` and `<!-- end -->` is generated. The rest of the page is written by
//! hand.

mod data;
mod estimates;
mod events;
mod format;
mod limits;
mod plan;
mod roles;
mod rows;
mod shard_map;
mod stored;

use crate::Error;
use clap::Args;
use data::Data;
use format::{amount, digits, integer, table};
use std::path::{Path, PathBuf};

/// Arguments of `page`.
#[derive(Debug, Clone, Args)]
pub struct PageArgs {
    /// Page whose tables are generated.
    #[arg(long, default_value = "docs/CAPACITY.md")]
    page: PathBuf,
    /// Folder with the records (`.jsonl` files).
    #[arg(long, default_value = "docs/capacity")]
    figures: PathBuf,
    /// Writes nothing; fails if the page differs from the records.
    #[arg(long)]
    check: bool,
}

/// Updates the generated sections of the page or, with `--check`, compares them with the records.
///
/// # Errors
/// The page or the records cannot be read, or the page cannot be written; with `--check`, the page differs from the
/// records.
pub fn run(arguments: &PageArgs) -> Result<(), Error> {
    if arguments.check {
        return check(&arguments.page, &arguments.figures);
    }
    let text = read(&arguments.page)?;
    let rendered = render_page(&text, &arguments.figures)?;
    std::fs::write(&arguments.page, rendered)
        .map_err(Error::io(arguments.page.display().to_string()))
}

/// Compares the page with the text generated from its records.
///
/// # Errors
/// They differ (the error names the first line that does), or the page or the records cannot be read.
pub fn check(page: &Path, figures: &Path) -> Result<(), Error> {
    let text = read(page)?;
    let rendered = render_page(&text, figures)?;
    let differ = text
        .lines()
        .zip(rendered.lines())
        .enumerate()
        .find(|(_, (found, expected))| found != expected);
    match differ {
        Some((line, (found, expected))) => Err(Error::Unexpected(format!(
            "{}, line {}: page differs from the table generated from the records\n  page:      {found}\n  generated: {expected}",
            page.display(),
            line + 1
        ))),
        None if text != rendered => Err(Error::Unexpected(format!(
            "{}: page ends differently from the text generated from the records",
            page.display()
        ))),
        None => Ok(()),
    }
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(Error::io(path.display().to_string()))
}

const SECTION_START: &str = "<!-- made: ";
const SECTION_START_CLOSE: &str = " -->";
const SECTION_END: &str = "<!-- end -->";

/// Returns the page text with its generated sections replaced by tables of the current records.
///
/// # Errors
/// A section marker is not closed, has no end marker or names an unknown section, or the records cannot be read.
pub fn render_page(text: &str, figures: &Path) -> Result<String, Error> {
    let data = Data::read(figures)?;
    let mut out = String::new();
    let mut rest = text;
    while let Some(at) = rest.find(SECTION_START) {
        let (before, mark) = rest.split_at(at);
        let name = mark[SECTION_START.len()..]
            .split_once(SECTION_START_CLOSE)
            .map(|(name, _)| name);
        let name = name
            .ok_or_else(|| Error::Unexpected("a section marker is not closed with `-->`".into()))?;
        let end = mark
            .find(SECTION_END)
            .ok_or_else(|| Error::Unexpected(format!("section {name} has no end marker")))?;
        out.push_str(before);
        out.push_str(&format!(
            "{SECTION_START}{name}{SECTION_START_CLOSE}\n{}{SECTION_END}",
            render_section(name, &data)?
        ));
        rest = &mark[end + SECTION_END.len()..];
    }
    out.push_str(rest);
    Ok(out)
}

fn render_section(name: &str, data: &Data) -> Result<String, Error> {
    Ok(match name {
        "plan" => plan_table(),
        "runs" => run_table(data),
        "path" => rows::row_table(&roles::path(data)),
        "control" => rows::row_table(&roles::control(data)),
        "coordinator" => rows::row_table(&roles::coordinator(data)),
        "between" => rows::row_table(&roles::session_proxies(data)),
        "shard-map" => rows::row_table(&shard_map::rows(data)),
        "discovery" => rows::row_table(&roles::discovery(data)),
        "journal" => rows::row_table(&stored::journal(data)),
        "dead-letter" => rows::row_table(&stored::dead_letters(data)),
        "figures" => rows::row_table(&stored::metrics(data)),
        "events" => events::event_table(data),
        "sums" => estimates::estimate_table(data),
        "breaks" => limits::limit_table(data),
        "slopes" => slope_table(data),
        "faults" => fault_table(data),
        other => return Err(Error::Unexpected(format!("unknown section {other}"))),
    })
}

fn plan_table() -> String {
    let plan = plan::PLAN;
    let rows = [
        ("senders", integer(plan.senders)),
        ("events a second", integer(plan.events_per_s)),
        ("destinations", integer(plan.destinations)),
        (
            "down at any time",
            format!("{} %", digits(plan.down_share * 100.0)),
        ),
        ("events held at once", integer(plan.pending_events)),
        (
            "regions, zones",
            format!("{}, {}", plan.regions, plan.zones),
        ),
        (
            "changes a day, in force within",
            format!(
                "{}, {}",
                integer(plan.changes_per_day),
                amount(plan.max_propagation_s, "s")
            ),
        ),
        (
            "control of a sender",
            format!(
                "{} % of a core, {}, {}",
                digits(plan.control_cores * 100.0),
                amount(plan.control_memory_bytes, "B"),
                amount(plan.control_bytes_per_s, "B/s")
            ),
        ),
        ("machines for control", integer(plan.control_machines)),
        (
            "failed, restarted a day",
            format!(
                "{}, {}",
                plan.machine_failures_per_day,
                integer(plan.restarts_per_day)
            ),
        ),
        (
            "events a second of a sender",
            digits(plan.events_per_s_per_sender()),
        ),
        (
            "destinations of a sender, if each is served by one",
            digits(plan.destinations_per_sender()),
        ),
        (
            "events held by a sender",
            integer(plan.pending_per_sender()),
        ),
        (
            "senders of a zone, of a region",
            format!(
                "{}, {}",
                integer(plan.senders_per_zone()),
                integer(plan.senders_per_region())
            ),
        ),
    ];
    let rows: Vec<Vec<String>> = rows
        .into_iter()
        .map(|(what, size)| vec![what.to_string(), size])
        .collect();
    table(&["the size", ""], &rows)
}

fn run_table(data: &Data) -> String {
    let rows = data.heads.iter().map(|(file, head)| {
        let load: Vec<String> = head.load.iter().map(|load| digits(*load)).collect();
        vec![
            format!("[{file}](capacity/{file})"),
            format!("`{}`", head.command),
            head.commit.clone(),
            head.date.clone(),
            head.cores.to_string(),
            load.join(", "),
            head.seed.to_string(),
        ]
    });
    table(
        &[
            "file",
            "command",
            "commit",
            "when",
            "cores",
            "load at its start",
            "seed",
        ],
        &rows.collect::<Vec<_>>(),
    )
}

fn slope_table(data: &Data) -> String {
    let mut rows = Vec::new();
    for ((role, quantity, axis), slope) in &data.slopes {
        let Some(fit) = &slope.fit else { continue };
        let coefficients: Vec<String> = fit
            .coefficients
            .iter()
            .map(|value| amount(*value, &fit.unit))
            .collect();
        let smallest = slope
            .points
            .iter()
            .map(|point| point.at)
            .fold(f64::MAX, f64::min);
        rows.push(vec![
            format!("`{role} {quantity}`"),
            axis.clone(),
            fit.form.clone(),
            coefficients.join("; "),
            amount(fit.residual_rms, &fit.unit),
            amount(fit.worst_residual, &fit.unit),
            format!(
                "{} from {} to {}",
                slope.points.len(),
                integer(smallest),
                integer(slope.max_size())
            ),
            slope.file.clone(),
            fit.term.clone(),
        ]);
    }
    let columns = [
        "figure",
        "by",
        "form",
        "terms",
        "residual, rms",
        "worst",
        "points",
        "file",
        "what makes it grow",
    ];
    table(&columns, &rows)
}

fn fault_table(data: &Data) -> String {
    if data.faults.is_empty() {
        return "Not run yet.\n".into();
    }
    let rows = data.faults.iter().map(|(file, fault)| {
        let peaks: Vec<String> = fault
            .peak_over_mean
            .iter()
            .map(|(what, peak)| format!("{what} {}", digits(*peak)))
            .collect();
        vec![
            fault.name.clone(),
            integer(fault.senders as f64),
            amount(fault.p50_s, "s"),
            amount(fault.p99_s, "s"),
            amount(fault.worst_s, "s"),
            peaks.join(", "),
            format!("{}, {}, {}", fault.lost, fault.doubled, fault.wrong_order),
            fault.note.clone(),
            file.clone(),
        ]
    });
    let columns = [
        "fault",
        "senders",
        "in force, half",
        "99 %",
        "last",
        "peak over mean",
        "lost, twice, wrong order",
        "note",
        "file",
    ];
    table(&columns, &rows.collect::<Vec<_>>())
}
