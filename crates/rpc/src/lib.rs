//! Remote procedure calls between the processes of the system over HTTP/1.1 with JSON, and the settings, errors and logging
//! that all processes share.
//!
//! A call is one request and one response with a timeout. The client never resends a call once a byte of it may have been sent.
//! This crate transports calls and makes no decisions about their content.

mod client;
mod connection;
mod error;
mod logging;
mod memory;
mod program;
mod route_matcher;
mod server;
mod settings;
mod turn_recorder;

pub use client::RpcClient;
pub use error::{ErrorKind, RpcError};
pub use ivygate_runtime::MemoryAccount;
pub use logging::init_logging;
pub use memory::control_memory_account;
pub use program::run_program;
pub use route_matcher::{RouteMatch, RouteMatcher};
pub use server::{
    json_response, serve, serve_with, Handler, RpcRequest, RpcResponse, RpcServer, RpcServerOptions,
    MAX_BODY_BYTES,
};
pub use settings::{
    BootstrapSettings, FailureTolerance, ListenAddresses, ResourceLimits, RuleBound, ServerListSettings,
    ServicePorts,
};
pub use turn_recorder::TurnRecorder;
