//! Delivery decisions for outbound messages to other companies' systems.
//!
//! The host passes [`Event`]s to a [`Sender`] (accepted messages, outcomes of attempts, updates of the endpoint
//! list, alarms) and carries out the [`Action`]s that it returns (send, cancel, reject, fail). The sender opens no
//! sockets and reads no clock. The same events always result in the same actions.
//!
//! ```
//! use milletturn_policy::{Action, Class, Effect, EndpointEntry, EndpointId, EndpointListKind, Event, MessageId,
//!     NewMessage, Sender, Settings};
//!
//! let mut settings = Settings::new(8, 100);
//! settings.classes.push(Class::new("notice", Effect::Repeatable, 2_000_000, 10_000_000));
//! let mut sender = Sender::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let events = [
//!     Event::EndpointList {
//!         list_kind: EndpointListKind::Full,
//!         entries: vec![EndpointEntry::new(EndpointId(1), 40)],
//!     },
//!     Event::Accepted(NewMessage::new(MessageId(5), 0, 40, 10_000_000)),
//! ];
//! sender.handle(1_000_000, &events, &mut actions);
//! assert!(matches!(actions[0], Action::Send { message: MessageId(5), endpoint: EndpointId(1), .. }));
//! # Ok::<(), milletturn_policy::SettingsError>(())
//! ```

#![expect(
    clippy::match_same_arms,
    clippy::needless_pass_by_value,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    reason = "the functions and the structs of flags mirror the decision rules and are not split up yet"
)]

mod attempt_end;
mod cleanup;
mod decide;
mod dispatch;
mod endpoint_list;
mod idle;
mod interface;
mod introspection;
pub mod outage_evidence;
mod reconfigure;
pub mod rejection_correlation;
mod scheduler;
mod state;
mod write_deadline;

pub use interface::*;
pub use state::Sender;
