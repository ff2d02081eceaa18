//! Fenced writes: each is checked against the lease immediately before it is sent, and carries the owner's fencing
//! token.

use crate::coordinator_client::CoordinatorClient;
use crate::events::{MemberEvent, WriteOutcome, WriteStarted};
use crate::member::{Member, Progress};
use milletturn_coordination::{Command, CommandOutcome, FencingToken, Permission, Rejection};
use milletturn_coordination_protocol::clock::now;
use std::time::Duration;
use tokio::time::Instant;

impl Member {
    /// Writes a checkpoint, which the resource's next owner receives with its claim. `client` must not be the session's
    /// client, so that a slow write delays no heartbeat. Only one write may run at a time.
    pub async fn write_fenced(
        &self,
        client: &mut CoordinatorClient,
        resource: &str,
        checkpoint: &str,
    ) -> WriteOutcome {
        let Some(permission) = self.permission(resource) else {
            return WriteOutcome::NotOwner;
        };
        let Some(number) = self.next_number(client, resource, permission.token).await else {
            return WriteOutcome::NotOwner;
        };
        // checked again immediately before the write, since the lease may have expired during a claim in `next_number`
        let checked_at = now();
        let checked = self.lease.borrow().permission(resource, checked_at);
        let Some(permission) = checked else {
            return WriteOutcome::NotOwner;
        };
        self.report(MemberEvent::WriteStarted(WriteStarted {
            token: permission.token,
            number,
            checked_at,
            safe_until: permission.safe_until,
        }));
        self.send(client, resource, checkpoint, permission, number)
            .await
    }

    /// The number of the next write under this token. If the outcome of the last write is unknown, claims the resource
    /// again, since the response has the number of executed writes. `None` if the claim fails.
    async fn next_number(
        &self,
        client: &mut CoordinatorClient,
        resource: &str,
        token: FencingToken,
    ) -> Option<u64> {
        if let Some(writes) = self.writes_under(resource, token) {
            return Some(writes + 1);
        }
        let token = self.claim(client, resource).await?;
        Some(
            self.writes_under(resource, token)
                .map_or(1, |writes| writes + 1),
        )
    }

    fn writes_under(&self, resource: &str, token: FencingToken) -> Option<u64> {
        let progress = self.progress.borrow();
        let last = progress.get(resource).filter(|last| last.token == token)?;
        Some(last.writes)
    }

    async fn send(
        &self,
        client: &mut CoordinatorClient,
        resource: &str,
        checkpoint: &str,
        permission: Permission,
        number: u64,
    ) -> WriteOutcome {
        let Permission {
            session,
            token,
            safe_until,
        } = permission;
        let command = Command::FencedWrite {
            session,
            resource: resource.to_string(),
            token,
            number,
            checkpoint: checkpoint.to_string(),
        };
        // until the response arrives, the number of executed writes is unknown
        self.progress.borrow_mut().remove(resource);
        let safe_for = Duration::from_micros(safe_until.since(now()).0);
        match client.submit(&command, Instant::now() + safe_for).await {
            Ok(CommandOutcome::Rejected(rejection)) => {
                if let Rejection::Fenced { .. } = rejection {
                    self.resource_lost(resource, token);
                }
                WriteOutcome::Rejected(rejection)
            }
            Ok(_) => {
                let progress = Progress {
                    token,
                    writes: number,
                    checkpoint: checkpoint.to_string(),
                };
                self.progress
                    .borrow_mut()
                    .insert(resource.to_string(), progress);
                WriteOutcome::Done { token, number }
            }
            Err(error) => WriteOutcome::Unknown(error),
        }
    }
}
