//! ivygate makes the decisions of a gateway that holds customers to their quotas before a shared
//! back end. It opens no connection and reads no clock: the caller feeds [`Event`]s to a [`Gateway`]
//! and carries out the [`Action`]s that come back.

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
