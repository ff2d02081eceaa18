//! The admin listener for operators, on an address of its own: readiness, metrics, drain and resume. Also the observer
//! that counts engine events for the metrics. Apart from drain and resume, which decide whether the sender accepts
//! messages, nothing in this package affects how messages are processed.

mod metrics;
pub mod server;

pub use metrics::{Metrics, MetricsObserver};
