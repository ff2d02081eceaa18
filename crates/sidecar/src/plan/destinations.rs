//! Converts the destinations and the callback of a configuration to endpoints and kinds of destination.

use super::{PlanError, resolve};
use crate::callback::{CLASS, Callback};
use milletturn_config::document::Document;
use milletturn_engine::ListedEndpoint;
use milletturn_policy::{Class, DestinationKind, Effect, EndpointStatus, Micros, SECOND, Settings};
use std::collections::BTreeSet;

/// How long one message that carries an outcome to the callback is attempted. After that the outcome is resubmitted in
/// a new message.
const CALLBACK_TIME_TO_LIVE: Micros = 60 * SECOND;
/// Name of the kind of destination whose calls carry one message each.
const SINGLE_MESSAGE_KIND: &str = "1";

/// The endpoints of all destinations, and the kinds of destination. A kind's name is the number of messages that one
/// call may carry.
pub(super) struct Destinations {
    pub(super) endpoints: Vec<ListedEndpoint>,
    pub(super) kinds: Vec<String>,
}

impl Destinations {
    /// Collects the destinations of a configuration.
    pub(super) fn from_document(document: &Document) -> Result<Self, PlanError> {
        let mut destinations = Destinations {
            endpoints: Vec::new(),
            kinds: vec![SINGLE_MESSAGE_KIND.to_string()],
        };
        for name in document.table_names("destination") {
            destinations.add_destination(document, &name)?;
        }
        Ok(destinations)
    }

    fn add_destination(&mut self, document: &Document, name: &str) -> Result<(), PlanError> {
        let setting = |field: &'static str| ["destination", name, field];
        let kind = document.count(&setting("batch")).to_string();
        if !self.kinds.contains(&kind) {
            self.kinds.push(kind.clone());
        }
        let limit = document
            .explicit_value(&setting("limit"))
            .map(|_| document.number_of(&setting("limit")));
        let weight = limit.map_or(0.0, |limit| limit * document.number_of(&setting("share")));
        for (address, _) in document.list(&setting("endpoints")) {
            self.endpoints.push(ListedEndpoint {
                uid: format!("{name}/{address}"),
                address: resolve(address)?,
                zone: String::new(),
                kind: kind.clone(),
                destination: document.count(&setting("id")),
                status: EndpointStatus::Serving,
                weight,
            });
        }
        Ok(())
    }

    /// Adds the callback's address as the only endpoint of a new destination, whose number is the greatest one that is
    /// not used yet. Also adds the class of callback messages to the settings.
    pub(super) fn add_callback(
        &mut self,
        address: &str,
        settings: &mut Settings,
    ) -> Result<Callback, PlanError> {
        let destination = self.greatest_free_id();
        self.endpoints.push(ListedEndpoint {
            uid: format!("callback/{address}"),
            address: resolve(address)?,
            zone: String::new(),
            kind: SINGLE_MESSAGE_KIND.to_string(),
            destination,
            status: EndpointStatus::Serving,
            weight: 0.0,
        });
        settings.classes.push(Class {
            late_value_share: 1.0,
            ..Class::new(CLASS, Effect::Repeatable, SECOND, CALLBACK_TIME_TO_LIVE)
        });
        Ok(Callback {
            class: settings.classes.len() - 1,
            destination,
            time_to_live: CALLBACK_TIME_TO_LIVE,
        })
    }

    fn greatest_free_id(&self) -> u64 {
        let used: BTreeSet<u64> = self
            .endpoints
            .iter()
            .map(|listed| listed.destination)
            .collect();
        (0..=u64::MAX)
            .rev()
            .find(|id| !used.contains(id))
            .unwrap_or(u64::MAX)
    }

    /// The kinds of destination in the form of the decision module's settings.
    pub(super) fn kind_settings(&self) -> impl Iterator<Item = DestinationKind> {
        self.kinds.iter().map(|kind| DestinationKind {
            name: kind.clone(),
            separate_routes: false,
            max_batch_size: kind.parse().unwrap_or(1),
        })
    }
}
