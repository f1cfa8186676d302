//! Sidecar proxy: several server pools behind one process, selected by a route table.
//!
//! The command line starts it. It reads plain HTTP requests, determines their route, class, customer and plan, and
//! leaves all other decisions to the gateway of the pool: the sidecar itself never chooses a server, retries a request,
//! or rejects one for quota or overload.

mod active_config;
mod auth_checks;
mod check_cache;
mod failure_limits;
mod forward;
mod forwarded_request;
mod front;
mod gossip;
mod identity;
mod operator;
mod order_recorder;
mod pool;
mod response;
mod service;
mod sign_in;
mod upload;
mod zones;

pub use service::{run, Sidecar, StartError};
