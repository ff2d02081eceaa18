//! The engine of the sender: it owns the messages and the decision module, and knows the world by ports only.
//!
//! The engine works in turns. All inputs that are ready become events, the decision module is asked once, and its
//! actions become calls, replies and notifications. This package opens no sockets and no files, and reads no wall
//! clock. Its ports are:
//!
//! | port | what it does | module |
//! | --- | --- | --- |
//! | ingress | hands messages in ([`Arrival`]) and gets an [`ArrivalOutcome`] for each | [`ingress`] |
//! | notifications | gets the one final outcome of each accepted message that is not delivered ([`Notification`]) | [`ingress`] |
//! | transport | makes calls to endpoints ([`Transport`], [`Call`], [`AttemptEnd`]) | [`transport`] |
//! | endpoint list | says which endpoints there are ([`EndpointListUpdate`]) | [`endpoint_list`] |
//! | journal | records what must outlast the process ([`Journal`]) | [`journal`] |
//! | archive | stores undelivered messages and requests redrives ([`Archive`], [`RedriveRequest`]) | [`archive`] |
//! | observer | is told what happens ([`Observer`], [`EngineEvent`]) | [`observer`] |
//!
//! Behind the ports, each module holds one part of the [`Engine`]'s work:
//!
//! | module | what it holds |
//! | --- | --- |
//! | `engine` | the state, and the order of a turn |
//! | `input` | everything that reaches the engine, and where it goes |
//! | `arrivals` | admission, the journal entry of a message, and the reply to its client |
//! | `calls` | bundles of attempts, calls in flight, cancellations |
//! | `endings` | ends of attempts and messages, and notifications |
//! | `retention` | what the journal waits for before it releases an ended message |
//! | `redrive` | messages that come back from the archive |
//! | `recovery` | the start from the journal of an earlier process |
//! | `reconfiguration` | new settings and endpoint lists |
//! | `snapshot` | the state that a hot restart hands on |
//! | `message`, `message_table`, `classes`, `endpoints`, `delivered` | the records |
//!
//! All that reaches the engine is an [`Input`] on one channel. Under tokio's paused clock, with test doubles for the
//! ports, it runs in virtual time and the same way each time.

pub mod archive;
mod arrivals;
mod calls;
mod classes;
mod clock;
mod delivered;
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
mod reconfiguration;
mod recovery;
mod redrive;
mod retention;
mod shared_str;
mod snapshot;
pub mod transport;

pub use archive::{
    Archive, AttemptRecord, EndReason, RedriveOrder, RedriveOutcome, RedriveRequest,
    UncertainAttempt,
};
pub use clock::Clock;
pub use endpoint_list::{EndpointListUpdate, ListedEndpoint};
pub use engine::Engine;
pub use ingress::{Arrival, ArrivalOutcome, MAX_BODY_BYTES, Notification};
pub use input::{EngineStatus, Input};
pub use journal::{
    Accepted, AttemptStarted, Ending, Journal, JournalError, MessageEnd, Unfinished,
};
pub use observer::{EngineEvent, Observer};
pub use ports::Ports;
pub use shared_str::{SharedStr, SharedStrError, stable_hash};
pub use snapshot::{ForeignCall, RestoredEngine, Snapshot};
pub use transport::{
    AttemptEnd, Attribution, Call, CallItem, CloseReason, ConnectionUse, EndCause, Transport,
    UnsolicitedData,
};
