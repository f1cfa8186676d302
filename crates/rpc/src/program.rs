//! How each program of the system starts: settings, one thread, and the error that ends it.

use crate::error::{ErrorKind, RpcError};
use crate::settings::BootstrapSettings;
use std::future::Future;

/// The exit code for settings that can't be acted on.
const EXIT_BAD_SETTINGS: i32 = 2;

/// Reads the settings and runs a program by them on one thread. Settings that can't be acted on end the process with 2.
///
/// # Errors
/// What the program ended with.
pub fn run_program<F: Future<Output = Result<(), RpcError>>>(
    program: impl FnOnce(BootstrapSettings) -> F,
) -> miette::Result<()> {
    let settings = match BootstrapSettings::load() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            std::process::exit(EXIT_BAD_SETTINGS);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| RpcError::new(ErrorKind::Configuration, error.to_string()))?;
    tokio::task::LocalSet::new().block_on(&runtime, program(settings))?;
    Ok(())
}
