//! Simulation of a fleet in one process and in virtual time: the real gateways with simulated servers, network and clients.
//! The seed determines everything.
//!
//! Used by tests and benchmarks. The simulation does no I/O, reads no clock and makes no decisions for nodes. Its results are
//! derived from what servers ran and what clients got; only ejection times are taken from the nodes.

mod node;
mod scenario;
mod server;
mod simulation;

pub use scenario::{Fault, FaultKind, PeerNetwork, Scenario};
pub use simulation::{simulate, SimulationResults};
