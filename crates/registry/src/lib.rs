//! The registry: which nodes and servers there are.
//!
//! Registries watch nodes by their heartbeats, tell clients which proxies to use, and take operators' calls. One of them, the
//! coordinator, also reads the platform's list of servers and allocates quota shares. [`Registry`] is the state machine without
//! I/O; the program `ivygate-registry` ([`run`]) carries messages and never decides anything.

mod cli;
mod coordinator;
mod liveness;
mod messages;
mod proxy_directory;
mod registry;
mod request_forwarding;
mod server_list;
mod server_sync;
mod service;
mod tombstones;

pub use cli::{run_command, Command};
pub use liveness::WATCHERS_PER_NODE;
pub use messages::{
    AntiEntropyRequest, HeartbeatRequest, HeartbeatResponse, UsageReportRequest, ANTI_ENTROPY_PATH,
    HEARTBEAT_PATH, USAGE_REPORT_PATH,
};
pub use proxy_directory::proxy_addresses;
pub use registry::Registry;
pub use request_forwarding::{ForwardTarget, OperatorRequest, PeerStore, RequestForwarding};
pub use server_list::{ServerListFetch, ServerListPage, ServerRecord, ServerRow};
pub use service::run;
