//! Starts a sender's engine, either new or, in a hot restart, restored from the predecessor's snapshot.

use super::SenderOptions;
use super::listener::ConnectionLimits;
use super::running::SharedHandles;
use super::takeover::{Predecessor, with_reserved_permits};
use milletturn_dead_letter::store_worker::StoreWorker;
use milletturn_engine::{
    Clock, DeadLetterSink, Engine, Notification, Observer, Ports, RestoredEngine,
};
use milletturn_hot_restart::forwarded_classes::ForwardedClasses;
use milletturn_journal::FileJournal;
use milletturn_logging::log;
use milletturn_platform::http_transport::HttpTransport;
use milletturn_policy::Settings;
use std::error::Error;
use tokio::sync::{mpsc, watch};

/// The components that an engine uses and that are started before it.
pub(super) struct EngineParts {
    pub(super) clock: Clock,
    pub(super) journal: FileJournal,
    pub(super) store_worker: Option<StoreWorker>,
    pub(super) transport: HttpTransport,
    pub(super) notifications: mpsc::UnboundedSender<Notification>,
    pub(super) observer: Box<dyn Observer>,
    pub(super) ready: watch::Sender<bool>,
}

impl EngineParts {
    /// Builds the engine's ports from these parts and the options. Moves the zones, kinds and cached endpoints out of
    /// the options, because only the engine needs them.
    pub(super) fn into_ports(self, options: &mut SenderOptions) -> Ports {
        let store_worker = self.store_worker.as_ref();
        Ports {
            settings: options.settings.clone(),
            seed: options.seed,
            zones: std::mem::take(&mut options.zones),
            kinds: std::mem::take(&mut options.kinds),
            clock: self.clock,
            cached_endpoints: options.cached_endpoints.take(),
            journal: Box::new(self.journal),
            dead_letters: store_worker
                .map(|worker| Box::new(worker.sink()) as Box<dyn DeadLetterSink>),
            first_message_number: store_worker
                .map_or(0, |worker| worker.first_number)
                .max(options.first_message_number),
            transport: Box::new(self.transport),
            notify_delivered: options.notify_delivered,
            notifications: self.notifications,
            observer: self.observer,
            ready: self.ready,
        }
    }
}

/// Starts an engine, from the predecessor's snapshot if there is one.
pub(super) fn start_engine(
    name: &str,
    ports: Ports,
    settings: Settings,
    predecessor: Option<Predecessor>,
    handles: &SharedHandles,
    limits: &ConnectionLimits,
) -> Result<Engine, Box<dyn Error>> {
    let Some(predecessor) = predecessor else {
        return Ok(Engine::new(ports)?);
    };
    if predecessor.is_drained {
        handles.gate.drain();
    }
    let forwarded_classes = ForwardedClasses::new(
        predecessor.snapshot.class_names().to_vec(),
        handles.classes.clone(),
    );
    let RestoredEngine {
        mut engine,
        foreign_calls,
    } = Engine::restore(predecessor.snapshot, ports)?;
    // the configuration file may have changed since the predecessor read it
    let positions = engine.reconfigure(settings.clone())?;
    handles
        .classes
        .replace(positions.into_iter().zip(settings.classes));
    log(format_args!(
        "{name}: takes over, {} calls out in the process before",
        foreign_calls.len()
    ));
    let receiving =
        predecessor
            .bridge
            .run(foreign_calls, handles.inputs.clone(), forwarded_classes);
    tokio::task::spawn_local(with_reserved_permits(
        receiving,
        limits.clone(),
        predecessor.in_use,
    ));
    Ok(engine)
}
