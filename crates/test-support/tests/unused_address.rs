//! A reserved address refuses connections even while other threads start processes.

use milletturn_test_support::UnusedAddress;
use std::net::TcpStream;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

/// Enough to notice the fault: when the address came from a listener that had just been dropped, 5 connections in 1000
/// were accepted.
const ADDRESS_COUNT: usize = 20_000;

#[test]
fn an_unused_address_refuses_connections_while_processes_are_started() {
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                while !is_done.load(Ordering::SeqCst) {
                    assert!(Command::new("true").status().expect("it runs").success());
                }
            });
        }
        let accepted = (0..ADDRESS_COUNT)
            .filter(|_| TcpStream::connect(UnusedAddress::bind_on([127, 77, 2, 1]).address).is_ok())
            .count();
        is_done.store(true, Ordering::SeqCst);
        assert_eq!(accepted, 0, "accepted of {ADDRESS_COUNT}");
    });
}
