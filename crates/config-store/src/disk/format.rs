//! The storage format: names of folders and files, keys, and the JSON encoding of records.
//!
//! Stored data outlives every version, so a change must keep reading the old format. The names are those of the first
//! release.

use crate::disk::chunks::{ChunkCounts, WriteBatch};
use crate::disk::error::StorageError;
use crate::disk::read_error::ReadError;
use crate::durable_state::{DurableState, Watermark};
use crate::messages::{AcceptedProposal, Ballot};
use ivygate_control_state::Item;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Prefix of the name of a state folder; a number follows.
pub(crate) const FOLDER_PREFIX: &str = "cairn.";
/// Prefix of the name under which a folder that can't be decoded is kept for inspection; its number follows.
pub(crate) const UNREADABLE_PREFIX: &str = "unread.";
/// The folder to which a state folder is copied for reading.
pub(crate) const SCRATCH_FOLDER: &str = "scratch";
/// The file that marks a folder as complete.
pub(crate) const COMPLETE_MARKER: &str = "whole";
/// sled's log file.
pub(crate) const LOG_FILE: &str = "db";
/// sled's settings file.
pub(crate) const DATABASE_SETTINGS_FILE: &str = "conf";
/// The folder in which sled would store large values.
pub(crate) const LARGE_VALUES_FOLDER: &str = "blobs";

/// The key of the header. Keys of items are longer than one byte.
const HEADER_KEY: &[u8] = b"m";
/// The first byte of the keys of items.
const ITEM_PREFIX: u8 = b'i';
/// The first byte of the keys of accepted items.
const ACCEPTED_PREFIX: u8 = b'a';

/// Maximum number of watermarks restored.
const MAX_RESTORED_WATERMARKS: usize = 512;

/// Returns the path of the folder with this number.
pub(crate) fn numbered_folder(parent: &Path, number: u64) -> PathBuf {
    parent.join(format!("{FOLDER_PREFIX}{number}"))
}

/// The state without its items.
#[derive(Serialize, Deserialize)]
struct Header {
    incarnation: u64,
    promised: Ballot,
    chosen: Ballot,
    /// The ballot of the accepted proposal and its number of items.
    accepted: Option<(Ballot, usize)>,
}

/// A stored item.
#[derive(Serialize, Deserialize)]
pub(crate) struct ItemRecord {
    /// The round in which the item was chosen, or a later one.
    #[serde(rename = "at")]
    pub chosen: Ballot,
    /// The item.
    pub item: Arc<Item>,
}

/// Adds the writes for a chosen item.
pub(crate) fn put_item(
    chunks: &mut ChunkCounts,
    batch: &mut WriteBatch,
    record: &ItemRecord,
) -> Result<(), StorageError> {
    let mut key = vec![ITEM_PREFIX];
    serde_json::to_writer(&mut key, &record.item.key)?;
    chunks.put(batch, key, &serde_json::to_vec(record)?)
}

fn accepted_key(index: usize) -> Vec<u8> {
    format!("{}{index:08}", char::from(ACCEPTED_PREFIX)).into_bytes()
}

/// Adds the writes for the accepted proposal's items that differ from the saved ones, so that a promise does not
/// rewrite them.
pub(crate) fn put_accepted(
    chunks: &mut ChunkCounts,
    batch: &mut WriteBatch,
    saved: Option<&AcceptedProposal>,
    accepted: Option<&AcceptedProposal>,
) -> Result<(), StorageError> {
    let none = Vec::new();
    let saved = saved.map_or(&none, |proposal| &proposal.items);
    let accepted = accepted.map_or(&none, |proposal| &proposal.items);
    for (index, item) in accepted.iter().enumerate() {
        let is_saved = saved.get(index).is_some_and(|before| Arc::ptr_eq(before, item));
        if !is_saved {
            chunks.put(batch, accepted_key(index), &serde_json::to_vec(&**item)?)?;
        }
    }
    for index in accepted.len()..saved.len() {
        chunks.remove(batch, accepted_key(index));
    }
    Ok(())
}

/// Adds the write for the header.
pub(crate) fn put_header(batch: &mut WriteBatch, state: &DurableState) -> Result<(), StorageError> {
    let accepted = state.accepted.as_ref().map(|accepted| (accepted.ballot, accepted.items.len()));
    let header =
        Header { incarnation: state.incarnation, promised: state.promised, chosen: state.chosen, accepted };
    batch.add(HEADER_KEY.to_vec(), Some(serde_json::to_vec(&header)?));
    Ok(())
}

/// A stored state: the state without its items, and the item records.
pub(crate) struct StoredState {
    /// The state without its items.
    pub state: DurableState,
    /// The item records.
    pub records: Vec<ItemRecord>,
}

/// Reads the state from an open database.
pub(crate) fn read_state(db: &sled::Db) -> Result<StoredState, ReadError> {
    let header = db.get(HEADER_KEY)?.ok_or_else(|| ReadError::Corrupt("the header is missing".to_owned()))?;
    let header: Header = serde_json::from_slice(&header)?;
    let mut chunks = ChunkCounts::default();
    let mut records = Vec::new();
    for text in chunks.read_all(db, ITEM_PREFIX)? {
        records.push(serde_json::from_slice(&text)?);
    }
    let mut items = Vec::new();
    for text in chunks.read_all(db, ACCEPTED_PREFIX)? {
        items.push(Arc::new(serde_json::from_slice(&text)?));
    }
    if header.accepted.map_or(0, |(_, count)| count) != items.len() {
        return Err(ReadError::Corrupt("the items of the accepted proposal are incomplete".to_owned()));
    }
    let mut state = DurableState::new(header.incarnation);
    state.promised = header.promised;
    state.chosen = header.chosen;
    state.accepted = header.accepted.map(|(ballot, _)| AcceptedProposal { ballot, items });
    Ok(StoredState { state, records })
}

impl StoredState {
    /// Merges the items in order of the rounds in which they were chosen, and restores the watermarks.
    pub fn into_state(self) -> DurableState {
        let Self { mut state, mut records } = self;
        records.sort_by(|a, b| (a.chosen, &a.item.key).cmp(&(b.chosen, &b.item.key)));
        let mut watermarks: Vec<Watermark> = Vec::new();
        for ItemRecord { chosen, item } in records {
            state.items.merge_shared(item);
            if watermarks.last().is_some_and(|last| last.ballot == chosen) {
                watermarks.pop();
            }
            watermarks.push(Watermark { ballot: chosen, change: state.items.last_change() });
        }
        if watermarks.last().is_none_or(|last| last.ballot < state.chosen) {
            watermarks.push(Watermark { ballot: state.chosen, change: state.items.last_change() });
        }
        state.watermarks = thinned(watermarks);
        state
    }
}

/// Drops every second watermark until the limit is met. A lagging peer then receives slightly more than it is missing.
fn thinned(mut watermarks: Vec<Watermark>) -> Vec<Watermark> {
    while watermarks.len() > MAX_RESTORED_WATERMARKS {
        let mut position = 0;
        let last = watermarks.len();
        watermarks.retain(|_| {
            position += 1;
            position % 2 == 0 || position == last
        });
    }
    watermarks
}
