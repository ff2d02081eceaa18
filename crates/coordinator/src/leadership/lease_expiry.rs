//! Ends sessions whose lease has expired by the leader's clock.

use super::Leadership;
use milletturn_coordination::{
    Command, CommandOutcome, CoordinationState, LeaderTerm, SessionId, bounds,
};
use milletturn_coordination_protocol::clock::now;
use milletturn_logging::log;

impl Leadership {
    /// Ends each session whose lease has expired by writing a command to the log. If batches are enabled, one log entry
    /// ends up to [`bounds::MAX_BATCH_LEN`] sessions, so that the failure of a zone does not need hundreds of
    /// consecutive writes.
    pub(super) async fn expire_leases(&self) {
        self.track_sessions();
        let (expired, term) = {
            let mut lease_table = self.lease_table.borrow_mut();
            let Some(term) = lease_table.leader_term() else {
                return;
            };
            (lease_table.expire_sessions(now()), term)
        };
        let batching_enabled = self.state_machine.read(CoordinationState::batching_enabled);
        let max_batch_len = if batching_enabled {
            bounds::MAX_BATCH_LEN
        } else {
            1
        };
        for sessions in expired.chunks(max_batch_len) {
            let names = self.member_names(sessions);
            let command = expiry_command(sessions, term, batching_enabled);
            let outcomes = match self.write(command).await {
                Ok(CommandOutcome::Batch(outcomes)) => outcomes,
                Ok(outcome) => vec![outcome],
                // the lease table reports these sessions again at the next check if they are still open
                Err(_) => return,
            };
            for ((session, name), outcome) in sessions.iter().zip(names).zip(outcomes) {
                // any other outcome is a rejection because the leader term has ended
                if outcome == CommandOutcome::Done {
                    log(format_args!(
                        "coordinator: the lease of {name} (session {session}) has expired"
                    ));
                }
            }
        }
    }

    /// The names of the members that hold these sessions, for the log lines.
    fn member_names(&self, sessions: &[SessionId]) -> Vec<String> {
        self.state_machine.read(|state| {
            let name = |session| {
                let session = state.sessions().get(session)?;
                Some(session.member.name.clone())
            };
            let unknown = || "a member from before the restore".to_string();
            sessions
                .iter()
                .map(|session| name(session).unwrap_or_else(unknown))
                .collect()
        })
    }
}

/// The command that ends these sessions. If batches are not enabled, `sessions` has exactly one element.
fn expiry_command(sessions: &[SessionId], term: LeaderTerm, batching_enabled: bool) -> Command {
    let mut commands: Vec<Command> = sessions
        .iter()
        .map(|&session| Command::ExpireSession {
            session,
            leader_term: term,
        })
        .collect();
    if batching_enabled {
        Command::Batch { commands }
    } else {
        commands.remove(0)
    }
}
