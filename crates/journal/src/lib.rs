//! A journal of requests that must not run twice: where each was sent, and what came back.
//!
//! Called by the sidecar, which records, and by the command line, which asks. It must never choose a server, send
//! anything or decide that a request runs again. `order` holds what is known of one request and does no I/O; `store`
//! keeps it in an embedded store; `writer` is the thread that does so for a process that must not wait; `asking` answers
//! questions, also over a socket in the folder, which is `desk`.

mod asking;
mod desk;
mod order;
mod pseudonym;
mod store;
mod writer;

pub use asking::{answer_query, QueryResponse};
pub use desk::{query_running_process, QuerySocket};
pub use order::{Attempt, AttemptOutcome, EndReason, Order, State, Update};
pub use pseudonym::Pseudonymizer;
pub use store::{
    Cursor, DurabilityLevel, IdentifiedOrder, JournalError, RecordOutcome, Retention, Store, Usage,
    VerifyReport,
};
pub use writer::{Journal, RecordError};
