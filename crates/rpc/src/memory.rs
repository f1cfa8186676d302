//! Memory of the control processes (registry and configuration store) for the calls that they receive.

use crate::settings::ResourceLimits;
use ivygate_runtime::{MemoryAccount, MemoryUse};
use std::sync::Arc;

/// Share of the memory limit for small bodies of calls.
const SMALL_CALLS_RATIO: f64 = 0.1;
/// Share of the memory limit for larger bodies of calls. What is made of a call takes many times as much as its body.
const LARGE_CALLS_RATIO: f64 = 0.04;

/// Creates the account of a control process with these limits.
pub fn control_memory_account(limits: ResourceLimits) -> Arc<MemoryAccount> {
    MemoryAccount::new(|kind| match kind {
        MemoryUse::SmallRequests => limits.memory_share(SMALL_CALLS_RATIO),
        MemoryUse::LargeCalls => limits.memory_share(LARGE_CALLS_RATIO),
        // These processes forward nothing for clients.
        MemoryUse::LargeRequests | MemoryUse::BufferedResponses | MemoryUse::StreamedResponses => 0,
    })
}
