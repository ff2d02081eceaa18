//! Parses lines of the simulator's protocol into events of the decision module.

use crate::base64::decode;
use crate::error::{Malformed, malformed};
use crate::fields::{Fields, outcome_from, parse_integer, parse_number};
use crate::interner::Interner;
use milletturn_platform_settings::{SettingNames, position};
use milletturn_policy::{
    EndpointEntry, EndpointId, EndpointListKind, EndpointStatus, Event, MessageId, NewMessage,
    Outcome,
};
use std::collections::BTreeMap;

/// The bit of a `demand` event that marks a message which the client has submitted before.
const RESUBMITTED_BIT: u64 = 2;
/// The bit of a `demand` event that marks a message which was submitted before to a sender that is no longer running.
const FROM_LOST_SENDER_BIT: u64 = 16;

/// Endpoint lists by number; the rows of each list are unparsed text.
pub(crate) type EndpointLists = BTreeMap<u64, Vec<String>>;

/// The names that occur in the events of one instance, with their numbers in the decision module.
#[derive(Default)]
pub(crate) struct EventNames {
    /// Zones, kinds of destination, tenants and classes, from the instance's settings.
    pub(crate) settings: SettingNames,
    /// The instance's messages.
    pub(crate) messages: Interner,
    /// The instance's endpoints.
    pub(crate) endpoints: Interner,
}

impl EventNames {
    fn parse_message(&mut self, fields: &mut Fields) -> Result<MessageId, Malformed> {
        let name = fields.text("a message id")?;
        Ok(MessageId(self.messages.number(name)))
    }

    fn parse_endpoint(&mut self, fields: &mut Fields) -> Result<EndpointId, Malformed> {
        let name = fields.text("an endpoint")?;
        Ok(EndpointId(self.endpoints.number(name) as u32))
    }

    /// Parses the rest of an event whose kind and instance have been read.
    pub(crate) fn parse_event(
        &mut self,
        kind: &str,
        fields: &mut Fields,
        lists: &EndpointLists,
    ) -> Result<Event, Malformed> {
        match kind {
            "announce" => self.parse_endpoint_list(fields, lists),
            "demand" => self.parse_new_message(fields),
            "first_byte" => self.parse_response_started(fields),
            "outcome" => self.parse_attempt_ended(fields),
            "dropped" => Ok(Event::MessageCancelled(self.parse_message(fields)?)),
            "echo" => self.parse_probe_result(fields),
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

    fn parse_response_started(&mut self, fields: &mut Fields) -> Result<Event, Malformed> {
        let message = self.parse_message(fields)?;
        fields.number("a latency")?;
        let attempt = fields.integer("an attempt")? as usize;
        fields.text("an endpoint")?;
        Ok(Event::ResponseStarted { message, attempt })
    }

    fn parse_attempt_ended(&mut self, fields: &mut Fields) -> Result<Event, Malformed> {
        let message = self.parse_message(fields)?;
        let attempt = fields.integer("an attempt")? as usize;
        let endpoint = self.parse_endpoint(fields)?;
        let name = fields.outcome_name()?;
        let latency = fields.time("a latency")?;
        let message_closed = fields.flag("1 or 0")?;
        let detail = fields
            .optional("an outcome detail")?
            .map_or(Ok(0.0), |text| parse_number(text, "an outcome detail"))?;
        let report = fields.report()?;
        Ok(Event::AttemptEnded {
            message,
            attempt,
            endpoint,
            outcome: outcome_from(name, detail),
            latency,
            message_closed,
            report,
            ambiguous: false,
        })
    }

    fn parse_probe_result(&mut self, fields: &mut Fields) -> Result<Event, Malformed> {
        fields.number("a latency")?;
        let endpoint = self.parse_endpoint(fields)?;
        let outcome: Outcome = outcome_from(fields.outcome_name()?, 0.0);
        let report = fields.report()?;
        Ok(Event::Probed {
            endpoint,
            outcome,
            report,
        })
    }

    fn parse_new_message(&mut self, fields: &mut Fields) -> Result<Event, Malformed> {
        let id = self.parse_message(fields)?;
        let time_left = fields.time("time left")?;
        let tenant = fields
            .optional("a tenant")?
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
            from_lost_sender: bits & FROM_LOST_SENDER_BIT != 0,
            deferred: false,
        }))
    }

    fn parse_endpoint_list(
        &mut self,
        fields: &mut Fields,
        lists: &EndpointLists,
    ) -> Result<Event, Malformed> {
        let list_kind = match fields.text("a kind of announcement")? {
            "delta" => EndpointListKind::Changes,
            "full" => EndpointListKind::Full,
            "cached" => EndpointListKind::Cached,
            "failed" => return Ok(Event::EndpointListFailed),
            other => return malformed("delta, full, cached or failed", other),
        };
        let number = fields.integer("a list number")?;
        let Some(rows) = lists.get(&number) else {
            return malformed("the number of an earlier list", &number.to_string());
        };
        let mut entries = Vec::with_capacity(rows.len());
        for row in rows {
            entries.push(self.parse_endpoint_row(row)?);
        }
        Ok(Event::EndpointList { list_kind, entries })
    }

    /// Parses one row of an endpoint list.
    pub(crate) fn parse_endpoint_row(&mut self, row: &str) -> Result<EndpointEntry, Malformed> {
        let mut fields = Fields::new(row);
        let endpoint = self.parse_endpoint(&mut fields)?;
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
