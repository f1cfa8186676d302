//! Preview of the changes that a configuration update would make.

use ivygate_control_state::{check_version, ConfigUpdate, Item, Items, VersionCheck};

/// Describes the effect of an update, one line per item.
pub(super) fn describe(items: &Items, update: &ConfigUpdate) -> String {
    let line = |item: &Item| {
        let (table, name) = (item.key.table, &item.key.name);
        format!("{table:?} {name} r{}: {}", item.version, change(items, item))
    };
    update.items.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn change(items: &Items, item: &Item) -> String {
    let current = items.get(item.key.table, &item.key.name).map(|current| current.version);
    match (check_version(items, item), current, item.body.is_some()) {
        (VersionCheck::Newer, None, true) => "new".to_owned(),
        (VersionCheck::Newer, None, false) => "removes what was never there".to_owned(),
        (VersionCheck::Newer, Some(version), true) => format!("changes r{version}"),
        (VersionCheck::Newer, Some(version), false) => format!("removes r{version}"),
        (VersionCheck::Current, ..) => "same".to_owned(),
        (VersionCheck::Conflict, current, _) if current == Some(item.version) => {
            "CONFLICT: the current content is another".to_owned()
        }
        // Only the store knows the content acknowledged under older versions.
        (_, current, _) => format!(
            "older than r{}, changes nothing; rejected if acknowledged with another content",
            current.unwrap_or_default()
        ),
    }
}
