//! The operator's calls: what a body says, what it makes of a copy, and how a copy is read back.

use crate::config::{typed, Backend, Limits, Route, Tenant};
use crate::item::{Item, Items, Key, Table};
use crate::past::{Known, Past};
use ivygate_rpc::{Fault, Kind};
use serde::de::{Error as _, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt;

/// The name of the one item in the table of limits.
const LIMITS: &str = "limits";
/// Longest name of an item.
const NAME_MOST: usize = 255;

#[derive(Deserialize)]
struct Call {
    #[serde(default)]
    upsert: Upsert,
    #[serde(default)]
    remove: Remove,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Upsert {
    routes: Named,
    tenants: Named,
    backends: Named,
    limits: Option<Value>,
}

/// Items by name. A name that comes twice is refused: which content its number is to carry can't be told.
#[derive(Default)]
struct Named(Map<String, Value>);

impl<'de> Deserialize<'de> for Named {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Names;
        impl<'de> Visitor<'de> for Names {
            type Value = Named;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("items by name")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut from: A) -> Result<Named, A::Error> {
                let mut all = Map::new();
                while let Some((name, body)) = from.next_entry::<String, Value>()? {
                    if all.contains_key(&name) {
                        return Err(A::Error::custom(format!("'{name}' is there twice")));
                    }
                    all.insert(name, body);
                }
                Ok(Named(all))
            }
        }
        from.deserialize_map(Names)
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Remove {
    routes: Vec<Gone>,
    tenants: Vec<Gone>,
    backends: Vec<Gone>,
}

#[derive(Deserialize)]
struct Gone {
    name: String,
    r#gen: Value,
}

/// What a call makes of a copy.
#[derive(Clone, Debug, Default)]
pub struct Amended {
    /// The items that are newer than what the copy holds.
    pub items: Vec<Item>,
}

fn malformed(what: impl Into<String>) -> Fault {
    Fault::new(Kind::Malformed, what)
}

/// Reads `r12`, or a bare number.
fn version(table: Table, name: &str, value: Option<&Value>) -> Result<u64, Fault> {
    let read = match value {
        Some(Value::String(text)) => text.strip_prefix('r').unwrap_or(text).parse().ok(),
        Some(Value::Number(number)) => number.as_u64(),
        _ => None,
    };
    // Guards against a version so high that nothing could come after it.
    read.filter(|version| *version < u64::MAX / 2)
        .ok_or_else(|| malformed(format!("{table:?} '{name}': gen is missing or no version")))
}

impl Amended {
    /// Reads a call: its items, each sound by itself.
    ///
    /// # Errors
    /// Names the first fault.
    pub fn read(body: &[u8]) -> Result<Self, Fault> {
        let call: Call = serde_json::from_slice(body).map_err(|e| malformed(e.to_string()))?;
        let mut items = Vec::new();
        let upsert = call.upsert;
        let limits = upsert.limits.into_iter().map(|limits| (LIMITS.to_owned(), limits)).collect();
        let sets = [
            (Table::Backends, upsert.backends.0),
            (Table::Routes, upsert.routes.0),
            (Table::Tenants, upsert.tenants.0),
            (Table::Limits, limits),
        ];
        for (table, set) in sets {
            for (name, body) in set {
                if name.is_empty() || name.len() > NAME_MOST {
                    return Err(malformed(format!("{table:?}: a name is empty or too long")));
                }
                let version = version(table, &name, body.get("gen"))?;
                match table {
                    Table::Routes => typed::<Route>(table, &name, &body).map(drop),
                    Table::Tenants => typed::<Tenant>(table, &name, &body).map(drop),
                    Table::Backends => typed::<Backend>(table, &name, &body).map(drop),
                    _ => typed::<Limits>(table, &name, &body).map(drop),
                }?;
                items.push(Item::new(table, name, version, Some(body)));
            }
        }
        let remove = call.remove;
        let sets = [
            (Table::Routes, remove.routes),
            (Table::Tenants, remove.tenants),
            (Table::Backends, remove.backends),
        ];
        for (table, set) in sets {
            for gone in set {
                let version = version(table, &gone.name, Some(&gone.r#gen))?;
                items.push(Item::new(table, gone.name, version, None));
            }
        }
        Ok(Self { items })
    }
}

/// What an item of a call is to a copy, by its number alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its number is higher than what stands, or nothing stands.
    Newer,
    /// It stands.
    Stands,
    /// Its number is lower than what stands and was acknowledged with this content.
    Acknowledged,
    /// Its number is lower than what stands and was never acknowledged: it may be, once remembered.
    Obsolete,
    /// Another content was acknowledged under its number.
    Conflict,
    /// Its number is so far below what stands that nobody remembers what it carried.
    Forgotten,
}

/// Judges an item by its number. A copy without `Table::Past` knows of no number but the one that stands.
pub fn verdict(copy: &Items, item: &Item) -> Verdict {
    match copy.get(item.key.table, &item.key.name) {
        None => Verdict::Newer,
        Some(held) if held.version < item.version => Verdict::Newer,
        Some(held) if held.version == item.version && held.text() == item.text() => Verdict::Stands,
        Some(held) if held.version == item.version => Verdict::Conflict,
        Some(_) => match Past::read(copy, &item.key).known(item) {
            Known::Same => Verdict::Acknowledged,
            Known::Never => Verdict::Obsolete,
            Known::Other => Verdict::Conflict,
            Known::Forgotten => Verdict::Forgotten,
        },
    }
}

fn remember(copy: &mut Items, item: &Item) -> Key {
    let mut past = Past::read(copy, &item.key);
    past.remember(item);
    let kept = past.item(copy, &item.key);
    let key = kept.key.clone();
    copy.merge(kept);
    key
}

/// Applies a call to a copy: either all of its newer items, or none. Gives the copy and the items that are new in it,
/// each name once: the call's, and what is remembered of their numbers.
///
/// # Errors
/// `Conflict` if a number of the call was acknowledged with another content; `Forgotten` if that is not known any more;
/// `Invalid` if the whole would not be sound. The copy is then as it was.
pub fn amend(copy: &Items, call: &Amended) -> Result<(Items, Vec<Item>), Fault> {
    if call.items.iter().any(|item| verdict(copy, item) == Verdict::Newer) {
        // What is known of the copy is known of its clone; what comes of it doesn't matter yet.
        let _ = copy.sound();
    }
    let mut next = copy.clone();
    let mut changed = BTreeSet::new();
    let mut judged = false;
    let mut forgotten = None;
    for item in &call.items {
        let (table, name, version) = (item.key.table, &item.key.name, item.version);
        match verdict(&next, item) {
            Verdict::Stands | Verdict::Acknowledged => {}
            Verdict::Newer => {
                if let Some(stood) = next.get(table, name).cloned() {
                    changed.insert(remember(&mut next, &stood));
                }
                next.merge(item.clone());
                changed.insert(item.key.clone());
                judged = true;
            }
            Verdict::Obsolete => {
                changed.insert(remember(&mut next, item));
            }
            Verdict::Conflict => {
                let what = format!("{table:?} '{name}': another content was acknowledged under r{version}");
                return Err(Fault::new(Kind::Conflict, what));
            }
            Verdict::Forgotten => {
                let what = format!("{table:?} '{name}': what r{version} carried is not remembered any more");
                forgotten.get_or_insert(Fault::new(Kind::Forgotten, what));
            }
        }
    }
    if let Some(fault) = forgotten {
        return Err(fault);
    }
    if judged {
        next.sound()?;
    }
    let newer = changed.iter().filter_map(|key| Some(Item::clone(next.get(key.table, &key.name)?))).collect();
    Ok((next, newer))
}

/// The items that stand in a copy, laid out as the operator sends them.
pub fn listing(copy: &Items) -> Value {
    let mut all = Map::new();
    for (name, table) in
        [("routes", Table::Routes), ("tenants", Table::Tenants), ("backends", Table::Backends)]
    {
        let items = copy.standing(table).map(|(name, body)| (name.to_owned(), body.clone())).collect();
        all.insert(name.to_owned(), Value::Object(items));
    }
    if let Some(limits) = copy.body(Table::Limits, LIMITS) {
        all.insert(LIMITS.to_owned(), limits.clone());
    }
    Value::Object(all)
}
