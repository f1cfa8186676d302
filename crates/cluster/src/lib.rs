//! How the processes of the whole system know each other and pass news on: the copy that each holds, pulls of what is
//! new in it, the choice of whom to pull from, and places on a ring.
//!
//! Called by the three programs. Must never decide what the news means.

mod contact;
mod follower;
mod heartbeats;
mod news;
mod node;
mod ring;

pub use contact::{age_when_read, Contact};
pub use follower::Follower;
pub use heartbeats::Heartbeats;
pub use news::{follow, News, Pull, Pulled, Source};
pub use node::{Node, Role};
pub use ring::{place, watchers};

/// A point on the caller's steady clock, or a length of time, in milliseconds.
pub type Millis = f64;
