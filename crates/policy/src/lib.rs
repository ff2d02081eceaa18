//! Delivery decisions for outbound messages to other firms' systems.
//!
//! A [`Sender`] is told what happens (messages handed in, outcomes of calls, news of the endpoint
//! list, alarms) and answers with what to do (send, cancel, refuse, fail). It opens no sockets and
//! reads no clock: the program that hosts it does both. The same events always give the same actions.
//!
//! ```
//! use milletturn_policy::{Action, Class, Effect, EndpointEntry, Event, EndpointId, EndpointListKind, MessageId, NewMessage,
//!     Sender, Settings};
//!
//! let mut settings = Settings::new(8, 100);
//! settings.classes.push(Class::new("notice", Effect::Repeatable, 2_000_000, 10_000_000));
//! let mut sender = Sender::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let events = [
//!     Event::EndpointList { kind: EndpointListKind::Full, entries: vec![EndpointEntry::new(EndpointId(1), 40)] },
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
    reason = "names and shape of this package have not had their turn yet"
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

pub use interface::*;
pub use state::Sender;
