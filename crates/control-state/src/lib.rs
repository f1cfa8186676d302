//! Control state of the whole system: named items, each with its own version, in copies that merge item by item;
//! and what makes a configuration of them sound.
//!
//! Called by the store, the registry and the proxy. Must never do I/O or read a clock.

mod amend;
mod config;
mod item;
mod judged;
mod past;

pub use amend::{amend, listing, verdict, Amended, Verdict};
pub use config::{check, Backend, Config, Effect, Limits, Route, Share, Tenant};
pub use item::{Item, Items, Key, Table, Tables};
pub use past::REMEMBERED;
