//! The dead-letter store: messages that ended undelivered are stored, inspected, resolved, and redriven (sent again)
//! without taking effect twice.
//!
//! - [`redrive_decision`]: the pure function that decides whether a message may be sent again.
//! - [`redrive_schedule`]: which messages are redriven by rule, and when; does no I/O and gets the time as a parameter.
//! - [`record`]: dead letters as operators' commands show them; [`row`]: dead letters as rows of the store's file.
//! - [`store`]: the SQLite file.
//! - [`redrive_service`]: combines the store with the redrive rules.
//! - [`store_worker`]: runs the service on a thread of its own, which receives [`job`]s.
//! - [`engine_ports`]: the engine's interface to the store.
//! - [`control`]: the Unix socket for operators' commands.
//! - [`config`]: the settings, a TOML file.

pub mod config;
pub mod control;
mod effect_history;
pub mod engine_ports;
pub mod error;
pub mod job;
pub mod record;
mod redrive_candidates;
pub mod redrive_decision;
mod redrive_order;
pub mod redrive_schedule;
pub mod redrive_service;
pub mod row;
pub mod store;
pub mod store_worker;
