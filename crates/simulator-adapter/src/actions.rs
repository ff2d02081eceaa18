//! Writes the decision module's actions as lines of the simulator's protocol.

use crate::base64::encode;
use crate::interner::Interner;
use milletturn_policy::{Action, EndpointId, MessageId, Micros, SECOND};
use std::fmt::{self, Write as _};

/// Displays a time in seconds with six decimal places.
struct Seconds(Micros);

impl fmt::Display for Seconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / SECOND, self.0 % SECOND)
    }
}

/// The names of one instance, its messages and its endpoints, as they appear in the lines of its actions.
pub(crate) struct ActionNames<'a> {
    /// The name of the instance whose actions are written.
    pub(crate) instance: &'a str,
    /// The names of the instance's messages.
    pub(crate) messages: &'a Interner,
    /// The names of the instance's endpoints.
    pub(crate) endpoints: &'a Interner,
}

impl ActionNames<'_> {
    fn message_name(&self, id: MessageId) -> &str {
        self.messages.name(id.0)
    }

    fn endpoint_name(&self, id: EndpointId) -> &str {
        self.endpoints.name(u64::from(id.0))
    }

    /// Appends one action as a line to `reply`.
    pub(crate) fn write(&self, reply: &mut String, action: &Action) {
        let id = self.instance;
        let written = match action {
            Action::Send {
                message,
                endpoint,
                expires_at,
            } => {
                let (message_name, endpoint_name) =
                    (self.message_name(*message), self.endpoint_name(*endpoint));
                let expiry = Seconds(*expires_at);
                writeln!(reply, "issue {id} {message_name} {expiry} {endpoint_name}")
            }
            Action::Cancel { message, attempt } => {
                writeln!(
                    reply,
                    "withdraw {id} {} {attempt}",
                    self.message_name(*message)
                )
            }
            Action::Reject {
                message,
                retry_after,
            } => {
                let message_name = self.message_name(*message);
                match retry_after {
                    Some(delay) => writeln!(reply, "shed {id} {message_name} {}", Seconds(*delay)),
                    None => writeln!(reply, "shed {id} {message_name} -"),
                }
            }
            Action::Fail(message) => {
                writeln!(reply, "report_failure {id} {}", self.message_name(*message))
            }
            Action::SetAlarm(at) => writeln!(reply, "set_alarm {id} {} wake", Seconds(*at)),
            Action::Probe(endpoint) => {
                writeln!(reply, "health_check {id} {}", self.endpoint_name(*endpoint))
            }
            Action::CloseIdleConnections(endpoint) => {
                writeln!(reply, "disconnect {id} {}", self.endpoint_name(*endpoint))
            }
            Action::Subscribe => writeln!(reply, "listen {id} 1"),
            Action::Gossip(bytes) => writeln!(reply, "publish {id} -1 {}", encode(bytes)),
            Action::Log(text) => {
                writeln!(reply, "record {id} {}", text.replace(['\n', '\r'], " "))
            }
        };
        written.expect("writing to a string does not fail");
    }
}
