//! Configuration updates: parsing an operator's call and applying it to a replica.

use crate::error::ConfigError;
use crate::item::{Item, Key};
use crate::items::Items;
use crate::schema::{parse_body, Backend, ClientLimits, Route, Tenant};
use crate::table::Table;
use crate::version_history::{RememberedVersion, VersionHistory};
use serde::de::{Error as _, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt;

/// The name of the only item in [`Table::Limits`].
pub(crate) const LIMITS_ITEM: &str = "limits";
/// Maximum length of an item's name, in bytes.
const MAX_NAME_BYTES: usize = 255;
/// Exclusive upper bound of versions, so that every version has a successor.
const VERSION_BOUND: u64 = u64::MAX / 2;

#[derive(Deserialize)]
#[serde(expecting = "an object with \"upsert\", \"remove\" or both")]
struct Call {
    #[serde(default)]
    upsert: Upserts,
    #[serde(default)]
    remove: Removals,
}

#[derive(Default, Deserialize)]
#[serde(default, expecting = "an object with \"routes\", \"tenants\", \"backends\" and \"limits\"")]
struct Upserts {
    routes: ItemsByName,
    tenants: ItemsByName,
    backends: ItemsByName,
    limits: Option<Value>,
}

/// Items by name. A repeated name is rejected, since it is ambiguous which content its version stands for.
#[derive(Default)]
struct ItemsByName(Map<String, Value>);

impl<'de> Deserialize<'de> for ItemsByName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ItemsVisitor;
        impl<'de> Visitor<'de> for ItemsVisitor {
            type Value = ItemsByName;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("items by name, such as {\"checkout\": {\"gen\": \"r1\"}}")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<ItemsByName, A::Error> {
                let mut items = Map::new();
                while let Some((name, body)) = entries.next_entry::<String, Value>()? {
                    if items.contains_key(&name) {
                        return Err(A::Error::custom(format!("'{name}' appears twice")));
                    }
                    items.insert(name, body);
                }
                Ok(ItemsByName(items))
            }
        }
        deserializer.deserialize_map(ItemsVisitor)
    }
}

#[derive(Default, Deserialize)]
#[serde(default, expecting = "an object with the lists \"routes\", \"tenants\" and \"backends\"")]
struct Removals {
    routes: Vec<Removal>,
    tenants: Vec<Removal>,
    backends: Vec<Removal>,
}

#[derive(Deserialize)]
#[serde(expecting = "an object with \"name\" and \"gen\", such as {\"name\": \"checkout\", \"gen\": \"r2\"}")]
struct Removal {
    name: String,
    r#gen: Value,
}

/// An operator's update. Each of its items is valid by itself.
#[derive(Clone, Debug, Default)]
pub struct ConfigUpdate {
    /// The items of the update; an item without a body is a removal.
    pub items: Vec<Item>,
}

/// Parses a version such as `r12`, or a bare number.
fn parse_version(table: Table, name: &str, value: Option<&Value>) -> Result<u64, ConfigError> {
    let version: Option<u64> = match value {
        Some(Value::String(text)) => text.strip_prefix('r').unwrap_or(text).parse().ok(),
        Some(Value::Number(number)) => number.as_u64(),
        _ => None,
    };
    let bad_version = || ConfigError::InvalidVersion { table, name: name.to_owned() };
    version.filter(|version| *version < VERSION_BOUND).ok_or_else(bad_version)
}

fn parse_call(body: &[u8]) -> Result<Call, ConfigError> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let call: Call = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        let place = if path == "." { String::new() } else { format!("{path}: ") };
        ConfigError::Malformed { place, cause: error.into_inner().to_string() }
    })?;
    let trailing =
        |error: serde_json::Error| ConfigError::Malformed { place: String::new(), cause: error.to_string() };
    deserializer.end().map_err(trailing)?;
    Ok(call)
}

/// Validates an item by itself and returns it.
fn parse_upsert(table: Table, name: String, body: Value) -> Result<Item, ConfigError> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(ConfigError::InvalidName { table, max: MAX_NAME_BYTES });
    }
    let version = parse_version(table, &name, body.get("gen"))?;
    match table {
        Table::Routes => parse_body::<Route>(table, &name, &body).map(drop),
        Table::Tenants => parse_body::<Tenant>(table, &name, &body).map(drop),
        Table::Backends => parse_body::<Backend>(table, &name, &body).map(drop),
        _ => parse_body::<ClientLimits>(table, &name, &body).map(drop),
    }?;
    Ok(Item::new(table, name, version, Some(body)))
}

impl ConfigUpdate {
    /// Parses an operator's call.
    ///
    /// # Errors
    /// Returns the first error together with its location.
    pub fn parse(body: &[u8]) -> Result<Self, ConfigError> {
        let Call { upsert, remove } = parse_call(body)?;
        let limits = upsert.limits.into_iter().map(|limits| (LIMITS_ITEM.to_owned(), limits)).collect();
        let upserts = [
            (Table::Backends, upsert.backends.0),
            (Table::Routes, upsert.routes.0),
            (Table::Tenants, upsert.tenants.0),
            (Table::Limits, limits),
        ];
        let removals = [
            (Table::Routes, remove.routes),
            (Table::Tenants, remove.tenants),
            (Table::Backends, remove.backends),
        ];
        let mut items = Vec::new();
        for (table, bodies) in upserts {
            for (name, body) in bodies {
                items.push(parse_upsert(table, name, body)?);
            }
        }
        for (table, removals) in removals {
            for Removal { name, r#gen } in removals {
                let version = parse_version(table, &name, Some(&r#gen))?;
                items.push(Item::new(table, name, version, None));
            }
        }
        Ok(Self { items })
    }
}

/// The result of comparing an item of an update with a replica by its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionCheck {
    /// The version is higher than the current one, or there is no current item.
    Newer,
    /// The item equals the current one.
    Current,
    /// The version is lower than the current one and was acknowledged with this content.
    Acknowledged,
    /// The version is lower than the current one and was never acknowledged. It may be acknowledged once it is recorded
    /// in the history.
    Superseded,
    /// Different content was acknowledged under the version.
    Conflict,
    /// The version is below the version history, so its content is unknown.
    Forgotten,
}

/// Compares an item with a replica by its version. A replica without [`Table::VersionHistory`] knows only the current
/// version.
pub fn check_version(items: &Items, item: &Item) -> VersionCheck {
    let Some(current) = items.get(item.key.table, &item.key.name) else { return VersionCheck::Newer };
    if item.version > current.version {
        return VersionCheck::Newer;
    }
    if item.version == current.version {
        let is_same = current.canonical_body() == item.canonical_body();
        return if is_same { VersionCheck::Current } else { VersionCheck::Conflict };
    }
    match VersionHistory::from_items(items, &item.key).lookup(item) {
        RememberedVersion::SameContent => VersionCheck::Acknowledged,
        RememberedVersion::NeverAcknowledged => VersionCheck::Superseded,
        RememberedVersion::OtherContent => VersionCheck::Conflict,
        RememberedVersion::Forgotten => VersionCheck::Forgotten,
    }
}

/// Records an item's version in its history. Returns the key of the history's item.
fn record_version(items: &mut Items, item: &Item) -> Key {
    let mut history = VersionHistory::from_items(items, &item.key);
    history.record(item);
    let history_item = history.to_item(items, &item.key);
    let key = history_item.key.clone();
    items.merge(history_item);
    key
}

/// Applies all newer items of an update to a copy of a replica, or none of them. Returns the copy and its new items,
/// each name once: the items of the update, and the histories of their versions.
///
/// # Errors
/// If a version of the update was acknowledged with different content or is below the version history, or if the
/// configuration as a whole would be invalid.
pub fn apply_update(items: &Items, update: &ConfigUpdate) -> Result<(Items, Vec<Item>), ConfigError> {
    if update.items.iter().any(|item| check_version(items, item) == VersionCheck::Newer) {
        // Builds the validation index before cloning, so that the clone shares it. The result is not needed here.
        let _ = items.validate();
    }
    let mut next = items.clone();
    let mut changed = BTreeSet::new();
    let mut has_newer = false;
    let mut forgotten = None;
    for item in &update.items {
        let (table, name, version) = (item.key.table, &item.key.name, item.version);
        match check_version(&next, item) {
            VersionCheck::Current | VersionCheck::Acknowledged => {}
            VersionCheck::Newer => {
                if let Some(replaced) = next.get(table, name).cloned() {
                    changed.insert(record_version(&mut next, &replaced));
                }
                next.merge(item.clone());
                changed.insert(item.key.clone());
                has_newer = true;
            }
            VersionCheck::Superseded => {
                changed.insert(record_version(&mut next, item));
            }
            VersionCheck::Conflict => {
                return Err(ConfigError::VersionConflict { table, name: name.clone(), version });
            }
            VersionCheck::Forgotten => {
                forgotten.get_or_insert(ConfigError::VersionForgotten { table, name: name.clone(), version });
            }
        }
    }
    if let Some(error) = forgotten {
        return Err(error);
    }
    if has_newer {
        next.validate()?;
    }
    let newer = changed.iter().filter_map(|key| Some(Item::clone(next.get(key.table, &key.name)?))).collect();
    Ok((next, newer))
}
