//! Runs a session proxy and handles its requests.

use crate::commands::CommandForwarder;
use crate::heartbeats::HeartbeatForwarder;
use crate::settings::Settings;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use milletturn_coordination::Command;
use milletturn_coordination_protocol::messages::{
    BatchedRequest, COMMAND_PATH, ErrorResponse, HEARTBEAT_PATH, MAX_CALL_BYTES, OPEN_SESSION_PATH,
    SESSION_PROXY_STATUS_PATH, SessionProxyStatus,
};
use milletturn_coordination_protocol::server::{
    CallError, ConnectionLimit, Handler, HandlerResult, Server, read_json, to_json,
};
use milletturn_logging::log;
use milletturn_member::CoordinatorClient;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Listening on the session proxy's address failed.
#[derive(Debug, thiserror::Error)]
#[error("{address}: {source}")]
pub struct ListenError {
    /// The listen address from the settings.
    pub address: String,
    /// The operating system's error.
    pub source: std::io::Error,
}

struct SessionProxy {
    settings: Settings,
    limit: Rc<ConnectionLimit>,
    heartbeats: HeartbeatForwarder,
    commands: CommandForwarder,
}

/// Runs a session proxy until the future is dropped, which is safe at any time, since a session proxy stores nothing.
/// Has to run on a `LocalSet`.
///
/// # Errors
/// If the proxy can't listen on its address.
pub async fn run(settings: Settings) -> Result<(), ListenError> {
    let failed = |source| ListenError {
        address: settings.listen.clone(),
        source,
    };
    let listener = TcpListener::bind(&settings.listen).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let name = settings.log_name();
    log(format_args!("{name}: listens on {address}"));
    let client = || CoordinatorClient::new(&settings.group, &settings.coordinators);
    let proxy = Rc::new(SessionProxy {
        limit: ConnectionLimit::new(settings.max_connections),
        heartbeats: HeartbeatForwarder::new(settings.max_batch_delay),
        commands: CommandForwarder::default(),
        settings: settings.clone(),
    });
    let server = Server::new(&name, proxy.limit.clone(), proxy.clone());
    let call_timeout = || proxy.heartbeats.call_timeout();
    tokio::join!(
        proxy.heartbeats.run(client(), &name),
        proxy.commands.run(client(), call_timeout, &name),
        server.serve(listener),
    );
    Ok(())
}

/// The error for a request that no coordinator answered, or that could not be queued. The member then tries another
/// session proxy.
pub(crate) fn unavailable(message: impl Into<String>, may_have_happened: bool) -> CallError {
    CallError {
        status: StatusCode::SERVICE_UNAVAILABLE,
        body: ErrorResponse {
            message: message.into(),
            leader: None,
            may_have_happened,
        },
    }
}

impl SessionProxy {
    fn status(&self) -> SessionProxyStatus {
        let connections = self.limit.counts();
        let heartbeats = self.heartbeats.counts();
        let commands = self.commands.counts();
        SessionProxyStatus {
            group: self.settings.group.clone(),
            name: self.settings.name.clone(),
            connections: connections.open as u64,
            max_connections: connections.max as u64,
            rejected_connections: connections.rejected,
            heartbeats: heartbeats.received,
            heartbeat_batches: heartbeats.batches,
            unanswered_heartbeat_batches: heartbeats.unanswered_batches,
            commands: commands.received,
            command_batches: commands.batches,
            unanswered_command_batches: commands.unanswered_batches,
            waiting_heartbeats: heartbeats.waiting,
        }
    }
}

impl Handler for SessionProxy {
    fn group(&self) -> &str {
        &self.settings.group
    }

    fn coordinator_id(&self) -> Option<u64> {
        None
    }

    async fn handle(&self, request: Request<Incoming>) -> HandlerResult {
        let path = request.uri().path().to_string();
        let method = match path.as_str() {
            SESSION_PROXY_STATUS_PATH => Method::GET,
            _ => Method::POST,
        };
        if request.method() != method {
            let message = "another method, or a call for a steward";
            return Err(CallError::rejected(StatusCode::METHOD_NOT_ALLOWED, message));
        }
        match path.as_str() {
            SESSION_PROXY_STATUS_PATH => to_json(&self.status()),
            HEARTBEAT_PATH => {
                let heartbeat = read_json(request, MAX_CALL_BYTES).await?;
                self.heartbeats.forward(heartbeat).await
            }
            OPEN_SESSION_PATH => {
                let open = read_json(request, MAX_CALL_BYTES).await?;
                let request = BatchedRequest::OpenSession(open);
                self.commands.forward(request).await
            }
            COMMAND_PATH => {
                let command = read_json(request, MAX_CALL_BYTES).await?;
                check_allowed(&command)?;
                let request = BatchedRequest::Command(command);
                self.commands.forward(request).await
            }
            _ => {
                let message = "no such path at a relay: ask a steward";
                Err(CallError::rejected(StatusCode::NOT_FOUND, message))
            }
        }
    }
}

/// Rejects commands that only the leading coordinator may create.
fn check_allowed(command: &Command) -> Result<(), CallError> {
    match command {
        Command::OpenSession { .. } | Command::ExpireSession { .. } | Command::Batch { .. } => {
            let message = "only the leading steward writes this";
            Err(CallError::rejected(StatusCode::FORBIDDEN, message))
        }
        _ => Ok(()),
    }
}
