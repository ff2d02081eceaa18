//! Runs the redrive service on a thread of its own, so that a slow disk does not delay the engine.

use crate::config::Config;
use crate::engine_ports::{AttemptObserver, PendingEffects, StoreWorkerSink};
use crate::error::{RedriveError, Rejection, StoreError};
use crate::job::{Job, RedriveJob, Redriven};
use crate::record::BodyMode;
use crate::redrive_decision::RedriveDecision;
use crate::redrive_service::RedriveService;
use crate::store::{DeadLetterStore, set_aside};
use milletturn_engine::dead_letter_sink::EndedMessage;
use milletturn_engine::{Clock, Input, RedriveOrder, RedriveOutcome, RedriveRequest};
use milletturn_logging::log;
use milletturn_policy::{Effect, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Capacity of the queue of messages that wait for the thread, with their bodies: 64 messages of 64 KiB take at most
/// 4 MiB. If the queue is full, a message stays in the journal, and the engine offers it again.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Capacity of the queue of jobs. A command waits for each reply before its next job, so most jobs in the queue are
/// ends of attempts and wake-ups, which are dropped while the queue is full.
const MAX_QUEUED_JOBS: usize = 256;
/// Maximum number of jobs in a row, after the first, before the thread checks the queue of messages again.
const JOBS_PER_TURN: usize = 64;
/// Maximum number of messages that one transaction saves. Larger values spread the cost of a sync over more messages,
/// but delay commands longer.
const SAVE_BATCH: usize = 64;
/// Interval between evaluations of the redrive rules.
const RULE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between checks for resolved messages that exceed the maximum age.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);
/// Backoff after the file could not be written, before the same batch is retried.
const FAULT_BACKOFF: Duration = Duration::from_secs(1);
/// Backoff while the store is full, before the same batch is retried.
const FULL_BACKOFF: Duration = Duration::from_secs(10);

/// The parameters of the store's thread.
pub struct StoreWorkerOptions {
    /// The folder that holds the store's file.
    pub state_dir: PathBuf,
    /// The store's settings.
    pub config: Config,
    /// Whether a message may be processed more than once, by the name of its class, at the start.
    pub effects: BTreeMap<String, Effect>,
    /// Numbers of the messages that the journal holds as unfinished redrives.
    pub redriving: BTreeSet<u64>,
    /// True if the journal lost no entries.
    pub journal_intact: bool,
    /// The clock that the engine uses too.
    pub clock: Clock,
    /// The engine's input channel, for redrives and for confirmations of saved messages.
    pub engine: mpsc::UnboundedSender<Input>,
    /// Maximum total size, in bytes, of the store, its rollback journal and a damaged file that is set aside.
    pub max_total_bytes: u64,
}

/// A handle to the store's thread. The thread ends when all senders of its job queue are dropped, or at its start if
/// the store can't be recovered.
#[derive(Debug)]
pub struct StoreWorker {
    /// The sending half of the queue of jobs.
    pub jobs: SyncSender<Job>,
    messages: SyncSender<Box<EndedMessage>>,
    /// The lowest number for a new message: one more than the greatest number in the store.
    pub first_number: u64,
    store_returned: bool,
    effects: PendingEffects,
}

impl StoreWorker {
    /// Opens the store and starts its thread. A damaged file is set aside, and a new one created. The thread
    /// verifies the rows first; until then messages that fail stay in the journal.
    ///
    /// # Errors
    /// When the store can't be opened and can't be replaced by a new one. If the thread can't be started, the error is
    /// only logged.
    pub fn start(options: StoreWorkerOptions) -> Result<Self, StoreError> {
        let path = options.state_dir.join(&options.config.file);
        let (store, last_number) =
            open_or_replace(&path, &options.config, options.max_total_bytes)?;
        let (jobs, received_jobs) = sync_channel(MAX_QUEUED_JOBS);
        let (messages, received_messages) = sync_channel(MAX_QUEUED_MESSAGES);
        let store_returned = options.config.store_returned;
        let thread = std::thread::Builder::new().name("undelivered".to_string());
        let effects = PendingEffects::default();
        let told_effects = effects.clone();
        let spawned = thread.spawn(move || {
            run(
                options,
                &path,
                store,
                &received_jobs,
                &received_messages,
                told_effects,
            );
        });
        if let Err(error) = spawned {
            log(format_args!(
                "undelivered: can't start the store's thread: {error}"
            ));
        }
        Ok(StoreWorker {
            jobs,
            messages,
            first_number: last_number + 1,
            store_returned,
            effects,
        })
    }

    /// The sink through which the engine stores messages.
    #[must_use]
    pub fn sink(&self) -> StoreWorkerSink {
        StoreWorkerSink {
            messages: self.messages.clone(),
            jobs: self.jobs.clone(),
            store_returned: self.store_returned,
            effects: self.effects.clone(),
        }
    }

    /// An observer that reports the ends of attempts to the thread, and forwards all events to `next`.
    pub fn observer<O>(&self, next: O) -> AttemptObserver<O> {
        AttemptObserver {
            jobs: self.jobs.clone(),
            next,
        }
    }
}

/// Opens the store, or replaces a damaged one; returns the store with its greatest message number.
fn open_or_replace(
    path: &Path,
    config: &Config,
    max_total_bytes: u64,
) -> Result<(DeadLetterStore, u64), StoreError> {
    let opened = DeadLetterStore::open(path, RedriveService::limits(config)).and_then(|store| {
        let last_number = store.last_number()?;
        Ok((store, last_number))
    });
    match opened {
        Err(error @ StoreError::Damaged { .. }) => {
            let store = replace(path, config, max_total_bytes, &error)?;
            Ok((store, 0))
        }
        other => other,
    }
}

/// Sets a damaged file aside and creates a new one, if there is space for both.
fn replace(
    path: &Path,
    config: &Config,
    max_total_bytes: u64,
    error: &StoreError,
) -> Result<DeadLetterStore, StoreError> {
    log(format_args!("undelivered: {error}"));
    let damaged = |problem: String| StoreError::Damaged {
        path: path.to_path_buf(),
        problem,
    };
    let size = std::fs::metadata(path).map_or(0, |file| file.len());
    if size.saturating_add(2 * config.max_bytes) > max_total_bytes {
        return Err(damaged(
            "there is not enough space to set it aside; move it away".to_string(),
        ));
    }
    let aside =
        set_aside(path).map_err(|error| damaged(format!("it could not be set aside: {error}")))?;
    log(format_args!(
        "undelivered: set aside as {}; nothing is sent from it, and a new store is created",
        aside.display()
    ));
    DeadLetterStore::open(path, RedriveService::limits(config))
}

/// Verifies the store and recovers its state; a damaged store is replaced by a new one.
fn recover(
    store: DeadLetterStore,
    options: &StoreWorkerOptions,
    path: &Path,
    now: Micros,
) -> Result<RedriveService, StoreError> {
    let new_service = |store| RedriveService::new(store, &options.config, options.effects.clone());
    let mut service = new_service(store);
    match service.recover(&options.redriving, options.journal_intact, now) {
        Ok(()) => Ok(service),
        Err(error @ (StoreError::Damaged { .. } | StoreError::InvalidRow { .. })) => {
            drop(service);
            let store = replace(path, &options.config, options.max_total_bytes, &error)?;
            let mut service = new_service(store);
            service.load_effects(now)?;
            Ok(service)
        }
        Err(error) => Err(error),
    }
}

/// The thread's main loop: handles jobs, saves messages, evaluates rules and prunes, until all job senders are dropped.
fn run(
    options: StoreWorkerOptions,
    path: &Path,
    store: DeadLetterStore,
    jobs: &Receiver<Job>,
    messages: &Receiver<Box<EndedMessage>>,
    effects: PendingEffects,
) {
    // the engine's clock follows the time of the tokio runtime, and this thread runs outside the runtime; so the thread
    // reads the clock once and adds the time elapsed since then
    let (started_at, started) = (options.clock.now(), Instant::now());
    let now = || {
        let elapsed = Micros::try_from(started.elapsed().as_micros());
        started_at + elapsed.unwrap_or(Micros::MAX / 2)
    };
    let service = match recover(store, &options, path, now()) {
        Ok(service) => service,
        Err(error) => {
            log(format_args!(
                "undelivered: {error}; messages that fail from now on stay in the journal"
            ));
            return;
        }
    };
    let mut worker = Worker {
        service,
        engine: options.engine,
        effects,
        batch: Vec::new(),
        backoff_until: None,
    };
    let (mut last_tick, mut last_prune) = (Instant::now(), Instant::now());
    loop {
        match jobs.recv_timeout(RULE_INTERVAL) {
            Ok(job) => {
                worker.handle_job(job, now());
                jobs.try_iter()
                    .take(JOBS_PER_TURN)
                    .for_each(|job| worker.handle_job(job, now()));
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        worker.apply_effects(now());
        worker.fill_batch(messages);
        worker.save(now());
        if last_tick.elapsed() >= RULE_INTERVAL {
            last_tick = Instant::now();
            worker.tick(now());
        }
        if last_prune.elapsed() >= PRUNE_INTERVAL {
            last_prune = Instant::now();
            if let Err(error) = worker.service.prune(now()) {
                log(format_args!("undelivered: {error}"));
            }
        }
    }
}

/// The state of the store's thread.
struct Worker {
    service: RedriveService,
    engine: mpsc::UnboundedSender<Input>,
    effects: PendingEffects,
    /// The messages to save next, at most [`SAVE_BATCH`].
    batch: Vec<EndedMessage>,
    /// No messages are saved before this time; `None` if there is no backoff.
    backoff_until: Option<Instant>,
}

impl Worker {
    /// Applies the effects of the classes that a reload has changed.
    fn apply_effects(&mut self, now: Micros) {
        if let Some(effects) = self.effects.take()
            && let Err(error) = self.service.set_effects(effects, now)
        {
            log(format_args!("undelivered: {error}"));
        }
    }

    fn handle_job(&mut self, job: Job, now: Micros) {
        self.apply_effects(now);
        let service = &mut self.service;
        match job {
            Job::Wake => {}
            Job::AttemptEnded {
                destination,
                succeeded,
            } => service.on_attempt_end(destination, succeeded, now),
            Job::List(request) => {
                request.respond(|list| service.list(&list.filter, list.after, list.limit));
            }
            Job::Get(request) => request.respond(|get| service.record(get.number, get.body)),
            Job::Stats(request) => request.respond(|()| service.stats(now)),
            Job::Redrive(request) => request.respond(|redrive| self.redrive(&redrive, now)),
            Job::Resolve(request) => request.respond(|resolve| {
                service.resolve(
                    resolve.number,
                    resolve.resolution,
                    &resolve.actor,
                    &resolve.reason,
                    now,
                )
            }),
        }
    }

    fn redrive(&mut self, request: &RedriveJob, now: Micros) -> Result<Redriven, RedriveError> {
        let record = self.service.record(request.number, BodyMode::Omit)?;
        let record = record.ok_or(Rejection::NotFound)?;
        let redriven = Redriven {
            until: match self.service.decide(&record.summary, now)? {
                RedriveDecision::AllowedUntil(until) => Some(until),
                _ => None,
            },
        };
        if request.dry_run {
            return Ok(redriven);
        }
        let order =
            self.service
                .request_redrive(request.number, &request.actor, &request.reason, now)?;
        match self.submit_redrive(order, now)? {
            RedriveOutcome::Accepted => Ok(redriven),
            other => Err(Rejection::Engine(other).into()),
        }
    }

    /// Submits a redrive to the engine and records the outcome. The engine replies in its next turn and never waits for
    /// this thread, so the two can't deadlock.
    fn submit_redrive(
        &mut self,
        order: RedriveOrder,
        now: Micros,
    ) -> Result<RedriveOutcome, StoreError> {
        let (reply, engine_reply) = oneshot::channel();
        let number = order.number;
        let request = Input::Redrive(RedriveRequest { order, reply });
        let sent = self.engine.send(request).is_ok();
        // without a reply the process is ending, and the next process takes the message's state from the journal
        let outcome = if sent {
            engine_reply.blocking_recv().ok()
        } else {
            None
        };
        let Some(outcome) = outcome else {
            return Ok(RedriveOutcome::Busy);
        };
        self.service.on_redrive_outcome(number, outcome, now)?;
        Ok(outcome)
    }

    /// Moves messages from their queue to the batch, up to [`SAVE_BATCH`].
    fn fill_batch(&mut self, messages: &Receiver<Box<EndedMessage>>) {
        let capacity = SAVE_BATCH.saturating_sub(self.batch.len());
        self.batch
            .extend(messages.try_iter().take(capacity).map(|message| *message));
    }

    fn save(&mut self, now: Micros) {
        let backing_off = self
            .backoff_until
            .is_some_and(|until| Instant::now() < until);
        if self.batch.is_empty() || backing_off {
            return;
        }
        self.backoff_until = None;
        match self.service.save(&self.batch, now) {
            Ok(report) => {
                self.batch
                    .retain(|message| !report.saved.contains(&message.number));
                if report.unsaved > 0 {
                    log(format_args!(
                        "undelivered: the store is full of messages that nobody has settled; {} wait in the ledger",
                        report.unsaved
                    ));
                    self.backoff_until = Some(Instant::now() + FULL_BACKOFF);
                }
                let _ = self.engine.send(Input::Stored(report.saved));
            }
            Err(error) => {
                log(format_args!(
                    "undelivered: {error}; {} messages wait in the ledger",
                    self.batch.len()
                ));
                self.backoff_until = Some(Instant::now() + FAULT_BACKOFF);
            }
        }
    }

    fn tick(&mut self, now: Micros) {
        let submitted = self.service.tick(now).and_then(|orders| {
            orders
                .into_iter()
                .try_for_each(|order| self.submit_redrive(order, now).map(|_| ()))
        });
        if let Err(error) = submitted {
            log(format_args!("undelivered: {error}"));
        }
    }
}
