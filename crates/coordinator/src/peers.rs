//! Raft calls to the other replicas.

use crate::{RaftTypes, ReplicaId};
use milletturn_coordination_protocol::messages::{
    APPEND_ENTRIES_PATH, INSTALL_SNAPSHOT_PATH, VOTE_PATH,
};
use milletturn_coordination_protocol::{Client, ClientError};
use openraft::BasicNode;
use openraft::error::{
    InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable,
};
use openraft::network::{Backoff, RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::time::Duration;

/// Wait before an unreachable replica is called again.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(200);

/// Creates the clients with which this replica calls the other replicas of the group.
#[derive(Debug, Clone)]
pub struct PeerNetwork {
    /// The name of the group, which each call carries; a replica of another group rejects the call.
    pub group: String,
    /// Identifies the initial state of the group, empty or restored from a backup. Replicas reject each other's calls
    /// if their origins differ.
    pub origin: String,
    /// Addresses from this replica's settings. A replica that is missing here is called at its address in the group's
    /// replicated membership.
    pub addresses: BTreeMap<ReplicaId, String>,
}

/// Makes the Raft calls to one other replica.
#[derive(Debug)]
pub struct PeerClient {
    id: ReplicaId,
    client: Client,
}

impl RaftNetworkFactory<RaftTypes> for PeerNetwork {
    type Network = PeerClient;

    async fn new_client(&mut self, target: ReplicaId, node: &BasicNode) -> PeerClient {
        let address = self.addresses.get(&target).unwrap_or(&node.addr);
        PeerClient {
            id: target,
            client: Client::new(address, &self.group).with_origin(&self.origin),
        }
    }
}

type PeerError<E> = RPCError<ReplicaId, BasicNode, E>;

impl PeerClient {
    async fn call<A: DeserializeOwned, E: std::error::Error + DeserializeOwned>(
        &mut self,
        path: &str,
        body: &impl Serialize,
        option: &RPCOption,
    ) -> Result<A, PeerError<E>> {
        let reply = self
            .client
            .call::<Result<A, E>>(path, Some(body), option.hard_ttl())
            .await;
        match reply {
            Ok(reply) => match reply.result {
                Ok(Ok(response)) => Ok(response),
                Ok(Err(error)) => Err(RPCError::RemoteError(RemoteError::new(self.id, error))),
                Err(response) => {
                    let error = std::io::Error::other(response.message);
                    Err(RPCError::Unreachable(Unreachable::new(&error)))
                }
            },
            Err(error @ ClientError::NotSent { .. }) => {
                Err(RPCError::Unreachable(Unreachable::new(&error)))
            }
            Err(error @ ClientError::OutcomeUnknown { .. }) => {
                Err(RPCError::Network(NetworkError::new(&error)))
            }
        }
    }
}

impl RaftNetwork<RaftTypes> for PeerClient {
    async fn append_entries(
        &mut self,
        request: AppendEntriesRequest<RaftTypes>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<ReplicaId>, PeerError<RaftError<ReplicaId>>> {
        self.call(APPEND_ENTRIES_PATH, &request, &option).await
    }

    async fn install_snapshot(
        &mut self,
        request: InstallSnapshotRequest<RaftTypes>,
        option: RPCOption,
    ) -> Result<
        InstallSnapshotResponse<ReplicaId>,
        PeerError<RaftError<ReplicaId, InstallSnapshotError>>,
    > {
        self.call(INSTALL_SNAPSHOT_PATH, &request, &option).await
    }

    async fn vote(
        &mut self,
        request: VoteRequest<ReplicaId>,
        option: RPCOption,
    ) -> Result<VoteResponse<ReplicaId>, PeerError<RaftError<ReplicaId>>> {
        self.call(VOTE_PATH, &request, &option).await
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(UNREACHABLE_BACKOFF))
    }
}
