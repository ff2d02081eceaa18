//! Starts the admin listener of a running sender, for the platform's sender and for the sidecar.

use crate::assemble::Running;
use milletturn_admin::server::{AdminState, serve};
use milletturn_logging::log;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Binds the admin listener to the address, and serves it in a task of its own.
///
/// # Errors
/// If the address can't be bound.
pub(crate) async fn start_admin_listener(
    name: &str,
    address: SocketAddr,
    running: &Running,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    log(format_args!(
        "{name}: operators on {}",
        listener.local_addr()?
    ));
    let state = AdminState {
        metrics: running.metrics.clone(),
        inputs: running.inputs.clone(),
        gate: running.gate.clone(),
        ready: running.ready.clone(),
        last_status: Cell::default(),
    };
    tokio::task::spawn_local(serve(listener, Rc::new(state)));
    Ok(())
}
