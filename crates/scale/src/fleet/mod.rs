//! Load and fault experiments that run the coordination service and discovery against thousands of simulated senders.
//!
//! A change is a numbered version of the endpoint list, published by a test double of the platform's discovery service.
//! Apart from files and SIGHUP, this is the only way in which a change reaches a running sender. A change counts as in
//! force at a sender when the sender's real watch passes the version on as `Input::EndpointsListed`.
//!
//! - [`harness`]: starts and connects all parts, which are [`coordinators`], [`discovery`], [`simulated_fleet`] and
//!   [`real_senders`].
//! - [`simulated_senders`]: the process that hosts simulated senders; [`counters`]: the updates that each of them
//!   received.
//! - [`scaling`], [`compare`] and [`mod@faults`]: the measurements; [`results`]: their results as JSON lines.

pub mod compare;
pub mod coordinators;
pub mod counters;
pub mod discovery;
pub mod faults;
pub mod harness;
pub mod idle_engine;
pub mod meter;
pub mod network_proxy;
pub mod percentiles;
pub mod process;
pub mod proxied_faults;
pub mod proxied_sessions;
pub mod real_senders;
pub mod report;
pub mod results;
pub mod runtime_thread;
pub mod scaling;
pub mod scenario;
pub mod session_proxies;
pub mod simulated_fleet;
pub mod simulated_senders;

use crate::Error;
use crate::cost::head;
use crate::figures::{Record, write};
use clap::Args;
use results::Results;
use scaling::{CHANGES_PER_S, Plan, default_group};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Arguments of all commands that run a fleet.
#[derive(Debug, Clone, Args)]
pub struct CommonArgs {
    /// Results file to write (JSON lines).
    #[arg(long, value_name = "FILE")]
    pub out: PathBuf,
    /// The `milletturn` program to measure; by default the one in this program's folder.
    #[arg(long, value_name = "FILE")]
    pub program: Option<PathBuf>,
    /// Time limit, such as `10m` or `90s`: measurements that would begin later are skipped.
    #[arg(long, default_value = "10m", value_parser = parse_time)]
    pub time: Duration,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Arguments of `fleet`.
#[derive(Debug, Clone, Args)]
pub struct ScalingArgs {
    #[command(flatten)]
    common: CommonArgs,
    /// Folder for plots (SVG); without it, none are drawn.
    #[arg(long, value_name = "FOLDER")]
    plots: Option<PathBuf>,
    /// Duration of one measurement, in seconds.
    #[arg(long, default_value_t = 8)]
    span: u64,
    /// Numbers of senders with a session.
    #[arg(long, value_delimiter = ',', default_value = "31,62,125,250,500,1000")]
    sessions: Vec<u64>,
    /// Numbers of senders that watch the list.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "250,500,1000,2000,4000,8000,16000"
    )]
    senders: Vec<u64>,
    /// Rates of changes, as multiples of 48,000 a day.
    #[arg(long, value_delimiter = ',', default_value = "0.1,0.3,1,3,10,100")]
    rates: Vec<f64>,
    /// Numbers of destinations in the list.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "1000,5000,10000,50000,200000,1700000"
    )]
    destinations: Vec<u64>,
    /// Parts to run. `refit` measures nothing, and fits and plots the points that the results file already holds.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "compare,sessions,beyond,lease,five,senders,rates,destinations,reloads"
    )]
    parts: Vec<String>,
    /// Number of senders in the comparison of real with simulated ones.
    #[arg(long, default_value_t = 30)]
    compare: u64,
}

/// Arguments of `faults`.
#[derive(Debug, Clone, Args)]
pub struct FaultArgs {
    #[command(flatten)]
    common: CommonArgs,
    /// Number of simulated senders with a session.
    #[arg(long, default_value_t = 1000)]
    sessions: u64,
    /// Number of simulated senders that watch the list, including those with a session.
    #[arg(long, default_value_t = 4000)]
    senders: u64,
    /// Number of real senders, which deliver messages.
    #[arg(long, default_value_t = 20)]
    real: u64,
    /// Simulated senders per process. One thread serves them all, so a large number would delay them.
    #[arg(long, default_value_t = 200)]
    each: u64,
    /// Runs only scenarios whose name contains one of these texts; by default all.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
}

/// Arguments of `relays`.
#[derive(Debug, Clone, Args)]
pub struct ProxiedArgs {
    #[command(flatten)]
    common: CommonArgs,
    /// Duration of one measurement, in seconds.
    #[arg(long, default_value_t = 10)]
    span: u64,
    /// Numbers of simulated senders, all with a session.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "250,500,1000,2000,4000,8000,16000"
    )]
    senders: Vec<u64>,
    /// Number of session proxies between the senders and three coordinators.
    #[arg(
        long = "relays",
        value_name = "RELAYS",
        default_value_t = 8,
        value_parser = clap::value_parser!(u64).range(1..=64)
    )]
    session_proxies: u64,
    /// Simulated senders per process. One thread serves them all, so a large number would delay their heartbeats.
    #[arg(long, default_value_t = 200)]
    each: u64,
    /// Runs fault scenarios at the largest size (zone killed, all coordinators and session proxies killed, release)
    /// instead of killing one session proxy.
    #[arg(long)]
    faults: bool,
    /// Number of destinations in the list, which does not pass through session proxies.
    #[arg(long, default_value_t = scaling::DESTINATIONS / 10)]
    destinations: u64,
}

fn parse_time(text: &str) -> Result<Duration, String> {
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

impl CommonArgs {
    fn plan(&self) -> Result<Plan, Error> {
        process::kill_children_on_signals()?;
        Ok(Plan {
            programs: harness::programs(self.program.as_deref())?,
            sessions: Vec::new(),
            senders: Vec::new(),
            rates: Vec::new(),
            destinations: Vec::new(),
            span: Duration::from_secs(8),
            deadline: Instant::now() + self.time,
            seed: self.seed,
        })
    }
}

/// Measures how the cost of coordination and of the endpoint list grows with the fleet.
///
/// # Errors
/// A process or measurement failed, or the results could not be written.
pub fn run(arguments: &ScalingArgs) -> Result<(), Error> {
    let plan = Plan {
        sessions: arguments.sessions.clone(),
        senders: arguments.senders.clone(),
        rates: arguments.rates.clone(),
        destinations: arguments.destinations.clone(),
        span: Duration::from_secs(arguments.span),
        ..arguments.common.plan()?
    };
    let mut results = Results::default();
    let refit = arguments.parts.iter().any(|part| part == "refit");
    if refit {
        // keep the measured points and their head
        results.records = crate::figures::read(&arguments.common.out)?;
        results.records.retain(|record| match record {
            Record::Fit(_) => false,
            Record::Point(point) => !(point.role == "sender" && point.at == 0.0),
            _ => true,
        });
    } else {
        results.records.push(Record::Head(head(plan.seed)?));
    }
    let medium_sizes = [250, 500, 1000]
        .into_iter()
        .filter(|size| Some(size) <= plan.sessions.iter().max());
    let medium_plan = Plan {
        sessions: medium_sizes.collect(),
        ..plan.clone()
    };
    for part in &arguments.parts {
        match part.as_str() {
            // the first list arrives before the measured span, so that only renewals and changes are compared
            "compare" => compare::run(&plan, &mut results, arguments.compare, 10.0)?,
            "sessions" => plan.measure_sessions(&mut results, default_group(3, 9))?,
            "beyond" => plan.measure_beyond_limit(
                &mut results,
                2 * milletturn_coordination::bounds::MAX_DIRECT_MEMBERS as u64,
            )?,
            "lease" => medium_plan.measure_sessions(&mut results, default_group(3, 2))?,
            "five" => medium_plan.measure_sessions(&mut results, default_group(5, 9))?,
            "senders" => plan.measure_watches(&mut results)?,
            "rates" => plan.measure_change_rates(&mut results, 1_000)?,
            "destinations" => plan.measure_first_list(&mut results)?,
            "reloads" => plan.measure_reloads(&mut results, 1_000)?,
            "refit" => {}
            other => return Err(Error::Unexpected(format!("unknown part {other:?}"))),
        }
        write(&arguments.common.out, &results.records)?;
    }
    report::add_fits(&mut results);
    write(&arguments.common.out, &results.records)?;
    if let Some(folder) = &arguments.plots {
        report::draw_plots(&results, folder)?;
    }
    Ok(())
}

/// Measures the coordinators' load when senders reach them through session proxies.
///
/// # Errors
/// A process or measurement failed, or the results could not be written.
pub fn session_proxies(arguments: &ProxiedArgs) -> Result<(), Error> {
    let plan = Plan {
        senders: arguments.senders.clone(),
        span: Duration::from_secs(arguments.span),
        ..arguments.common.plan()?
    };
    let mut results = Results::default();
    results.records.push(Record::Head(head(plan.seed)?));
    let options = proxied_sessions::ProxiedOptions {
        session_proxies: arguments.session_proxies as usize,
        senders_per_process: arguments.each,
        destinations: arguments.destinations,
        run_faults: arguments.faults,
    };
    let outcome = proxied_sessions::run(&plan, &mut results, options);
    proxied_sessions::add_fits(&mut results, arguments.session_proxies as usize);
    write(&arguments.common.out, &results.records)?;
    outcome
}

/// Runs the fault scenarios against a whole fleet.
///
/// # Errors
/// A process or measurement failed, or the results could not be written.
pub fn faults(arguments: &FaultArgs) -> Result<(), Error> {
    let plan = arguments.common.plan()?;
    let size = faults::FleetSize {
        senders: arguments.senders,
        sessions: arguments.sessions,
        real: arguments.real,
        senders_per_process: arguments.each,
    };
    let mut results = Results::default();
    results.records.push(Record::Head(head(plan.seed)?));
    faults::run(
        &plan,
        &mut results,
        size,
        &arguments.only,
        &arguments.common.out,
    )
}

/// Runs a small fleet whose counters a test checks: the given number of simulated senders with sessions, three
/// coordinators and some real senders that deliver, with changes at 100 times [`CHANGES_PER_S`] over 3 s.
///
/// # Errors
/// A process does not start or ends early.
pub fn small(
    program: &Path,
    scale: &Path,
    simulated: u64,
    real: u64,
) -> Result<report::SmallRun, Error> {
    let plan = Plan {
        programs: harness::Programs {
            sender: program.to_path_buf(),
            scale: scale.to_path_buf(),
        },
        sessions: Vec::new(),
        senders: Vec::new(),
        rates: Vec::new(),
        destinations: Vec::new(),
        span: Duration::from_secs(3),
        deadline: Instant::now() + Duration::from_secs(600),
        seed: 1,
    };
    report::run_small(&plan, simulated, real, 100.0 * CHANGES_PER_S)
}
