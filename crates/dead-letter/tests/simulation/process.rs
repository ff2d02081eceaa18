//! One simulated process: the engine with its ports, and a loop that does the work of the store's thread.

use super::clients::Responses;
use super::plan::settings;
use super::ports::{AttemptEnds, CrashingJournal, DeadLetterQueue};
use super::{Simulation, summaries};
use milletturn_dead_letter::record::Summary;
use milletturn_dead_letter::redrive_service::RedriveService;
use milletturn_engine::dead_letter_sink::EndedMessage;
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

/// Interval between the iterations of a process's loop.
const TICK: Duration = Duration::from_millis(10);
/// A simulated process that runs for this long is considered hung, and the test fails.
const MAX_PROCESS_TIME: Micros = 3_000 * SECOND;

/// How a simulated process ended.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Finish {
    Crashed,
    /// No message is unfinished, and neither clients nor operators have anything left to do.
    Done,
}

/// A simulated process, with the state that its loop uses.
pub(super) struct Process<'a> {
    pub(super) simulation: &'a Simulation,
    pub(super) crash_point: &'a CrashPoint,
    pub(super) service: RedriveService,
    pub(super) engine: mpsc::UnboundedSender<Input>,
    dead_letters: DeadLetterQueue,
    attempt_ends: AttemptEnds,
    notifications: mpsc::UnboundedReceiver<Notification>,
    ready: watch::Sender<bool>,
    /// Numbers of the unfinished messages in the journal.
    unfinished: Rc<RefCell<BTreeSet<u64>>>,
    pub(super) open_replies: Rc<Cell<usize>>,
    pub(super) responses: Responses,
}

impl Simulation {
    /// Runs one simulated process until its crash, or until the plan is done.
    pub(super) async fn run_process(&self, crash_point: &CrashPoint) -> Finish {
        let (mut process, engine) = Process::start(self, crash_point);
        let finish = process.run().await;
        engine.abort();
        let _ = engine.await;
        // lets the pending replies end without a response
        sleep(TICK).await;
        let accepted = process
            .responses
            .borrow()
            .iter()
            .any(|(_, _, response)| *response == Some(ArrivalOutcome::Accepted));
        assert!(!accepted, "a message was accepted after the crash");
        self.read_responses(&process.responses);
        finish
    }
}

impl<'a> Process<'a> {
    fn start(simulation: &'a Simulation, crash_point: &'a CrashPoint) -> (Self, JoinHandle<()>) {
        let (journal, recovery) = simulation.open_journal();
        let in_journal = milletturn_engine::Journal::unfinished(&journal);
        let redriving = in_journal
            .iter()
            .filter(|(_, message)| message.redriven)
            .map(|(&number, _)| number)
            .collect();
        let unfinished = Rc::new(RefCell::new(in_journal.keys().copied().collect()));
        let first_number = simulation.open_store().last_number().expect("read") + 1;
        let mut service = simulation.open_service();
        let journal_intact = recovery.damaged_bytes == 0 && !recovery.created;
        service
            .recover(&redriving, journal_intact, simulation.unix_now())
            .expect("an intact store");
        let (inputs, received) = mpsc::unbounded_channel();
        let (notified, notifications) = mpsc::unbounded_channel();
        let process = Process {
            simulation,
            crash_point,
            service,
            engine: inputs,
            dead_letters: DeadLetterQueue::default(),
            attempt_ends: AttemptEnds::default(),
            notifications,
            ready: watch::Sender::new(false),
            unfinished,
            open_replies: Rc::default(),
            responses: Rc::default(),
        };
        let journal = CrashingJournal {
            journal,
            crash_point: crash_point.clone(),
            unfinished: process.unfinished.clone(),
        };
        let ports = process.ports(journal, first_number, notified);
        let engine = run_engine(ports, received);
        (process, engine)
    }

    fn ports(
        &self,
        journal: CrashingJournal,
        first_message_number: u64,
        notifications: mpsc::UnboundedSender<Notification>,
    ) -> Ports {
        let simulation = self.simulation;
        let endpoints = (0..simulation.plan.destinations * 2).map(|number| ListedEndpoint {
            destination: number / 2,
            ..serving_endpoint(number)
        });
        Ports {
            settings: settings(),
            seed: simulation.plan.seed,
            zones: Vec::new(),
            kinds: vec!["one".into()],
            clock: Clock::new(simulation.unix_now()),
            cached_endpoints: Some(EndpointListUpdate {
                version: 1,
                full: true,
                endpoints: endpoints.collect(),
            }),
            journal: Box::new(journal),
            dead_letters: Some(Box::new(self.dead_letters.clone())),
            first_message_number,
            transport: Box::new(VirtualTransport::new(
                simulation.environment.clone(),
                self.crash_point.clone(),
                self.engine.clone(),
            )),
            notify_delivered: false,
            notifications,
            observer: Box::new(self.attempt_ends.clone()),
            ready: self.ready.clone(),
        }
    }

    async fn run(&mut self) -> Finish {
        let simulation = self.simulation;
        let started = simulation.environment.now();
        let mut tick = 0u64;
        loop {
            sleep(TICK).await;
            tick += 1;
            if simulation.environment.now() - started >= MAX_PROCESS_TIME {
                self.panic_on_hang();
            }
            // also handles the requests that got no response because of the crash
            simulation.read_responses(&self.responses);
            if self.crash_point.has_crashed() {
                return Finish::Crashed;
            }
            self.submit_arrivals();
            self.acknowledge_notifications();
            for (destination, succeeded) in self.attempt_ends.0.borrow_mut().drain(..) {
                self.service
                    .on_attempt_end(destination, succeeded, simulation.unix_now());
            }
            if tick.is_multiple_of(3) {
                self.save();
            }
            if tick.is_multiple_of(25) && self.crash_point.try_step() {
                for order in self.service.tick(simulation.unix_now()).expect("the store") {
                    self.redrive(order).await;
                }
            }
            // operators stop redriving messages 10 s after the repair, as real operators would when the same failure
            // repeats
            let operators_redrive =
                simulation.environment.now() < simulation.plan.repaired_at + 10 * SECOND;
            let interval = simulation.plan.redrive_interval;
            if operators_redrive && interval > 0 && tick.is_multiple_of(interval) {
                self.redrive_random_message().await;
            }
            let repaired = simulation.environment.now() > simulation.plan.repaired_at + 8 * SECOND;
            if self.is_idle()
                && repaired
                && tick % 20 == 10
                && self.resolve_and_check_done()
                && !self.crash_point.has_crashed()
            {
                return Finish::Done;
            }
        }
    }

    /// True if no message is waiting, in flight or unfinished.
    fn is_idle(&self) -> bool {
        self.simulation.arrivals.borrow().is_empty()
            && self.open_replies.get() == 0
            && self.responses.borrow().is_empty()
            && self.unfinished.borrow().is_empty()
            && self.dead_letters.0.borrow().is_empty()
    }

    fn panic_on_hang(&self) -> ! {
        let unresolved: Vec<Summary> = summaries(&self.service)
            .into_iter()
            .filter(|summary| !summary.state.is_resolved())
            .take(3)
            .collect();
        panic!(
            "the process hangs: {:?} unfinished in the journal, unresolved in the store {unresolved:#?}",
            self.unfinished.borrow()
        );
    }

    /// The platform receives notifications and acknowledges them to the engine.
    fn acknowledge_notifications(&mut self) {
        let mut acknowledged = Vec::new();
        while let Ok(notification) = self.notifications.try_recv() {
            if self.crash_point.try_step() {
                let id = notification.id.to_string();
                *self
                    .simulation
                    .notifications
                    .borrow_mut()
                    .entry(id)
                    .or_default() += 1;
                acknowledged.push(notification.number);
            }
        }
        if !acknowledged.is_empty() && self.crash_point.try_step() {
            let _ = self.engine.send(Input::Notified(acknowledged));
        }
    }

    /// The service saves the queued messages. The process may crash before the save, or between the save and the
    /// confirmation to the engine.
    fn save(&mut self) {
        let batch: Vec<EndedMessage> = self.dead_letters.0.borrow().iter().cloned().collect();
        if batch.is_empty() || !self.crash_point.try_step() {
            return;
        }
        let report = self.service.save(&batch, self.simulation.unix_now());
        let saved = report.expect("the store").saved;
        self.dead_letters
            .0
            .borrow_mut()
            .retain(|message| !saved.contains(&message.number));
        if !self.crash_point.try_step() {
            return;
        }
        self.simulation
            .trace
            .borrow_mut()
            .push(format!("saved {saved:?}"));
        let _ = self.engine.send(Input::Stored(saved));
    }

    /// Submits a redrive to the engine, and records the outcome.
    pub(super) async fn redrive(&mut self, order: RedriveOrder) {
        if !self.crash_point.try_step() {
            return;
        }
        let (reply, engine_reply) = oneshot::channel();
        let number = order.number;
        let request = Input::Redrive(RedriveRequest { order, reply });
        let _ = self.engine.send(request);
        let outcome = engine_reply.await.expect("the engine replies");
        self.simulation
            .trace
            .borrow_mut()
            .push(format!("redrive {number}: {outcome:?}"));
        if self.crash_point.try_step() {
            self.service
                .on_redrive_outcome(number, outcome, self.simulation.unix_now())
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
