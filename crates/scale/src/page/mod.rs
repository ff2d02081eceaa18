//! To be written: `milletturn-scale page`.

use crate::Error;
use clap::Args;

/// Words of `page`.
#[derive(Debug, Clone, Args)]
pub struct Words {}

/// Runs it.
///
/// # Errors
/// What kept it from its end.
pub fn run(_: &Words) -> Result<(), Error> {
    Err(Error::Wrong("not written yet".into()))
}
