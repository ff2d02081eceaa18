//! Test harness that runs a cluster of processes of the program, injects network faults between them, and checks the
//! history of their actions.
//!
//! - [`cluster`]: a coordination service with a link between each pair of replicas, and its clients.
//! - [`program`]: the build of the program that a process runs, so that two versions can run side by side.
//! - [`process`]: one process, with its output and the signals sent to it.
//! - [`mod@controlled_link`]: a TCP link whose faults a test switches while connections use it.
//! - [`mod@scripted_link`]: a TCP link whose faults are set in advance for each connection.
//! - [`history`]: the history of a resource and the writes that processes report, with checks of their invariants.
//!
//! Tests wait for conditions and make assertions about histories, never about elapsed time.

pub mod cluster;
pub mod controlled_link;
pub mod history;
pub mod process;
pub mod program;
pub mod scripted_link;

pub use cluster::{ClientLinks, Cluster, SessionProxyProcess};
pub use controlled_link::{LinkControl, LinkMode, controlled_link};
pub use process::Process;
pub use program::Program;
pub use scripted_link::{ConnectionFault, scripted_link};
