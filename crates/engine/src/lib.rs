//! The engine of the sender: owns the accepted messages and carries out what the decision module decides.
//!
//! The decision module (the package `milletturn-policy`) is deterministic and does no I/O: it receives events and
//! returns actions. The engine works in turns. In each turn, all inputs that are ready become events, the decision
//! module handles them in one call, and its actions become calls, replies and notifications. This package opens no
//! sockets and no files, and reads no wall clock. It reaches everything outside through these ports:
//!
//! | port | what it does | module |
//! | --- | --- | --- |
//! | ingress | submits messages ([`Arrival`]) and receives an [`ArrivalOutcome`] for each | [`ingress`] |
//! | notifications | receives the final outcome of each accepted message that is not delivered ([`Notification`]) | [`ingress`] |
//! | transport | makes calls to endpoints ([`Transport`], [`Call`], [`AttemptEnd`]) | [`transport`] |
//! | endpoint list | reports which endpoints exist ([`EndpointListUpdate`]) | [`endpoint_list`] |
//! | journal | records what must survive the process ([`Journal`]) | [`journal`] |
//! | dead letters | stores undelivered messages and requests redrives ([`DeadLetterSink`], [`RedriveRequest`]) | [`dead_letter_sink`] |
//! | observer | receives engine events for logs and metrics ([`Observer`], [`EngineEvent`]) | [`observer`] |
//!
//! Behind the ports, each module holds one part of the [`Engine`]'s work:
//!
//! | module | what it holds |
//! | --- | --- |
//! | `engine` | the engine's state and the steps of a turn |
//! | `input` | the inputs of the engine and their handlers |
//! | `arrivals` | admission of a message, its journal entry and the reply to its client |
//! | `calls` | batches of attempts, calls in flight, cancellations |
//! | `endings` | ends of attempts and messages, and notifications |
//! | `retention` | when the journal may drop a message that has ended |
//! | `redrive` | messages of the dead-letter store that are sent again |
//! | `recovery` | the start from the journal of an earlier process |
//! | `reconfiguration` | new settings and endpoint lists |
//! | `snapshot` | the state that one process passes to the next in a hot restart |
//! | `message`, `message_table`, `classes`, `endpoints`, `delivered` | the state of one message, and the tables of messages, classes, endpoints and delivered ids |
//!
//! Every input reaches the engine as an [`Input`] on one channel. Under tokio's paused clock and with deterministic
//! test doubles for the ports, the engine runs in virtual time, and runs with equal inputs and seeds are identical.

mod arrivals;
mod calls;
mod classes;
mod clock;
pub mod dead_letter_sink;
mod endings;
pub mod endpoint_list;
mod endpoints;
mod engine;
pub mod ingress;
mod input;
pub mod journal;
mod message;
mod message_table;
pub mod observer;
mod ports;
mod recent_ids;
mod reconfiguration;
mod recovery;
mod redrive;
mod retention;
mod shared_str;
mod snapshot;
pub mod transport;

pub use clock::Clock;
pub use dead_letter_sink::{
    AttemptRecord, DeadLetterSink, EndReason, RedriveOrder, RedriveOutcome, RedriveRequest,
    UncertainAttempt,
};
pub use endpoint_list::{EndpointListUpdate, ListedEndpoint};
pub use engine::Engine;
pub use ingress::{Arrival, ArrivalOutcome, MAX_BODY_BYTES, Notification};
pub use input::{EngineStatus, Input};
pub use journal::{
    Accepted, AttemptStarted, Ending, Journal, JournalError, MessageEnd, RecentlyEnded, Unfinished,
};
pub use observer::{EngineEvent, Observer};
pub use ports::Ports;
pub use shared_str::{SharedStr, SharedStrError, stable_hash};
pub use snapshot::{ForeignCall, RestoredEngine, Snapshot};
pub use transport::{
    AttemptEnd, Attribution, Call, CallItem, CloseReason, ConnectionUse, EndCause, Transport,
    UnsolicitedData,
};
