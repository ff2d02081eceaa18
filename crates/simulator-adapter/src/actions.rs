//! The decision module's actions as lines of the simulator's text.

use crate::base64::encode;
use crate::interner::Interner;
use milletturn_policy::{Action, EndpointId, MessageId, Micros, SECOND};
use std::fmt::{self, Write as _};

/// A time in seconds with six digits behind the point.
struct Seconds(Micros);

impl fmt::Display for Seconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / SECOND, self.0 % SECOND)
    }
}

/// Names of messages and endpoints, to write instead of their numbers.
pub(crate) struct ActionNames<'a> {
    /// The instance that acts.
    pub(crate) instance: &'a str,
    /// Its messages.
    pub(crate) messages: &'a Interner,
    /// Its endpoints.
    pub(crate) endpoints: &'a Interner,
}

impl ActionNames<'_> {
    fn message(&self, id: MessageId) -> &str {
        self.messages.name(id.0)
    }

    fn endpoint(&self, id: EndpointId) -> &str {
        self.endpoints.name(u64::from(id.0))
    }

    /// Appends the line of one action to a reply.
    pub(crate) fn write(&self, reply: &mut String, action: &Action) {
        let id = self.instance;
        let written = match action {
            Action::Send {
                message,
                endpoint,
                expires_at: expires,
            } => {
                let (message, endpoint) = (self.message(*message), self.endpoint(*endpoint));
                let expires = Seconds(*expires);
                writeln!(reply, "issue {id} {message} {expires} {endpoint}")
            }
            Action::Cancel { message, attempt } => {
                writeln!(reply, "withdraw {id} {} {attempt}", self.message(*message))
            }
            Action::Reject {
                message,
                retry_after: wait,
            } => {
                let message = self.message(*message);
                match wait {
                    Some(wait) => writeln!(reply, "shed {id} {message} {}", Seconds(*wait)),
                    None => writeln!(reply, "shed {id} {message} -"),
                }
            }
            Action::Fail(message) => {
                writeln!(reply, "report_failure {id} {}", self.message(*message))
            }
            Action::SetAlarm(at) => writeln!(reply, "set_alarm {id} {} wake", Seconds(*at)),
            Action::Probe(endpoint) => {
                writeln!(reply, "health_check {id} {}", self.endpoint(*endpoint))
            }
            Action::CloseIdleConnections(endpoint) => {
                writeln!(reply, "disconnect {id} {}", self.endpoint(*endpoint))
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
