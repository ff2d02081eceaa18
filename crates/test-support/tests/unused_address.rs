//! An unused address refuses connections also while other threads start processes.

use milletturn_test_support::UnusedAddress;
use std::net::TcpStream;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

/// Five in a thousand were accepted where the address came from a listener that had just been dropped.
const ADDRESSES: usize = 20_000;

#[test]
fn an_unused_address_takes_no_connection_while_processes_are_started() {
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                while !over.load(Ordering::SeqCst) {
                    assert!(Command::new("true").status().expect("it runs").success());
                }
            });
        }
        let taken = (0..ADDRESSES)
            .filter(|_| TcpStream::connect(UnusedAddress::bind_on([127, 77, 2, 1]).address).is_ok())
            .count();
        over.store(true, Ordering::SeqCst);
        assert_eq!(taken, 0, "of {ADDRESSES}");
    });
}
