//! The store of configuration, a replicated register of items: rounds over more than half of the core machines, in
//! which any of them takes a write; and the store's own state on disk.
//!
//! Called by the program `cairn` and by tests of a fleet in memory. [`Store`] must never do I/O or read a clock; only
//! [`Disk`] touches files.

mod disk;
mod gathering;
mod group;
mod keeper;
mod messages;
mod store;

pub use disk::{Disk, Fsync, System};
pub use group::Group;
pub use keeper::{DiskState, Keeper, Saves};
pub use messages::{Accepted, Answer, Ask, Ballot, Candidate, Change, Kept, Outcome, Reply};
pub use store::{CallId, Output, Standing, Store};
