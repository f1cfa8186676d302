//! Updates of the configuration: parsing an operator's call, and applying it to a replica.

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

/// The name of the one item in the table of limits.
pub(crate) const LIMITS_ITEM: &str = "limits";
/// Longest name of an item, in bytes.
const MAX_NAME_BYTES: usize = 255;
/// Versions are below this, so that something can always come after one.
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

/// Items by name. A name that comes twice is refused: which content its version is to carry can't be told.
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
                        return Err(A::Error::custom(format!("'{name}' is there twice")));
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

/// An operator's update: items, each valid by itself.
#[derive(Clone, Debug, Default)]
pub struct ConfigUpdate {
    /// The items; those without a body are removals.
    pub items: Vec<Item>,
}

/// Reads `r12`, or a bare number.
fn parse_version(table: Table, name: &str, value: Option<&Value>) -> Result<u64, ConfigError> {
    let version: Option<u64> = match value {
        Some(Value::String(text)) => text.strip_prefix('r').unwrap_or(text).parse().ok(),
        Some(Value::Number(number)) => number.as_u64(),
        _ => None,
    };
    let bad_version = || ConfigError::BadVersion { table, name: name.to_owned() };
    version.filter(|version| *version < VERSION_BOUND).ok_or_else(bad_version)
}

fn parse_call(body: &[u8]) -> Result<Call, ConfigError> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let call: Call = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        let place = if path == "." { String::new() } else { format!("{path}: ") };
        ConfigError::Unreadable { place, cause: error.into_inner().to_string() }
    })?;
    let trailing =
        |error: serde_json::Error| ConfigError::Unreadable { place: String::new(), cause: error.to_string() };
    deserializer.end().map_err(trailing)?;
    Ok(call)
}

/// Checks an item by itself, and gives it.
fn parse_upsert(table: Table, name: String, body: Value) -> Result<Item, ConfigError> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(ConfigError::BadName { table, max: MAX_NAME_BYTES });
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
    /// Names the first error with its place.
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

/// How an item of an update compares with a replica, by its version alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionCheck {
    /// Its version is higher than the current one, or there is none.
    Newer,
    /// It is the current item.
    Current,
    /// Its version is lower than the current one, and was acknowledged with this content.
    Acknowledged,
    /// Its version is lower than the current one, and was never acknowledged. It may be, once that is remembered.
    Superseded,
    /// Another content was acknowledged under its version.
    Conflict,
    /// Its version is so much lower than the current one that its content is not remembered.
    Forgotten,
}

/// Compares an item with a replica by its version. A replica without [`Table::VersionHistory`] knows of no version but the
/// current one.
pub fn check_version(items: &Items, item: &Item) -> VersionCheck {
    let Some(held) = items.get(item.key.table, &item.key.name) else { return VersionCheck::Newer };
    if item.version > held.version {
        return VersionCheck::Newer;
    }
    if item.version == held.version {
        let is_same = held.canonical_body() == item.canonical_body();
        return if is_same { VersionCheck::Current } else { VersionCheck::Conflict };
    }
    match VersionHistory::from_items(items, &item.key).lookup(item) {
        RememberedVersion::SameContent => VersionCheck::Acknowledged,
        RememberedVersion::NeverAcknowledged => VersionCheck::Superseded,
        RememberedVersion::OtherContent => VersionCheck::Conflict,
        RememberedVersion::Forgotten => VersionCheck::Forgotten,
    }
}

/// Remembers an item's version; gives the key of the item that keeps it.
fn remember_version(items: &mut Items, item: &Item) -> Key {
    let mut history = VersionHistory::from_items(items, &item.key);
    history.remember(item);
    let history_item = history.to_item(items, &item.key);
    let key = history_item.key.clone();
    items.merge(history_item);
    key
}

/// Applies an update to a replica: all of its newer items, or none. Gives the replica and the items that are new in it, each
/// name once: the update's, and the history of their versions.
///
/// # Errors
/// If a version of the update was acknowledged with another content, or that is not known any more; if the whole would not be
/// valid. The replica given is never changed.
pub fn apply_update(items: &Items, update: &ConfigUpdate) -> Result<(Items, Vec<Item>), ConfigError> {
    if update.items.iter().any(|item| check_version(items, item) == VersionCheck::Newer) {
        // What is known of the replica is known of its clone; what comes of it does not matter yet.
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
                    changed.insert(remember_version(&mut next, &replaced));
                }
                next.merge(item.clone());
                changed.insert(item.key.clone());
                has_newer = true;
            }
            VersionCheck::Superseded => {
                changed.insert(remember_version(&mut next, item));
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
