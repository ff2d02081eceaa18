//! The simulator's text wire: reads batches of events, gives each to its instance, and writes their actions.
//!
//! Decides nothing. The instances of one process know nothing of each other.

use crate::actions::ActionNames;
pub use crate::error::ProtocolError;
use crate::error::{Malformed, malformed};
use crate::events::{EndpointLists, EventNames};
use crate::fields::Fields;
use crate::input::InputLines;
use milletturn_platform_settings::{RawSettings, read_settings};
use milletturn_policy::{Action, Event, Micros, Sender};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// The line that ends a batch.
const END_OF_BATCH: &str = "eof_batch";
/// The line that ends a reply.
const END_OF_REPLY: &str = "ready\n";
/// The kinds of lines that name an instance.
const KINDS: [&str; 10] = [
    "begin",
    "crash_now",
    "announce",
    "demand",
    "first_byte",
    "outcome",
    "dropped",
    "tick_due",
    "echo",
    "heard",
];

/// One instance: its module, its names and the events that wait for the end of the batch.
struct Instance {
    sender: Sender,
    names: EventNames,
    events: Vec<Event>,
}

/// Hosts the instances of one process and speaks the wire.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<String, Instance>,
    lists: EndpointLists,
    /// The instances with events in this batch, in the order of their first one.
    order: Vec<String>,
    actions: Vec<Action>,
}

impl Host {
    /// A host without instances.
    #[must_use]
    pub fn new() -> Self {
        Host::default()
    }

    /// Reads batches until the input ends, writing one reply to each.
    ///
    /// # Errors
    /// A malformed line, input that ends inside a batch, or a failed read or write.
    pub fn run(
        &mut self,
        input: impl BufRead,
        mut output: impl Write,
    ) -> Result<(), ProtocolError> {
        let mut lines = InputLines::new(input);
        let mut reply = String::new();
        while lines.advance()? {
            if lines.text().is_empty() {
                continue;
            }
            let now = lines.located(batch_time(lines.text()))?;
            self.read_batch(&mut lines)?;
            reply.clear();
            self.reply(now, &mut reply);
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
        Ok(())
    }

    fn read_batch(&mut self, lines: &mut InputLines<impl BufRead>) -> Result<(), ProtocolError> {
        self.order.clear();
        loop {
            if !lines.advance()? {
                return Err(lines.error_at_end(END_OF_BATCH));
            }
            if lines.text() == END_OF_BATCH {
                return Ok(());
            }
            if lines.text().starts_with("manifest ") {
                self.read_list(lines)?;
            } else {
                let read = self.read_event(lines.text());
                lines.located(read)?;
            }
        }
    }

    /// Reads a list of endpoints: its head, which is the last line read, and its rows.
    fn read_list(&mut self, lines: &mut InputLines<impl BufRead>) -> Result<(), ProtocolError> {
        let (number, row_count) = lines.located(list_head(lines.text()))?;
        let mut rows = Vec::new();
        for _ in 0..row_count {
            if !lines.advance()? {
                return Err(lines.error("a row", "end of input"));
            }
            let Some(row) = lines.text().strip_prefix("row ") else {
                return Err(lines.error("a row", lines.text()));
            };
            lines.located(EventNames::default().endpoint_row(row))?;
            rows.push(row.to_string());
        }
        self.lists.insert(number, rows);
        Ok(())
    }

    fn read_event(&mut self, line: &str) -> Result<(), Malformed> {
        let mut fields = Fields::new(line);
        let kind = fields.text("a message")?;
        if !KINDS.contains(&kind) {
            return malformed("a known message", kind);
        }
        let id = fields.text("an instance")?;
        if kind == "begin" {
            return self.begin(id, &mut fields, line);
        }
        let Some(instance) = self.instances.get_mut(id) else {
            return malformed("a running instance", id);
        };
        if kind == "crash_now" {
            self.instances.remove(id);
            self.order.retain(|name| name != id);
            return Ok(());
        }
        let event = instance.names.event(kind, &mut fields, &self.lists)?;
        instance.events.push(event);
        if !self.order.iter().any(|name| name == id) {
            self.order.push(id.to_string());
        }
        Ok(())
    }

    fn begin(&mut self, id: &str, fields: &mut Fields, line: &str) -> Result<(), Malformed> {
        let seed = fields.integer("a seed")?;
        let setup = line.splitn(4, ' ').nth(3).unwrap_or("");
        let texts = RawSettings(
            setup
                .split(' ')
                .filter_map(|pair| pair.split_once('='))
                .collect(),
        );
        let unusable = |expected: String| Malformed {
            expected,
            found: "begin".to_string(),
        };
        let (settings, names) = read_settings(&texts).map_err(|e| unusable(e.to_string()))?;
        let sender = Sender::new(settings, seed).map_err(|e| unusable(e.to_string()))?;
        let instance = Instance {
            sender,
            names: EventNames {
                settings: names,
                ..EventNames::default()
            },
            events: Vec::new(),
        };
        self.instances.insert(id.to_string(), instance);
        self.order.retain(|name| name != id);
        self.order.push(id.to_string());
        Ok(())
    }

    /// Lets each instance with events take its turn, and writes what it does.
    fn reply(&mut self, now: Micros, reply: &mut String) {
        for id in &self.order {
            let Some(instance) = self.instances.get_mut(id) else {
                continue;
            };
            let events = std::mem::take(&mut instance.events);
            self.actions.clear();
            instance.sender.handle(now, &events, &mut self.actions);
            let names = ActionNames {
                instance: id,
                messages: &instance.names.messages,
                endpoints: &instance.names.endpoints,
            };
            for action in &self.actions {
                names.write(reply, action);
            }
        }
        reply.push_str(END_OF_REPLY);
    }
}

/// The time of a batch, from its first line.
fn batch_time(line: &str) -> Result<Micros, Malformed> {
    let mut fields = Fields::new(line);
    match fields.text("batch")? {
        "batch" => fields.time("a time"),
        other => malformed("batch", other),
    }
}

/// The number of a list and of its rows, from its first line.
fn list_head(line: &str) -> Result<(u64, u64), Malformed> {
    let mut fields = Fields::new(line.strip_prefix("manifest ").unwrap_or(line));
    let number = fields.integer("a list number")?;
    let row_count = fields.integer("a count of rows")?;
    Ok((number, row_count))
}
