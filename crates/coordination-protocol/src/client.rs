//! The client of the protocol: one connection to one server, opened on the first call.

use crate::messages::{
    CALL_HEADER, COORDINATOR_HEADER, ErrorResponse, GROUP_HEADER, MAX_BODY_BYTES, ORIGIN_HEADER,
    PROTOCOL_VERSION, VERSION_HEADER,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A client of one coordinator, session proxy or shard map, with one connection and one call at a time. The connection
/// is reused only if the server's responses repeat the number of the call in [`CALL_HEADER`].
#[derive(Debug)]
pub struct Client {
    address: String,
    group: String,
    origin: Option<String>,
    connection: Option<Connection>,
}

/// An open connection, which is dropped after a failed call.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Number of calls made on this connection.
    calls: u64,
}

/// A response that arrived, whether the call succeeded or was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply<A> {
    /// The number of the coordinator that responded; `None` from a session proxy or a shard map.
    pub coordinator: Option<u64>,
    /// The response's value, or why the server rejected the call.
    pub result: Result<A, ErrorResponse>,
}

/// Why a call got no valid response.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The call was not sent, so the server can't have executed it.
    #[error("{address} was not reached: {source}")]
    NotSent {
        /// The server's address.
        address: String,
        /// The failure, before the client began to send the request.
        source: CallFailure,
    },
    /// The call may have been sent but got no valid response, so the server may or may not have executed it.
    #[error("{address} did not answer, and may have done what was asked: {source}")]
    OutcomeUnknown {
        /// The server's address.
        address: String,
        /// The failure, after the client had begun to send the request.
        source: CallFailure,
    },
}

/// The cause of a [`ClientError`].
#[derive(Debug, thiserror::Error)]
pub enum CallFailure {
    /// The request can't be serialized as JSON.
    #[error(transparent)]
    Encode(serde_json::Error),
    /// The request has a path or header that HTTP does not allow.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// No connection could be opened.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// The connection broke, or the response is not valid HTTP.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The response's body is incomplete, or longer than [`MAX_BODY_BYTES`].
    #[error(transparent)]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The response's body is not the JSON expected for this call.
    #[error("the body of the response with status {status} can't be parsed: {source}")]
    Decode {
        /// The response's status.
        status: StatusCode,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The response has the number of another call of the connection, or has no number although the connection was
    /// reused.
    #[error(
        "expected the response to call {expected} of the connection, got call number {found:?}"
    )]
    OtherCall {
        /// The number of the call that was made, from 1 on each connection.
        expected: u64,
        /// The call number in the response, if it has one.
        found: Option<u64>,
    },
    /// No response arrived within this time limit.
    #[error("nothing within {} ms", .0.as_millis())]
    Timeout(Duration),
}

impl Client {
    /// Creates a client of the server at this address, for this group. The connection is opened on the first call.
    pub fn new(address: impl Into<String>, group: impl Into<String>) -> Self {
        Self {
            address: address.into(),
            group: group.into(),
            origin: None,
            connection: None,
        }
    }

    /// Sets the value of [`ORIGIN_HEADER`], the identifier of the group's initial state. Coordinators reject
    /// Raft calls without it. Clients that make no Raft calls need no origin and send an empty value.
    #[must_use]
    pub fn with_origin(self, origin: impl Into<String>) -> Self {
        Self {
            origin: Some(origin.into()),
            ..self
        }
    }

    /// The server's address, as it was given to [`Client::new`].
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Makes one call and waits for its response; `time_limit` includes opening the connection. A call with a body is a
    /// `POST`, one without a `GET`. After an error the connection is closed.
    ///
    /// # Errors
    /// If no valid response arrives; [`ClientError::OutcomeUnknown`] if the call may have reached the server.
    pub async fn call<A: DeserializeOwned>(
        &mut self,
        path: &str,
        body: Option<&impl Serialize>,
        time_limit: Duration,
    ) -> Result<Reply<A>, ClientError> {
        let mut sent = false;
        let source = match timeout(time_limit, self.try_call(path, body, &mut sent)).await {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(failure)) => failure,
            Err(_) => CallFailure::Timeout(time_limit),
        };
        self.connection = None;
        let address = self.address.clone();
        Err(if sent {
            ClientError::OutcomeUnknown { address, source }
        } else {
            ClientError::NotSent { address, source }
        })
    }

    async fn try_call<A: DeserializeOwned>(
        &mut self,
        path: &str,
        body: Option<&impl Serialize>,
        sent: &mut bool,
    ) -> Result<Reply<A>, CallFailure> {
        let mut connection = match self.connection.take() {
            Some(connection) if !connection.sender.is_closed() => connection,
            _ => self.connect().await?,
        };
        connection.calls += 1;
        let call = connection.calls;
        let request = self.request(path, body, call)?;
        connection.sender.ready().await?;
        *sent = true;
        let response = connection.sender.send_request(request).await?;
        let reply = read_reply(response).await?;
        if reply.call == Some(call) {
            self.connection = Some(connection);
        } else if reply.call.is_some() || call > 1 {
            return Err(CallFailure::OtherCall {
                expected: call,
                found: reply.call,
            });
        }
        decode(reply)
    }

    fn request(
        &self,
        path: &str,
        body: Option<&impl Serialize>,
        call: u64,
    ) -> Result<Request<Full<Bytes>>, CallFailure> {
        let (method, bytes) = match body {
            Some(body) => (
                Method::POST,
                serde_json::to_vec(body).map_err(CallFailure::Encode)?,
            ),
            None => (Method::GET, Vec::new()),
        };
        Ok(Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, &self.address)
            .header(GROUP_HEADER, &self.group)
            .header(VERSION_HEADER, PROTOCOL_VERSION)
            .header(ORIGIN_HEADER, self.origin.as_deref().unwrap_or_default())
            .header(CALL_HEADER, call)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes)))?)
    }

    async fn connect(&self) -> Result<Connection, CallFailure> {
        let stream = TcpStream::connect(&self.address).await?;
        // best effort: without TCP_NODELAY, calls are only slower
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        // the task ends when the client drops the sender or the server closes the connection; its error is also
        // returned by the call
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection { sender, calls: 0 })
    }
}

/// A response whose body was read completely but not yet parsed.
struct RawReply {
    status: StatusCode,
    coordinator: Option<u64>,
    /// The call number in the response; `None` from a server that doesn't repeat it.
    call: Option<u64>,
    body: Bytes,
}

async fn read_reply(response: Response<Incoming>) -> Result<RawReply, CallFailure> {
    let status = response.status();
    let number = |name| {
        let header = response.headers().get(name);
        header.and_then(|value| value.to_str().ok()?.parse().ok())
    };
    let (coordinator, call) = (number(COORDINATOR_HEADER), number(CALL_HEADER));
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(CallFailure::Body)?
        .to_bytes();
    Ok(RawReply {
        status,
        coordinator,
        call,
        body,
    })
}

fn decode<A: DeserializeOwned>(reply: RawReply) -> Result<Reply<A>, CallFailure> {
    let RawReply {
        status,
        coordinator,
        body,
        ..
    } = reply;
    let unreadable = |source| CallFailure::Decode { status, source };
    let result = if status.is_success() {
        Ok(serde_json::from_slice(&body).map_err(unreadable)?)
    } else {
        Err(serde_json::from_slice(&body).map_err(unreadable)?)
    };
    Ok(Reply {
        coordinator,
        result,
    })
}
