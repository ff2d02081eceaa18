//! The table of resources, with the owner and the fencing token of each.

use super::{FencingToken, Rejection, SessionId, limit_reached};
use crate::bounds;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A resource, which at most one session owns at a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resource {
    /// The highest token that was granted, kept when the ownership ends. After a restore, it is the start of the
    /// generation until the resource is claimed again.
    #[serde(rename = "term")]
    pub token: FencingToken,
    /// The session that owns the resource and may write; `None` if the resource is free.
    pub owner: Option<SessionId>,
    /// The number of writes applied under the current token.
    #[serde(rename = "acts")]
    pub writes: u64,
    /// The text that the last write stored, under this or an earlier token.
    #[serde(rename = "cursor")]
    pub checkpoint: String,
}

impl Resource {
    /// Makes a session the owner under the next token.
    pub(super) fn grant(&mut self, session: SessionId) {
        self.token = self.token.next();
        self.writes = 0;
        self.owner = Some(session);
    }

    /// Whether this session owns the resource under this token.
    pub(super) fn is_owned(&self, session: SessionId, token: FencingToken) -> bool {
        self.token == token && self.owner == Some(session)
    }

    /// Whether a write repeats the last one that was applied.
    pub(super) fn is_last_write(&self, number: u64, checkpoint: &str) -> bool {
        number == self.writes && number > 0 && checkpoint == self.checkpoint
    }
}

/// All resources by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct ResourceTable {
    resources: BTreeMap<String, Resource>,
    /// Resources that are not in the table start from this token. It is at least the token of every evicted resource,
    /// so that the tokens of an evicted resource still increase when it is claimed again.
    minimum_token: FencingToken,
}

impl ResourceTable {
    pub(super) fn new(resources: BTreeMap<String, Resource>, minimum_token: FencingToken) -> Self {
        Self {
            resources,
            minimum_token,
        }
    }

    pub(super) fn all(&self) -> &BTreeMap<String, Resource> {
        &self.resources
    }

    pub(super) fn minimum_token(&self) -> FencingToken {
        self.minimum_token
    }

    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut Resource> {
        self.resources.get_mut(name)
    }

    /// The resources that a session owns, by name.
    pub(super) fn owned_by(
        &mut self,
        session: SessionId,
    ) -> impl Iterator<Item = (&str, &mut Resource)> {
        self.resources
            .iter_mut()
            .filter(move |(_, resource)| resource.owner == Some(session))
            .map(|(name, resource)| (name.as_str(), resource))
    }

    /// The resource with this name, which is created without an owner if it is not in the table.
    pub(super) fn find_or_create(&mut self, name: &str) -> Result<&mut Resource, Rejection> {
        if !self.resources.contains_key(name) {
            self.evict_if_full()?;
        }
        let token = self.minimum_token;
        Ok(self
            .resources
            .entry(name.to_string())
            .or_insert_with(|| Resource {
                token,
                owner: None,
                writes: 0,
                checkpoint: String::new(),
            }))
    }

    /// Restarts the tokens of all resources, also of those that are not in the table, from the given token.
    pub(super) fn restart_tokens(&mut self, token: FencingToken) {
        self.minimum_token = token;
        for resource in self.resources.values_mut() {
            (resource.token, resource.writes) = (token, 0);
        }
    }

    /// Evicts the unowned resource with the lowest token if the table is full. Raises `minimum_token` to its token, so
    /// that the resource gets a higher one if it is claimed again.
    fn evict_if_full(&mut self) -> Result<(), Rejection> {
        if self.resources.len() < bounds::MAX_RESOURCES {
            return Ok(());
        }
        let unowned = self
            .resources
            .iter()
            .filter(|(_, resource)| resource.owner.is_none());
        let lowest = unowned.min_by_key(|(_, resource)| resource.token);
        let Some(name) = lowest.map(|(name, _)| name.clone()) else {
            return Err(limit_reached("pieces of work", bounds::MAX_RESOURCES));
        };
        if let Some(evicted) = self.resources.remove(&name) {
            self.minimum_token = self.minimum_token.max(evicted.token);
        }
        Ok(())
    }
}
