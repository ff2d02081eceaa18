//! One connection to an endpoint: opened, kept between calls, and reported with a reason when it is closed.

use crate::response_history::Fingerprint;
use crate::wire::{Wire, Wired};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use milletturn_engine::{CloseReason, Input, MAX_BODY_BYTES};
use milletturn_policy::EndpointId;
use std::collections::HashSet;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, mpsc};

/// An open connection to an endpoint, with at most one call at a time. Dropping it closes it.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) wire: Rc<Wire>,
    endpoint: EndpointId,
    close_reason: CloseReason,
    /// It has brought a rejection or an error: a copy of that would be taken for the next one.
    pub(crate) has_rejected: bool,
    /// The responses that it has brought.
    carried: HashSet<Fingerprint>,
    inputs: mpsc::UnboundedSender<Input>,
}

impl Connection {
    /// Connects to an endpoint. `number` is unique in this process, and `slot` is the descriptor's.
    pub(crate) async fn open(
        number: u64,
        endpoint: EndpointId,
        address: SocketAddr,
        slot: OwnedSemaphorePermit,
        inputs: &mpsc::UnboundedSender<Input>,
    ) -> Result<Self, Box<dyn Error>> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let told = inputs.clone();
        let wire = Rc::new(Wire::new(number, move |wait| {
            // nobody listens any more only when the process ends
            let _ = told.send(Input::RetryAfter { endpoint, wait });
        }));
        let wired = Wired {
            stream,
            wire: wire.clone(),
            _place: slot,
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BODY_BYTES)
            .handshake(TokioIo::new(wired))
            .await?;
        let watched = wire.clone();
        tokio::task::spawn_local(async move {
            // the call on it, if there is one, is told
            let _ = connection.await;
            watched.set_ended();
        });
        Ok(Connection {
            sender,
            wire,
            endpoint,
            close_reason: CloseReason::CallFailed,
            has_rejected: false,
            carried: HashSet::new(),
            inputs: inputs.clone(),
        })
    }

    /// Marks the connection as one that carries no call.
    pub(crate) fn set_idle(&mut self) {
        self.wire.set_idle();
        self.close_reason = CloseReason::Evicted;
    }

    /// Closes it after its call: no further one may be made on it.
    pub(crate) fn retire(mut self) {
        self.close_reason = CloseReason::NotReusable;
    }

    /// Whether it has brought a response with this content.
    pub(crate) fn has_carried(&self, response: Fingerprint) -> bool {
        self.carried.contains(&response)
    }

    /// Remembers the response to a call.
    pub(crate) fn record(&mut self, response: Fingerprint) {
        self.carried.insert(response);
    }

    /// Whether it can still carry a call. One that can't ended while it was idle.
    pub(crate) async fn is_ready(&mut self) -> bool {
        let ready = self.sender.ready().await.is_ok();
        if ready {
            self.close_reason = CloseReason::CallFailed;
        } else {
            self.ended_idle();
        }
        ready
    }

    /// Records that it ended with no call on it, by what its bytes tell.
    pub(crate) fn ended_idle(&mut self) {
        self.close_reason = match self.wire.unsolicited_data().is_some() {
            true => CloseReason::UnsolicitedData,
            false => CloseReason::ClosedByPeer,
        };
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.close_reason == CloseReason::Evicted && self.sender.is_closed() {
            self.ended_idle();
        }
        // nobody listens any more only when the process ends
        let _ = self.inputs.send(Input::ConnectionClosed {
            endpoint: self.endpoint,
            connection: self.wire.number(),
            calls: self.wire.calls(),
            reason: self.close_reason,
            unsolicited: self.wire.unsolicited_data(),
        });
    }
}
