//! A connection to an endpoint, which may carry several calls one after the other. The reason for closing a connection
//! is reported to the engine.

use crate::attribution::CallHistory;
use crate::connection_monitor::{ConnectionMonitor, MonitoredStream};
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

/// An open connection to an endpoint, with at most one call at a time. Dropping the value closes the connection.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) monitor: Rc<ConnectionMonitor>,
    endpoint: EndpointId,
    /// The reason that is reported if the connection is closed now.
    close_reason: CloseReason,
    /// The calls that the connection has carried.
    pub(crate) history: CallHistory,
    /// The task that reads and writes the socket.
    driver: AbortHandle,
    inputs: mpsc::UnboundedSender<Input>,
}

impl Connection {
    /// Connects to an endpoint. `number` is unique in this process; `descriptor` is the permit for the file descriptor.
    pub(crate) async fn open(
        number: u64,
        endpoint: EndpointId,
        address: SocketAddr,
        descriptor: OwnedSemaphorePermit,
        inputs: &mpsc::UnboundedSender<Input>,
    ) -> Result<Self, Box<dyn Error>> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let retry_after_inputs = inputs.clone();
        let monitor = Rc::new(ConnectionMonitor::new(number, move |retry_after| {
            // sending fails only when the process ends
            let _ = retry_after_inputs.send(Input::RetryAfter {
                endpoint,
                retry_after,
            });
        }));
        let monitored = MonitoredStream {
            stream,
            monitor: monitor.clone(),
            _descriptor: descriptor,
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BODY_BYTES)
            .handshake(TokioIo::new(monitored))
            .await?;
        let driver_monitor = monitor.clone();
        let driver = tokio::task::spawn_local(async move {
            // hyper reports the error to the call on the connection, if there is one
            let _ = connection.await;
            driver_monitor.set_ended();
        });
        Ok(Connection {
            sender,
            monitor,
            endpoint,
            close_reason: CloseReason::CallFailed,
            history: CallHistory::default(),
            driver: driver.abort_handle(),
            inputs: inputs.clone(),
        })
    }

    /// Marks the connection as one that carries no call.
    pub(crate) fn set_idle(&mut self) {
        self.monitor.set_idle();
        self.close_reason = CloseReason::Evicted;
    }

    /// Closes the connection after its call, because it may not carry another one.
    pub(crate) fn retire(mut self) {
        self.close_reason = CloseReason::NotReusable;
    }

    /// Waits until the connection can carry the next call; false if it was closed while it was idle.
    pub(crate) async fn wait_until_ready(&mut self) -> bool {
        let is_ready = self.sender.ready().await.is_ok();
        if is_ready {
            self.close_reason = CloseReason::CallFailed;
        } else {
            self.set_closed_while_idle();
        }
        is_ready
    }

    /// Sets the close reason of a connection that was closed while idle: unsolicited data, or a close by the endpoint.
    pub(crate) fn set_closed_while_idle(&mut self) {
        self.close_reason = match self.monitor.unsolicited_data().is_some() {
            true => CloseReason::UnsolicitedData,
            false => CloseReason::ClosedByPeer,
        };
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Aborting the driver closes the socket, so that the endpoint notices an aborted call. This also applies while
        // the connection waits for the endpoint to close.
        self.driver.abort();
        if self.close_reason == CloseReason::Evicted && self.sender.is_closed() {
            self.set_closed_while_idle();
        }
        // sending fails only when the process ends
        let _ = self.inputs.send(Input::ConnectionClosed {
            endpoint: self.endpoint,
            connection: self.monitor.number(),
            calls: self.monitor.call_count(),
            reason: self.close_reason,
            unsolicited: self.monitor.unsolicited_data(),
        });
    }
}
