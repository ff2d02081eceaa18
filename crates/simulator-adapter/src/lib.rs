//! The adapter to the simulator: the decision module on the simulator's text wire, many instances in one process.

mod actions;
mod base64;
mod error;
mod events;
mod fields;
mod input;
mod interner;
pub mod protocol;
