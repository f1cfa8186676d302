//! Registry of the nodes and servers of the system.
//!
//! Registries monitor nodes by their heartbeats, direct clients to proxies, and handle operators' calls. One of them, the
//! coordinator, also reads the platform's server list and allocates quota shares. [`Registry`] is the state machine without
//! I/O. The service ([`run`]) transports its messages and makes no decisions.

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
