//! Condition under which attempts may be sent to app servers.

/// Tells whether this process may send requests, asked just before the first byte of each attempt is written.
pub trait SendGuard {
    /// Returns whether an attempt may be sent now.
    fn may_send(&self) -> bool;
}
