//! Adapter that exposes the gateway's decisions to the simulator.

use std::process::ExitCode;

fn main() -> ExitCode {
    ivygate_adapter::main()
}
