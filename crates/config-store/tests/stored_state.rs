//! A folder that an earlier version wrote is opened, read value by value, written on, and opened again.

use ivygate_config_store::{Ballot, Disk, DurableState};
use ivygate_control_state::{Item, Table, Tables};
use serde_json::{json, Value};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The folder as it was written, with `expected.json` beside it.
fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/stored-state")
}

/// The name of the folder in another that an earlier version marked as complete.
fn stored_folder(parent: &Path) -> String {
    let entries =
        fs::read_dir(parent).expect("the fixture is there").map(|entry| entry.expect("it can be read"));
    let mut complete = entries.filter(|entry| entry.path().join("whole").is_file());
    complete.next().expect("there is one").file_name().to_string_lossy().into_owned()
}

/// A copy that the test may write, in a folder of its own.
fn copy(name: &str) -> PathBuf {
    let to = std::env::temp_dir().join(format!("ivygate-stored-state-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&to);
    let folder = stored_folder(&fixture());
    let from = fixture().join(&folder);
    let place = to.join(&folder);
    fs::create_dir_all(&place).expect("it can be written");
    for file in ["conf", "db", "whole"] {
        fs::copy(from.join(file), place.join(file)).expect("the fixture is there");
    }
    to
}

/// What a state holds, in the stored spelling.
fn holds(kept: &DurableState) -> Value {
    let items: Vec<_> = kept.items.all(Tables::DURABLE).collect();
    json!({ "incarnation": kept.incarnation, "promised": kept.promised, "chosen": kept.chosen,
        "accepted": kept.accepted, "items": items })
}

#[test]
fn reads_every_value_that_an_earlier_version_stored() {
    let folder = copy("read");
    let expected: Value = serde_json::from_str(
        &fs::read_to_string(fixture().join("expected.json")).expect("the fixture is there"),
    )
    .expect("it is JSON");
    let (disk, kept) = Disk::open(&folder, 99).expect("it opens");
    assert_eq!(holds(&kept), expected);
    disk.close();
    fs::remove_dir_all(folder).expect("it goes");
}

#[test]
fn writes_on_where_an_earlier_version_stopped() {
    let folder = copy("write");
    let (mut disk, mut kept) = Disk::open(&folder, 99).expect("it opens");
    let accepted = kept.accepted.clone().expect("a proposal was accepted and not chosen");
    let ballot: Ballot = accepted.ballot;
    kept.apply_chosen(ballot, accepted.items);
    kept.apply_chosen(
        Ballot { counter: ballot.counter + 1, ..ballot },
        [Arc::new(Item::new(Table::SingletonRoles, "warden", 18, Some(json!({ "holder": "10.2.0.5" }))))],
    );
    disk.save(&kept).expect("it saves");
    disk.close();
    let (disk, again) = Disk::open(&folder, 99).expect("it opens again");
    assert_eq!(holds(&again), holds(&kept));
    assert_eq!(again.items.version(Table::SingletonRoles, "warden"), 18);
    assert_eq!(again.items.version(Table::Routes, "pay"), 13);
    assert!(again.accepted.is_none());
    disk.close();
    fs::remove_dir_all(folder).expect("it goes");
}

#[test]
fn the_file_that_marks_a_folder_complete_is_still_looked_for_by_its_name() {
    let folder = copy("marker");
    fs::remove_file(folder.join(stored_folder(&folder)).join("whole")).expect("it is there");
    let (disk, kept) = Disk::open(&folder, 99).expect("it opens");
    assert_eq!((kept.incarnation, kept.items.len()), (99, 0));
    disk.close();
    fs::remove_dir_all(folder).expect("it goes");
}
