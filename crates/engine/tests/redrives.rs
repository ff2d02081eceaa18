//! Redrives from the dead-letter store, tested with a complete engine in virtual time.

mod common;

use milletturn_engine::dead_letter_sink::EndedMessage;
use milletturn_engine::*;
use milletturn_policy::{Class, Effect, MILLISECOND, Micros, Outcome, SECOND};
use milletturn_test_support::{
    CrashPoint, EffectRecorder, MemoryJournal, START_TIME_US, ScriptedOutcome,
    SimulatedEnvironment, VirtualTransport, engine_ports, new_arrival, serving_endpoint,
};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// A dead-letter store in memory that rejects messages while `full` is set.
#[derive(Clone, Default)]
struct MemoryDeadLetters {
    stored: Rc<RefCell<VecDeque<EndedMessage>>>,
    full: Rc<Cell<bool>>,
}

impl DeadLetterSink for MemoryDeadLetters {
    fn should_store(&self, ending: Ending) -> bool {
        ending != Ending::Delivered
    }

    fn set_classes(&mut self, _: &[milletturn_policy::Class]) {}

    fn store(&mut self, ended: Box<EndedMessage>) -> Result<(), Box<EndedMessage>> {
        if self.full.get() {
            return Err(ended);
        }
        self.stored.borrow_mut().push_back(*ended);
        Ok(())
    }
}

struct TestEngine {
    inputs: mpsc::UnboundedSender<Input>,
    notifications: mpsc::UnboundedReceiver<Notification>,
    journal: MemoryJournal,
    dead_letters: MemoryDeadLetters,
    environment: SimulatedEnvironment,
    /// How each call ends.
    call_script: Rc<Cell<ScriptedOutcome>>,
}

const fn outcome_after_20_ms(outcome: Outcome) -> ScriptedOutcome {
    ScriptedOutcome {
        executes_after: None,
        reported: Some((Duration::from_millis(20), outcome)),
    }
}

const SUCCESS: ScriptedOutcome = ScriptedOutcome {
    executes_after: Some(Duration::ZERO),
    reported: Some((Duration::from_millis(20), Outcome::Success)),
};

impl TestEngine {
    fn start(slots: usize, max_open_messages: usize) -> Self {
        let mut settings = common::keyed_settings(slots, max_open_messages, 1);
        let unsafe_class = Class::new("unsafe", Effect::Unsafe, 4 * SECOND, 20 * SECOND);
        settings.classes.insert(0, unsafe_class);
        let call_script = Rc::new(Cell::new(outcome_after_20_ms(Outcome::Error)));
        let script = call_script.clone();
        let environment = SimulatedEnvironment {
            started_at: Instant::now(),
            effects: Rc::new(RefCell::new(EffectRecorder::new(|_| 0))),
            script: Rc::new(RefCell::new(move |_: &CallItem, _| script.get())),
            received_messages: Rc::default(),
        };
        let (inputs, received) = mpsc::unbounded_channel();
        let (notification_sender, notifications) = mpsc::unbounded_channel();
        let (journal, dead_letters) = (MemoryJournal::default(), MemoryDeadLetters::default());
        let crash_point = CrashPoint::new(u64::MAX);
        let transport = VirtualTransport::new(environment.clone(), crash_point, inputs.clone());
        let engine = Engine::new(Ports {
            dead_letters: Some(Box::new(dead_letters.clone())),
            notifications: notification_sender,
            ..engine_ports(
                settings,
                vec![serving_endpoint(1), serving_endpoint(2)],
                &journal,
                transport,
            )
        })
        .expect("valid settings");
        let (mut engine, mut received) = (engine, received);
        tokio::task::spawn_local(async move { engine.run(&mut received).await });
        TestEngine {
            inputs,
            notifications,
            journal,
            dead_letters,
            environment,
            call_script,
        }
    }

    fn submit(&self, id: &str, class: usize) -> oneshot::Receiver<ArrivalOutcome> {
        let (arrival, reply) = new_arrival(id, class, true);
        self.inputs
            .send(Input::Arrived(arrival))
            .expect("the engine runs");
        reply
    }

    /// Redrives a message that is bound by no effect but that of its class.
    fn redrive(
        &self,
        number: u64,
        id: &str,
        class: &str,
        uncertain_sent_at: Option<Micros>,
    ) -> oneshot::Receiver<RedriveOutcome> {
        self.redrive_with_effect(number, id, class, Effect::Repeatable, uncertain_sent_at)
    }

    fn redrive_with_effect(
        &self,
        number: u64,
        id: &str,
        class: &str,
        effect: Effect,
        uncertain_sent_at: Option<Micros>,
    ) -> oneshot::Receiver<RedriveOutcome> {
        let (reply_sender, reply) = oneshot::channel();
        let message_id = SharedStr::new(id.as_bytes()).expect("a valid id");
        let uncertain_attempt = uncertain_sent_at.map(|sent_at| UncertainAttempt {
            uid: "s-1".into(),
            sent_at,
        });
        let (class, body) = (class.to_string(), "x".into());
        let order = RedriveOrder {
            number,
            id: message_id.clone(),
            key: Some(message_id),
            class,
            destination: 1,
            body,
            effect,
            uncertain_attempt,
        };
        self.inputs
            .send(Input::Redrive(RedriveRequest {
                order,
                reply: reply_sender,
            }))
            .expect("the engine runs");
        reply
    }

    fn calls(&self) -> Vec<String> {
        self.environment
            .received_messages
            .borrow()
            .iter()
            .map(|(_, id)| id.clone())
            .collect()
    }
}

fn run_in_virtual_time<T>(test: impl Future<Output = T>) -> T {
    let builder = &mut tokio::runtime::Builder::new_current_thread();
    let runtime = builder
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

async fn wait_ms(duration_ms: u64) {
    sleep(Duration::from_millis(duration_ms)).await;
}

/// Makes message 1 of class `unsafe` fail and go to the dead-letter store. Each redrive requested before that must be
/// rejected.
async fn fail_and_store(engine: &mut TestEngine) {
    engine.dead_letters.full.set(true);
    assert_eq!(engine.submit("m1", 0).await, Ok(ArrivalOutcome::Accepted));
    // the message's call is in flight
    assert_eq!(
        engine.redrive(1, "m1", "unsafe", None).await,
        Ok(RedriveOutcome::InFlight)
    );
    wait_ms(100).await;
    let notification = engine
        .notifications
        .try_recv()
        .expect("the message has failed");
    // the notification is not acknowledged, and the dead-letter store does not have the message
    assert_eq!(
        engine.redrive(1, "m1", "unsafe", None).await,
        Ok(RedriveOutcome::InFlight)
    );
    engine
        .inputs
        .send(Input::Notified(vec![notification.number]))
        .expect("the engine runs");
    assert_eq!(
        engine.redrive(1, "m1", "unsafe", None).await,
        Ok(RedriveOutcome::InFlight)
    );
    assert!(
        engine.journal.unfinished.borrow().contains_key(&1),
        "the journal must hold the message until the dead-letter store has it"
    );
    engine.dead_letters.full.set(false);
    wait_ms(600).await;
    assert_eq!(
        engine.dead_letters.stored.borrow().len(),
        1,
        "the message is offered to the dead-letter store again"
    );
    assert!(
        engine.journal.unfinished.borrow().contains_key(&1),
        "the journal must hold the message until the dead-letter store reports it as stored"
    );
    engine
        .inputs
        .send(Input::Stored(vec![1]))
        .expect("the engine runs");
    wait_ms(10).await;
    assert!(engine.journal.unfinished.borrow().is_empty());
}

#[test]
fn a_redrive_waits_until_the_original_is_notified_and_stored() {
    run_in_virtual_time(async {
        let mut engine = TestEngine::start(8, 100);
        fail_and_store(&mut engine).await;
        // of two concurrent requests, only the first is accepted
        engine.call_script.set(SUCCESS);
        let (first, second) = (
            engine.redrive(1, "m1", "unsafe", None),
            engine.redrive(1, "m1", "unsafe", None),
        );
        assert_eq!(
            (first.await, second.await),
            (Ok(RedriveOutcome::Accepted), Ok(RedriveOutcome::InFlight))
        );
        wait_ms(100).await;
        assert_eq!(engine.calls(), ["m1", "m1"]);
        let ended = engine
            .dead_letters
            .stored
            .borrow()
            .back()
            .cloned()
            .expect("the end of the redrive is stored");
        assert_eq!(
            (ended.ending, ended.redriven, ended.attempts.len()),
            (Ending::Delivered, true, 1)
        );
        assert!(
            engine.notifications.try_recv().is_err(),
            "a redrive must not notify the client a second time"
        );
    });
}

#[test]
fn a_redrive_ends_with_the_deduplication_window_of_its_key() {
    run_in_virtual_time(async {
        let engine = TestEngine::start(8, 100);
        wait_ms(15_000).await;
        let now = START_TIME_US + 15 * SECOND;
        for (sent_at, expected) in [
            (now - 12 * SECOND, RedriveOutcome::TooLate),
            (
                now - 12 * SECOND + 50 * MILLISECOND,
                RedriveOutcome::TooLate,
            ),
            // the attempt is in the future: the clock was set back
            (now + SECOND, RedriveOutcome::TooLate),
            (now - 11 * SECOND, RedriveOutcome::Accepted),
        ] {
            let number = sent_at as u64;
            assert_eq!(
                engine.redrive(number, "m", "keyed", Some(sent_at)).await,
                Ok(expected),
                "{sent_at}"
            );
        }
        // the accepted redrive is attempted until the deduplication window ends, and no longer
        wait_ms(3_000).await;
        assert!(!engine.calls().is_empty());
        let calls = engine.environment.received_messages.borrow().clone();
        assert!(
            calls
                .iter()
                .all(|&(at, _)| START_TIME_US + at < now + SECOND),
            "{calls:?}"
        );
        let ended = engine
            .dead_letters
            .stored
            .borrow()
            .back()
            .cloned()
            .expect("the undelivered message is stored again");
        assert_eq!(
            (ended.redriven, ended.ending == Ending::Delivered),
            (true, false)
        );
        assert!(ended.ended_at <= now + SECOND, "{}", ended.ended_at - now);
    });
}

#[test]
fn new_messages_precede_redrives_whose_number_is_limited() {
    run_in_virtual_time(async {
        let engine = TestEngine::start(1, 16);
        // each call takes 300 ms, and the first one occupies the only slot
        engine.call_script.set(ScriptedOutcome {
            executes_after: None,
            reported: Some((Duration::from_millis(300), Outcome::Success)),
        });
        assert_eq!(
            engine.submit("first", 1).await,
            Ok(ArrivalOutcome::Accepted)
        );
        let redrives: Vec<_> = (100..104)
            .map(|number| engine.redrive(number, "again", "keyed", None))
            .collect();
        let mut outcomes = Vec::new();
        for redrive in redrives {
            outcomes.push(redrive.await.expect("an outcome"));
        }
        assert_eq!(outcomes[..2], [RedriveOutcome::Accepted; 2]);
        assert_eq!(
            outcomes[2..],
            [RedriveOutcome::Busy; 2],
            "redrives are limited to an eighth of the 16 messages that may be open"
        );
        assert_eq!(
            engine.submit("fresh", 1).await,
            Ok(ArrivalOutcome::Accepted)
        );
        wait_ms(3_000).await;
        assert_eq!(engine.calls(), ["first", "fresh", "again", "again"]);
    });
}

#[test]
fn redrives_are_rejected_while_half_of_the_allowed_messages_are_open() {
    run_in_virtual_time(async {
        let engine = TestEngine::start(1, 16);
        engine.call_script.set(ScriptedOutcome {
            executes_after: None,
            reported: None,
        });
        for number in 0..8 {
            assert_eq!(
                engine.submit(&format!("m{number}"), 1).await,
                Ok(ArrivalOutcome::Accepted)
            );
        }
        assert_eq!(
            engine.redrive(100, "again", "keyed", None).await,
            Ok(RedriveOutcome::Busy)
        );
        assert_eq!(
            engine.redrive(101, "again", "no such class", None).await,
            Ok(RedriveOutcome::Busy)
        );
    });
}

/// Guards against a redrive that runs a message twice, because its class became stricter or less strict between the store's
/// decision and the engine's.
#[test]
fn the_stricter_of_the_effects_of_the_order_and_of_the_class_decides() {
    run_in_virtual_time(async {
        let engine = TestEngine::start(4, 50);
        wait_ms(10).await;
        let sent_at = Some(START_TIME_US);
        let window = |window| Effect::Keyed {
            window,
            zone_only: false,
        };
        for (class, effect, expected) in [
            ("unsafe", Effect::Repeatable, RedriveOutcome::TooLate),
            ("keyed", Effect::Unsafe, RedriveOutcome::TooLate),
            ("keyed", window(1), RedriveOutcome::TooLate),
            ("keyed", Effect::Repeatable, RedriveOutcome::Accepted),
        ] {
            let outcome = engine.redrive_with_effect(100, "again", class, effect, sent_at);
            assert_eq!(outcome.await, Ok(expected), "{class} {effect:?}");
        }
    });
}
