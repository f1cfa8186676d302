//! A fleet in one process: the decision modules as they are, before servers, links and clients that are made up, on a
//! clock that jumps from event to event. One seed decides all.
//!
//! Called by tests and measurements. It must not do I/O, read a clock, or decide anything for a node. What it says is
//! judged from what servers ran and clients got; when a node left a zone is the one thing that it takes from a node.

mod node;
mod scenario;
mod server;
mod world;

pub use scenario::{Fault, FaultKind, PeerNetwork, Scenario};
pub use world::{simulate, SimulationResults};
