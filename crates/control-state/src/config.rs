//! The operator's configuration as typed values, and its validation as a whole.

use crate::error::ConfigError;
use crate::items::Items;
use crate::schema::{parse_body, Backend, ClientLimits, Route, Tenant};
use crate::table::Table;
use crate::update::LIMITS_ITEM;
use serde_json::{Map, Value};
use std::collections::HashMap;
use validator::Validate;

/// The operator's current items as typed values.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Routes by name.
    pub routes: HashMap<String, Route>,
    /// Tenants by name.
    pub tenants: HashMap<String, Tenant>,
    /// Backends by name.
    pub backends: HashMap<String, Backend>,
    /// Limits on clients, if set.
    pub limits: Option<ClientLimits>,
    /// `true` if a tenant is configured or was at any time. Removed tenants leave tombstones, which are durable.
    pub has_had_tenants: bool,
}

fn parse_table<T: serde::de::DeserializeOwned + Validate>(
    items: &Items,
    table: Table,
) -> Result<HashMap<String, T>, ConfigError> {
    items.live(table).map(|(name, body)| Ok((name.to_owned(), parse_body(table, name, body)?))).collect()
}

impl Config {
    /// Parses the current items of a replica.
    ///
    /// # Errors
    /// Returns an error that names the first item that can't be parsed.
    pub fn from_items(items: &Items) -> Result<Self, ConfigError> {
        Ok(Self {
            routes: parse_table(items, Table::Routes)?,
            tenants: parse_table(items, Table::Tenants)?,
            backends: parse_table(items, Table::Backends)?,
            limits: parse_table(items, Table::Limits)?.into_values().next(),
            has_had_tenants: items.all(Table::Tenants.set()).next().is_some(),
        })
    }
}

/// Checks that the current items of a replica are valid as a whole.
///
/// # Errors
/// Returns an error that names the first item or items that violate a rule.
pub fn check_config(items: &Items) -> Result<Config, ConfigError> {
    let config = Config::from_items(items)?;
    check_routes(&config)?;
    check_keys(&config)?;
    Ok(config)
}

fn check_routes(config: &Config) -> Result<(), ConfigError> {
    let mut prefixes: HashMap<(String, &str), &str> = HashMap::new();
    for (name, route) in &config.routes {
        let backends = route.weighted_backends();
        if backends.is_empty() {
            return Err(ConfigError::NoBackend { route: name.clone() });
        }
        if let Some(unknown) = backends.iter().find(|share| !config.backends.contains_key(&share.backend)) {
            let backend = unknown.backend.clone();
            return Err(ConfigError::UnknownBackend { route: name.clone(), backend });
        }
        let prefix = (route.vhost.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(other) = prefixes.insert(prefix, name) {
            return Err(ConfigError::SharedPrefix { first: other.to_owned(), second: name.clone() });
        }
    }
    Ok(())
}

fn check_keys(config: &Config) -> Result<(), ConfigError> {
    let mut keys: HashMap<&str, &str> = HashMap::new();
    for (name, tenant) in &config.tenants {
        for key in &tenant.api_keys {
            match keys.insert(key, name) {
                Some(other) if other != name => {
                    return Err(ConfigError::SharedKey { first: name.clone(), second: other.to_owned() });
                }
                _ => {}
            }
        }
    }
    Ok(())
}

/// Returns the current items of a replica in the format of the operator's updates.
pub fn config_document(items: &Items) -> Value {
    let mut document = Map::new();
    for table in [Table::Routes, Table::Tenants, Table::Backends] {
        let bodies = items.live(table).map(|(name, body)| (name.to_owned(), body.clone())).collect();
        document.insert(table.as_str().to_owned(), Value::Object(bodies));
    }
    if let Some(limits) = items.body(Table::Limits, LIMITS_ITEM) {
        document.insert(LIMITS_ITEM.to_owned(), limits.clone());
    }
    Value::Object(document)
}
