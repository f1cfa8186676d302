//! Storage of values in chunks, so that sled creates no files besides its log.
//!
//! A chunk's key is the value's key, a zero byte and the chunk's number. Each chunk begins with the value's number of
//! chunks. Keys of values contain no zero byte, since they are JSON text or digits.

use crate::disk::error::StorageError;
use crate::disk::read_error::ReadError;
use std::collections::HashMap;

/// Maximum size of a chunk in bytes. sled puts up to 17 chunks into a page, and stores pages above 128 KiB in separate
/// files.
const MAX_CHUNK_BYTES: usize = 4 << 10;
/// Overhead of an entry in a batch in addition to its key and value, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;
/// Length in bytes of a chunk key's suffix: the zero byte and the chunk's number.
const KEY_SUFFIX_BYTES: usize = 3;

/// A key with the value to write, or `None` to remove the key.
pub(crate) type Entry = (Vec<u8>, Option<Vec<u8>>);

/// Writes and removals that are applied atomically.
#[derive(Default)]
pub(crate) struct WriteBatch {
    pub entries: Vec<Entry>,
    /// The estimated size of the entries, in bytes.
    pub bytes: usize,
}

impl WriteBatch {
    /// Adds a write, or a removal if there is no value.
    pub fn add(&mut self, key: Vec<u8>, value: Option<Vec<u8>>) {
        self.bytes += key.len() + value.as_ref().map_or(0, Vec::len) + ENTRY_OVERHEAD_BYTES;
        self.entries.push((key, value));
    }

    /// Converts the batch to sled's type.
    pub fn into_sled(self) -> sled::Batch {
        let mut batch = sled::Batch::default();
        for (key, value) in self.entries {
            match value {
                Some(value) => batch.insert(key, value),
                None => batch.remove(key),
            }
        }
        batch
    }
}

/// The number of chunks of each stored value that has more than one.
#[derive(Default, Clone)]
pub(crate) struct ChunkCounts(HashMap<Vec<u8>, u16>);

impl ChunkCounts {
    fn chunk_key(key: &[u8], chunk: u16) -> Vec<u8> {
        [key, &[0], &chunk.to_be_bytes()].concat()
    }

    /// Adds the writes for a value's chunks, and the removals of its excess chunks.
    pub fn put(&mut self, batch: &mut WriteBatch, key: Vec<u8>, value: &[u8]) -> Result<(), StorageError> {
        let count = value.len().div_ceil(MAX_CHUNK_BYTES);
        let count = u16::try_from(count).map_err(|_| StorageError::ItemTooLarge)?;
        for (chunk, bytes) in (0..).zip(value.chunks(MAX_CHUNK_BYTES)) {
            batch.add(Self::chunk_key(&key, chunk), Some([&count.to_be_bytes(), bytes].concat()));
        }
        self.remove_chunks_from(batch, key, count);
        Ok(())
    }

    /// Adds the removals of a value's chunks.
    pub fn remove(&mut self, batch: &mut WriteBatch, key: Vec<u8>) {
        batch.add(Self::chunk_key(&key, 0), None);
        self.remove_chunks_from(batch, key, 1);
    }

    fn remove_chunks_from(&mut self, batch: &mut WriteBatch, key: Vec<u8>, count: u16) {
        for chunk in count..self.0.get(&key).copied().unwrap_or(1) {
            batch.add(Self::chunk_key(&key, chunk), None);
        }
        if count > 1 {
            self.0.insert(key, count);
        } else {
            self.0.remove(&key);
        }
    }

    /// Reads the values whose keys begin with `prefix`, in order of their keys.
    pub fn read_all(&mut self, tree: &sled::Tree, prefix: u8) -> Result<Vec<Vec<u8>>, ReadError> {
        let mut values: Vec<Vec<u8>> = Vec::new();
        let mut missing = 0;
        for entry in tree.scan_prefix([prefix]) {
            let (key, bytes) = entry?;
            let (key, chunk) = split_key(&key)?;
            let (count, bytes) = bytes.split_first_chunk::<2>().ok_or_else(missing_chunk)?;
            let count = u16::from_be_bytes(*count);
            if chunk == 0 {
                if missing != 0 {
                    return Err(missing_chunk());
                }
                missing = count;
                values.push(Vec::new());
                if count > 1 {
                    self.0.insert(key.to_vec(), count);
                }
            }
            if missing == 0 || chunk != count - missing {
                return Err(missing_chunk());
            }
            missing -= 1;
            values.last_mut().ok_or_else(missing_chunk)?.extend_from_slice(bytes);
        }
        if missing != 0 {
            return Err(missing_chunk());
        }
        Ok(values)
    }
}

/// Splits a chunk's key into the value's key and the chunk's number.
fn split_key(key: &[u8]) -> Result<(&[u8], u16), ReadError> {
    let split = key.split_at_checked(key.len().saturating_sub(KEY_SUFFIX_BYTES));
    let (key, suffix) = split.ok_or_else(missing_chunk)?;
    match *suffix {
        [0, high, low] => Ok((key, u16::from_be_bytes([high, low]))),
        _ => Err(missing_chunk()),
    }
}

fn missing_chunk() -> ReadError {
    ReadError::Corrupt("a stored value is missing a chunk".to_owned())
}
