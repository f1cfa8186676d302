//! The decisions on the simulator's wire.

use std::process::ExitCode;

fn main() -> ExitCode {
    ivygate_adapter::main()
}
