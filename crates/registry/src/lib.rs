//! The registry: which nodes and servers there are. It watches nodes by their heartbeats, reads the platform's list
//! while that is its duty, and tells clients where to go.
//!
//! Called by the program `hutbook` and by tests of a fleet in memory. [`Book`] must never do I/O or read a clock.

mod book;
mod directory;
mod errand;
mod listing;

pub use book::{Beat, Beaten, Book, WARDEN, WATCHERS};
pub use directory::addresses;
pub use errand::{Errand, Order, Other};
pub use listing::{Page, Reading, Row, Server};
