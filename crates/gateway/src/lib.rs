//! All decisions of a gateway that holds customers to their quotas before a shared back end: which server,
//! whether again, what is refused.
//!
//! Called by the runtime and the simulator's adapter, which feed [`Event`]s to a [`Gateway`] and carry out the
//! [`Action`]s that come back. It must never open a connection or read a clock.

mod interface;
mod rules;
mod settings;
mod setup;
mod sketch;
mod state;

pub use interface::*;
pub use rules::Gateway;
pub use settings::SettingsError;
pub use setup::{Bounds, Links, Setup};
pub use sketch::CountMinSketch;
