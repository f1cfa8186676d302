//! The control state of the system: replicas of named, versioned items that merge item by item, and the validation of
//! configurations made of these items.
//!
//! Used by the store, the registry and the proxy. Does no I/O and reads no clock.
//!
//! ```
//! use ivygate_control_state::{apply_update, ConfigUpdate, Items, Table};
//!
//! let update = ConfigUpdate::parse(br#"{"upsert": {"backends": {"checkout": {"gen": "r1"}}}}"#).unwrap();
//! let (items, newer) = apply_update(&Items::default(), &update).unwrap();
//! assert_eq!(items.version(Table::Backends, "checkout"), 1);
//! assert_eq!(newer.len(), 1);
//! ```

mod config;
mod entry;
mod error;
mod item;
mod items;
mod schema;
mod table;
mod update;
mod validation;
mod version_history;

pub use config::{check_config, config_document, Config};
pub use error::ConfigError;
pub use item::{Item, Key};
pub use items::Items;
pub use schema::{Backend, ClientLimits, RequestKind, Route, Tenant, WeightedBackend};
pub use table::{Table, Tables, COORDINATOR_ROLE, MEMBERSHIP_ITEM};
pub use update::{apply_update, check_version, ConfigUpdate, VersionCheck};
pub use version_history::MAX_REMEMBERED_VERSIONS;
