//! Starts the dead-letter store of a sender, and builds the observers of its engine.

use super::SenderOptions;
use crate::access_log;
use crate::logger::Logger;
use milletturn_access_log::AccessLogObserver;
use milletturn_admin::{Metrics, MetricsObserver};
use milletturn_dead_letter::control;
use milletturn_dead_letter::store_worker::{StoreWorker, StoreWorkerOptions};
use milletturn_engine::{Clock, Input, Journal, Observer};
use milletturn_journal::{FileJournal, Recovery};
use std::error::Error;
use std::path::Path;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Starts the worker of the dead-letter store, if the options have one.
pub(super) fn start(
    options: &SenderOptions,
    clock: Clock,
    journal: &FileJournal,
    recovery: &Recovery,
    inputs: &mpsc::UnboundedSender<Input>,
) -> Result<Option<StoreWorker>, Box<dyn Error>> {
    let Some(store) = &options.store else {
        return Ok(None);
    };
    let classes = options.settings.classes.iter();
    let unfinished = journal.unfinished().into_iter();
    Ok(Some(StoreWorker::start(StoreWorkerOptions {
        state_dir: options.state_dir.clone(),
        config: store.config.clone(),
        effects: classes
            .map(|class| (class.name.clone(), class.effect))
            .collect(),
        redriving: unfinished
            .filter(|(_, message)| message.redriven)
            .map(|(number, _)| number)
            .collect(),
        journal_intact: recovery.damaged_bytes == 0 && !recovery.created,
        clock,
        engine: inputs.clone(),
        max_total_bytes: store.max_total_bytes,
    })?))
}

/// Serves operators' commands on the store's control socket, if there is a store.
pub(super) fn serve_control(
    store_worker: Option<&StoreWorker>,
    state_dir: &Path,
) -> Result<(), Box<dyn Error>> {
    if let Some(store_worker) = store_worker {
        tokio::task::spawn_local(control::serve(
            control::listen(state_dir)?,
            store_worker.jobs.clone(),
        ));
    }
    Ok(())
}

/// Builds the chain of engine observers: metrics, the access log if enabled, the dead-letter store if there is one, and
/// the program's log.
pub(super) fn observer(
    store_worker: Option<&StoreWorker>,
    metrics: &Rc<Metrics>,
) -> Box<dyn Observer> {
    let next: Box<dyn Observer> = match store_worker {
        Some(store_worker) => Box::new(store_worker.observer(Logger::default())),
        None => Box::new(Logger::default()),
    };
    let next = if access_log::is_enabled() {
        Box::new(AccessLogObserver::new(next))
    } else {
        next
    };
    Box::new(MetricsObserver {
        metrics: metrics.clone(),
        next,
    })
}
