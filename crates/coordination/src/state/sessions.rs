//! The table of open sessions, and the member names that they use.

use super::{CommandOutcome, MemberInfo, Micros, Rejection, SessionId, limit_reached};
use crate::bounds;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An open session.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// The member that opened it.
    #[serde(rename = "about")]
    pub member: MemberInfo,
    /// The random number that the member sent. A request of the same member with this nonce is a retry.
    pub nonce: u64,
    /// The lease that the leader granted when the session was opened.
    pub lease: Micros,
}

/// The open sessions by id and by their members' names.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct SessionTable {
    sessions: BTreeMap<SessionId, Session>,
    /// An index of `sessions` by the member's name.
    by_name: BTreeMap<String, SessionId>,
    last: SessionId,
}

impl SessionTable {
    /// Creates a table of these sessions; the next session gets the id after `last`.
    pub(super) fn new(sessions: BTreeMap<SessionId, Session>, last: SessionId) -> Self {
        let by_name = sessions
            .iter()
            .map(|(&id, session)| (session.member.name.clone(), id))
            .collect();
        Self {
            sessions,
            by_name,
            last,
        }
    }

    pub(super) fn all(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    /// The highest assigned id. If a restored state has assigned none yet, its generation times
    /// [`GENERATION_STRIDE`](crate::bounds::GENERATION_STRIDE); 0 initially.
    pub(super) fn last(&self) -> SessionId {
        self.last
    }

    /// Opens a session, or returns the open one if the same member opened it with the same nonce.
    pub(super) fn open(
        &mut self,
        member: MemberInfo,
        nonce: u64,
        lease: Micros,
    ) -> Result<CommandOutcome, Rejection> {
        member.check()?;
        if let Some((session, open)) = self.find(&member.name) {
            if open.nonce == nonce {
                let lease = open.lease;
                return Ok(CommandOutcome::SessionOpened { session, lease });
            }
            return Err(Rejection::NameTaken {
                name: member.name,
                session,
            });
        }
        if self.sessions.len() >= bounds::MAX_SESSIONS {
            return Err(limit_reached("sessions", bounds::MAX_SESSIONS));
        }
        let session = self.last.next();
        self.last = session;
        self.by_name.insert(member.name.clone(), session);
        self.sessions.insert(
            session,
            Session {
                member,
                nonce,
                lease,
            },
        );
        Ok(CommandOutcome::SessionOpened { session, lease })
    }

    pub(super) fn remove(&mut self, session: SessionId) {
        if let Some(removed) = self.sessions.remove(&session) {
            self.by_name.remove(&removed.member.name);
        }
    }

    /// The name of the session's member; `None` if the session is not open.
    pub(super) fn name(&self, session: SessionId) -> Option<&str> {
        let open = self.sessions.get(&session)?;
        Some(&open.member.name)
    }

    /// The name that events use for a session: the member's name, or the session's number if the session has ended.
    pub(super) fn display_name(&self, session: SessionId) -> String {
        self.name(session)
            .map_or_else(|| format!("session {session}"), str::to_string)
    }

    fn find(&self, name: &str) -> Option<(SessionId, &Session)> {
        let session = *self.by_name.get(name)?;
        Some((session, self.sessions.get(&session)?))
    }
}
