//! Checks of a configuration against the machine: the state folder and its lock, free ports, and the endpoints file. A
//! read-only check creates nothing. If the lock file exists, a read-only check locks it too, until the returned lock is
//! dropped.

mod state_folder;

pub use state_folder::StateFolderLock;

use crate::endpoints;
use milletturn_config::codes::Code;
use milletturn_config::document::Document;
use milletturn_config::neighbours::LISTENERS;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpSocket;

/// Whether a check may create the state folder and its lock file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckMode {
    /// Create nothing; a state folder that is absent but could be created is not reported.
    ReadOnly,
    /// Create the state folder and its lock file, for a process that is about to run.
    Start,
}

/// Checks the parts of a configuration that depend on the machine, and adds findings to the document. Returns the lock
/// on the state folder; `None` if the folder could not be locked, or has no lock file in a read-only check.
pub fn check(document: &mut Document, mode: CheckMode) -> Option<StateFolderLock> {
    let lock = check_state_folder(document, mode);
    check_endpoints_file(document);
    check_ports(document);
    lock
}

fn check_state_folder(document: &mut Document, mode: CheckMode) -> Option<StateFolderLock> {
    let folder = document.path_of(&["state"])?;
    let span = document.span(&["state"]);
    let lock = match state_folder::lock(&folder, mode) {
        Ok(lock) => lock,
        Err(error) => {
            document.add(error.code(), span, error.to_string(), None);
            None
        }
    };
    if let Some(file_system) = state_folder::temporary_file_system(&folder) {
        document.add(
            Code::StateFolderTemporary,
            document.span(&["state"]),
            format!("it is on {file_system}"),
            None,
        );
    }
    lock
}

fn check_endpoints_file(document: &mut Document) {
    if let Some(path) = document.path_of(&["endpoints", "file"])
        && let Err(error) = endpoints::read(&path)
    {
        document.add(
            Code::InvalidEndpointsFile,
            document.span(&["endpoints", "file"]),
            error.to_string(),
            None,
        );
    }
}

fn check_ports(document: &mut Document) {
    for name in LISTENERS {
        let Some(text) = document.text_of(&["listen", name]) else {
            continue;
        };
        // a host name that can't be resolved is reported when the sidecar starts
        let Ok(address) = crate::plan::resolve(&text) else {
            continue;
        };
        if let Err(error) = try_bind(address) {
            let (code, span) = (Code::PortTaken, document.span(&["listen", name]));
            document.add(code, span, error.to_string(), None);
        }
    }
}

/// Binds an address without listening on it, then releases it. A listening socket could accept a client's connection,
/// which would be lost when the check ends.
fn try_bind(address: SocketAddr) -> io::Result<()> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)
}
