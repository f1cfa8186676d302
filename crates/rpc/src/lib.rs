//! Calls between the processes of the system: HTTP/1.1 with JSON, settings, errors and logging.
//!
//! Each call is one request and one response, and every wait has an end. A call is never sent again here once a byte of it
//! may have left. This crate carries calls; it never decides anything.

mod client;
mod connection;
mod error;
mod logging;
mod program;
mod route_matcher;
mod server;
mod settings;

pub use client::RpcClient;
pub use error::{ErrorKind, RpcError};
pub use logging::init_logging;
pub use program::run_program;
pub use route_matcher::{RouteMatch, RouteMatcher};
pub use server::{json_response, serve, Handler, RpcRequest, RpcResponse, RpcServer, MAX_BODY_BYTES};
pub use settings::{
    BootstrapSettings, FailureTolerance, ListenAddresses, ResourceLimits, RuleBound, ServerListSettings,
    ServicePorts,
};
