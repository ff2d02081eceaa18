//! Lines of the simulator's text as events of the decision module.

use crate::base64::decode;
use crate::error::{Malformed, malformed};
use crate::fields::{Fields, outcome, parse_integer, parse_number};
use crate::interner::Interner;
use milletturn_platform_settings::{SettingNames, position};
use milletturn_policy::{
    EndpointEntry, EndpointId, EndpointListKind, EndpointStatus, Event, MessageId, NewMessage,
    Outcome,
};
use std::collections::BTreeMap;

/// The bit of a demand that says that its client hands the message in once more.
const RESUBMITTED_BIT: u64 = 2;
/// The bit of a demand that says that the message comes from a sender that is gone.
const FROM_FAILED_SENDER_BIT: u64 = 16;

/// Lists of endpoints by their numbers, each row as its text.
pub(crate) type EndpointLists = BTreeMap<u64, Vec<String>>;

/// What the lines of one instance name.
#[derive(Default)]
pub(crate) struct EventNames {
    /// Zones, kinds of machines, tenants and classes, from its settings.
    pub(crate) settings: SettingNames,
    /// Its messages.
    pub(crate) messages: Interner,
    /// Its endpoints.
    pub(crate) endpoints: Interner,
}

impl EventNames {
    fn message(&mut self, fields: &mut Fields) -> Result<MessageId, Malformed> {
        let name = fields.text("a message id")?;
        Ok(MessageId(self.messages.number(name)))
    }

    fn endpoint(&mut self, fields: &mut Fields) -> Result<EndpointId, Malformed> {
        let name = fields.text("an endpoint")?;
        Ok(EndpointId(self.endpoints.number(name) as u32))
    }

    /// The event of a line whose kind and instance have been read.
    pub(crate) fn event(
        &mut self,
        kind: &str,
        fields: &mut Fields,
        lists: &EndpointLists,
    ) -> Result<Event, Malformed> {
        match kind {
            "announce" => self.endpoint_list(fields, lists),
            "demand" => self.new_message(fields),
            "first_byte" => self.started(fields),
            "outcome" => self.ended(fields),
            "dropped" => Ok(Event::Cancelled(self.message(fields)?)),
            "echo" => self.health_checked(fields),
            "heard" => {
                let from = fields.integer("a sender's number")? as u32;
                let bytes = decode(fields.text("bytes")?)?;
                Ok(Event::GossipReceived { from, bytes })
            }
            _ => {
                fields.text("a token")?;
                Ok(Event::Alarm)
            }
        }
    }

    fn started(&mut self, fields: &mut Fields) -> Result<Event, Malformed> {
        let message = self.message(fields)?;
        fields.number("a latency")?;
        let attempt = fields.integer("an attempt")? as usize;
        fields.text("an endpoint")?;
        Ok(Event::ResponseStarted { message, attempt })
    }

    fn ended(&mut self, fields: &mut Fields) -> Result<Event, Malformed> {
        let message = self.message(fields)?;
        let attempt = fields.integer("an attempt")? as usize;
        let endpoint = self.endpoint(fields)?;
        let name = fields.outcome_name()?;
        let latency = fields.time("a latency")?;
        let closed = fields.flag("1 or 0")?;
        let remark = fields
            .optional("a remark")?
            .map_or(Ok(0.0), |text| parse_number(text, "a remark"))?;
        let report = fields.report()?;
        Ok(Event::AttemptEnded {
            message,
            attempt,
            endpoint,
            outcome: outcome(name, remark),
            latency,
            message_closed: closed,
            report,
            ambiguous: false,
        })
    }

    fn health_checked(&mut self, fields: &mut Fields) -> Result<Event, Malformed> {
        fields.number("a latency")?;
        let endpoint = self.endpoint(fields)?;
        let outcome: Outcome = outcome(fields.outcome_name()?, 0.0);
        let report = fields.report()?;
        Ok(Event::Probed {
            endpoint,
            outcome,
            report,
        })
    }

    fn new_message(&mut self, fields: &mut Fields) -> Result<Event, Malformed> {
        let id = self.message(fields)?;
        let time_left = fields.time("time left")?;
        let tenant = fields
            .optional("an owner")?
            .map(|name| position(&self.settings.tenants, name));
        let key = fields
            .optional("a key")?
            .map(|text| parse_integer(text, "a key"))
            .transpose()?;
        let bits = fields
            .optional("bits")?
            .map_or(Ok(0), |text| parse_integer(text, "bits"))?;
        let destination = fields.integer("a destination")?;
        fields
            .optional("a cost")?
            .map(|text| parse_number(text, "a cost"))
            .transpose()?;
        let class = position(&self.settings.classes, fields.text("a class")?);
        Ok(Event::Accepted(NewMessage {
            id,
            class,
            destination,
            time_left,
            key,
            tenant,
            resubmitted: bits & RESUBMITTED_BIT != 0,
            from_lost_sender: bits & FROM_FAILED_SENDER_BIT != 0,
            deferred: false,
        }))
    }

    fn endpoint_list(
        &mut self,
        fields: &mut Fields,
        lists: &EndpointLists,
    ) -> Result<Event, Malformed> {
        let listing = match fields.text("a kind of announcement")? {
            "delta" => EndpointListKind::Changes,
            "full" => EndpointListKind::Full,
            "cached" => EndpointListKind::Cached,
            "failed" => return Ok(Event::EndpointListFailed),
            other => return malformed("delta, full, cached or failed", other),
        };
        let number = fields.integer("a list number")?;
        let Some(rows) = lists.get(&number) else {
            return malformed("a list sent before", &number.to_string());
        };
        let mut entries = Vec::with_capacity(rows.len());
        for row in rows {
            entries.push(self.endpoint_row(row)?);
        }
        Ok(Event::EndpointList {
            kind: listing,
            entries,
        })
    }

    /// One endpoint of a list.
    pub(crate) fn endpoint_row(&mut self, row: &str) -> Result<EndpointEntry, Malformed> {
        let mut fields = Fields::new(row);
        let endpoint = self.endpoint(&mut fields)?;
        let zone = position(&self.settings.zones, fields.text("a zone")?) as u16;
        let kind = position(&self.settings.kinds, fields.text("a kind")?);
        let destination = fields.integer("a destination")?;
        let status = match fields.text("a status")? {
            "SERVING" => EndpointStatus::Serving,
            "DRAINING" => EndpointStatus::Draining,
            "DELETED" => EndpointStatus::Removed,
            other => return malformed("SERVING, DRAINING or DELETED", other),
        };
        let weight = fields
            .optional("a weight")?
            .map_or(Ok(0.0), |text| parse_number(text, "a weight"))?;
        Ok(EndpointEntry {
            endpoint,
            destination,
            zone,
            kind,
            status,
            weight,
        })
    }
}
