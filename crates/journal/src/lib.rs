//! Durable journal of requests that must not run twice: where each was sent, and the outcome of each attempt.
//!
//! The sidecar records orders and the command line queries them. This crate never chooses a server, sends a request or
//! decides to retry one. `order` is the state of one request and does no I/O; `store` persists it in an embedded
//! database; `writer` is the thread that writes on behalf of the event loop; `query` answers queries; `query_socket`
//! serves them over a Unix socket in the journal's folder.

mod order;
mod pseudonym;
mod query;
mod query_socket;
mod store;
mod writer;

pub use order::{Attempt, AttemptOutcome, EndReason, Order, State, Update};
pub use pseudonym::Pseudonymizer;
pub use query::{answer_query, QueryResponse};
pub use query_socket::{query_running_process, QuerySocket};
pub use store::{
    Cursor, DurabilityLevel, IdentifiedOrder, JournalError, RecordOutcome, Retention, Store, Usage,
    VerifyReport,
};
pub use writer::{Journal, RecordError};
