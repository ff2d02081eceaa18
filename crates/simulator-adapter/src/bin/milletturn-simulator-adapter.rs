//! Runs the decision module for the simulator: reads events from standard input and writes actions to standard
//! output.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let output = io::BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match milletturn_simulator_adapter::protocol::Host::new().run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("milletturn-simulator-adapter: {error}");
            ExitCode::from(2)
        }
    }
}
