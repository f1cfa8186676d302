//! Fault-injection tests for fleets of the program: starts many processes of the released binary, places a relay on
//! every link, injects the faults of a scenario, and checks what servers executed and clients received.
//!
//! Used by the command `ivygate-fleet` and by tests. It must never ask a node what happened and must not depend on any
//! other package of this workspace, since a defect there could hide itself.
//!
//! `scenario` and `oracle` do no I/O. `relay`, `datagrams`, `server`, `discovery`, `sign_in`, `client` and `node` each
//! implement one part of the environment; `testbed` assembles them and `runner` runs a scenario on it.

mod accept;
mod client;
mod datagrams;
mod discovery;
mod http;
mod measure;
mod node;
mod oracle;
mod process_stat;
mod relay;
mod report;
mod runner;
mod scenario;
mod server;
mod sign_in;
mod testbed;
mod trace;

pub use datagrams::{DatagramLink, Flow};
pub use measure::{measure_link, LinkMeasurement};
pub use node::{run_guard, Program};
pub use oracle::{check_trace, Figures, Finding, Rules, Verdict};
pub use relay::{DirectionFaults, LimitAction, Link};
pub use report::report;
pub use runner::{run_once, run_scenario, run_until_conclusive, HarnessError, RunResult};
pub use scenario::{
    built_in_scenarios, ConfigDefect, Directions, Fault, LinkFault, LinkKind, LinkSelector, NodeKind,
    RequestFilter, Scenario, ScenarioError, Selection, Step, ZONES,
};
pub use trace::{
    Class, Drain, Effect, Execution, Exemption, Outcome, Request, Shutdown, Span, Trace, UnsolicitedData,
};
