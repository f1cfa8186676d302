//! Shares of the process's memory limit for what the proxy holds for its clients and servers.

use ivygate_rpc::ResourceLimits;
use ivygate_runtime::{MemoryAccount, MemoryUse};
use std::sync::Arc;

/// Share of request bodies up to `SMALL_BODY_BYTES`.
const SMALL_REQUESTS_RATIO: f64 = 0.03;
/// Share of larger request bodies. At 250 MB it has room for the longest body that the configuration allows by default.
const LARGE_REQUESTS_RATIO: f64 = 0.27;
/// Share of responses that are received completely.
const BUFFERED_RESPONSES_RATIO: f64 = 0.06;
/// Share of responses that are forwarded while they are received.
const STREAMED_RESPONSES_RATIO: f64 = 0.08;
/// Share of calls from other processes.
const CALLS_RATIO: f64 = 0.05;
/// Share of the connections of clients, with the heads that they send.
const CONNECTIONS_RATIO: f64 = 0.24;
/// Memory of a client's connection with a head that is being received, in bytes.
const CONNECTION_BYTES: usize = 28 << 10;

/// Creates the account of a process with these limits.
pub(crate) fn memory_account(limits: ResourceLimits) -> Arc<MemoryAccount> {
    MemoryAccount::new(|kind| {
        limits.memory_share(match kind {
            MemoryUse::SmallRequests => SMALL_REQUESTS_RATIO,
            MemoryUse::LargeRequests => LARGE_REQUESTS_RATIO,
            MemoryUse::BufferedResponses => BUFFERED_RESPONSES_RATIO,
            MemoryUse::StreamedResponses => STREAMED_RESPONSES_RATIO,
            MemoryUse::LargeCalls => CALLS_RATIO,
        })
    })
}

/// Returns the number of clients' connections for which there is memory.
pub(crate) fn max_client_connections(limits: ResourceLimits) -> usize {
    limits.memory_share(CONNECTIONS_RATIO) / CONNECTION_BYTES
}
