//! A simulation of a sender in virtual time, reproducible from a seed. The engine, the journal's file and the store's
//! file are the real ones. The destinations, which record each effect, the clients and the operators are simulated. A
//! [`CrashPoint`] ends the process between any two externally visible steps, as SIGKILL does.
//!
//! - `plan`: the parameters of a run; `process`: one simulated process; `ports`: the ports of its engine;
//! - `clients`, `operators`: the users of the process; `invariants`: the checks after each crash and at the end of
//!   a run.

mod clients;
mod invariants;
mod operators;
mod plan;
mod ports;
mod process;

pub(crate) use self::plan::Plan;

use self::plan::{WINDOW, class_of, settings};
use self::process::Finish;
use milletturn_dead_letter::record::{Filter, Summary};
use milletturn_dead_letter::redrive_service::RedriveService;
use milletturn_dead_letter::store::DeadLetterStore;
use milletturn_engine::CallItem;
use milletturn_journal::{FileJournal, Recovery};
use milletturn_policy::{DestinationId, EndpointId, MILLISECOND, Micros, Outcome, SECOND};
use milletturn_test_support::{CrashPoint, EffectRecorder, ScriptedOutcome, SimulatedEnvironment};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// Time at the start of a run, Unix time in microseconds.
const START: Micros = 1_700_000_000 * SECOND;

/// The state that outlasts a simulated process.
pub(crate) struct Simulation {
    plan: Plan,
    folder: PathBuf,
    environment: SimulatedEnvironment,
    /// Time, name and destination of each message that clients have yet to submit. A message that got no response
    /// before a crash is added again, unless the sender had accepted it.
    arrivals: RefCell<VecDeque<(Micros, String, DestinationId)>>,
    /// Ids of the messages that the sender accepted or reported as already delivered.
    accepted_ids: RefCell<BTreeSet<String>>,
    /// Ids of the messages that got another response; clients don't submit them again.
    rejected_ids: RefCell<BTreeSet<String>>,
    /// Number of notifications that the platform has received, by message id.
    notifications: RefCell<BTreeMap<String, u32>>,
    /// The saves and redrives, in order, for the comparison of two runs.
    trace: RefCell<Vec<String>>,
    random: RefCell<Pcg32>,
    /// All stored messages up to this number were found resolved; later checks skip them.
    resolved_up_to: Cell<u64>,
}

fn in_virtual_time<T>(scenario: impl Future<Output = T>) -> T {
    let builder = &mut tokio::runtime::Builder::new_current_thread();
    let runtime = builder
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, scenario)
}

/// The summaries of all messages in the store whose numbers are greater than `number`.
fn summaries_after(service: &RedriveService, number: u64) -> Vec<Summary> {
    let (mut all, mut next_after) = (Vec::new(), Some(number));
    while let Some(after) = next_after {
        let page = service
            .list(&Filter::default(), after, 1000)
            .expect("the store");
        all.extend(page.messages);
        next_after = page.next_after;
    }
    all
}

/// The summaries of all messages in the store.
fn summaries(service: &RedriveService) -> Vec<Summary> {
    summaries_after(service, 0)
}

impl Simulation {
    /// Runs a complete plan with one process after the other. Each process crashes after the number of steps in
    /// `process_steps`; one more process runs to the end of the plan. Checks the invariants after each crash and at
    /// the end. Returns the number of steps that the last process took; if a process in `process_steps` completed the
    /// plan before its crash, returns the number of steps after which it would have crashed.
    pub(crate) fn run(plan: Plan, process_steps: &[u64]) -> u64 {
        let folder = tempfile::tempdir().expect("a folder");
        in_virtual_time(async {
            let simulation = Simulation::new(plan, folder.path().to_path_buf());
            for &steps in process_steps {
                if simulation.run_process(&CrashPoint::new(steps)).await == Finish::Done {
                    simulation.check_end();
                    return steps;
                }
                simulation.check_between_processes();
                sleep(Duration::from_millis(200)).await;
            }
            let crash_point = CrashPoint::new(u64::MAX);
            assert_eq!(simulation.run_process(&crash_point).await, Finish::Done);
            simulation.check_end();
            crash_point.steps_taken()
        })
    }

    /// Runs a plan without a crash; returns the trace of received messages, saves and redrives.
    pub(crate) fn trace(plan: Plan) -> Vec<String> {
        let folder = tempfile::tempdir().expect("a folder");
        in_virtual_time(async {
            let simulation = Simulation::new(plan, folder.path().to_path_buf());
            assert_eq!(
                simulation.run_process(&CrashPoint::new(u64::MAX)).await,
                Finish::Done
            );
            let calls = simulation.environment.received_messages.borrow();
            let sends = calls.iter().map(|(at, name)| format!("{at} {name}"));
            sends
                .chain(simulation.trace.borrow().iter().cloned())
                .collect()
        })
    }

    fn new(plan: Plan, folder: PathBuf) -> Self {
        let arrivals = (0..plan.messages).map(|index| {
            let class = ["k", "u", "k", "r", "k"][index % 5];
            (
                index as Micros * plan.arrival_interval,
                format!("{class}{index}"),
                index as u64 % plan.destinations,
            )
        });
        Simulation {
            folder,
            environment: environment(&plan),
            arrivals: RefCell::new(arrivals.collect()),
            accepted_ids: RefCell::default(),
            rejected_ids: RefCell::default(),
            notifications: RefCell::default(),
            trace: RefCell::default(),
            random: RefCell::new(Pcg32::seed_from_u64(plan.seed)),
            resolved_up_to: Cell::new(0),
            plan,
        }
    }

    /// The current time in the simulation, Unix time in microseconds.
    fn unix_now(&self) -> Micros {
        START + self.environment.now()
    }

    fn open_journal(&self) -> (FileJournal, Recovery) {
        FileJournal::open(&self.folder, 64 << 20, 4000).expect("the journal")
    }

    fn open_store(&self) -> DeadLetterStore {
        let config = self.plan.store_config();
        let path = self.folder.join(&config.file);
        DeadLetterStore::open(&path, RedriveService::limits(&config)).expect("the store")
    }

    fn open_service(&self) -> RedriveService {
        let effects = settings()
            .classes
            .into_iter()
            .map(|class| (class.name, class.effect))
            .collect();
        RedriveService::new(self.open_store(), &self.plan.store_config(), effects)
    }
}

/// Builds the simulated destinations and the recorder of their effects. How a call ends is random, from the plan's
/// seed, until [`Plan::repaired_at`]; from then on all calls succeed.
fn environment(plan: &Plan) -> SimulatedEnvironment {
    let start = Instant::now();
    let random = Rc::new(RefCell::new(Pcg32::seed_from_u64(plan.seed ^ 0x5eed)));
    let repaired_at = plan.repaired_at;
    let script = move |_: &CallItem, _: EndpointId| {
        let mut random = random.borrow_mut();
        let network_delay = Duration::from_millis(u64::from(random.next_u32() % 25));
        let repaired = i64::try_from(start.elapsed().as_micros()).expect("short") >= repaired_at;
        let random_percent = random.next_u32() % 100;
        scripted_outcome(if repaired { 0 } else { random_percent }, network_delay)
    };
    let window = |name: &str| if class_of(name) == 0 { WINDOW } else { 0 };
    SimulatedEnvironment {
        started_at: start,
        effects: Rc::new(RefCell::new(EffectRecorder::new(window))),
        script: Rc::new(RefCell::new(script)),
        received_messages: Rc::default(),
    }
}

/// How a call ends, by a random number below 100: whether the destination executes it, and which outcome the sender
/// sees.
fn scripted_outcome(random_percent: u32, network_delay: Duration) -> ScriptedOutcome {
    let ends = |millis, outcome| Some((Duration::from_millis(millis) + network_delay, outcome));
    let rejected = |retry_after| ends(15, Outcome::Rejected { retry_after });
    let executed = Some(network_delay);
    let (executes_after, reported) = match random_percent {
        0..20 => (executed, ends(50, Outcome::Success)),
        20..32 => (executed, ends(40, Outcome::Error)),
        32..52 => (None, ends(40, Outcome::Error)),
        52..62 => (None, rejected(None)),
        62..67 => (None, rejected(Some(400 * MILLISECOND))),
        67..77 => (None, ends(1, Outcome::NoConnection)),
        77..84 => (executed, ends(100, Outcome::Reset)),
        84..90 => (None, ends(100, Outcome::Reset)),
        90..95 => (executed, None),
        _ => (None, None),
    };
    ScriptedOutcome {
        executes_after,
        reported,
    }
}
