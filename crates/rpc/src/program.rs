//! Entry point shared by the programs of the system.

use crate::error::{ErrorKind, RpcError};
use crate::settings::BootstrapSettings;
use std::future::Future;

/// Exit code for invalid settings.
const EXIT_BAD_SETTINGS: i32 = 2;

/// Loads the settings and runs a program on a single-threaded runtime. Invalid settings end the process with exit code 2.
///
/// # Errors
/// Returns the error of the program, or an error if the runtime cannot be created.
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
