//! What the tests of the protocol share.

use tokio::task::LocalSet;

/// Runs a test on one thread, as the programs do.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}
