//! The engine, the journal's real file and the store's real file, complete, in virtual time and from a seed; around
//! them client systems that record effects, operators, and a switch that cuts the process off between any two
//! steps that can be seen from outside.
//!
//! - `plan`: what is simulated; `process`: one simulated process; `ports`: what its engine is given;
//! - `clients`, `operators`: who uses it; `invariants`: what must be true between processes and at the end.

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

/// The world's clock at its start, Unix microseconds.
const START: Micros = 1_700_000_000 * SECOND;

/// All that outlasts a simulated process.
pub(crate) struct World {
    plan: Plan,
    folder: PathBuf,
    outside: SimulatedEnvironment,
    /// Messages that clients still hand in, with the times: those not answered before a kill come once more.
    arrivals: RefCell<VecDeque<(Micros, String, DestinationId)>>,
    /// Ids that were answered with 202.
    promised: RefCell<BTreeSet<String>>,
    /// Ids that got another answer, which ends them.
    rejected: RefCell<BTreeSet<String>>,
    /// Notifications that the platform has taken, by id.
    notifications: RefCell<BTreeMap<String, u32>>,
    /// Every step that can be seen.
    trace: RefCell<Vec<String>>,
    random: RefCell<Pcg32>,
    /// All in the store up to this number were resolved, after the last redrive by hand.
    resolved_to: Cell<u64>,
}

fn in_virtual_time<T>(scene: impl Future<Output = T>) -> T {
    let builder = &mut tokio::runtime::Builder::new_current_thread();
    let runtime = builder
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, scene)
}

/// All that the store holds after a number.
fn rows_after(service: &RedriveService, number: u64) -> Vec<Summary> {
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

/// All that the store holds.
fn rows(service: &RedriveService) -> Vec<Summary> {
    rows_after(service, 0)
}

impl World {
    /// Runs a complete plan: processes one after the other, each for so many steps, the last without a bound.
    /// Checks the invariants between them. Returns the steps that the last one took.
    pub(crate) fn play(plan: Plan, lives: &[u64]) -> u64 {
        let folder = tempfile::tempdir().expect("a folder");
        in_virtual_time(async {
            let world = World::new(plan, folder.path().to_path_buf());
            for &steps in lives {
                if world.live(&CrashPoint::new(steps)).await == Finish::Done {
                    world.check_end();
                    return steps;
                }
                world.check_between();
                sleep(Duration::from_millis(200)).await;
            }
            let power = CrashPoint::new(u64::MAX);
            assert_eq!(world.live(&power).await, Finish::Done);
            world.check_end();
            power.steps_taken()
        })
    }

    /// As [`World::play`] with no kill, and the trace of what could be seen.
    pub(crate) fn trace(plan: Plan) -> Vec<String> {
        let folder = tempfile::tempdir().expect("a folder");
        in_virtual_time(async {
            let world = World::new(plan, folder.path().to_path_buf());
            assert_eq!(world.live(&CrashPoint::new(u64::MAX)).await, Finish::Done);
            let calls = world.outside.received_messages.borrow();
            let sends = calls.iter().map(|(at, name)| format!("{at} {name}"));
            sends.chain(world.trace.borrow().iter().cloned()).collect()
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
        World {
            folder,
            outside: outside(&plan),
            arrivals: RefCell::new(arrivals.collect()),
            promised: RefCell::default(),
            rejected: RefCell::default(),
            notifications: RefCell::default(),
            trace: RefCell::default(),
            random: RefCell::new(Pcg32::seed_from_u64(plan.seed)),
            resolved_to: Cell::new(0),
            plan,
        }
    }

    /// Unix time in microseconds.
    fn unix(&self) -> Micros {
        START + self.outside.now()
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

/// The client systems: how each call ends, and which effects it has.
fn outside(plan: &Plan) -> SimulatedEnvironment {
    let start = Instant::now();
    let random = Rc::new(RefCell::new(Pcg32::seed_from_u64(plan.seed ^ 0x5eed)));
    let repaired_at = plan.repaired_at;
    let script = move |_: &CallItem, _: EndpointId| {
        let mut random = random.borrow_mut();
        let travel = Duration::from_millis(u64::from(random.next_u32() % 25));
        let repaired = i64::try_from(start.elapsed().as_micros()).expect("short") >= repaired_at;
        let roll = random.next_u32() % 100;
        end_of_call(if repaired { 0 } else { roll }, travel)
    };
    let window = |name: &str| if class_of(name) == 0 { WINDOW } else { 0 };
    SimulatedEnvironment {
        started_at: start,
        effects: Rc::new(RefCell::new(EffectRecorder::new(window))),
        script: Rc::new(RefCell::new(script)),
        received_messages: Rc::default(),
    }
}

/// How a call ends, by a number below 100: whether it runs, and what is seen of it.
fn end_of_call(roll: u32, travel: Duration) -> ScriptedOutcome {
    let ends = |millis, outcome| Some((Duration::from_millis(millis) + travel, outcome));
    let refused = |wait| ends(15, Outcome::Rejected { retry_after: wait });
    let ran = Some(travel);
    let (runs_after, tells) = match roll {
        0..20 => (ran, ends(50, Outcome::Success)),
        20..32 => (ran, ends(40, Outcome::Error)),
        32..52 => (None, ends(40, Outcome::Error)),
        52..62 => (None, refused(None)),
        62..67 => (None, refused(Some(400 * MILLISECOND))),
        67..77 => (None, ends(1, Outcome::NoConnection)),
        77..84 => (ran, ends(100, Outcome::Reset)),
        84..90 => (None, ends(100, Outcome::Reset)),
        90..95 => (ran, None),
        _ => (None, None),
    };
    ScriptedOutcome {
        executes_after: runs_after,
        reported: tells,
    }
}
