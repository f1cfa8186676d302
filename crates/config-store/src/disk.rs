//! A store's own state on disk: written and synced before anything is said that rests on it.
//!
//! The state lies in a folder `cairn.N`, a `sled` database. Three rules keep it whole whatever a loss of power leaves
//! of writes and names that were not synced:
//!
//! - **A folder counts once it has the file `whole`**, which is made when all else in it is synced. [`Disk::open`] reads
//!   the highest such folder, by a copy, and writes what it read into the next one; so no log is carried on that a crash
//!   has torn, and nothing is believed that a failed sync only left in memory. The old folder is never written again,
//!   and goes once the new one counts.
//! - **A save in place is one batch**, head and items together; a large one makes the next folder, and so does a log that
//!   has grown much. Values are cut into parts, so that sled makes no files beside its log.
//! - **After each save the log is synced**, and each folder whose names have changed.
//!
//! What can't be understood counts as lost: the state is then rebuilt from the other stores. What can't be read or
//! written *now* does not: the folder is left as it is.

use crate::messages::{Accepted, Ballot, Kept};
use ivygate_control_state::{Item, Tables};
use ivygate_rpc::{Fault, Kind};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::fs::{self, File};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// What sled may keep in memory, in bytes.
const CACHE: u64 = 8 << 20;
/// The most bytes of a batch in place: sled holds it in memory until it is whole. While it is, the stable end that sled
/// notes at the head of each segment stays before the batch, so that a tear anywhere in it is found.
const IN_PLACE: usize = 4 << 20;
/// The most bytes of one part of a value; sled puts up to 17 into a page, and pages above 128 KiB into files of their own.
const PART: usize = 4 << 10;
/// The log may grow to twice what it was when its folder was made and this much more, in bytes.
const GROWTH: u64 = 16 << 20;
/// How much of a new folder is written at a time, in bytes.
const PIECE: usize = 1 << 20;
/// Most rounds that are marked when a state is read.
const MARKS: usize = 512;
const FOLDER: &str = "cairn.";
const ASIDE: &str = "unread.";
const SCRATCH: &str = "scratch";
const WHOLE: &str = "whole";
/// Keys: no item's key has one byte.
const META: &[u8] = b"m";
const ITEM: u8 = b'i';
const ACCEPTED: u8 = b'a';

/// How files and folders are made safe against a loss of power.
pub trait Fsync {
    /// All that was written to a file.
    ///
    /// # Errors
    /// Of the system.
    fn file(&mut self, path: &Path) -> io::Result<()>;
    /// The names in a folder.
    ///
    /// # Errors
    /// Of the system.
    fn folder(&mut self, path: &Path) -> io::Result<()>;
}

/// That of the system.
#[derive(Debug, Default)]
pub struct System;

impl Fsync for System {
    fn file(&mut self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_data()
    }

    fn folder(&mut self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }
}

#[derive(Serialize, Deserialize)]
struct Meta {
    incarnation: u64,
    promised: Ballot,
    chosen: Ballot,
    /// The round of what is accepted, and how many items that has.
    accepted: Option<(Ballot, usize)>,
}

/// An item on disk.
#[derive(Serialize, Deserialize)]
struct Record {
    /// The round in which it was chosen, or a later one.
    at: Ballot,
    item: Arc<Item>,
}

/// Why a folder was not read.
enum Unread {
    /// The system refuses just now; what is there may be sound.
    Refused(Fault),
    /// It can't be understood.
    Lost(String),
}

impl From<sled::Error> for Unread {
    fn from(error: sled::Error) -> Self {
        use io::ErrorKind::{InvalidData, NotFound, UnexpectedEof};
        match error {
            sled::Error::Io(e) if !matches!(e.kind(), InvalidData | NotFound | UnexpectedEof) => {
                Self::Refused(failed(e))
            }
            other => Self::Lost(other.to_string()),
        }
    }
}

impl From<serde_json::Error> for Unread {
    fn from(error: serde_json::Error) -> Self {
        Self::Lost(error.to_string())
    }
}

fn failed(what: impl std::fmt::Display) -> Fault {
    Fault::new(Kind::Disk, what.to_string())
}

/// Sled ends a thread on some failures of the system, and on logs that it did not expect.
fn guarded<T, E>(act: impl FnOnce() -> Result<T, E>, panicked: impl FnOnce(String) -> E) -> Result<T, E> {
    catch_unwind(AssertUnwindSafe(act)).unwrap_or_else(|payload| {
        let told = payload.downcast_ref::<String>().cloned();
        let told = told.or_else(|| payload.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        Err(panicked(told.unwrap_or_else(|| "sled gave up".to_owned())))
    })
}

fn open_sled(place: &Path) -> sled::Result<sled::Db> {
    sled::Config::new().path(place).cache_capacity(CACHE).flush_every_ms(None).open()
}

/// Writes and removals that are to be made together.
#[derive(Default)]
struct Changes {
    list: Vec<(Vec<u8>, Option<Vec<u8>>)>,
    bytes: usize,
}

impl Changes {
    fn add(&mut self, key: Vec<u8>, value: Option<Vec<u8>>) {
        self.bytes += key.len() + value.as_ref().map_or(0, Vec::len) + 32;
        self.list.push((key, value));
    }

    fn batch(self) -> sled::Batch {
        let mut batch = sled::Batch::default();
        for (key, value) in self.list {
            match value {
                Some(value) => batch.insert(key, value),
                None => batch.remove(key),
            }
        }
        batch
    }
}

/// Values cut into parts: which have more than one.
#[derive(Default, Clone)]
struct Parts(HashMap<Vec<u8>, u16>);

impl Parts {
    fn key(key: &[u8], part: u16) -> Vec<u8> {
        // A text in JSON has no byte 0.
        [key, &[0], &part.to_be_bytes()].concat()
    }

    /// Each part begins with how many there are.
    fn put(&mut self, changes: &mut Changes, key: Vec<u8>, value: &[u8]) -> Result<(), Fault> {
        let count =
            u16::try_from(value.len().div_ceil(PART)).map_err(|_| failed("an item of over 256 MiB"))?;
        for (part, piece) in (0..).zip(value.chunks(PART)) {
            changes.add(Self::key(&key, part), Some([&count.to_be_bytes(), piece].concat()));
        }
        self.trim(changes, key, count);
        Ok(())
    }

    fn drop(&mut self, changes: &mut Changes, key: Vec<u8>) {
        changes.add(Self::key(&key, 0), None);
        self.trim(changes, key, 1);
    }

    fn trim(&mut self, changes: &mut Changes, key: Vec<u8>, count: u16) {
        for part in count..self.0.get(&key).copied().unwrap_or(1) {
            changes.add(Self::key(&key, part), None);
        }
        if count > 1 {
            self.0.insert(key, count);
        } else {
            self.0.remove(&key);
        }
    }

    /// Puts the values of one kind together again, in order of keys.
    fn all(&mut self, tree: &sled::Tree, kind: u8) -> Result<Vec<Vec<u8>>, Unread> {
        let mut values: Vec<Vec<u8>> = Vec::new();
        let mut wanted = 0;
        for entry in tree.scan_prefix([kind]) {
            let (key, piece) = entry?;
            let torn = || Unread::Lost("a value lacks a part".to_owned());
            let (key, part) = key.split_at_checked(key.len().saturating_sub(3)).ok_or_else(torn)?;
            let [0, high, low] = *part else { return Err(torn()) };
            let part = u16::from_be_bytes([high, low]);
            let (count, piece) = piece.split_first_chunk::<2>().ok_or_else(torn)?;
            let count = u16::from_be_bytes(*count);
            if part == 0 {
                if wanted != 0 {
                    return Err(torn());
                }
                wanted = count;
                values.push(Vec::new());
                if count > 1 {
                    self.0.insert(key.to_vec(), count);
                }
            }
            if wanted == 0 || part != count - wanted {
                return Err(torn());
            }
            wanted -= 1;
            values.last_mut().ok_or_else(torn)?.extend_from_slice(piece);
        }
        if wanted != 0 {
            return Err(Unread::Lost("a value lacks its end".to_owned()));
        }
        Ok(values)
    }
}

/// The files of a store.
pub struct Disk {
    folder: PathBuf,
    fsync: Box<dyn Fsync>,
    number: u64,
    db: sled::Db,
    parts: Parts,
    /// The names in the folder and in that of sled's other files, as last synced.
    names: [BTreeSet<String>; 2],
    /// The length of the log when its folder was made.
    made: u64,
    /// The last change of the items that is written.
    saved: u64,
    accepted: Option<Accepted>,
    /// Whether a save has failed: what the disk holds is then to be read again.
    failed: bool,
}

impl Disk {
    /// Opens a folder and reads what it holds, or draws up a new state; either is safe on disk when this returns. A
    /// state that can't be understood is put aside and counts as lost.
    ///
    /// # Errors
    /// If the folder can't be read or written now; what it holds is then left there.
    pub fn open(folder: &Path, incarnation: u64) -> Result<(Self, Kept), Fault> {
        Self::open_with(folder, incarnation, Box::new(System))
    }

    /// The same with another way of making files safe.
    ///
    /// # Errors
    /// If the folder can't be read or written now.
    pub fn open_with(folder: &Path, incarnation: u64, fsync: Box<dyn Fsync>) -> Result<(Self, Kept), Fault> {
        fs::create_dir_all(folder).map_err(failed)?;
        let folders = numbered(folder).map_err(failed)?;
        let standing = folders.iter().rev().find(|(_, path)| path.join(WHOLE).is_file());
        let source = standing.map(|(_, path)| path.clone());
        let mut read = (Kept::new(incarnation), Vec::new());
        if let Some(source) = &source {
            match guarded(|| read_folder(source, &folder.join(SCRATCH), incarnation), Unread::Lost) {
                Ok(found) => read = found,
                Err(Unread::Refused(fault)) => return Err(fault),
                Err(Unread::Lost(cause)) => {
                    tracing::warn!("the state on disk can't be understood and counts as lost: {cause}");
                    put_aside(folder, source).map_err(failed)?;
                }
            }
        }
        match fs::remove_dir_all(folder.join(SCRATCH)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(failed(error)),
            _ => {}
        }
        let (kept, records) = read;
        let number = folders.last().map_or(0, |(number, _)| *number) + 1;
        let mut parts = Parts::default();
        let mut changes = Changes::default();
        for record in &records {
            put_record(&mut parts, &mut changes, record)?;
        }
        put_accepted(&mut parts, &mut changes, None, kept.accepted.as_ref())?;
        put_meta(&mut changes, &kept)?;
        let mut made = Making { folder, fsync, number };
        let (db, names) = made.make(changes.list.into_iter().map(Ok))?;
        let mut disk = Self {
            folder: folder.to_owned(),
            fsync: made.fsync,
            number,
            db,
            parts,
            names,
            made: 0,
            saved: 0,
            accepted: kept.accepted.clone(),
            failed: false,
        };
        disk.made = disk.log_length()?;
        let kept = merged(kept, records);
        disk.saved = kept.items.changes();
        Ok((disk, kept))
    }

    /// Writes what is kept, all of it or nothing, and returns when it is safe against a loss of power.
    ///
    /// # Errors
    /// If the disk fails: nothing may then be said that rests on what was to be saved, and the disk is to be opened
    /// again. It holds either what was saved last or what was to be saved.
    pub fn save(&mut self, kept: &Kept) -> Result<(), Fault> {
        if std::mem::replace(&mut self.failed, true) {
            return Err(failed("the disk has failed and was not opened again"));
        }
        let mut changes = Changes::default();
        let at = kept.chosen;
        for item in kept.items.since(self.saved, Tables::KEPT) {
            put_record(&mut self.parts, &mut changes, &Record { at, item })?;
        }
        put_accepted(&mut self.parts, &mut changes, self.accepted.as_ref(), kept.accepted.as_ref())?;
        put_meta(&mut changes, kept)?;
        guarded(
            || {
                if changes.bytes > IN_PLACE || self.log_length()? > 2 * self.made + GROWTH {
                    self.save_anew(changes)
                } else {
                    self.save_in_place(changes)
                }
            },
            failed,
        )?;
        self.saved = kept.items.changes();
        self.accepted.clone_from(&kept.accepted);
        self.failed = false;
        Ok(())
    }

    /// Lets go of the files, whatever state they are in.
    pub fn close(self) {
        // What sled can't write any more was not saved.
        let closed = guarded(
            || {
                drop(self);
                Ok(())
            },
            |cause| cause,
        );
        if let Err(cause) = closed {
            tracing::debug!("sled did not close: {cause}");
        }
    }

    fn save_in_place(&mut self, changes: Changes) -> Result<(), Fault> {
        self.db.apply_batch(changes.batch()).map_err(failed)?;
        self.db.flush().map_err(failed)?;
        let place = place(&self.folder, self.number);
        sync_names(&mut *self.fsync, &place, &mut self.names).map_err(failed)?;
        self.fsync.file(&place.join("db")).map_err(failed)
    }

    /// Writes what is on disk, with changes, into the next folder.
    fn save_anew(&mut self, changes: Changes) -> Result<(), Fault> {
        let next = self.number + 1;
        let changed: BTreeSet<Vec<u8>> = changes.list.iter().map(|(key, _)| key.clone()).collect();
        let old = self.db.iter().filter_map(|entry| match entry {
            Ok((key, _)) if changed.contains(&*key) => None,
            Ok((key, value)) => Some(Ok((key.to_vec(), Some(value.to_vec())))),
            Err(error) => Some(Err(failed(error))),
        });
        let fsync = std::mem::replace(&mut self.fsync, Box::new(System));
        let mut making = Making { folder: &self.folder, fsync, number: next };
        let made = making.make(old.chain(changes.list.into_iter().map(Ok)));
        self.fsync = making.fsync;
        (self.db, self.names) = made?;
        self.number = next;
        self.made = self.log_length()?;
        Ok(())
    }

    fn log_length(&self) -> Result<u64, Fault> {
        Ok(place(&self.folder, self.number).join("db").metadata().map_err(failed)?.len())
    }
}

fn place(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{FOLDER}{number}"))
}

/// The numbered folders, in order.
fn numbered(folder: &Path) -> io::Result<Vec<(u64, PathBuf)>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let name = entry.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(FOLDER)).and_then(|n| n.parse().ok());
        if let Some(number) = number {
            found.push((number, entry.path()));
        }
    }
    found.sort_unstable();
    Ok(found)
}

/// Keeps the last state that could not be understood, for people.
fn put_aside(folder: &Path, what: &Path) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_name().to_string_lossy().starts_with(ASIDE) {
            fs::remove_dir_all(entry.path())?;
        }
    }
    let name = what.file_name().unwrap_or_default().to_string_lossy().replace(FOLDER, ASIDE);
    fs::rename(what, folder.join(name))
}

fn put_record(parts: &mut Parts, changes: &mut Changes, record: &Record) -> Result<(), Fault> {
    let mut key = vec![ITEM];
    serde_json::to_writer(&mut key, &record.item.key).map_err(failed)?;
    parts.put(changes, key, &serde_json::to_vec(record).map_err(failed)?)
}

fn accepted_key(index: usize) -> Vec<u8> {
    format!("{}{index:08}", char::from(ACCEPTED)).into_bytes()
}

/// Only if it is another than was saved: a promise doesn't write it again.
fn put_accepted(
    parts: &mut Parts,
    changes: &mut Changes,
    saved: Option<&Accepted>,
    accepted: Option<&Accepted>,
) -> Result<(), Fault> {
    let none = Vec::new();
    let (old, new) = (saved.map_or(&none, |p| &p.items), accepted.map_or(&none, |p| &p.items));
    for (index, item) in new.iter().enumerate() {
        if !old.get(index).is_some_and(|before| Arc::ptr_eq(before, item)) {
            parts.put(changes, accepted_key(index), &serde_json::to_vec(&**item).map_err(failed)?)?;
        }
    }
    for index in new.len()..old.len() {
        parts.drop(changes, accepted_key(index));
    }
    Ok(())
}

fn put_meta(changes: &mut Changes, kept: &Kept) -> Result<(), Fault> {
    let meta = Meta {
        incarnation: kept.incarnation,
        promised: kept.promised,
        chosen: kept.chosen,
        accepted: kept.accepted.as_ref().map(|accepted| (accepted.ballot, accepted.items.len())),
    };
    changes.add(META.to_vec(), Some(serde_json::to_vec(&meta).map_err(failed)?));
    Ok(())
}

/// Copies what sled needs of a folder; not its snapshots of the page table, of which it takes a half-written one for whole.
fn copy(place: &Path, into: &Path) -> io::Result<()> {
    if into.exists() {
        fs::remove_dir_all(into)?;
    }
    fs::create_dir(into)?;
    for name in ["conf", "db"] {
        match fs::copy(place.join(name), into.join(name)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
    }
    Ok(())
}

/// Reads a folder that counts, by way of a copy: sled writes as it opens, and doesn't find its way again through what a
/// crash leaves of that; and what the system fails to read it takes for the end of its log.
fn read_folder(place: &Path, scratch: &Path, incarnation: u64) -> Result<(Kept, Vec<Record>), Unread> {
    copy(place, scratch).map_err(|e| Unread::Refused(failed(e)))?;
    let db = open_sled(scratch)?;
    let mut kept = Kept::new(incarnation);
    let meta = db.get(META)?.ok_or_else(|| Unread::Lost("there is no head".to_owned()))?;
    let meta: Meta = serde_json::from_slice(&meta)?;
    let mut parts = Parts::default();
    let mut records = Vec::new();
    for text in parts.all(&db, ITEM)? {
        records.push(serde_json::from_slice(&text)?);
    }
    let mut items = Vec::new();
    for text in parts.all(&db, ACCEPTED)? {
        items.push(Arc::new(serde_json::from_slice(&text)?));
    }
    if meta.accepted.map_or(0, |(_, count)| count) != items.len() {
        return Err(Unread::Lost("a round's items are not whole".to_owned()));
    }
    kept.incarnation = meta.incarnation;
    (kept.promised, kept.chosen) = (meta.promised, meta.chosen);
    kept.accepted = meta.accepted.map(|(ballot, _)| Accepted { ballot, items });
    Ok((kept, records))
}

/// Merges items in order of the rounds in which they were chosen, and marks the change at which each was complete.
fn merged(mut kept: Kept, mut records: Vec<Record>) -> Kept {
    records.sort_by(|a, b| (a.at, &a.item.key).cmp(&(b.at, &b.item.key)));
    let mut marks: Vec<(Ballot, u64)> = Vec::new();
    for Record { at, item } in records {
        kept.items.merge_shared(item);
        if marks.last().is_some_and(|last| last.0 == at) {
            marks.pop();
        }
        marks.push((at, kept.items.changes()));
    }
    if marks.last().is_none_or(|last| last.0 < kept.chosen) {
        marks.push((kept.chosen, kept.items.changes()));
    }
    // Fewer marks tell who lags a little more than it lacks.
    while marks.len() > MARKS {
        let mut index = 0;
        let last = marks.len();
        marks.retain(|_| {
            index += 1;
            index % 2 == 0 || index == last
        });
    }
    kept.marks = marks;
    kept
}

/// Makes a folder.
struct Making<'a> {
    folder: &'a Path,
    fsync: Box<dyn Fsync>,
    number: u64,
}

type Entry = (Vec<u8>, Option<Vec<u8>>);

impl Making<'_> {
    /// Writes all, and takes the folders before away once this one counts. One that has failed is taken away.
    fn make(
        &mut self,
        all: impl Iterator<Item = Result<Entry, Fault>>,
    ) -> Result<(sled::Db, [BTreeSet<String>; 2]), Fault> {
        let place = place(self.folder, self.number);
        let made = guarded(|| self.fill(&place, all), failed);
        match &made {
            Ok(_) => self.clear(),
            // One that may count already stays: all that it holds was synced before.
            Err(_) if place.join(WHOLE).exists() => {}
            Err(_) => {
                if let Err(error) = fs::remove_dir_all(&place) {
                    tracing::debug!("a folder that was not finished stays: {error}");
                }
            }
        }
        made
    }

    fn fill(
        &mut self,
        place: &Path,
        all: impl Iterator<Item = Result<Entry, Fault>>,
    ) -> Result<(sled::Db, [BTreeSet<String>; 2]), Fault> {
        if place.exists() {
            fs::remove_dir_all(place).map_err(failed)?;
        }
        let db = open_sled(place).map_err(failed)?;
        let mut piece = Changes::default();
        for entry in all {
            let (key, value) = entry?;
            if value.is_some() {
                piece.add(key, value);
            }
            if piece.bytes > PIECE {
                db.apply_batch(std::mem::take(&mut piece).batch()).map_err(failed)?;
            }
        }
        db.apply_batch(piece.batch()).map_err(failed)?;
        db.flush().map_err(failed)?;
        let mut names = [BTreeSet::new(), BTreeSet::new()];
        let fsync = &mut *self.fsync;
        sync_names(fsync, place, &mut names)
            .and_then(|()| fsync.file(&place.join("db")))
            .and_then(|()| fsync.folder(self.folder))
            .and_then(|()| fs::write(place.join(WHOLE), b""))
            .and_then(|()| sync_names(fsync, place, &mut names))
            .map_err(failed)?;
        Ok((db, names))
    }

    /// Should one come back, a higher one counts.
    fn clear(&self) {
        for (number, path) in numbered(self.folder).unwrap_or_default() {
            if number != self.number {
                if let Err(error) = fs::remove_dir_all(&path) {
                    tracing::warn!("an old folder stays: {error}");
                }
            }
        }
    }
}

/// Syncs files that are new, other than the log, and folders whose names have changed.
fn sync_names(fsync: &mut dyn Fsync, place: &Path, names: &mut [BTreeSet<String>; 2]) -> io::Result<()> {
    for (folder, known) in [place.join("blobs"), place.to_owned()].iter().zip(names) {
        let mut now = BTreeSet::new();
        for entry in fs::read_dir(folder)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if entry.file_type()?.is_file() && name != "db" && !known.contains(&name) {
                fsync.file(&entry.path())?;
            }
            now.insert(name);
        }
        if now != *known {
            fsync.folder(folder)?;
            *known = now;
        }
    }
    Ok(())
}
