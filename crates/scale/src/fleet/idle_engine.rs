//! Runs the real engine in a simulated sender: the engine receives lists and settings as in a real sender, but has no
//! listener, no disk and no connection to an endpoint.

use super::counters::Mark;
use super::counters::SenderCounters;
use crate::Error;
use milletturn_coordination_protocol::clock::now;
use milletturn_engine::observer::NoopObserver;
use milletturn_engine::{
    Accepted, AttemptStarted, Call, CallItem, Clock, Engine, Input, Journal, JournalError,
    MessageEnd, Ports, Transport, Unfinished,
};
use milletturn_platform::config::Config;
use milletturn_policy::{EndpointId, Micros};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, spawn_local};

/// A journal and transport that do nothing, because no message is ever submitted.
struct NoopPorts;

impl Journal for NoopPorts {
    fn unfinished(&self) -> BTreeMap<u64, Unfinished> {
        BTreeMap::new()
    }
    fn record_accepted(&mut self, _: u64, _: Accepted) -> Result<(), JournalError> {
        Ok(())
    }
    fn record_redrive(
        &mut self,
        _: u64,
        _: Accepted,
        _: Option<AttemptStarted>,
    ) -> Result<(), JournalError> {
        Ok(())
    }
    fn record_attempt(&mut self, _: u64, _: &str, _: Micros) -> Result<(), JournalError> {
        Ok(())
    }
    fn record_never_ran(&mut self, _: u64, _: usize) -> Result<(), JournalError> {
        Ok(())
    }
    fn record_end(&mut self, _: u64, _: MessageEnd) -> Result<(), JournalError> {
        Ok(())
    }
    fn record_finished(&mut self, _: u64) -> Result<(), JournalError> {
        Ok(())
    }
    fn retry(&mut self) -> Result<(), JournalError> {
        Ok(())
    }
}

impl Transport for NoopPorts {
    fn start(&self, _: Call, _: mpsc::UnboundedReceiver<usize>) {}
    fn add_endpoint(&self, _: EndpointId, _: SocketAddr) {}
    fn remove_endpoint(&self, _: EndpointId) {}
    fn close_idle_connections(&self, _: EndpointId) {}
    fn evict_idle(&self) {}
    fn item_bytes(&self, _: &CallItem) -> usize {
        1
    }
    fn max_call_bytes(&self) -> usize {
        1
    }
}

/// Starts an engine that receives the sender's list updates. Each update is counted in `counters` before the engine
/// receives it. Returns the abort handles of the two tasks that it spawns.
///
/// # Errors
/// The engine rejects the settings.
pub fn start(
    config: &Config,
    mut list_inputs: mpsc::UnboundedReceiver<Input>,
    counters: Rc<RefCell<SenderCounters>>,
    current_mark: Rc<RefCell<Option<Mark>>>,
) -> Result<[AbortHandle; 2], Error> {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros();
    let mut engine = Engine::new(Ports {
        settings: config.settings.clone(),
        seed: config.seed,
        zones: config.names.zones.clone(),
        kinds: config.names.kinds.clone(),
        clock: Clock::new(i64::try_from(unix).unwrap_or(i64::MAX)),
        cached_endpoints: None,
        journal: Box::new(NoopPorts),
        dead_letters: None,
        first_message_number: 1,
        transport: Box::new(NoopPorts),
        notify_delivered: false,
        notifications: mpsc::unbounded_channel().0,
        observer: Box::new(NoopObserver),
        ready: watch::channel(false).0,
    })
    .map_err(|error| Error::Unexpected(error.to_string()))?;
    let (inputs, mut engine_inputs) = mpsc::unbounded_channel();
    let forwarding = spawn_local(async move {
        while let Some(input) = list_inputs.recv().await {
            if let Input::EndpointsListed(update) = &input {
                counters
                    .borrow_mut()
                    .record_update(now().0, update, *current_mark.borrow());
            }
            if inputs.send(input).is_err() {
                return;
            }
        }
    });
    let engine_task = spawn_local(async move { engine.run(&mut engine_inputs).await });
    Ok([forwarding.abort_handle(), engine_task.abort_handle()])
}
