//! The admin listener for operators, on an address of its own: readiness, metrics, drain and resume. Also the observer
//! that counts engine events for the metrics. Nothing in this package affects how messages are delivered.

mod metrics;
pub mod server;

pub use metrics::{Metrics, MetricsObserver};
