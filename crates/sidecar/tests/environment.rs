//! Checks of a configuration against the machine.

use milletturn_config::check_documents;
use milletturn_config::codes::Code;
use milletturn_config::document::Document;
use milletturn_sidecar::environment;
use milletturn_test_support::UnusedAddress;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Minimum number of port checks, and of connection attempts during them. A check that listens on the port would accept
/// a connection within the first few hundred attempts.
const CHECKS: usize = 2_000;

fn document(folder: &Path, http: SocketAddr) -> Document {
    let text = format!(
        "name = 'app'\nstate = '{}'\n[listen]\nhttp = '{http}'\noutcomes = '127.77.1.2:0'\n",
        folder.join("state").display()
    );
    check_documents(vec![Document::parse(&folder.join("app.toml"), text)]).remove(0)
}

fn has_port_finding(document: &Document) -> bool {
    document
        .findings
        .iter()
        .any(|finding| finding.code == Code::PortTaken)
}

#[test]
fn a_port_check_never_accepts_a_connection() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let address = UnusedAddress::bind_on([127, 77, 1, 1]).address;
    let (is_over, attempts) = (AtomicBool::new(false), AtomicUsize::new(0));
    let mut document = document(folder.path(), address);
    std::thread::scope(|scope| {
        let client = scope.spawn(|| {
            while !is_over.load(Ordering::SeqCst) {
                // any result other than a refused connection, such as a reset, means that the check's socket has
                // accepted the connection
                let result = TcpStream::connect(address).map_err(|error| error.kind());
                if result.err() != Some(ErrorKind::ConnectionRefused) {
                    return true;
                }
                attempts.fetch_add(1, Ordering::SeqCst);
            }
            false
        });
        let mut checks = 0;
        while !client.is_finished() && (checks < CHECKS || attempts.load(Ordering::SeqCst) < CHECKS)
        {
            environment::check(&mut document, environment::CheckMode::ReadOnly);
            checks += 1;
        }
        is_over.store(true, Ordering::SeqCst);
        assert!(
            !client.join().expect("the client thread ends"),
            "a connection was accepted after {checks} checks"
        );
    });
    assert!(!has_port_finding(&document));
}

#[test]
fn a_port_in_use_is_reported() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let other = TcpListener::bind("127.77.1.3:0").expect("a free port is bound");
    let mut document = document(
        folder.path(),
        other.local_addr().expect("the listener has an address"),
    );
    environment::check(&mut document, environment::CheckMode::ReadOnly);
    assert!(has_port_finding(&document), "{:?}", document.findings);
}
