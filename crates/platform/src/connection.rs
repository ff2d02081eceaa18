//! One connection to an endpoint: opened, kept between calls, and reported with a reason when it is closed.

use crate::attribution::ConnectionRecord;
use crate::connection_monitor::{MonitoredStream, Wire};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use milletturn_engine::{CloseReason, Input, MAX_BODY_BYTES};
use milletturn_policy::EndpointId;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::task::AbortHandle;

/// An open connection to an endpoint, with at most one call at a time. Dropping it closes it.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) wire: Rc<Wire>,
    endpoint: EndpointId,
    close_reason: CloseReason,
    /// What it has carried.
    pub(crate) record: ConnectionRecord,
    /// The task that reads and writes it.
    driver: AbortHandle,
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
        let monitored = MonitoredStream {
            stream,
            wire: wire.clone(),
            _place: slot,
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BODY_BYTES)
            .handshake(TokioIo::new(monitored))
            .await?;
        let watched = wire.clone();
        let driver = tokio::task::spawn_local(async move {
            // the call on it, if there is one, is told
            let _ = connection.await;
            watched.set_ended();
        });
        Ok(Connection {
            sender,
            wire,
            endpoint,
            close_reason: CloseReason::CallFailed,
            record: ConnectionRecord::default(),
            driver: driver.abort_handle(),
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
        // a call that is given up ends at the endpoint with its connection, also one that waits for the endpoint to close
        self.driver.abort();
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
