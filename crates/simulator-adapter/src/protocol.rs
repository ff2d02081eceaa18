//! The simulator's text protocol: reads batches of events, passes each event to its instance of the decision module,
//! and writes the actions of the instances.
//!
//! A batch is a line `batch TIME`, lines with endpoint lists and events, and the line `eof_batch`. The reply is one
//! line for each action, followed by the line `ready`. All decisions are made by the instances, which are independent
//! of each other.

use crate::actions::ActionNames;
pub use crate::error::ProtocolError;
use crate::error::{Malformed, malformed};
use crate::events::{EndpointLists, EventNames};
use crate::fields::Fields;
use crate::input::LineReader;
use milletturn_platform_settings::{RawSettings, read_settings};
use milletturn_policy::{Action, Event, Micros, Sender};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// The line that ends a batch.
const END_OF_BATCH: &str = "eof_batch";
/// The line that ends a reply.
const END_OF_REPLY: &str = "ready\n";
/// The kinds of events that concern one instance. `begin` starts the instance and `crash_now` ends it.
const INSTANCE_EVENT_KINDS: [&str; 10] = [
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

/// One instance of the decision module, with its names and the events that it handles at the end of the batch.
struct Instance {
    sender: Sender,
    names: EventNames,
    events: Vec<Event>,
}

/// Runs the instances of one process: reads events for them, and writes their actions.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<String, Instance>,
    lists: EndpointLists,
    /// The instances that take a turn at the end of the current batch, ordered by their first event or start in it.
    turn_order: Vec<String>,
    actions: Vec<Action>,
}

impl Host {
    /// Creates a host without instances; `begin` events start them.
    #[must_use]
    pub fn new() -> Self {
        Host::default()
    }

    /// Reads batches until the input ends, and writes one reply to each.
    ///
    /// # Errors
    /// When a line is malformed, the input ends inside a batch, or reading or writing fails.
    pub fn run(
        &mut self,
        input: impl BufRead,
        mut output: impl Write,
    ) -> Result<(), ProtocolError> {
        let mut lines = LineReader::new(input);
        let mut reply = String::new();
        while lines.advance()? {
            if lines.text().is_empty() {
                continue;
            }
            let now = lines.with_line_number(parse_batch_time(lines.text()))?;
            self.read_batch(&mut lines)?;
            reply.clear();
            self.take_turns(now, &mut reply);
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
        Ok(())
    }

    fn read_batch(&mut self, lines: &mut LineReader<impl BufRead>) -> Result<(), ProtocolError> {
        self.turn_order.clear();
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
                lines.with_line_number(read)?;
            }
        }
    }

    /// Reads an endpoint list: its head, which is the current line, and its rows.
    fn read_list(&mut self, lines: &mut LineReader<impl BufRead>) -> Result<(), ProtocolError> {
        let (number, row_count) = lines.with_line_number(parse_list_head(lines.text()))?;
        let mut rows = Vec::new();
        for _ in 0..row_count {
            if !lines.advance()? {
                return Err(lines.error("a row", "end of input"));
            }
            let Some(row) = lines.text().strip_prefix("row ") else {
                return Err(lines.error("a row", lines.text()));
            };
            lines.with_line_number(EventNames::default().parse_endpoint_row(row))?;
            rows.push(row.to_string());
        }
        self.lists.insert(number, rows);
        Ok(())
    }

    fn read_event(&mut self, line: &str) -> Result<(), Malformed> {
        let mut fields = Fields::new(line);
        let kind = fields.text("an event kind")?;
        if !INSTANCE_EVENT_KINDS.contains(&kind) {
            return malformed("a known event kind", kind);
        }
        let id = fields.text("an instance")?;
        if kind == "begin" {
            return self.start_instance(id, &mut fields, line);
        }
        let Some(instance) = self.instances.get_mut(id) else {
            return malformed("a running instance", id);
        };
        if kind == "crash_now" {
            self.instances.remove(id);
            self.turn_order.retain(|name| name != id);
            return Ok(());
        }
        let event = instance.names.parse_event(kind, &mut fields, &self.lists)?;
        instance.events.push(event);
        if !self.turn_order.iter().any(|name| name == id) {
            self.turn_order.push(id.to_string());
        }
        Ok(())
    }

    fn start_instance(
        &mut self,
        id: &str,
        fields: &mut Fields,
        line: &str,
    ) -> Result<(), Malformed> {
        let seed = fields.integer("a seed")?;
        let settings_text = line.splitn(4, ' ').nth(3).unwrap_or("");
        let raw = RawSettings(
            settings_text
                .split(' ')
                .filter_map(|pair| pair.split_once('='))
                .collect(),
        );
        let invalid_settings = |expected: String| Malformed {
            expected,
            found: "begin".to_string(),
        };
        let (settings, names) = read_settings(&raw).map_err(|e| invalid_settings(e.to_string()))?;
        let sender = Sender::new(settings, seed).map_err(|e| invalid_settings(e.to_string()))?;
        let instance = Instance {
            sender,
            names: EventNames {
                settings: names,
                ..EventNames::default()
            },
            events: Vec::new(),
        };
        self.instances.insert(id.to_string(), instance);
        self.turn_order.retain(|name| name != id);
        self.turn_order.push(id.to_string());
        Ok(())
    }

    /// Runs a turn of each instance that has one in this batch, and appends the actions to `reply`.
    fn take_turns(&mut self, now: Micros, reply: &mut String) {
        for id in &self.turn_order {
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

/// Parses the first line of a batch, which holds its time.
fn parse_batch_time(line: &str) -> Result<Micros, Malformed> {
    let mut fields = Fields::new(line);
    match fields.text("batch")? {
        "batch" => fields.time("a time"),
        other => malformed("batch", other),
    }
}

/// Parses the first line of an endpoint list into the list's number and its number of rows.
fn parse_list_head(line: &str) -> Result<(u64, u64), Malformed> {
    let mut fields = Fields::new(line.strip_prefix("manifest ").unwrap_or(line));
    let number = fields.integer("a list number")?;
    let row_count = fields.integer("a count of rows")?;
    Ok((number, row_count))
}
