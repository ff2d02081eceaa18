//! Slopes of control, from hollow senders; and faults at size.

use crate::Error;
use clap::Args;

/// Words of `fleet`.
#[derive(Debug, Clone, Args)]
pub struct Slopes {}

/// Words of `faults`.
#[derive(Debug, Clone, Args)]
pub struct Faults {}

/// Measures the slopes of control.
///
/// # Errors
/// What kept it from its figures.
pub fn run(_: &Slopes) -> Result<(), Error> {
    Ok(())
}

/// Runs the faults at size.
///
/// # Errors
/// What kept it from its figures.
pub fn faults(_: &Faults) -> Result<(), Error> {
    Ok(())
}
