//! How each program of the system starts: settings read, one thread, and what ends it shown.

use crate::errors::{Fault, Kind};
use crate::settings::Boot;
use std::future::Future;

/// Reads the settings and runs a program by them on one thread. Settings that can't be acted on end it with 2.
///
/// # Errors
/// What the program ended with.
pub fn run<F: Future<Output = Result<(), Fault>>>(program: impl FnOnce(Boot) -> F) -> miette::Result<()> {
    let boot = match Boot::load() {
        Ok(boot) => boot,
        Err(fault) => {
            eprintln!("{:?}", miette::Report::new(fault));
            std::process::exit(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Fault::new(Kind::Setting, e.to_string()))?;
    tokio::task::LocalSet::new().block_on(&runtime, program(boot))?;
    Ok(())
}
