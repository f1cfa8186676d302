//! Orders in an embedded store, a file in a folder of the journal's own.
//!
//! The store writes pages anew and switches to them by one checksummed page behind a sync, so that after a crash at any
//! moment the last whole commit is there.

use crate::order::{Order, State, Update};
use redb::backends::FileBackend;
use redb::{
    Builder, Database, DatabaseError, Durability, ReadableTable, ReadableTableMetadata, StorageBackend,
    TableDefinition,
};
use std::fmt;
use std::fs::{self, OpenOptions};
use std::io;
use std::ops::Bound;
use std::os::unix::fs::{DirBuilderExt, MetadataExt, OpenOptionsExt};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Orders as JSON, by their id in this process's lives.
const ORDERS: TableDefinition<&str, &[u8]> = TableDefinition::new("orders-1");
/// The order that holds a client's id.
const KEYS: TableDefinition<&str, &str> = TableDefinition::new("client-ids-1");
/// Orders by when they were taken, in Unix milliseconds: what is listed by, and what is dropped by.
const BY_TIME: TableDefinition<(u64, &str), ()> = TableDefinition::new("by-time-1");
/// The format, the records' bytes, and the salt of pseudonyms.
const ABOUT: TableDefinition<&str, &[u8]> = TableDefinition::new("about-1");
/// The format that this program writes. Those without a number had no order by time.
const FORMAT: u64 = 2;
/// What an order takes in the file for each byte of its record and ids, at most: pages are half full at worst, are
/// written anew before the old ones are free, and the file grows by doubling.
const SPREAD: u64 = 6;
/// What each order's entries take besides.
const ENTRY: u64 = 96;
/// From this part of what may be recorded on people are warned.
pub const NEAR: f64 = 0.8;
/// Most orders that are dropped in one commit.
const DROPPED_MOST: usize = 256;
/// The store's file in the folder.
const FILE: &str = "orders.redb";
/// Most that the store keeps of its file in memory.
const CACHE: usize = 16 << 20;

/// How durable a record is when it counts as recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DurabilityLevel {
    /// The system has it: it outlives the process, and not the machine's end.
    Written,
    /// The disk has it.
    Synced,
}

/// How long orders are kept, and how much of the disk they may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retention {
    /// Milliseconds since an order was taken.
    pub max_age_ms: f64,
    /// Bytes of the store's file.
    pub max_file_bytes: u64,
}

impl Default for Retention {
    fn default() -> Self {
        Self { max_age_ms: 30.0 * 86_400_000.0, max_file_bytes: 1 << 30 }
    }
}

/// What became of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// It is durable to the level.
    Recorded,
    /// It was left out: an order with its client's id may have run, and this is known of it.
    Duplicate(State),
    /// It was left out: the journal takes as much of the disk as it may.
    Full,
}

/// Where the journal stands.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Orders in it.
    pub orders: u64,
    /// The part of what may be recorded that is.
    pub fraction: f64,
}

impl Usage {
    /// Whether people should be warned.
    pub fn is_near_limit(&self) -> bool {
        self.fraction >= NEAR
    }
}

/// Why the journal can't be used.
#[derive(Debug)]
pub enum JournalError {
    /// Another process has it open.
    InUse(PathBuf),
    /// There is none in this folder.
    Missing(PathBuf),
    /// The folder or file can't be used.
    Io(PathBuf, io::Error),
    /// The store reports this.
    Store(PathBuf, String),
    /// Another file has its name.
    Replaced(PathBuf),
    /// It was closed in order, and is not as it was then.
    ChangedAfterClose(PathBuf),
    /// A later version of this program wrote it.
    UnsupportedFormat(PathBuf, u64),
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JournalError::InUse(path) => {
                write!(f, "the journal {} is in use by another process; end that one first", path.display())
            }
            JournalError::Missing(path) => write!(f, "there is no journal in {}", path.display()),
            JournalError::Io(path, error) => write!(f, "the journal {}: {error}", path.display()),
            JournalError::Store(path, error) => {
                write!(f, "the journal {} cannot be read: {error}", path.display())
            }
            JournalError::Replaced(path) => {
                write!(f, "another file took the place of the journal {}", path.display())
            }
            JournalError::ChangedAfterClose(path) => write!(
                f,
                "the journal {} was closed in order and has changed since: the disk may be failing, and orders in it may \
                 be lost; move the folder away to begin a new one, and keep it for staff",
                path.display()
            ),
            JournalError::UnsupportedFormat(path, format) => write!(
                f,
                "the journal {} has format {format}, and this version knows formats up to {FORMAT}; use a later one",
                path.display()
            ),
        }
    }
}

impl std::error::Error for JournalError {}

/// A file whose syncs are left out where records need only be written.
#[derive(Debug)]
struct Backend<B> {
    inner: B,
    level: DurabilityLevel,
}

impl<B: StorageBackend> StorageBackend for Backend<B> {
    fn len(&self) -> io::Result<u64> {
        self.inner.len()
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.inner.read(offset, len)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.inner.set_len(len)?;
        // The store takes for granted that its file is as long as its first page says; after a power cut that can be
        // otherwise where both were on their way to the disk, and the store ends the process then.
        self.sync_data(false)
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        match self.level {
            DurabilityLevel::Written => Ok(()),
            DurabilityLevel::Synced => self.inner.sync_data(eventual),
        }
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.inner.write(offset, data)
    }
}

/// An open journal. It may be read while it is written: a reader sees whole commits.
pub struct Store {
    database: Database,
    path: PathBuf,
    retention: Retention,
    repaired: bool,
    changed: bool,
    /// Device and number of its file, where it is one.
    file: Option<(u64, u64)>,
}

/// An order and its id.
pub type IdentifiedOrder = (String, Order);

/// Where a listing goes on: behind the order that was taken then and has this id.
pub type Cursor = (u64, String);

/// What a look through the whole journal found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerifyReport {
    /// Orders that can be read.
    pub orders: u64,
    /// Those of which nobody knows what they did.
    pub unknown: u64,
    /// What is wrong, in words; at most a hundred.
    pub problems: Vec<String>,
}

const MAX_PROBLEMS: usize = 100;

#[allow(clippy::result_large_err, reason = "the store's own errors, which go no further than this module")]
impl Store {
    /// Opens the journal of a folder, and makes both where they are missing. Only one process can have it open.
    ///
    /// # Errors
    /// If it can't be opened, or was closed in order and has changed since.
    pub fn create(folder: &Path, level: DurabilityLevel, retention: Retention) -> Result<Self, JournalError> {
        let io = |error| JournalError::Io(folder.to_owned(), error);
        fs::DirBuilder::new().recursive(true).mode(0o700).create(folder).map_err(io)?;
        let store = Self::open_file(folder, level, retention, true)?;
        if store.changed {
            return Err(JournalError::ChangedAfterClose(store.path));
        }
        Ok(store)
    }

    /// Opens the journal of a folder where there is one.
    ///
    /// # Errors
    /// If there is none or it can't be opened.
    pub fn open(folder: &Path) -> Result<Self, JournalError> {
        if !folder.join(FILE).is_file() {
            return Err(JournalError::Missing(folder.to_owned()));
        }
        Self::open_file(folder, DurabilityLevel::Synced, Retention::default(), false)
    }

    fn open_file(
        folder: &Path,
        level: DurabilityLevel,
        retention: Retention,
        create: bool,
    ) -> Result<Self, JournalError> {
        let path = folder.join(FILE);
        let file =
            OpenOptions::new().read(true).write(true).create(create).truncate(false).mode(0o600).open(&path);
        let file = file.map_err(|error| JournalError::Io(path.clone(), error))?;
        if create && level == DurabilityLevel::Synced {
            // Without this a new file may be gone after a power cut, with all that is in it.
            let synced = fs::File::open(folder).and_then(|folder| folder.sync_all());
            synced.map_err(|error| JournalError::Io(folder.to_owned(), error))?;
        }
        let told = file.metadata().map_err(|error| JournalError::Io(path.clone(), error))?;
        let backend = FileBackend::new(file).map_err(|error| opened(&path, error))?;
        let mut store = Self::guarded(path, backend, level, retention)?;
        store.file = Some((told.dev(), told.ino()));
        Ok(store)
    }

    /// Opens a journal on a storage of another kind.
    ///
    /// # Errors
    /// If it can't be opened.
    pub fn with_backend(
        path: PathBuf,
        backend: impl StorageBackend,
        retention: Retention,
    ) -> Result<Self, JournalError> {
        Self::guarded(path, backend, DurabilityLevel::Synced, retention)
    }

    /// The store panics on some pages that the disk has changed; here that is one more way not to open.
    fn guarded(
        path: PathBuf,
        inner: impl StorageBackend,
        level: DurabilityLevel,
        retention: Retention,
    ) -> Result<Self, JournalError> {
        let named = path.clone();
        let opened = catch_unwind(AssertUnwindSafe(|| Self::with(path, inner, level, retention)));
        opened
            .unwrap_or_else(|_| Err(JournalError::Store(named, "its pages contradict each other".to_owned())))
    }

    fn with(
        path: PathBuf,
        inner: impl StorageBackend,
        level: DurabilityLevel,
        retention: Retention,
    ) -> Result<Self, JournalError> {
        let backend = Backend { inner, level };
        let repaired = Arc::new(AtomicBool::new(false));
        let told = repaired.clone();
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE).set_repair_callback(move |_| told.store(true, Ordering::Relaxed));
        let mut database = builder.create_with_backend(backend).map_err(|error| opened(&path, error))?;
        let repaired = repaired.load(Ordering::Relaxed);
        // After a crash all pages were checked. Where it was closed in order none was, and a record that the disk has
        // changed since would be taken for what was written.
        let whole = repaired || database.check_integrity().map_err(|error| opened(&path, error))?;
        let mut store = Self { database, path, retention, repaired, changed: false, file: None };
        store.changed = store.told(store.has_changed(!whole))?;
        let format = store.told(store.prepare())?;
        if format > FORMAT {
            return Err(JournalError::UnsupportedFormat(store.path, format));
        }
        Ok(store)
    }

    fn told<T>(&self, result: Result<T, redb::Error>) -> Result<T, JournalError> {
        result.map_err(|error| JournalError::Store(self.path.clone(), error.to_string()))
    }

    /// Whether it has ever been found changed. That is kept, since the check itself puts the last whole state in place.
    fn has_changed(&self, now: bool) -> Result<bool, redb::Error> {
        let write = self.database.begin_write()?;
        let before = write.open_table(ABOUT)?.get("changed")?.is_some();
        if now && !before {
            write.open_table(ABOUT)?.insert("changed", [1].as_slice())?;
            write.commit()?;
        }
        Ok(now || before)
    }

    /// Makes what is missing, also of a journal of an earlier format; gives the format where it is a later one.
    fn prepare(&self) -> Result<u64, redb::Error> {
        let write = self.database.begin_write()?;
        {
            let mut about = write.open_table(ABOUT)?;
            let format = number(&about, "format")?;
            if format >= FORMAT {
                return Ok(format);
            }
            let mut orders = write.open_table(ORDERS)?;
            let mut by_time = write.open_table(BY_TIME)?;
            let mut bytes = 0;
            // The first format had JSON alone.
            let ids = orders.iter()?.map(|entry| Ok(entry?.0.value().to_owned()));
            for id in ids.collect::<Result<Vec<_>, redb::Error>>()? {
                let order = orders.get(id.as_str())?.map(|value| serde_json::from_slice(value.value()));
                let order = order.and_then(Result::ok).unwrap_or_else(unreadable);
                let value = written(&id, &order);
                by_time.insert((accepted_at(&order), id.as_str()), ())?;
                bytes += weight(&id, order.client_id.as_deref(), value.len());
                orders.insert(id.as_str(), value.as_slice())?;
            }
            write.open_table(KEYS)?;
            about.insert("bytes", bytes.to_be_bytes().as_slice())?;
            about.insert("format", FORMAT.to_be_bytes().as_slice())?;
        }
        write.commit()?;
        Ok(FORMAT)
    }

    /// Whether it was closed in order and found changed later: orders in it may be lost.
    pub fn changed_after_close(&self) -> bool {
        self.changed
    }

    /// Whether it was not closed in order, so that it was gone through and what was not whole cut off.
    pub fn was_repaired(&self) -> bool {
        self.repaired
    }

    /// A salt for pseudonyms, the same for as long as this journal lives; `fresh` is kept where there is none yet.
    ///
    /// # Errors
    /// If it can't be kept.
    pub fn get_or_insert_salt(&self, fresh: [u8; 32]) -> Result<Vec<u8>, JournalError> {
        let salt = || -> Result<Vec<u8>, redb::Error> {
            let write = self.database.begin_write()?;
            let salt = {
                let mut about = write.open_table(ABOUT)?;
                let kept = about.get("salt")?.map(|salt| salt.value().to_vec());
                match kept {
                    Some(kept) => kept,
                    None => {
                        about.insert("salt", fresh.as_slice())?;
                        fresh.to_vec()
                    }
                }
            };
            write.commit()?;
            Ok(salt)
        };
        self.told(salt())
    }

    /// The salt, if pseudonyms were ever made.
    ///
    /// # Errors
    /// If the journal can't be read.
    pub fn salt(&self) -> Result<Option<Vec<u8>>, JournalError> {
        let salt = || -> Result<Option<Vec<u8>>, redb::Error> {
            let about = self.database.begin_read()?.open_table(ABOUT)?;
            Ok(about.get("salt")?.map(|salt| salt.value().to_vec()))
        };
        self.told(salt())
    }

    /// Records updates durably to the level, all or none of those that are not left out, and tells what became of each
    /// and where the journal stands. What is past its time is dropped meanwhile.
    ///
    /// # Errors
    /// If they are not recorded, or it is not known whether they are.
    pub fn record(&self, updates: &[(String, Update)]) -> Result<(Vec<RecordOutcome>, Usage), JournalError> {
        // A file that nobody finds any more takes records and gives none back.
        if let Some(file) = self.file {
            let there =
                fs::metadata(&self.path).map_err(|error| JournalError::Io(self.path.clone(), error))?;
            if (there.dev(), there.ino()) != file {
                return Err(JournalError::Replaced(self.path.clone()));
            }
        }
        self.told(self.try_record(updates))
    }

    fn try_record(&self, updates: &[(String, Update)]) -> Result<(Vec<RecordOutcome>, Usage), redb::Error> {
        let mut became = Vec::with_capacity(updates.len());
        let mut write = self.database.begin_write()?;
        write.set_durability(Durability::Immediate);
        let usage;
        {
            let mut orders = write.open_table(ORDERS)?;
            let mut keys = write.open_table(KEYS)?;
            let mut by_time = write.open_table(BY_TIME)?;
            let mut about = write.open_table(ABOUT)?;
            let most = self.retention.max_file_bytes / SPREAD;
            let mut bytes = number(&about, "bytes")?;
            // The newest order tells the time; without one nothing is in the way.
            let now = updates.iter().filter_map(|(_, update)| match update {
                Update::Accepted(order) => Some(order.accepted_at),
                _ => None,
            });
            let oldest = (now.fold(f64::MIN, f64::max) - self.retention.max_age_ms).max(0.0) as u64;
            for _ in 0..DROPPED_MOST {
                let Some((at, id)) = by_time.first()?.map(|(key, _)| owned(key.value())) else { break };
                if at >= oldest {
                    break;
                }
                by_time.remove((at, id.as_str()))?;
                let gone = orders.remove(id.as_str())?.map(|v| (read(&id, v.value()), v.value().len()));
                let Some((order, length)) = gone else { continue };
                let client_id = order.client_id.as_deref();
                bytes = bytes.saturating_sub(weight(&id, client_id, length));
                if let Some(client_id) = client_id {
                    let holds = keys.get(client_id)?.is_some_and(|holder| holder.value() == id);
                    if holds {
                        keys.remove(client_id)?;
                    }
                }
            }
            for (id, update) in updates {
                if let Update::Accepted(order) = update {
                    if bytes >= most {
                        became.push(RecordOutcome::Full);
                        continue;
                    }
                    if let Some(client_id) = order.client_id.as_deref().filter(|_| !order.keyed) {
                        let holder = keys.get(client_id)?.map(|holder| holder.value().to_owned());
                        let other = match holder.filter(|holder| holder != id) {
                            Some(holder) => {
                                orders.get(holder.as_str())?.map(|order| read(&holder, order.value()).state())
                            }
                            None => None,
                        };
                        if let Some(state) = other.filter(|state| *state != State::NeverSent) {
                            became.push(RecordOutcome::Duplicate(state));
                            continue;
                        }
                        keys.insert(client_id, id.as_str())?;
                    }
                }
                became.push(RecordOutcome::Recorded);
                let before =
                    orders.get(id.as_str())?.map(|found| (read(id, found.value()), found.value().len()));
                let (mut order, had) = match before {
                    Some((order, length)) => {
                        let weight = weight(id, order.client_id.as_deref(), length);
                        (order, weight)
                    }
                    // What came of an order that was dropped or left out says nothing by itself.
                    None if matches!(update, Update::AttemptEnded(..) | Update::Closed(_)) => continue,
                    None => (Order::default(), 0),
                };
                let place = (had > 0).then(|| accepted_at(&order));
                order.apply(update.clone());
                let moved = accepted_at(&order);
                if place != Some(moved) {
                    if let Some(place) = place {
                        by_time.remove((place, id.as_str()))?;
                    }
                    by_time.insert((moved, id.as_str()), ())?;
                }
                let value = written(id, &order);
                orders.insert(id.as_str(), value.as_slice())?;
                bytes = bytes.saturating_sub(had) + weight(id, order.client_id.as_deref(), value.len());
            }
            about.insert("bytes", bytes.to_be_bytes().as_slice())?;
            usage = Usage { orders: orders.len()?, fraction: bytes as f64 / most.max(1) as f64 };
        }
        write.commit()?;
        Ok((became, usage))
    }

    /// Calls `each` with orders in the order in which they were taken, from behind a place, until it says that it has
    /// enough or `most` were read. Gives where to go on, unless that was all.
    ///
    /// # Errors
    /// If the journal can't be read.
    pub fn list(
        &self,
        after: Option<&Cursor>,
        most: usize,
        mut each: impl FnMut(IdentifiedOrder) -> bool,
    ) -> Result<Option<Cursor>, JournalError> {
        let mut try_list = || -> Result<Option<Cursor>, redb::Error> {
            let reading = self.database.begin_read()?;
            let (orders, by_time) = (reading.open_table(ORDERS)?, reading.open_table(BY_TIME)?);
            let from = match after {
                Some((at, id)) => Bound::Excluded((*at, id.as_str())),
                None => Bound::Unbounded,
            };
            for (number, entry) in by_time.range::<(u64, &str)>((from, Bound::Unbounded))?.enumerate() {
                let (at, id) = owned(entry?.0.value());
                let order = orders.get(id.as_str())?.map(|order| read(&id, order.value()));
                let enough = order.is_some_and(|order| !each((id.clone(), order)));
                if enough || number + 1 >= most {
                    return Ok(Some((at, id)));
                }
            }
            Ok(None)
        };
        self.told(try_list())
    }

    /// Calls `each` with all orders, in the order in which they were taken.
    ///
    /// # Errors
    /// If the journal can't be read.
    pub fn for_each(&self, mut each: impl FnMut(IdentifiedOrder)) -> Result<(), JournalError> {
        self.list(None, usize::MAX, |found| {
            each(found);
            true
        })
        .map(drop)
    }

    /// The orders of an id: the client's or this program's own. A client's id may have been used again after an order
    /// that never ran: the last one holds it.
    ///
    /// # Errors
    /// If the journal can't be read.
    pub fn find(&self, id: &str) -> Result<Option<IdentifiedOrder>, JournalError> {
        let find = || -> Result<Option<IdentifiedOrder>, redb::Error> {
            let reading = self.database.begin_read()?;
            let orders = reading.open_table(ORDERS)?;
            let holder = reading.open_table(KEYS)?.get(id)?.map(|holder| holder.value().to_owned());
            let own = holder.unwrap_or_else(|| id.to_owned());
            Ok(orders.get(own.as_str())?.map(|order| (own.clone(), read(&own, order.value()))))
        };
        self.told(find())
    }

    /// Looks through all that is recorded, also while it is written.
    ///
    /// # Errors
    /// If the journal can't be read.
    pub fn verify(&self) -> Result<VerifyReport, JournalError> {
        let verify = || -> Result<VerifyReport, redb::Error> {
            let reading = self.database.begin_read()?;
            let (orders, by_time) = (reading.open_table(ORDERS)?, reading.open_table(BY_TIME)?);
            let mut report = VerifyReport::default();
            let mut problems: Vec<_> = self
                .changed
                .then(|| JournalError::ChangedAfterClose(self.path.clone()).to_string())
                .into_iter()
                .collect();
            let mut told = |what: String| {
                if problems.len() < MAX_PROBLEMS {
                    problems.push(what);
                }
            };
            for entry in orders.iter()? {
                let (id, value) = entry?;
                let id = id.value();
                let Some(order) = whole(id, value.value()) else {
                    told(format!("{id}: its record cannot be read; it counts as sent and unknown"));
                    report.unknown += 1;
                    continue;
                };
                report.orders += 1;
                report.unknown += u64::from(order.state() == State::Unknown);
                if by_time.get((accepted_at(&order), id))?.is_none() {
                    told(format!("{id}: it is not found by its time"));
                }
                if order.attempts.windows(2).any(|pair| pair[0].number >= pair[1].number) {
                    told(format!("{id}: its attempts are out of order"));
                }
            }
            for entry in reading.open_table(KEYS)?.iter()? {
                let (client_id, holder) = entry?;
                if orders.get(holder.value())?.is_none() {
                    told(format!("{}: the order that holds this id is gone", client_id.value()));
                }
            }
            if by_time.len()? != orders.len()? {
                told(format!("{} orders, and {} places by time", orders.len()?, by_time.len()?));
            }
            report.problems = problems;
            Ok(report)
        };
        self.told(verify())
    }

    /// How many orders there are.
    ///
    /// # Errors
    /// If the journal can't be read.
    pub fn len(&self) -> Result<u64, JournalError> {
        let len =
            || -> Result<u64, redb::Error> { Ok(self.database.begin_read()?.open_table(ORDERS)?.len()?) };
        self.told(len())
    }

    /// Whether there is none.
    ///
    /// # Errors
    /// If the journal can't be read.
    pub fn is_empty(&self) -> Result<bool, JournalError> {
        Ok(self.len()? == 0)
    }
}

#[allow(clippy::result_large_err, reason = "the store's own errors, which go no further than this module")]
fn number(about: &impl ReadableTable<&'static str, &'static [u8]>, name: &str) -> Result<u64, redb::Error> {
    let value = about.get(name)?.and_then(|value| value.value().try_into().ok());
    Ok(value.map_or(0, u64::from_be_bytes))
}

fn owned((at, id): (u64, &str)) -> Cursor {
    (at, id.to_owned())
}

fn accepted_at(order: &Order) -> u64 {
    order.accepted_at.max(0.0) as u64
}

/// What an order takes of what may be recorded.
fn weight(id: &str, client_id: Option<&str>, value: usize) -> u64 {
    let client_id = client_id.map_or(0, str::len);
    (2 * (id.len() + client_id) + id.len() + value) as u64 + ENTRY
}

fn opened(path: &Path, error: DatabaseError) -> JournalError {
    match error {
        DatabaseError::DatabaseAlreadyOpen => JournalError::InUse(path.to_owned()),
        other => JournalError::Store(path.to_owned(), other.to_string()),
    }
}

/// A record: the checksum of its id and JSON, and the JSON.
fn written(id: &str, order: &Order) -> Vec<u8> {
    // An order is plain data: it can always be written as JSON.
    let json = serde_json::to_vec(order).unwrap_or_default();
    let mut value = checksum(id, &json).to_be_bytes().to_vec();
    value.extend_from_slice(&json);
    value
}

fn checksum(id: &str, json: &[u8]) -> u32 {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(id.as_bytes());
    checksum.update(json);
    checksum.finalize()
}

/// An order as it was written, if it is as it was written.
fn whole(id: &str, value: &[u8]) -> Option<Order> {
    let (sum, json) = value.split_first_chunk()?;
    (checksum(id, json) == u32::from_be_bytes(*sum)).then(|| serde_json::from_slice(json).ok())?
}

/// An order as it was written. One that cannot be read was sent, and nothing else is known of it.
fn read(id: &str, value: &[u8]) -> Order {
    whole(id, value).unwrap_or_else(unreadable)
}

fn unreadable() -> Order {
    let server = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
    let attempt = crate::Attempt { number: 0, server, sent_at: 0.0, outcome: crate::AttemptOutcome::Unknown };
    // It is not the oldest, which would be dropped first.
    Order { attempts: vec![attempt], accepted_at: f64::MAX, ..Order::default() }
}

#[cfg(test)]
mod tests;
