//! Many processes of the program together while parts fail: starts them as they are shipped, puts a relay on every
//! link, plays a scenario's faults, and judges from what servers ran and clients got.
//!
//! Called by the command `ivygate-fleet` and its tests. It must never ask a node what happened, nor use any other
//! package of this workspace: a fault of theirs would hide itself.
//!
//! `scenario` and `oracle` do no I/O; `relay`, `server`, `discovery`, `client`, `node` each stand in for one part of the
//! world; `world` puts them together, `play` makes things happen in it.

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
pub use measure::{measure, Measured};
pub use node::{guard, Program};
pub use oracle::{judge, Figures, Finding, Rules, Verdict};
pub use relay::{DirectionFaults, LimitAction, Link};
pub use report::report;
pub use runner::{run_once, run_scenario, run_until_conclusive, HarnessError, RunResult};
pub use scenario::{
    shipped, ConfigDefect, Directions, Fault, LinkFault, LinkKind, LinkSelector, NodeKind, RequestFilter,
    Scenario, ScenarioError, Selection, Step, ZONES,
};
pub use trace::{
    Class, Drain, Effect, Execution, Exemption, Outcome, Request, Shutdown, Span, Trace, UnsolicitedData,
};
