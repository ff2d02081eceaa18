//! One simulated process: the engine with its ports, and the store's thread as steps of a loop.

use super::clients::Answers;
use super::plan::settings;
use super::ports::{ArchiveQueue, AttemptEnds, SwitchedJournal};
use super::{World, rows};
use milletturn_dead_letter::record::Summary;
use milletturn_dead_letter::redrive_service::RedriveService;
use milletturn_engine::archive::ArchivedMessage;
use milletturn_engine::{
    ArrivalOutcome, Clock, EndpointListUpdate, Engine, Input, ListedEndpoint, Notification, Ports,
    RedriveOrder, RedriveRequest,
};
use milletturn_policy::{Micros, SECOND};
use milletturn_test_support::{CrashPoint, VirtualTransport, serving_endpoint};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// The simulation's tick.
const TICK: Duration = Duration::from_millis(10);
/// No simulated process lives longer: one that does hangs.
const MAX_LIFE: Micros = 3_000 * SECOND;

/// How a simulated process ended.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Finish {
    Killed,
    /// Nothing is unfinished any more, and nobody has anything left to do.
    Done,
}

/// A simulated process, as its parts see it.
pub(super) struct Process<'a> {
    pub(super) world: &'a World,
    pub(super) power: &'a CrashPoint,
    pub(super) service: RedriveService,
    pub(super) engine: mpsc::UnboundedSender<Input>,
    archive: ArchiveQueue,
    attempt_ends: AttemptEnds,
    notifications: mpsc::UnboundedReceiver<Notification>,
    ready: watch::Sender<bool>,
    /// The numbers of the messages that the journal has.
    unfinished: Rc<RefCell<BTreeSet<u64>>>,
    pub(super) open_replies: Rc<Cell<usize>>,
    pub(super) answers: Answers,
}

impl World {
    /// Runs one simulated process to its end.
    pub(super) async fn live(&self, power: &CrashPoint) -> Finish {
        let (mut process, engine) = Process::start(self, power);
        let finish = process.run().await;
        engine.abort();
        let _ = engine.await;
        // what clients had not been answered comes once more
        sleep(TICK).await;
        let accepted = process
            .answers
            .borrow()
            .iter()
            .any(|(_, _, answer)| *answer == Some(ArrivalOutcome::Accepted));
        assert!(!accepted, "answered after its end");
        self.read_answers(&process.answers);
        finish
    }
}

impl<'a> Process<'a> {
    fn start(world: &'a World, power: &'a CrashPoint) -> (Self, JoinHandle<()>) {
        let (journal, recovery) = world.open_journal();
        let in_journal = milletturn_engine::Journal::unfinished(&journal);
        let redriving = in_journal
            .iter()
            .filter(|(_, message)| message.redriven)
            .map(|(&number, _)| number)
            .collect();
        let unfinished = Rc::new(RefCell::new(in_journal.keys().copied().collect()));
        let first_number = world.open_store().last_number().expect("read") + 1;
        let mut service = world.open_service();
        let intact = recovery.damaged_bytes == 0 && !recovery.created;
        service
            .recover(&redriving, intact, world.unix())
            .expect("sound");
        let (inputs, received) = mpsc::unbounded_channel();
        let (notified, notifications) = mpsc::unbounded_channel();
        let process = Process {
            world,
            power,
            service,
            engine: inputs,
            archive: ArchiveQueue::default(),
            attempt_ends: AttemptEnds::default(),
            notifications,
            ready: watch::Sender::new(false),
            unfinished,
            open_replies: Rc::default(),
            answers: Rc::default(),
        };
        let journal = SwitchedJournal {
            journal,
            power: power.clone(),
            unfinished: process.unfinished.clone(),
        };
        let ports = process.ports(journal, first_number, notified);
        let engine = run_engine(ports, received);
        (process, engine)
    }

    fn ports(
        &self,
        journal: SwitchedJournal,
        first_message_number: u64,
        notifications: mpsc::UnboundedSender<Notification>,
    ) -> Ports {
        let world = self.world;
        let endpoints = (0..world.plan.destinations * 2).map(|number| ListedEndpoint {
            destination: number / 2,
            ..serving_endpoint(number)
        });
        Ports {
            settings: settings(),
            seed: world.plan.seed,
            zones: Vec::new(),
            kinds: vec!["one".into()],
            clock: Clock::new(world.unix()),
            cached_endpoints: Some(EndpointListUpdate {
                version: 1,
                full: true,
                endpoints: endpoints.collect(),
            }),
            journal: Box::new(journal),
            archive: Some(Box::new(self.archive.clone())),
            first_message_number,
            transport: Box::new(VirtualTransport::new(
                world.outside.clone(),
                self.power.clone(),
                self.engine.clone(),
            )),
            notify_delivered: false,
            notifications,
            observer: Box::new(self.attempt_ends.clone()),
            ready: self.ready.clone(),
        }
    }

    async fn run(&mut self) -> Finish {
        let world = self.world;
        let started = world.outside.now();
        let mut tick = 0u64;
        loop {
            sleep(TICK).await;
            tick += 1;
            if world.outside.now() - started >= MAX_LIFE {
                self.report_hanging();
            }
            // answers that clients have read, and connections that broke
            world.read_answers(&self.answers);
            if self.power.has_crashed() {
                return Finish::Killed;
            }
            self.submit_arrivals();
            self.notify_platform();
            for (destination, succeeded) in self.attempt_ends.0.borrow_mut().drain(..) {
                self.service
                    .on_attempt_end(destination, succeeded, world.unix());
            }
            if tick.is_multiple_of(3) {
                self.save();
            }
            if tick.is_multiple_of(25) && self.power.try_step() {
                for order in self.service.tick(world.unix()).expect("the store") {
                    self.redrive(order).await;
                }
            }
            // redrives by hand end some time after the repair: a person who sees the same failure repeated stops
            let by_hand = world.outside.now() < world.plan.repaired_at + 10 * SECOND;
            let interval = world.plan.redrive_interval;
            if by_hand && interval > 0 && tick.is_multiple_of(interval) {
                self.redrive_some().await;
            }
            let repaired = world.outside.now() > world.plan.repaired_at + 8 * SECOND;
            if self.is_quiet()
                && repaired
                && tick % 20 == 10
                && self.operators_are_done()
                && !self.power.has_crashed()
            {
                return Finish::Done;
            }
        }
    }

    /// True if no message is under way.
    fn is_quiet(&self) -> bool {
        self.world.arrivals.borrow().is_empty()
            && self.open_replies.get() == 0
            && self.answers.borrow().is_empty()
            && self.unfinished.borrow().is_empty()
            && self.archive.0.borrow().is_empty()
    }

    fn report_hanging(&self) -> ! {
        let unresolved: Vec<Summary> = rows(&self.service)
            .into_iter()
            .filter(|summary| !summary.state.is_resolved())
            .take(3)
            .collect();
        panic!(
            "it never ends: {:?} unfinished, in the store {unresolved:#?}",
            self.unfinished.borrow()
        );
    }

    /// The platform takes notifications, and the engine learns of it.
    fn notify_platform(&mut self) {
        let mut taken = Vec::new();
        while let Ok(notification) = self.notifications.try_recv() {
            if self.power.try_step() {
                let id = notification.id.to_string();
                *self.world.notifications.borrow_mut().entry(id).or_default() += 1;
                taken.push(notification.number);
            }
        }
        if !taken.is_empty() && self.power.try_step() {
            let _ = self.engine.send(Input::Notified(taken));
        }
    }

    /// The service saves what waits: a kill before it, or between it and its message to the engine.
    fn save(&mut self) {
        let batch: Vec<ArchivedMessage> = self.archive.0.borrow().iter().cloned().collect();
        if batch.is_empty() || !self.power.try_step() {
            return;
        }
        let report = self.service.save(&batch, self.world.unix());
        let saved = report.expect("the store").saved;
        self.archive
            .0
            .borrow_mut()
            .retain(|message| !saved.contains(&message.number));
        if !self.power.try_step() {
            return;
        }
        self.world
            .trace
            .borrow_mut()
            .push(format!("kept {saved:?}"));
        let _ = self.engine.send(Input::Archived(saved));
    }

    /// Hands a redrive over to the engine, and records its answer.
    pub(super) async fn redrive(&mut self, order: RedriveOrder) {
        if !self.power.try_step() {
            return;
        }
        let (reply, answer) = oneshot::channel();
        let number = order.number;
        let request = Input::Redrive(RedriveRequest { order, reply });
        let _ = self.engine.send(request);
        let answer = answer.await.expect("the engine answers");
        self.world
            .trace
            .borrow_mut()
            .push(format!("ordered {number}: {answer:?}"));
        if self.power.try_step() {
            self.service
                .on_engine_answer(number, answer, self.world.unix())
                .expect("the store");
        }
    }
}

fn run_engine(ports: Ports, mut received: mpsc::UnboundedReceiver<Input>) -> JoinHandle<()> {
    let mut engine = Engine::new(ports).expect("settings");
    tokio::task::spawn_local(async move {
        engine.run(&mut received).await;
    })
}
