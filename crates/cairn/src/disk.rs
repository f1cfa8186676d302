//! A store's own state on disk: written and synced before anything is said that rests on it.
//!
//! `sled` hands its log to the system without asking that it be safe against a loss of power, so after each flush its
//! files are synced here; names are made safe by syncing the folders. What can't be read back counts as lost: the
//! state is then rebuilt from the other stores.

use crate::messages::{Accepted, Ballot, Kept};
use footbridge::{Fault, Kind};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::path::{Path, PathBuf};
use trailmap::{Item, Tables};

/// What sled may keep in memory.
const CACHE: u64 = 8 << 20;
const META: &[u8] = b"meta";
const ITEMS: &str = "items";

#[derive(Serialize, Deserialize)]
struct Meta {
    incarnation: u64,
    promised: Ballot,
    accepted: Option<Accepted>,
    chosen: Ballot,
}

/// The files of a store.
pub struct Disk {
    folder: PathBuf,
    db: sled::Db,
    items: sled::Tree,
    /// The last change of the items that is written.
    saved: u64,
}

fn lost(what: impl std::fmt::Display) -> Fault {
    Fault::new(Kind::Disk, what.to_string())
}

impl Disk {
    /// Opens a folder and reads what it holds; a state that can't be read is put aside and counts as lost.
    ///
    /// # Errors
    /// If the folder can't be written.
    pub fn open(folder: &Path, incarnation: u64) -> Result<(Self, Kept), Fault> {
        std::fs::create_dir_all(folder).map_err(lost)?;
        match Self::read(folder, incarnation) {
            Ok(read) => Ok(read),
            Err(fault) => {
                tracing::warn!("the state on disk can't be read and counts as lost: {fault}");
                std::fs::remove_dir_all(Self::place(folder)).map_err(lost)?;
                Self::read(folder, incarnation)
            }
        }
    }

    fn place(folder: &Path) -> PathBuf {
        folder.join("cairn.sled")
    }

    fn read(folder: &Path, incarnation: u64) -> Result<(Self, Kept), Fault> {
        let db = sled::Config::new()
            .path(Self::place(folder))
            .cache_capacity(CACHE)
            .flush_every_ms(None)
            .open()
            .map_err(lost)?;
        let items = db.open_tree(ITEMS).map_err(lost)?;
        let mut kept = Kept::new(incarnation);
        if let Some(meta) = db.get(META).map_err(lost)? {
            let meta: Meta = serde_json::from_slice(&meta).map_err(lost)?;
            kept = Kept {
                incarnation: meta.incarnation,
                promised: meta.promised,
                accepted: meta.accepted,
                chosen: meta.chosen,
                ..kept
            };
        }
        for entry in items.iter() {
            let (_, text) = entry.map_err(lost)?;
            let item: Item = serde_json::from_slice(&text).map_err(lost)?;
            kept.items.merge(item);
        }
        let saved = kept.items.changes();
        let mut disk = Self { folder: folder.to_owned(), db, items, saved };
        // What is read may have come back from a write that was never synced.
        disk.sync()?;
        Ok((disk, kept))
    }

    /// Writes what is kept, and returns when it is safe against a loss of power.
    ///
    /// # Errors
    /// If the disk fails: nothing may then be said that rests on it.
    pub fn save(&mut self, kept: &Kept) -> Result<(), Fault> {
        let mut batch = sled::Batch::default();
        for item in kept.items.since(self.saved, Tables::KEPT) {
            let key = serde_json::to_vec(&item.key).map_err(lost)?;
            batch.insert(key, serde_json::to_vec(&*item).map_err(lost)?);
        }
        // Items first: they stand whatever becomes of the rest. A batch is written whole or not at all.
        self.items.apply_batch(batch).map_err(lost)?;
        let meta = Meta {
            incarnation: kept.incarnation,
            promised: kept.promised,
            accepted: kept.accepted.clone(),
            chosen: kept.chosen,
        };
        self.db.insert(META, serde_json::to_vec(&meta).map_err(lost)?).map_err(lost)?;
        self.sync()?;
        self.saved = kept.items.changes();
        Ok(())
    }

    fn sync(&mut self) -> Result<(), Fault> {
        self.db.flush().map_err(lost)?;
        let place = Self::place(&self.folder);
        for entry in std::fs::read_dir(&place).map_err(lost)? {
            let path = entry.map_err(lost)?.path();
            if path.is_file() {
                File::open(path).and_then(|file| file.sync_data()).map_err(lost)?;
            }
        }
        Ok(())
    }
}
