//! Limits on the connections of clients.

use std::time::Duration;

/// Read buffer of a connection, in bytes; larger than the head of any request of the platform's protocol.
const BUFFER_BYTES: usize = 16 << 10;
/// Time limit for receiving a complete request: from the start of the connection, or from the first byte of a
/// later request. Without it, a client that sends nothing, or never the rest of a request, would hold its
/// descriptor forever.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2300);
/// Idle timeout of a connection that has carried several requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle timeout of a connection that has carried one request. Shorter, since many clients send one request
/// and keep the connection open.
const IDLE_TIMEOUT_AFTER_ONE: Duration = Duration::from_secs(5);
/// Time after which a client that reads nothing of its response is disconnected.
const READ_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits on the connections of clients.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum length of a connection's read buffer, in bytes.
    pub max_buffer_bytes: usize,
    /// Maximum length of a request head, in bytes, with strict checks of the message framing; `None` for
    /// hyper's checks only, which do not report ambiguous framing.
    pub strict_head_bytes: Option<usize>,
    /// Time after which a client that reads nothing of its response is disconnected.
    pub read_stall_timeout: Duration,
    /// Time limit for a request until its handler marks it as received.
    pub receive_timeout: Duration,
    /// Idle timeout of a connection that has carried several requests.
    pub idle_timeout: Duration,
    /// Idle timeout of a connection that has carried one request.
    pub idle_timeout_after_one: Duration,
}

impl ClientLimits {
    /// Returns the limits for the platform's clients, with this number of connections.
    pub fn new(max_connections: usize) -> Self {
        Self {
            max_connections,
            max_buffer_bytes: BUFFER_BYTES,
            strict_head_bytes: None,
            read_stall_timeout: READ_STALL_TIMEOUT,
            receive_timeout: RECEIVE_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            idle_timeout_after_one: IDLE_TIMEOUT_AFTER_ONE,
        }
    }
}
