//! Compares the `fleet` commands and the responses of coordinators and session proxies with golden files.

mod fake_coordinator;
mod golden;
mod hold_command;
mod output;
mod printed;
mod protocol_responses;

const PROGRAM: &str = env!("CARGO_BIN_EXE_milletturn");
