//! The commands of the replicated log, their outcomes, and the reasons for which a command is rejected.
//!
//! Commands are idempotent: a caller whose response was lost sends the same command again. The repeated command has no
//! second effect. Its outcome is the same, unless another command has changed the session or the resource in between.

use crate::bounds;
use crate::ids::{FencingToken, LeaderTerm, SessionId};
use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// The description of itself that a member sends when it opens a session.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberInfo {
    /// The member's name, not empty. At most one open session has a given name.
    pub name: String,
    /// The zone in which the member runs; may be empty.
    pub zone: String,
    /// The version of the member's program; may be empty.
    pub version: String,
    /// The member's role, such as `sender`; may be empty.
    #[serde(rename = "serves")]
    pub role: String,
}

/// A command of the replicated log.
///
/// The serialized names must not change: coordinators of different versions read the same log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Several commands in one log entry, collected by a session proxy.
    ///
    /// They are applied in order, and each is applied or rejected as if it had been sent alone. A coordinator of a
    /// version without this variant cannot read the entry and falls behind, so coordinators must be upgraded before
    /// session proxies.
    #[serde(rename = "all")]
    Batch {
        /// At most [`MAX_BATCH_LEN`](bounds::MAX_BATCH_LEN) commands, none of them a batch.
        #[serde(rename = "entries")]
        commands: Vec<Command>,
    },
    /// Opens a session.
    #[serde(rename = "open")]
    OpenSession {
        /// The member that opens the session.
        #[serde(rename = "about")]
        member: MemberInfo,
        /// A random number that the member draws once per session, so that a repeated command opens no second session.
        nonce: u64,
        /// The lease that the leader grants to this session. It is part of the command so that a later leader, whose
        /// settings may differ, also waits for the duration that was granted.
        lease: Micros,
    },
    /// Ends a session at its member's request.
    #[serde(rename = "close")]
    CloseSession {
        /// The session to end.
        session: SessionId,
    },
    /// Ends a session whose lease has expired by the leader's clock.
    #[serde(rename = "expire")]
    ExpireSession {
        /// The session to end.
        session: SessionId,
        /// The leader term in which the expiry was determined. In any other term the command is rejected, since a
        /// coordinator that lost the leadership and regained it does not know which heartbeats another leader confirmed
        /// in between.
        #[serde(rename = "reign")]
        leader_term: LeaderTerm,
    },
    /// Makes a session the owner of a resource that has none. A session that already owns the resource gets its current
    /// token again.
    #[serde(rename = "claim")]
    Claim {
        /// The session that claims the resource.
        session: SessionId,
        /// The resource's name.
        #[serde(rename = "work")]
        resource: String,
    },
    /// Ends a session's ownership of a resource at the request of the session's member.
    #[serde(rename = "release")]
    Release {
        /// The session that owns the resource.
        session: SessionId,
        /// The resource's name.
        #[serde(rename = "work")]
        resource: String,
        /// The token under which the session owns the resource.
        #[serde(rename = "term")]
        token: FencingToken,
    },
    /// Takes a resource from its owner at an operator's request.
    #[serde(rename = "free")]
    Revoke {
        /// The resource's name.
        #[serde(rename = "work")]
        resource: String,
        /// The token to revoke. Naming the token keeps a repeated command from revoking the next owner's claim.
        #[serde(rename = "term")]
        token: FencingToken,
    },
    /// Stores a checkpoint for the resource's next owner, if the token is still the current one.
    #[serde(rename = "act")]
    FencedWrite {
        /// The session that writes.
        session: SessionId,
        /// The resource's name.
        #[serde(rename = "work")]
        resource: String,
        /// The token under which the session owns the resource.
        #[serde(rename = "term")]
        token: FencingToken,
        /// The number of the write under this token: 1 for the first write, then consecutive.
        number: u64,
        /// The text to store, at most [`MAX_CHECKPOINT_BYTES`](bounds::MAX_CHECKPOINT_BYTES) long.
        #[serde(rename = "cursor")]
        checkpoint: String,
    },
}

/// What the state machine returns for a [`Command`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The session is open, opened by this command or by an earlier one with the same nonce.
    #[serde(rename = "opened")]
    SessionOpened {
        /// The id that the member's heartbeats and commands carry.
        session: SessionId,
        /// The granted lease, as the leader tracks it.
        lease: Micros,
    },
    /// The resource is owned by the session that claimed it.
    #[serde(rename = "owned")]
    Claimed {
        /// The token under which the session owns the resource.
        #[serde(rename = "term")]
        token: FencingToken,
        /// The number of writes applied under this token. The owner's next write has the number that follows.
        #[serde(rename = "acts")]
        writes: u64,
        /// The checkpoint that the last write stored, whether by this owner or an earlier one.
        #[serde(rename = "cursor")]
        checkpoint: String,
    },
    /// The command was applied, or there was nothing left to change, as when it repeats an earlier command.
    #[serde(rename = "done")]
    Done,
    /// The outcomes of a [`Command::Batch`], in the order of its commands.
    #[serde(rename = "each")]
    Batch(Vec<CommandOutcome>),
    /// The command was rejected: it has not been applied, and will not be applied later.
    #[serde(rename = "refused")]
    Rejected(Rejection),
}

/// Why the state machine rejected a command.
///
/// The texts must not change: `--format json` prints them, and members and operators rely on them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// The session has ended, or was never opened in this state.
    #[error(
        "session {session} is over: open a new one, and take nothing for granted that it owned"
    )]
    #[serde(rename = "no_session")]
    SessionNotFound {
        /// The session that the command named.
        session: SessionId,
    },
    /// The expiry of the lease was determined in a leader term other than the current one.
    #[error(
        "the lease was counted under reign {leader_term}, this is reign {current}: it is counted anew"
    )]
    #[serde(rename = "reign_over")]
    StaleLeaderTerm {
        /// The term in which the expiry was determined.
        #[serde(rename = "reign")]
        leader_term: LeaderTerm,
        /// The term in which the command was proposed.
        #[serde(rename = "now")]
        current: LeaderTerm,
    },
    /// The state was restored from a backup, and members that owned resources before the restore may still be writing.
    #[error(
        "the book was restored: nothing is given to anybody until leases from before have run out"
    )]
    #[serde(rename = "resting")]
    RestoreGracePeriod,
    /// Another open session has this member name.
    #[error(
        "{name} has a live session, {session}: end that process, or wait until its lease has run out"
    )]
    #[serde(rename = "name_taken")]
    NameTaken {
        /// The name with which the member tried to open a session.
        name: String,
        /// The open session that has the name.
        session: SessionId,
    },
    /// Another session owns the resource.
    #[error("{resource} is owned by {owner} under term {token}")]
    #[serde(rename = "taken")]
    ResourceOwned {
        /// The resource's name.
        #[serde(rename = "work")]
        resource: String,
        /// The name of the member that owns the resource.
        owner: String,
        /// The token under which that member owns the resource.
        #[serde(rename = "term")]
        token: FencingToken,
    },
    /// The token is not the current one. This rejection stops a former owner whose resource went to another member.
    #[error(
        "{resource}: term {token} is over, {current} counts now; whoever holds {token} must stop"
    )]
    #[serde(rename = "fenced")]
    Fenced {
        /// The resource's name.
        #[serde(rename = "work")]
        resource: String,
        /// The token of the command.
        #[serde(rename = "term")]
        token: FencingToken,
        /// The highest token granted for the resource, or the highest one that a [`FencingGuard`] has seen. For a
        /// resource that the state does not have, the token from which new resources start.
        ///
        /// [`FencingGuard`]: crate::FencingGuard
        #[serde(rename = "now")]
        current: FencingToken,
    },
    /// The number of the write does not follow that of the last write.
    #[error(
        "{resource}: act {number} does not follow act {last} of term {token}; ask for the work again to learn where it stands"
    )]
    #[serde(rename = "out_of_order")]
    OutOfOrder {
        /// The resource's name.
        #[serde(rename = "work")]
        resource: String,
        /// The token of the write.
        #[serde(rename = "term")]
        token: FencingToken,
        /// The number that the rejected write carried.
        number: u64,
        /// The number of the last write that was applied under this token; 0 if none was.
        last: u64,
    },
    /// A batch contains a batch.
    #[error("several entries as one can't be among several: write each of them by itself")]
    #[serde(rename = "nested")]
    NestedBatch,
    /// The command would exceed a bound of the state.
    #[error("the book holds {limit} {what} and no more")]
    #[serde(rename = "full")]
    LimitReached {
        /// What is bounded. The wording must not change: members and operators read it.
        what: String,
        /// The bound that is reached.
        #[serde(rename = "most")]
        limit: u64,
    },
    /// A name is empty, or a name or text is too long.
    #[error("{what} has {bytes} bytes; from 1 to {limit} are allowed")]
    #[serde(rename = "bad_text")]
    InvalidLength {
        /// Which text is rejected. The wording must not change: members and operators read it.
        what: String,
        /// The length of the rejected text in bytes.
        bytes: u64,
        /// The maximum length of this text in bytes.
        #[serde(rename = "most")]
        limit: u64,
    },
}

impl MemberInfo {
    /// Checks that the length of each field is within its bounds.
    ///
    /// # Errors
    /// [`Rejection::InvalidLength`] for the first field whose length is out of bounds.
    pub(crate) fn check(&self) -> Result<(), Rejection> {
        check_name("the member's name", &self.name)?;
        for (what, text) in [
            ("the zone", &self.zone),
            ("the version", &self.version),
            ("what it serves", &self.role),
        ] {
            check_length(what, text, 0, bounds::MAX_NAME_BYTES)?;
        }
        Ok(())
    }
}

/// Checks that a name is not empty and at most [`MAX_NAME_BYTES`](bounds::MAX_NAME_BYTES) long.
///
/// # Errors
/// [`Rejection::InvalidLength`] if the name is empty or longer.
pub(crate) fn check_name(what: &str, text: &str) -> Result<(), Rejection> {
    check_length(what, text, 1, bounds::MAX_NAME_BYTES)
}

/// Checks that a text is `min` to `max` bytes long, both inclusive. `what` names the text in the rejection.
pub(crate) fn check_length(
    what: &str,
    text: &str,
    min: usize,
    max: usize,
) -> Result<(), Rejection> {
    if (min..=max).contains(&text.len()) {
        return Ok(());
    }
    Err(Rejection::InvalidLength {
        what: what.to_string(),
        bytes: text.len() as u64,
        limit: max as u64,
    })
}

/// The rejection of a command that would exceed `limit`; `what` names the bounded things.
pub(crate) fn limit_reached(what: &str, limit: usize) -> Rejection {
    Rejection::LimitReached {
        what: what.to_string(),
        limit: limit as u64,
    }
}
