//! Adapter between the simulator and the decision module (`milletturn-policy`).
//!
//! The simulator sends events as lines of text and receives actions as lines of text; see [`protocol`]. One process
//! runs many independent instances of the decision module.

mod actions;
mod base64;
mod error;
mod events;
mod fields;
mod input;
mod interner;
pub mod protocol;
