//! Compares the `fleet` commands and the responses of coordinators and session proxies with golden files.

mod answers;
mod golden;
mod held;
mod output;
mod printed;
mod stand_in;

const PROGRAM: &str = env!("CARGO_BIN_EXE_milletturn");
