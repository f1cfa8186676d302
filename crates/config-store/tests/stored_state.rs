//! A folder written by an earlier version is opened, compared value by value, written to, and opened again.

use ivygate_config_store::{Ballot, Disk, DurableState};
use ivygate_control_state::{Item, Table, Tables};
use serde_json::{json, Value};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Returns the folder written by the earlier version, which also contains `expected.json`.
fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/stored-state")
}

/// Returns the name of the state folder that an earlier version marked as complete.
fn stored_folder(parent: &Path) -> String {
    let entries =
        fs::read_dir(parent).expect("the fixture exists").map(|entry| entry.expect("the entry can be read"));
    let mut complete = entries.filter(|entry| entry.path().join("whole").is_file());
    complete.next().expect("the fixture has a complete folder").file_name().to_string_lossy().into_owned()
}

/// Copies the fixture to a temporary folder that the test may modify.
fn copy_fixture(name: &str) -> PathBuf {
    let to = std::env::temp_dir().join(format!("ivygate-stored-state-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&to);
    let folder = stored_folder(&fixture());
    let from = fixture().join(&folder);
    let state_folder = to.join(&folder);
    fs::create_dir_all(&state_folder).expect("the folder can be created");
    for file in ["conf", "db", "whole"] {
        fs::copy(from.join(file), state_folder.join(file)).expect("the fixture exists");
    }
    to
}

/// Encodes a state in the stored format.
fn encode(state: &DurableState) -> Value {
    let items: Vec<_> = state.items.all(Tables::DURABLE).collect();
    json!({ "incarnation": state.incarnation, "promised": state.promised, "chosen": state.chosen,
        "accepted": state.accepted, "items": items })
}

#[test]
fn reads_every_value_that_an_earlier_version_stored() {
    let folder = copy_fixture("read");
    let expected: Value = serde_json::from_str(
        &fs::read_to_string(fixture().join("expected.json")).expect("the fixture exists"),
    )
    .expect("the fixture is JSON");
    let (disk, state) = Disk::open(&folder, 99).expect("the disk opens");
    assert_eq!(encode(&state), expected);
    disk.close();
    fs::remove_dir_all(folder).expect("the folder can be removed");
}

#[test]
fn appends_to_a_folder_of_an_earlier_version() {
    let folder = copy_fixture("write");
    let (mut disk, mut state) = Disk::open(&folder, 99).expect("the disk opens");
    let accepted = state.accepted.clone().expect("a proposal was accepted and not chosen");
    let ballot: Ballot = accepted.ballot;
    state.apply_chosen(ballot, accepted.items);
    state.apply_chosen(
        Ballot { counter: ballot.counter + 1, ..ballot },
        [Arc::new(Item::new(Table::SingletonRoles, "warden", 18, Some(json!({ "holder": "10.2.0.5" }))))],
    );
    disk.save(&state).expect("the save succeeds");
    disk.close();
    let (disk, reopened) = Disk::open(&folder, 99).expect("the disk opens again");
    assert_eq!(encode(&reopened), encode(&state));
    assert_eq!(reopened.items.version(Table::SingletonRoles, "warden"), 18);
    assert_eq!(reopened.items.version(Table::Routes, "pay"), 13);
    assert!(reopened.accepted.is_none());
    disk.close();
    fs::remove_dir_all(folder).expect("the folder can be removed");
}

#[test]
fn folder_without_the_complete_marker_is_ignored() {
    let folder = copy_fixture("marker");
    fs::remove_file(folder.join(stored_folder(&folder)).join("whole")).expect("the marker exists");
    let (disk, state) = Disk::open(&folder, 99).expect("the disk opens");
    assert_eq!((state.incarnation, state.items.len()), (99, 0));
    disk.close();
    fs::remove_dir_all(folder).expect("the folder can be removed");
}
