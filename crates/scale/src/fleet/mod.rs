//! Load and fault experiments that run the coordination service and discovery against thousands of simulated senders.
//!
//! A change is a numbered version of the endpoint list, published by a test double of the platform's discovery service.
//! The product has no other way to bring a change to a running sender except files and SIGHUP. A change counts as in
//! force at a sender when the sender's real watch passes the version on as `Input::EndpointsListed`.
//!
//! - [`rig`]: the harness that starts all parts: [`mod@stewards`], [`discovery`], [`herd`] and [`real`].
//! - [`hollow`]: the process that hosts simulated senders; [`tally`]: the updates that each of them received.
//! - [`slopes`], [`compare`] and [`mod@faults`]: the measurements; [`sheet`]: their results as JSON lines.

pub mod bare;
pub mod compare;
pub mod discovery;
pub mod faults;
pub mod herd;
pub mod hollow;
pub mod meter;
pub mod process;
pub mod real;
pub mod relay;
pub mod relayed;
pub mod relayed_faults;
pub mod relays;
pub mod report;
pub mod rig;
pub mod sheet;
pub mod slopes;
pub mod stage;
pub mod stewards;
pub mod tally;
pub mod thread;
pub mod times;

use crate::Error;
use crate::cost::head;
use crate::figures::{Line, write};
use clap::Args;
use sheet::Sheet;
use slopes::{Plan, RATE, stewards};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Words that slopes and faults have in common.
#[derive(Debug, Clone, Args)]
pub struct Common {
    /// Where the figures go (JSON lines).
    #[arg(long, value_name = "FILE")]
    pub out: PathBuf,
    /// The product's program; beside this one unless said otherwise.
    #[arg(long, value_name = "FILE")]
    pub program: Option<PathBuf>,
    /// What begins later than this is left out: `10m`, `90s`.
    #[arg(long, default_value = "10m", value_parser = time)]
    pub time: Duration,
    /// Of all that is drawn at random.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Words of `fleet`.
#[derive(Debug, Clone, Args)]
pub struct Slopes {
    #[command(flatten)]
    common: Common,
    /// Folder for plots (SVG).
    #[arg(long, value_name = "FOLDER")]
    plots: Option<PathBuf>,
    /// Seconds of one measurement.
    #[arg(long, default_value_t = 8)]
    span: u64,
    /// Senders with sessions.
    #[arg(long, value_delimiter = ',', default_value = "31,62,125,250,500,1000")]
    sessions: Vec<u64>,
    /// Senders that watch the list.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "250,500,1000,2000,4000,8000,16000"
    )]
    senders: Vec<u64>,
    /// Rates of changes, as multiples of 48,000 a day.
    #[arg(long, value_delimiter = ',', default_value = "0.1,0.3,1,3,10,100")]
    rates: Vec<f64>,
    /// Destinations of the list.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "1000,5000,10000,50000,200000,1700000"
    )]
    destinations: Vec<u64>,
    /// Which parts are run. `refit` alone: none; the points that the file has are fitted and drawn anew.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "compare,sessions,beyond,lease,five,senders,rates,destinations,reloads"
    )]
    parts: Vec<String>,
    /// Senders of the comparison of real and hollow ones.
    #[arg(long, default_value_t = 30)]
    compare: u64,
}

/// Words of `faults`.
#[derive(Debug, Clone, Args)]
pub struct Faults {
    #[command(flatten)]
    common: Common,
    /// Hollow senders with sessions.
    #[arg(long, default_value_t = 1000)]
    sessions: u64,
    /// Hollow senders that watch the list, those with sessions among them.
    #[arg(long, default_value_t = 4000)]
    senders: u64,
    /// Real senders beside them, which deliver.
    #[arg(long, default_value_t = 20)]
    real: u64,
    /// Hollow senders in one process: one thread serves them, and must not be what senders wait for.
    #[arg(long, default_value_t = 200)]
    each: u64,
    /// Which faults are run; all unless said otherwise.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
}

/// Words of `relays`.
#[derive(Debug, Clone, Args)]
pub struct Relayed {
    #[command(flatten)]
    common: Common,
    /// Seconds of one measurement.
    #[arg(long, default_value_t = 10)]
    span: u64,
    /// Hollow senders, all with sessions.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "250,500,1000,2000,4000,8000,16000"
    )]
    senders: Vec<u64>,
    /// The product's relays between them and three stewards.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=64))]
    relays: u64,
    /// Hollow senders in one process: one thread serves them, and must not be what their renewals wait for.
    #[arg(long, default_value_t = 200)]
    each: u64,
    /// Faults at the largest size: a zone, all control, a release.
    #[arg(long)]
    faults: bool,
    /// Destinations of the list, which does not go through relays.
    #[arg(long, default_value_t = slopes::DESTINATIONS / 10)]
    destinations: u64,
}

fn time(text: &str) -> Result<Duration, String> {
    let (number, unit) = text.split_at(text.len().saturating_sub(1));
    let seconds = match unit {
        "m" => 60,
        "s" => 1,
        _ => return Err("a time such as 10m or 90s".into()),
    };
    let number: u64 = number
        .parse()
        .map_err(|_| "a time such as 10m or 90s".to_string())?;
    Ok(Duration::from_secs(number * seconds))
}

impl Common {
    fn plan(&self) -> Result<Plan, Error> {
        process::end_all_at_signals()?;
        Ok(Plan {
            programs: rig::programs(self.program.as_deref())?,
            sessions: Vec::new(),
            senders: Vec::new(),
            rates: Vec::new(),
            destinations: Vec::new(),
            span: Duration::from_secs(8),
            until: Instant::now() + self.time,
            seed: self.seed,
        })
    }
}

/// Measures how the cost of coordination and of the endpoint list grows with the fleet.
///
/// # Errors
/// A process or measurement failed, or the results could not be written.
pub fn run(words: &Slopes) -> Result<(), Error> {
    let plan = Plan {
        sessions: words.sessions.clone(),
        senders: words.senders.clone(),
        rates: words.rates.clone(),
        destinations: words.destinations.clone(),
        span: Duration::from_secs(words.span),
        ..words.common.plan()?
    };
    let mut sheet = Sheet::default();
    let refit = words.parts.iter().any(|part| part == "refit");
    if refit {
        // keep the measured points and their head
        sheet.lines = crate::figures::read(&words.common.out)?;
        sheet.lines.retain(|line| match line {
            Line::Fit(_) => false,
            Line::Point(point) => !(point.role == "sender" && point.at == 0.0),
            _ => true,
        });
    } else {
        sheet.lines.push(Line::Head(head(plan.seed)?));
    }
    let middle = [250, 500, 1000]
        .into_iter()
        .filter(|size| Some(size) <= plan.sessions.iter().max());
    let few = Plan {
        sessions: middle.collect(),
        ..plan.clone()
    };
    for part in &words.parts {
        match part.as_str() {
            // the first list arrives before the measured span, so that only renewals and changes are compared
            "compare" => compare::run(&plan, &mut sheet, words.compare, 10.0)?,
            "sessions" => plan.by_sessions(&mut sheet, stewards(3, 9))?,
            "beyond" => plan.beyond(
                &mut sheet,
                2 * milletturn_coordination::bounds::MAX_DIRECT_MEMBERS as u64,
            )?,
            "lease" => few.by_sessions(&mut sheet, stewards(3, 2))?,
            "five" => few.by_sessions(&mut sheet, stewards(5, 9))?,
            "senders" => plan.by_senders(&mut sheet)?,
            "rates" => plan.by_rate(&mut sheet, 1_000)?,
            "destinations" => plan.by_destinations(&mut sheet)?,
            "reloads" => plan.reloads(&mut sheet, 1_000)?,
            "refit" => {}
            other => return Err(Error::Wrong(format!("no part is named {other:?}"))),
        }
        write(&words.common.out, &sheet.lines)?;
    }
    report::fits(&mut sheet);
    write(&words.common.out, &sheet.lines)?;
    if let Some(folder) = &words.plots {
        report::plots(&sheet, folder)?;
    }
    Ok(())
}

/// Measures the coordinators' load when senders reach them through session proxies.
///
/// # Errors
/// A process or measurement failed, or the results could not be written.
pub fn relays(words: &Relayed) -> Result<(), Error> {
    let plan = Plan {
        senders: words.senders.clone(),
        span: Duration::from_secs(words.span),
        ..words.common.plan()?
    };
    let mut sheet = Sheet::default();
    sheet.lines.push(Line::Head(head(plan.seed)?));
    let shape = relayed::Shape {
        relays: words.relays as usize,
        each: words.each,
        destinations: words.destinations,
        faults: words.faults,
    };
    let ended = relayed::run(&plan, &mut sheet, shape);
    relayed::fits(&mut sheet, words.relays as usize);
    write(&words.common.out, &sheet.lines)?;
    ended
}

/// Runs the fault scenarios against a whole fleet.
///
/// # Errors
/// A process or measurement failed, or the results could not be written.
pub fn faults(words: &Faults) -> Result<(), Error> {
    let plan = words.common.plan()?;
    let size = faults::Size {
        senders: words.senders,
        sessions: words.sessions,
        real: words.real,
        each: words.each,
    };
    let mut sheet = Sheet::default();
    sheet.lines.push(Line::Head(head(plan.seed)?));
    faults::run(&plan, &mut sheet, size, &words.only, &words.common.out)
}

/// Runs a small fleet whose counters a test checks: the given number of simulated senders with sessions, three
/// coordinators and some real senders that deliver, with changes at 100 times the usual rate over 3 s.
///
/// # Errors
/// A process does not start or ends early.
pub fn small(program: &Path, scale: &Path, hollow: u64, real: u64) -> Result<report::Small, Error> {
    let plan = Plan {
        programs: rig::Programs {
            sender: program.to_path_buf(),
            scale: scale.to_path_buf(),
        },
        sessions: Vec::new(),
        senders: Vec::new(),
        rates: Vec::new(),
        destinations: Vec::new(),
        span: Duration::from_secs(3),
        until: Instant::now() + Duration::from_secs(600),
        seed: 1,
    };
    report::small(&plan, hollow, real, 100.0 * RATE)
}
