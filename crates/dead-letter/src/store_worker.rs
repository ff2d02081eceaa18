//! The redrive service on a thread of its own: a slow disk delays neither the engine's turns nor its answers.

use crate::archive_handle::{ArchiveHandle, AttemptObserver};
use crate::config::Config;
use crate::error::{RedriveError, Rejection, StoreError};
use crate::job::{Job, RedriveJob, Redriven};
use crate::record::BodyMode;
use crate::redrive_decision::RedriveDecision;
use crate::redrive_service::RedriveService;
use crate::store::{DeadLetterStore, set_aside};
use milletturn_engine::archive::ArchivedMessage;
use milletturn_engine::{Clock, Input, RedriveOrder, RedriveOutcome, RedriveRequest};
use milletturn_logging::log;
use milletturn_policy::{Effect, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Messages that wait for the thread, with their bodies: 64 of 64 KiB are 4 MiB at the very worst. A message that finds
/// the queue full stays in the journal and is offered again.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Other jobs that wait for the thread; commands wait for their answers, so there are few.
const MAX_QUEUED_JOBS: usize = 256;
/// Jobs that are done before the queue of messages is looked at again.
const JOBS_PER_TURN: usize = 64;
/// Messages that one transaction saves: more spread the cost of a sync, fewer delay commands less.
const SAVE_BATCH: usize = 64;
/// How often rules are evaluated.
const RULE_INTERVAL: Duration = Duration::from_millis(250);
/// How often resolved messages are checked for their age.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);
/// Backoff after a fault of the file, before the same batch is tried again.
const FAULT_BACKOFF: Duration = Duration::from_secs(1);
/// Backoff while the store is full.
const FULL_BACKOFF: Duration = Duration::from_secs(10);

/// What the store's thread needs to start.
pub struct StoreWorkerOptions {
    /// The state folder.
    pub state_dir: PathBuf,
    /// The store's settings.
    pub config: Config,
    /// What a repeat of each class does, by its name.
    pub effects: BTreeMap<String, Effect>,
    /// The numbers of the messages that the journal has to be sent again.
    pub redriving: BTreeSet<u64>,
    /// The journal lost nothing.
    pub journal_intact: bool,
    /// The engine's clock.
    pub clock: Clock,
    /// The engine's inputs.
    pub engine: mpsc::UnboundedSender<Input>,
    /// Bytes that the store and a file set aside may take up together.
    pub max_total_bytes: u64,
}

/// The store's running thread, as the program sees it. The thread ends when all senders of jobs are dropped.
#[derive(Debug)]
pub struct StoreWorker {
    /// The queue of jobs.
    pub jobs: SyncSender<Job>,
    messages: SyncSender<Box<ArchivedMessage>>,
    /// Greater than the number of any message in the store.
    pub first_number: u64,
    store_returned: bool,
}

impl StoreWorker {
    /// Opens the store and starts its thread. A damaged file is set aside, and a new one begun. The rows are verified
    /// on the thread: until that is done, what fails stays in the journal.
    ///
    /// # Errors
    /// When there is no store that can be used; then what fails can't be saved.
    pub fn start(options: StoreWorkerOptions) -> Result<Self, StoreError> {
        let path = options.state_dir.join(&options.config.file);
        let (store, last_number) =
            open_or_replace(&path, &options.config, options.max_total_bytes)?;
        let (jobs, received_jobs) = sync_channel(MAX_QUEUED_JOBS);
        let (messages, received_messages) = sync_channel(MAX_QUEUED_MESSAGES);
        let store_returned = options.config.store_returned;
        let thread = std::thread::Builder::new().name("undelivered".to_string());
        let spawned =
            thread.spawn(move || run(options, &path, store, &received_jobs, &received_messages));
        if let Err(error) = spawned {
            log(format_args!("undelivered: no thread: {error}"));
        }
        Ok(StoreWorker {
            jobs,
            messages,
            first_number: last_number + 1,
            store_returned,
        })
    }

    /// The engine's archive.
    #[must_use]
    pub fn archive_handle(&self) -> ArchiveHandle {
        ArchiveHandle {
            messages: self.messages.clone(),
            jobs: self.jobs.clone(),
            store_returned: self.store_returned,
        }
    }

    /// An observer of attempts, in front of another observer.
    pub fn observer<O>(&self, next: O) -> AttemptObserver<O> {
        AttemptObserver {
            jobs: self.jobs.clone(),
            next,
        }
    }
}

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

/// Sets a damaged file aside and begins a new one, if there is space for both.
fn replace(
    path: &Path,
    config: &Config,
    max_total_bytes: u64,
    error: &StoreError,
) -> Result<DeadLetterStore, StoreError> {
    log(format_args!("undelivered: {error}"));
    let damaged = |what: String| StoreError::Damaged {
        path: path.to_path_buf(),
        what,
    };
    let size = std::fs::metadata(path).map_or(0, |file| file.len());
    if size.saturating_add(2 * config.max_bytes) > max_total_bytes {
        return Err(damaged(
            "there is no room to set it aside; move it away".to_string(),
        ));
    }
    let aside =
        set_aside(path).map_err(|error| damaged(format!("it could not be set aside: {error}")))?;
    log(format_args!(
        "undelivered: set aside as {}; nothing is sent from it, and a new store begins",
        aside.display()
    ));
    DeadLetterStore::open(path, RedriveService::limits(config))
}

/// Verifies and recovers the store; a damaged one is replaced.
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
            replace(path, &options.config, options.max_total_bytes, &error).map(new_service)
        }
        Err(error) => Err(error),
    }
}

/// The thread: does jobs, saves messages, evaluates rules and prunes, until all senders of jobs are dropped.
fn run(
    options: StoreWorkerOptions,
    path: &Path,
    store: DeadLetterStore,
    jobs: &Receiver<Job>,
    messages: &Receiver<Box<ArchivedMessage>>,
) {
    // the engine's clock is tokio's, and this thread has no runtime: it advances the time by itself
    let (started_at, started) = (options.clock.now(), Instant::now());
    let now = || {
        let elapsed = Micros::try_from(started.elapsed().as_micros());
        started_at + elapsed.unwrap_or(Micros::MAX / 2)
    };
    let service = match recover(store, &options, path, now()) {
        Ok(service) => service,
        Err(error) => {
            log(format_args!(
                "undelivered: {error}; what fails from now on stays in the ledger"
            ));
            return;
        }
    };
    let mut worker = Worker {
        service,
        engine: options.engine,
        unsaved: Vec::new(),
        backoff_until: None,
    };
    let (mut ticked, mut pruned) = (Instant::now(), Instant::now());
    loop {
        match jobs.recv_timeout(RULE_INTERVAL) {
            Ok(job) => {
                worker.work(job, now());
                jobs.try_iter()
                    .take(JOBS_PER_TURN)
                    .for_each(|job| worker.work(job, now()));
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        worker.collect(messages);
        worker.save(now());
        if ticked.elapsed() >= RULE_INTERVAL {
            ticked = Instant::now();
            worker.tick(now());
        }
        if pruned.elapsed() >= PRUNE_INTERVAL {
            pruned = Instant::now();
            if let Err(error) = worker.service.prune(now()) {
                log(format_args!("undelivered: {error}"));
            }
        }
    }
}

/// The thread's own state.
struct Worker {
    service: RedriveService,
    engine: mpsc::UnboundedSender<Input>,
    /// Messages to save, at most [`SAVE_BATCH`].
    unsaved: Vec<ArchivedMessage>,
    backoff_until: Option<Instant>,
}

impl Worker {
    fn work(&mut self, job: Job, now: Micros) {
        let service = &mut self.service;
        match job {
            Job::Wake => {}
            Job::AttemptEnded {
                destination,
                succeeded,
            } => service.on_attempt_end(destination, succeeded, now),
            Job::List(call) => {
                call.respond(|list| service.list(&list.filter, list.after, list.limit));
            }
            Job::Get(call) => call.respond(|get| service.record(get.number, get.body)),
            Job::Stats(call) => call.respond(|()| service.stats(now)),
            Job::Redrive(call) => call.respond(|job| self.redrive(&job, now)),
            Job::Resolve(call) => call.respond(|job| {
                service.resolve(job.number, job.resolution, &job.actor, &job.reason, now)
            }),
        }
    }

    fn redrive(&mut self, job: &RedriveJob, now: Micros) -> Result<Redriven, RedriveError> {
        let record = self.service.record(job.number, BodyMode::Omit)?;
        let record = record.ok_or(Rejection::NotFound)?;
        let redriven = Redriven {
            until: match self.service.decide(&record.summary, now)? {
                RedriveDecision::AllowedUntil(until) => Some(until),
                _ => None,
            },
        };
        if job.dry_run {
            return Ok(redriven);
        }
        let order = self
            .service
            .request_redrive(job.number, &job.actor, &job.reason, now)?;
        match self.submit_redrive(order, now)? {
            RedriveOutcome::Accepted => Ok(redriven),
            other => Err(Rejection::Engine(other).into()),
        }
    }

    /// Submits a redrive to the engine and records what that made of it. The engine answers in its next turn and
    /// waits for nothing here, so neither can block the other.
    fn submit_redrive(
        &mut self,
        order: RedriveOrder,
        now: Micros,
    ) -> Result<RedriveOutcome, StoreError> {
        let (reply, answer) = oneshot::channel();
        let number = order.number;
        let request = Input::Redrive(RedriveRequest { order, reply });
        let sent = self.engine.send(request).is_ok();
        // no answer: the process ends, and the next one finds the message where the journal says it is
        let answer = if sent {
            answer.blocking_recv().ok()
        } else {
            None
        };
        let Some(answer) = answer else {
            return Ok(RedriveOutcome::Busy);
        };
        self.service.on_engine_answer(number, answer, now)?;
        Ok(answer)
    }

    /// Takes messages from their queue, as many as the next batch has capacity for.
    fn collect(&mut self, messages: &Receiver<Box<ArchivedMessage>>) {
        let capacity = SAVE_BATCH.saturating_sub(self.unsaved.len());
        self.unsaved
            .extend(messages.try_iter().take(capacity).map(|message| *message));
    }

    fn save(&mut self, now: Micros) {
        let backing_off = self
            .backoff_until
            .is_some_and(|until| Instant::now() < until);
        if self.unsaved.is_empty() || backing_off {
            return;
        }
        self.backoff_until = None;
        match self.service.save(&self.unsaved, now) {
            Ok(report) => {
                self.unsaved
                    .retain(|message| !report.saved.contains(&message.number));
                if report.unsaved > 0 {
                    log(format_args!(
                        "undelivered: the store is full of messages that nobody has settled; {} wait in the ledger",
                        report.unsaved
                    ));
                    self.backoff_until = Some(Instant::now() + FULL_BACKOFF);
                }
                let _ = self.engine.send(Input::Archived(report.saved));
            }
            Err(error) => {
                log(format_args!(
                    "undelivered: {error}; {} messages wait in the ledger",
                    self.unsaved.len()
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
