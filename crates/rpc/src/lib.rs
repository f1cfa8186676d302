//! What the processes of the whole system share to call each other: settings file, errors, matcher tree, server and
//! client of HTTP/1.1 with JSON, log lines.
//!
//! Called by the three programs and the packages between. Must never decide anything: it carries calls.

mod client;
mod errors;
mod logs;
mod matcher;
mod program;
mod server;
mod settings;

pub use client::Calls;
pub use errors::{Fault, Kind};
pub use logs::start as start_logs;
pub use matcher::{Found, Matcher};
pub use program::run as run_program;
pub use server::{answer_of, serve, CallServer, Handler, Incoming, Outgoing, BODY_MOST};
pub use settings::{Boot, Bound, Cloud, Listen, Machine, Ports, Survive};
