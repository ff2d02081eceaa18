//! The replicated state of the coordination service. Every coordinator holds a replica of it.
//!
//! The state never reads a clock, so replicas that apply the same commands have the same state. The expiry of a lease
//! is a command like any other: the leading coordinator proposes it when its [`LeaseTable`](crate::LeaseTable) reports
//! that the lease has expired.

mod history;
mod resources;
mod restore;
mod sessions;
mod snapshot;

pub use history::{Event, EventKind};
pub use resources::Resource;
pub use restore::RestoreError;
pub use sessions::Session;

use crate::bounds;
use crate::command::{
    Command, CommandOutcome, MemberInfo, Rejection, check_length, check_name, limit_reached,
};
use crate::ids::{FencingToken, LeaderTerm, PRE_RESTORE_SESSION, SessionId};
use crate::time::Micros;
use history::EventHistory;
use resources::ResourceTable;
use serde::Deserialize;
use sessions::SessionTable;
use snapshot::Snapshot;
use std::collections::BTreeMap;

/// The replicated state of the coordination service: open sessions, resources with their fencing tokens, and the most
/// recent events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Deserialize)]
#[serde(from = "Snapshot")]
pub struct CoordinationState {
    sessions: SessionTable,
    resources: ResourceTable,
    history: EventHistory,
    /// The number of the last restore; 0 if the state was never restored.
    generation: u64,
    /// The longest lease that a member may still hold from before the restore. `None` if the state was never restored, or
    /// once all leases from before the restore have expired.
    restore_grace: Option<Micros>,
    /// Whether a batch has been applied, which shows that a majority of the coordinators can read batches.
    batching_enabled: bool,
}

/// The version of the result of [`CoordinationState::leases`], which changes whenever the result does.
///
/// Each new session raises `last_session`. Until the next session is opened, `open_sessions` can only fall, and
/// `in_restore_grace` can only change to `false`. Therefore no combination occurs twice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeasesVersion {
    /// The highest assigned session id. If a restored state has assigned none yet, its generation times
    /// [`GENERATION_STRIDE`](bounds::GENERATION_STRIDE); 0 initially.
    pub last_session: SessionId,
    /// The number of open sessions.
    pub open_sessions: usize,
    /// Whether members may still hold leases from before a restore.
    pub in_restore_grace: bool,
}

impl CoordinationState {
    /// Applies a command that was proposed in the given leader term.
    ///
    /// A repeated command has the same outcome as the first time, as long as no other command has changed the session
    /// or the resource in between.
    pub fn apply(&mut self, command: Command, leader_term: LeaderTerm) -> CommandOutcome {
        match command {
            Command::Batch { commands } if commands.len() > bounds::MAX_BATCH_LEN => {
                CommandOutcome::Rejected(limit_reached("entries in one", bounds::MAX_BATCH_LEN))
            }
            Command::Batch { commands } => {
                self.batching_enabled = true;
                let outcomes = commands
                    .into_iter()
                    .map(|command| self.apply_single(command, leader_term));
                CommandOutcome::Batch(outcomes.collect())
            }
            command => self.apply_single(command, leader_term),
        }
    }

    fn apply_single(&mut self, command: Command, current: LeaderTerm) -> CommandOutcome {
        let outcome = match command {
            Command::Batch { .. } => Err(Rejection::NestedBatch),
            Command::OpenSession {
                member,
                nonce,
                lease,
            } => self.sessions.open(member, nonce, lease),
            Command::ExpireSession { leader_term, .. } if leader_term != current => {
                Err(Rejection::StaleLeaderTerm {
                    leader_term,
                    current,
                })
            }
            Command::CloseSession { session } => Ok(self.end_session(session, EventKind::Released)),
            Command::ExpireSession {
                session: PRE_RESTORE_SESSION,
                ..
            } => {
                self.restore_grace = None;
                Ok(CommandOutcome::Done)
            }
            Command::ExpireSession { session, .. } => {
                Ok(self.end_session(session, EventKind::Expired))
            }
            Command::Claim { session, resource } => self.claim(session, resource),
            Command::Release {
                session,
                resource,
                token,
            } => Ok(self.release(session, &resource, token)),
            Command::Revoke { resource, token } => Ok(self.revoke(&resource, token)),
            Command::FencedWrite {
                session,
                resource,
                token,
                number,
                checkpoint,
            } => self.write(session, resource, token, number, checkpoint),
        };
        outcome.unwrap_or_else(CommandOutcome::Rejected)
    }

    /// The number of the restore from which this state continues; 0 if the state was never restored.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// All leases that a leader has to track: those of open sessions and, under [`PRE_RESTORE_SESSION`], the longest of
    /// those from before a restore.
    pub fn leases(&self) -> impl Iterator<Item = (SessionId, Micros)> {
        let before_restore = self.restore_grace.map(|lease| (PRE_RESTORE_SESSION, lease));
        let open = self.sessions.all().iter();
        before_restore
            .into_iter()
            .chain(open.map(|(&id, session)| (id, session.lease)))
    }

    /// A version that changes whenever the result of [`leases`](Self::leases) changes.
    #[must_use]
    pub fn leases_version(&self) -> LeasesVersion {
        LeasesVersion {
            last_session: self.sessions.last(),
            open_sessions: self.sessions.all().len(),
            in_restore_grace: self.restore_grace.is_some(),
        }
    }

    /// Whether a majority of the coordinators is known to read batches.
    ///
    /// While this is `false`, a leader must not batch its own commands. If the other coordinators ran a version that
    /// cannot read batches, no further entry could be committed. Batches of session proxies are proposed in any case,
    /// since all coordinators have to be upgraded before the proxies.
    #[must_use]
    pub fn batching_enabled(&self) -> bool {
        self.batching_enabled
    }

    /// All open sessions by id.
    #[must_use]
    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        self.sessions.all()
    }

    /// All resources by name, owned or not.
    #[must_use]
    pub fn resources(&self) -> &BTreeMap<String, Resource> {
        self.resources.all()
    }

    /// The most recent events, oldest first; at most [`MAX_HISTORY_EVENTS`](bounds::MAX_HISTORY_EVENTS).
    pub fn history(&self) -> impl Iterator<Item = &Event> {
        self.history.all().iter()
    }

    /// Closes a session and ends its ownership of resources, which the history records as `kind`.
    fn end_session(&mut self, session: SessionId, kind: EventKind) -> CommandOutcome {
        let member = self.sessions.display_name(session);
        for (name, resource) in self.resources.owned_by(session) {
            resource.owner = None;
            self.history.record(name, resource.token, &member, kind);
        }
        self.sessions.remove(session);
        CommandOutcome::Done
    }

    fn claim(&mut self, session: SessionId, name: String) -> Result<CommandOutcome, Rejection> {
        check_name("the work's name", &name)?;
        if !self.sessions.all().contains_key(&session) {
            return Err(Rejection::SessionNotFound { session });
        }
        if self.restore_grace.is_some() {
            return Err(Rejection::RestoreGracePeriod);
        }
        let resource = self.resources.find_or_create(&name)?;
        match resource.owner {
            Some(owner) if owner == session => {}
            Some(owner) => {
                return Err(Rejection::ResourceOwned {
                    resource: name,
                    owner: self.sessions.name(owner).unwrap_or_default().to_string(),
                    token: resource.token,
                });
            }
            None => {
                resource.grant(session);
                let member = self.sessions.display_name(session);
                self.history
                    .record(&name, resource.token, &member, EventKind::Acquired);
            }
        }
        Ok(CommandOutcome::Claimed {
            token: resource.token,
            writes: resource.writes,
            checkpoint: resource.checkpoint.clone(),
        })
    }

    /// Ends the ownership if the session owns the resource under this token. Otherwise the ownership has already ended,
    /// and the command succeeds without a change.
    fn release(&mut self, session: SessionId, name: &str, token: FencingToken) -> CommandOutcome {
        if let Some(resource) = self.resources.get_mut(name)
            && resource.is_owned(session, token)
        {
            resource.owner = None;
            let member = self.sessions.display_name(session);
            self.history
                .record(name, token, &member, EventKind::Released);
        }
        CommandOutcome::Done
    }

    fn revoke(&mut self, name: &str, token: FencingToken) -> CommandOutcome {
        if let Some(resource) = self.resources.get_mut(name)
            && resource.token == token
            && let Some(owner) = resource.owner.take()
        {
            let member = self.sessions.display_name(owner);
            self.history
                .record(name, token, &member, EventKind::Revoked);
        }
        CommandOutcome::Done
    }

    /// Stores the checkpoint of a write. Rejects a former owner, whose token is no longer the current one.
    fn write(
        &mut self,
        session: SessionId,
        name: String,
        token: FencingToken,
        number: u64,
        checkpoint: String,
    ) -> Result<CommandOutcome, Rejection> {
        check_length(
            "the act's text",
            &checkpoint,
            0,
            bounds::MAX_CHECKPOINT_BYTES,
        )?;
        let current = self.resources.minimum_token();
        let Some(resource) = self.resources.get_mut(&name) else {
            return Err(Rejection::Fenced {
                resource: name,
                token,
                current,
            });
        };
        let member = self.sessions.display_name(session);
        if !resource.is_owned(session, token) {
            let current = resource.token;
            self.history
                .record(&name, token, &member, EventKind::Fenced);
            return Err(Rejection::Fenced {
                resource: name,
                token,
                current,
            });
        }
        if resource.is_last_write(number, &checkpoint) {
            return Ok(CommandOutcome::Done);
        }
        if number != resource.writes + 1 {
            return Err(Rejection::OutOfOrder {
                resource: name,
                token,
                number,
                last: resource.writes,
            });
        }
        resource.writes = number;
        resource.checkpoint = checkpoint;
        self.history
            .record(&name, token, &member, EventKind::Written(number));
        Ok(CommandOutcome::Done)
    }
}
