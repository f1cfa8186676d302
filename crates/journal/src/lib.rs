//! A journal of requests that must not run twice: where each was sent, and what came back.
//!
//! Called by the sidecar, which records, and by the command line, which asks. It must never choose a server, send
//! anything or decide that a request runs again. `order` holds what is known of one request and does no I/O; `store`
//! keeps it in an embedded store; `writer` is the thread that does so for a process that must not wait.

mod order;
mod store;
mod writer;

pub use order::{Attempt, Came, Order, State, Update};
pub use store::{Found, JournalError, Level, Store};
pub use writer::{Journal, NotRecorded};
