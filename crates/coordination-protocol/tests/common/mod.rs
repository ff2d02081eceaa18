//! Helpers for the tests of the protocol.

use tokio::task::LocalSet;

/// Runs a test on a single-threaded runtime, as the programs use it.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}
