//! Redrives from the archive, with a whole engine in virtual time.

mod common;

use milletturn_engine::archive::ArchivedMessage;
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

/// An archive in memory that is full while a test wants it.
#[derive(Clone, Default)]
struct MemoryArchive {
    stored: Rc<RefCell<VecDeque<ArchivedMessage>>>,
    full: Rc<Cell<bool>>,
}

impl Archive for MemoryArchive {
    fn wants(&self, ending: Ending) -> bool {
        ending != Ending::Delivered
    }

    fn store(&mut self, ended: Box<ArchivedMessage>) -> Result<(), Box<ArchivedMessage>> {
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
    archive: MemoryArchive,
    outside: SimulatedEnvironment,
    /// What becomes of each call.
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
        let no_repeat = Class::new("unsafe", Effect::Unsafe, 4 * SECOND, 20 * SECOND);
        settings.classes.insert(0, no_repeat);
        let call_script = Rc::new(Cell::new(outcome_after_20_ms(Outcome::Error)));
        let script = call_script.clone();
        let outside = SimulatedEnvironment {
            started_at: Instant::now(),
            effects: Rc::new(RefCell::new(EffectRecorder::new(|_| 0))),
            script: Rc::new(RefCell::new(move |_: &CallItem, _| script.get())),
            received_messages: Rc::default(),
        };
        let (inputs, received) = mpsc::unbounded_channel();
        let (notification_sender, notifications) = mpsc::unbounded_channel();
        let (journal, archive) = (MemoryJournal::default(), MemoryArchive::default());
        let power = CrashPoint::new(u64::MAX);
        let transport = VirtualTransport::new(outside.clone(), power, inputs.clone());
        let engine = Engine::new(Ports {
            archive: Some(Box::new(archive.clone())),
            notifications: notification_sender,
            ..engine_ports(
                settings,
                vec![serving_endpoint(1), serving_endpoint(2)],
                &journal,
                transport,
            )
        })
        .expect("settings");
        let (mut engine, mut received) = (engine, received);
        tokio::task::spawn_local(async move { engine.run(&mut received).await });
        TestEngine {
            inputs,
            notifications,
            journal,
            archive,
            outside,
            call_script,
        }
    }

    fn hand_in(&self, id: &str, class: usize) -> oneshot::Receiver<ArrivalOutcome> {
        let (arrival, answer) = new_arrival(id, class, true);
        self.inputs
            .send(Input::Arrived(arrival))
            .expect("the engine runs");
        answer
    }

    fn redrive(
        &self,
        number: u64,
        id: &str,
        class: &str,
        uncertain_attempt: Option<Micros>,
    ) -> oneshot::Receiver<RedriveOutcome> {
        let (reply, answer) = oneshot::channel();
        let message_id = SharedStr::new(id.as_bytes()).expect("a valid id");
        let uncertain_attempt = uncertain_attempt.map(|sent_at| UncertainAttempt {
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
            uncertain_attempt,
        };
        self.inputs
            .send(Input::Redrive(RedriveRequest { order, reply }))
            .expect("the engine runs");
        answer
    }

    fn calls(&self) -> Vec<String> {
        self.outside
            .received_messages
            .borrow()
            .iter()
            .map(|(_, id)| id.clone())
            .collect()
    }
}

fn play<T>(scene: impl Future<Output = T>) -> T {
    let builder = &mut tokio::runtime::Builder::new_current_thread();
    let runtime = builder
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, scene)
}

async fn wait(millis: u64) {
    sleep(Duration::from_millis(millis)).await;
}

/// Fails message 1 of class `unsafe`, has it archived, and asks for its redrive at each step before that.
async fn fail_and_archive(engine: &mut TestEngine) {
    engine.archive.full.set(true);
    assert_eq!(engine.hand_in("m1", 0).await, Ok(ArrivalOutcome::Accepted));
    // its call is in flight
    assert_eq!(
        engine.redrive(1, "m1", "unsafe", None).await,
        Ok(RedriveOutcome::InFlight)
    );
    wait(100).await;
    let notification = engine.notifications.try_recv().expect("it has failed");
    // its notification is not confirmed, and the archive does not have it
    assert_eq!(
        engine.redrive(1, "m1", "unsafe", None).await,
        Ok(RedriveOutcome::InFlight)
    );
    engine
        .inputs
        .send(Input::Notified(vec![notification.number]))
        .expect("sent");
    assert_eq!(
        engine.redrive(1, "m1", "unsafe", None).await,
        Ok(RedriveOutcome::InFlight)
    );
    assert!(
        engine.journal.unfinished.borrow().contains_key(&1),
        "the journal has it while nothing else does"
    );
    engine.archive.full.set(false);
    wait(600).await;
    assert_eq!(
        engine.archive.stored.borrow().len(),
        1,
        "it is offered again"
    );
    assert!(
        engine.journal.unfinished.borrow().contains_key(&1),
        "until the archive reports that it is stored"
    );
    engine.inputs.send(Input::Archived(vec![1])).expect("sent");
    wait(10).await;
    assert!(engine.journal.unfinished.borrow().is_empty());
}

#[test]
fn a_redrive_waits_until_the_original_is_notified_and_archived() {
    play(async {
        let mut engine = TestEngine::start(8, 100);
        fail_and_archive(&mut engine).await;
        // of two requests at once, one counts
        engine.call_script.set(SUCCESS);
        let (first, second) = (
            engine.redrive(1, "m1", "unsafe", None),
            engine.redrive(1, "m1", "unsafe", None),
        );
        assert_eq!(
            (first.await, second.await),
            (Ok(RedriveOutcome::Accepted), Ok(RedriveOutcome::InFlight))
        );
        wait(100).await;
        assert_eq!(engine.calls(), ["m1", "m1"]);
        let ended = engine
            .archive
            .stored
            .borrow()
            .back()
            .cloned()
            .expect("its end is archived");
        assert_eq!(
            (ended.ending, ended.redriven, ended.attempts.len()),
            (Ending::Delivered, true, 1)
        );
        assert!(
            engine.notifications.try_recv().is_err(),
            "its client has had its one final outcome"
        );
    });
}

#[test]
fn a_redrive_ends_with_the_window_of_its_key() {
    play(async {
        let engine = TestEngine::start(8, 100);
        wait(15_000).await;
        let now = START_TIME_US + 15 * SECOND;
        for (sent_at, expected) in [
            (now - 12 * SECOND, RedriveOutcome::TooLate),
            (
                now - 12 * SECOND + 50 * MILLISECOND,
                RedriveOutcome::TooLate,
            ),
            // the clock stands before the attempt
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
        // the accepted one fails until its window ends, and not a moment longer
        wait(3_000).await;
        assert!(!engine.calls().is_empty());
        let calls = engine.outside.received_messages.borrow().clone();
        assert!(
            calls
                .iter()
                .all(|&(at, _)| START_TIME_US + at < now + SECOND),
            "{calls:?}"
        );
        let ended = engine
            .archive
            .stored
            .borrow()
            .back()
            .cloned()
            .expect("it ends in the archive");
        assert_eq!(
            (ended.redriven, ended.ending == Ending::Delivered),
            (true, false)
        );
        assert!(ended.ended_at <= now + SECOND, "{}", ended.ended_at - now);
    });
}

#[test]
fn fresh_messages_go_before_redrives_which_take_up_a_share_only() {
    play(async {
        let engine = TestEngine::start(1, 16);
        // a silent call occupies the only slot
        engine.call_script.set(ScriptedOutcome {
            executes_after: None,
            reported: Some((Duration::from_millis(300), Outcome::Success)),
        });
        assert_eq!(
            engine.hand_in("first", 1).await,
            Ok(ArrivalOutcome::Accepted)
        );
        let redrives: Vec<_> = (100..104)
            .map(|number| engine.redrive(number, "again", "keyed", None))
            .collect();
        let mut answers = Vec::new();
        for redrive in redrives {
            answers.push(redrive.await.expect("answered"));
        }
        assert_eq!(answers[..2], [RedriveOutcome::Accepted; 2]);
        assert_eq!(
            answers[2..],
            [RedriveOutcome::Busy; 2],
            "an eighth of what may be open"
        );
        assert_eq!(
            engine.hand_in("fresh", 1).await,
            Ok(ArrivalOutcome::Accepted)
        );
        wait(3_000).await;
        assert_eq!(engine.calls(), ["first", "fresh", "again", "again"]);
    });
}

#[test]
fn redrives_are_rejected_while_many_fresh_messages_are_open() {
    play(async {
        let engine = TestEngine::start(1, 16);
        engine.call_script.set(ScriptedOutcome {
            executes_after: None,
            reported: None,
        });
        for number in 0..8 {
            assert_eq!(
                engine.hand_in(&format!("m{number}"), 1).await,
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
