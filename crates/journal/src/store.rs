//! Persistence of orders in an embedded database, a single file in the journal's folder.
//!
//! The database writes modified pages to new places and commits by a sync and one checksummed header page, so that the
//! last complete commit survives a crash at any time.

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

/// Orders as JSON, by the id that the sidecar assigned.
const ORDERS: TableDefinition<&str, &[u8]> = TableDefinition::new("orders-1");
/// Id of the order that holds a client id, by the client id.
const CLIENT_IDS: TableDefinition<&str, &str> = TableDefinition::new("client-ids-1");
/// Order ids by the time of acceptance in Unix milliseconds, the order of listing and of expiry.
const BY_TIME: TableDefinition<(u64, &str), ()> = TableDefinition::new("by-time-1");
/// Metadata: the format, the size of all records in bytes, and the salt for pseudonyms.
const METADATA: TableDefinition<&str, &[u8]> = TableDefinition::new("about-1");
/// Format that this version writes. Files without a format number have no index by time.
const FORMAT: u64 = 2;
/// Maximum file size per byte of records and ids. Pages may be only half full, are copied before the old ones are
/// freed, and the file grows by doubling.
const FILE_SIZE_FACTOR: u64 = 6;
/// Size of the table entries of an order in addition to its record and ids, in bytes.
const ENTRY_OVERHEAD_BYTES: u64 = 96;
/// Fraction of the size limit from which operators are warned.
pub const WARNING_FRACTION: f64 = 0.8;
/// Maximum number of expired orders removed per commit.
const MAX_EXPIRED_PER_COMMIT: usize = 256;
/// Name of the database file in the journal's folder.
const FILE_NAME: &str = "orders.redb";
/// Size of the database's page cache, in bytes.
const CACHE_BYTES: usize = 16 << 20;

/// Durability that a record must have before it counts as recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DurabilityLevel {
    /// Handed to the operating system: survives a crash of the process, but not of the machine.
    Written,
    /// Synced to the disk.
    Synced,
}

/// Retention of orders: their maximum age and the maximum size of the file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retention {
    /// Maximum age of an order since its acceptance, in milliseconds.
    pub max_age_ms: f64,
    /// Maximum size of the database file, in bytes.
    pub max_file_bytes: u64,
}

impl Default for Retention {
    fn default() -> Self {
        Self { max_age_ms: 30.0 * 86_400_000.0, max_file_bytes: 1 << 30 }
    }
}

/// Result of recording an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// Recorded with the configured durability.
    Recorded,
    /// Skipped, since another order with the same client id may have run; holds the state of that order.
    Duplicate(State),
    /// Skipped, since the journal has reached its size limit.
    Full,
}

/// Current size of the journal.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Number of orders.
    pub orders: u64,
    /// Fraction of the size limit that is used.
    pub fraction: f64,
}

impl Usage {
    /// Returns whether operators should be warned.
    pub fn is_near_limit(&self) -> bool {
        self.fraction >= WARNING_FRACTION
    }
}

/// Error of opening, reading or writing a journal.
#[derive(Debug)]
pub enum JournalError {
    /// Another process has it open.
    InUse(PathBuf),
    /// The folder has no journal.
    Missing(PathBuf),
    /// I/O error on the folder or the file.
    Io(PathBuf, io::Error),
    /// Error of the database.
    Store(PathBuf, String),
    /// The file has been replaced by another.
    Replaced(PathBuf),
    /// The journal was closed cleanly, but has changed since.
    ChangedAfterClose(PathBuf),
    /// The journal was written by a later version, in this format.
    UnsupportedFormat(PathBuf, u64),
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JournalError::InUse(path) => {
                write!(f, "the journal {} is in use by another process; stop that process first", path.display())
            }
            JournalError::Missing(path) => write!(f, "there is no journal in {}", path.display()),
            JournalError::Io(path, error) => write!(f, "the journal {}: {error}", path.display()),
            JournalError::Store(path, error) => {
                write!(f, "the journal {} cannot be read: {error}", path.display())
            }
            JournalError::Replaced(path) => {
                write!(f, "the file of the journal {} has been replaced by another file", path.display())
            }
            JournalError::ChangedAfterClose(path) => write!(
                f,
                "the journal {} was closed cleanly but has changed since: the disk may be failing, and orders may be \
                 lost; move the folder away to start a new journal, and keep it for investigation",
                path.display()
            ),
            JournalError::UnsupportedFormat(path, format) => write!(
                f,
                "the journal {} has format {format}, but this version supports formats up to {FORMAT} only; use a later \
                 version",
                path.display()
            ),
        }
    }
}

impl std::error::Error for JournalError {}

/// Storage backend that skips syncs at [`DurabilityLevel::Written`].
#[derive(Debug)]
struct LevelBackend<B> {
    inner: B,
    level: DurabilityLevel,
}

impl<B: StorageBackend> StorageBackend for LevelBackend<B> {
    fn len(&self) -> io::Result<u64> {
        self.inner.len()
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.inner.read(offset, len)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.inner.set_len(len)?;
        // The database assumes that the file is as long as its header page says, and terminates the process otherwise.
        // Without this sync a power cut could persist the header page but not the new length.
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

/// Open journal. It can be read while it is written; a reader sees complete commits only.
pub struct Store {
    database: Database,
    path: PathBuf,
    retention: Retention,
    repaired: bool,
    changed: bool,
    /// Device and inode number, if the backend is a file.
    file_id: Option<(u64, u64)>,
}

/// Order with its id.
pub type IdentifiedOrder = (String, Order);

/// Position in a listing: after the order of this acceptance time and id.
pub type Cursor = (u64, String);

/// Result of verifying a journal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerifyReport {
    /// Number of readable orders.
    pub orders: u64,
    /// Number of orders in state [`State::Unknown`], including unreadable ones.
    pub unknown: u64,
    /// Descriptions of the problems found, at most 100.
    pub problems: Vec<String>,
}

/// Maximum number of problems in a report.
const MAX_PROBLEMS: usize = 100;

#[allow(clippy::result_large_err, reason = "the database's errors, which do not leave this module")]
impl Store {
    /// Opens the journal of a folder, and creates both if they are missing. Only one process can have it open.
    ///
    /// # Errors
    /// Returns an error if it cannot be opened, or was closed cleanly and has changed since.
    pub fn create(folder: &Path, level: DurabilityLevel, retention: Retention) -> Result<Self, JournalError> {
        let io = |error| JournalError::Io(folder.to_owned(), error);
        fs::DirBuilder::new().recursive(true).mode(0o700).create(folder).map_err(io)?;
        let store = Self::open_file(folder, level, retention, true)?;
        if store.changed {
            return Err(JournalError::ChangedAfterClose(store.path));
        }
        Ok(store)
    }

    /// Opens the existing journal of a folder.
    ///
    /// # Errors
    /// Returns an error if there is none, or it cannot be opened.
    pub fn open(folder: &Path) -> Result<Self, JournalError> {
        if !folder.join(FILE_NAME).is_file() {
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
        let path = folder.join(FILE_NAME);
        let file =
            OpenOptions::new().read(true).write(true).create(create).truncate(false).mode(0o600).open(&path);
        let file = file.map_err(|error| JournalError::Io(path.clone(), error))?;
        if create && level == DurabilityLevel::Synced {
            // Without this sync of the folder, a new file can be lost in a power cut with all its records.
            let synced = fs::File::open(folder).and_then(|folder| folder.sync_all());
            synced.map_err(|error| JournalError::Io(folder.to_owned(), error))?;
        }
        let metadata = file.metadata().map_err(|error| JournalError::Io(path.clone(), error))?;
        let backend = FileBackend::new(file).map_err(|error| open_error(&path, error))?;
        let mut store = Self::open_catching_panics(path, backend, level, retention)?;
        store.file_id = Some((metadata.dev(), metadata.ino()));
        Ok(store)
    }

    /// Opens a journal on another storage backend.
    ///
    /// # Errors
    /// Returns an error if it cannot be opened.
    pub fn with_backend(
        path: PathBuf,
        backend: impl StorageBackend,
        retention: Retention,
    ) -> Result<Self, JournalError> {
        Self::open_catching_panics(path, backend, DurabilityLevel::Synced, retention)
    }

    /// Opens the database and turns a panic into an error, since the database panics on some corrupted pages.
    fn open_catching_panics(
        path: PathBuf,
        inner: impl StorageBackend,
        level: DurabilityLevel,
        retention: Retention,
    ) -> Result<Self, JournalError> {
        let failed_path = path.clone();
        let opened = catch_unwind(AssertUnwindSafe(|| Self::open_backend(path, inner, level, retention)));
        opened.unwrap_or_else(|_| Err(JournalError::Store(failed_path, "inconsistent pages".to_owned())))
    }

    fn open_backend(
        path: PathBuf,
        inner: impl StorageBackend,
        level: DurabilityLevel,
        retention: Retention,
    ) -> Result<Self, JournalError> {
        let backend = LevelBackend { inner, level };
        let repaired = Arc::new(AtomicBool::new(false));
        let on_repair = repaired.clone();
        let mut builder = Builder::new();
        builder
            .set_cache_size(CACHE_BYTES)
            .set_repair_callback(move |_| on_repair.store(true, Ordering::Relaxed));
        let mut database = builder.create_with_backend(backend).map_err(|error| open_error(&path, error))?;
        let repaired = repaired.load(Ordering::Relaxed);
        // After a crash the database has checked all pages. After a clean close it has not, and a record that the disk
        // has corrupted since would be read as valid.
        let intact = repaired || database.check_integrity().map_err(|error| open_error(&path, error))?;
        let mut store = Self { database, path, retention, repaired, changed: false, file_id: None };
        store.changed = store.database_result(store.has_changed(!intact))?;
        let format = store.database_result(store.prepare())?;
        if format > FORMAT {
            return Err(JournalError::UnsupportedFormat(store.path, format));
        }
        Ok(store)
    }

    fn database_result<T>(&self, result: Result<T, redb::Error>) -> Result<T, JournalError> {
        result.map_err(|error| JournalError::Store(self.path.clone(), error.to_string()))
    }

    /// Returns whether the journal has ever been found changed. This is stored, since the integrity check itself
    /// restores the last consistent state.
    fn has_changed(&self, now: bool) -> Result<bool, redb::Error> {
        let transaction = self.database.begin_write()?;
        let before = transaction.open_table(METADATA)?.get("changed")?.is_some();
        if now && !before {
            transaction.open_table(METADATA)?.insert("changed", [1].as_slice())?;
            transaction.commit()?;
        }
        Ok(now || before)
    }

    /// Creates missing tables and migrates earlier formats. Returns the format of the file, which may be a later one.
    fn prepare(&self) -> Result<u64, redb::Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut metadata = transaction.open_table(METADATA)?;
            let format = read_u64(&metadata, "format")?;
            if format >= FORMAT {
                return Ok(format);
            }
            let mut orders = transaction.open_table(ORDERS)?;
            let mut by_time = transaction.open_table(BY_TIME)?;
            let mut bytes = 0;
            // Records of the first format are plain JSON without a checksum.
            let ids = orders.iter()?.map(|entry| Ok(entry?.0.value().to_owned()));
            for id in ids.collect::<Result<Vec<_>, redb::Error>>()? {
                let order = orders.get(id.as_str())?.map(|value| serde_json::from_slice(value.value()));
                let order = order.and_then(Result::ok).unwrap_or_else(unreadable_order);
                let value = encode(&id, &order);
                by_time.insert((accepted_at(&order), id.as_str()), ())?;
                bytes += stored_size(&id, order.client_id.as_deref(), value.len());
                orders.insert(id.as_str(), value.as_slice())?;
            }
            transaction.open_table(CLIENT_IDS)?;
            metadata.insert("bytes", bytes.to_be_bytes().as_slice())?;
            metadata.insert("format", FORMAT.to_be_bytes().as_slice())?;
        }
        transaction.commit()?;
        Ok(FORMAT)
    }

    /// Returns whether the journal was closed cleanly and later found changed, so that orders may be lost.
    pub fn changed_after_close(&self) -> bool {
        self.changed
    }

    /// Returns whether the journal was not closed cleanly, so that incomplete commits were discarded on opening.
    pub fn was_repaired(&self) -> bool {
        self.repaired
    }

    /// Returns the journal's permanent salt for pseudonyms; stores and returns `fresh` if there is none yet.
    ///
    /// # Errors
    /// Returns an error if it cannot be stored.
    pub fn get_or_insert_salt(&self, fresh: [u8; 32]) -> Result<Vec<u8>, JournalError> {
        let salt = || -> Result<Vec<u8>, redb::Error> {
            let transaction = self.database.begin_write()?;
            let salt = {
                let mut metadata = transaction.open_table(METADATA)?;
                let kept = metadata.get("salt")?.map(|salt| salt.value().to_vec());
                match kept {
                    Some(kept) => kept,
                    None => {
                        metadata.insert("salt", fresh.as_slice())?;
                        fresh.to_vec()
                    }
                }
            };
            transaction.commit()?;
            Ok(salt)
        };
        self.database_result(salt())
    }

    /// Returns the salt for pseudonyms, if there is one.
    ///
    /// # Errors
    /// Returns an error if the journal cannot be read.
    pub fn salt(&self) -> Result<Option<Vec<u8>>, JournalError> {
        let salt = || -> Result<Option<Vec<u8>>, redb::Error> {
            let metadata = self.database.begin_read()?.open_table(METADATA)?;
            Ok(metadata.get("salt")?.map(|salt| salt.value().to_vec()))
        };
        self.database_result(salt())
    }

    /// Records updates in one commit with the configured durability, and removes expired orders. Returns the result of
    /// each update, since some may be skipped, and the size of the journal.
    ///
    /// # Errors
    /// Returns an error if the updates were not recorded, or possibly not.
    pub fn record(&self, updates: &[(String, Update)]) -> Result<(Vec<RecordOutcome>, Usage), JournalError> {
        // Records written to a deleted or replaced file could not be read back.
        if let Some(file_id) = self.file_id {
            let current =
                fs::metadata(&self.path).map_err(|error| JournalError::Io(self.path.clone(), error))?;
            if (current.dev(), current.ino()) != file_id {
                return Err(JournalError::Replaced(self.path.clone()));
            }
        }
        self.database_result(self.try_record(updates))
    }

    fn try_record(&self, updates: &[(String, Update)]) -> Result<(Vec<RecordOutcome>, Usage), redb::Error> {
        let mut outcomes = Vec::with_capacity(updates.len());
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(Durability::Immediate);
        let usage;
        {
            let mut orders = transaction.open_table(ORDERS)?;
            let mut client_ids = transaction.open_table(CLIENT_IDS)?;
            let mut by_time = transaction.open_table(BY_TIME)?;
            let mut metadata = transaction.open_table(METADATA)?;
            let max_bytes = self.retention.max_file_bytes / FILE_SIZE_FACTOR;
            let mut bytes = read_u64(&metadata, "bytes")?;
            // The newest order serves as the current time; without a new order nothing needs to expire.
            let accepted = updates.iter().filter_map(|(_, update)| match update {
                Update::Accepted(order) => Some(order.accepted_at),
                _ => None,
            });
            let oldest = (accepted.fold(f64::MIN, f64::max) - self.retention.max_age_ms).max(0.0) as u64;
            for _ in 0..MAX_EXPIRED_PER_COMMIT {
                let Some((at, id)) = by_time.first()?.map(|(key, _)| to_cursor(key.value())) else { break };
                if at >= oldest {
                    break;
                }
                by_time.remove((at, id.as_str()))?;
                let removed =
                    orders.remove(id.as_str())?.map(|v| (decode_or_unknown(&id, v.value()), v.value().len()));
                let Some((order, length)) = removed else { continue };
                let client_id = order.client_id.as_deref();
                bytes = bytes.saturating_sub(stored_size(&id, client_id, length));
                if let Some(client_id) = client_id {
                    let holds = client_ids.get(client_id)?.is_some_and(|holder| holder.value() == id);
                    if holds {
                        client_ids.remove(client_id)?;
                    }
                }
            }
            for (id, update) in updates {
                if let Update::Accepted(order) = update {
                    if bytes >= max_bytes {
                        outcomes.push(RecordOutcome::Full);
                        continue;
                    }
                    if let Some(client_id) = order.client_id.as_deref().filter(|_| !order.keyed) {
                        let holder = client_ids.get(client_id)?.map(|holder| holder.value().to_owned());
                        let other = match holder.filter(|holder| holder != id) {
                            Some(holder) => orders
                                .get(holder.as_str())?
                                .map(|order| decode_or_unknown(&holder, order.value()).state()),
                            None => None,
                        };
                        if let Some(state) = other.filter(|state| *state != State::NeverSent) {
                            outcomes.push(RecordOutcome::Duplicate(state));
                            continue;
                        }
                        client_ids.insert(client_id, id.as_str())?;
                    }
                }
                outcomes.push(RecordOutcome::Recorded);
                let existing = orders
                    .get(id.as_str())?
                    .map(|found| (decode_or_unknown(id, found.value()), found.value().len()));
                let (mut order, old_size) = match existing {
                    Some((order, length)) => {
                        let size = stored_size(id, order.client_id.as_deref(), length);
                        (order, size)
                    }
                    // The outcome of an expired or skipped order is of no use without the order.
                    None if matches!(update, Update::AttemptEnded(..) | Update::Closed(_)) => continue,
                    None => (Order::default(), 0),
                };
                let old_time = (old_size > 0).then(|| accepted_at(&order));
                order.apply(update.clone());
                let new_time = accepted_at(&order);
                if old_time != Some(new_time) {
                    if let Some(old_time) = old_time {
                        by_time.remove((old_time, id.as_str()))?;
                    }
                    by_time.insert((new_time, id.as_str()), ())?;
                }
                let value = encode(id, &order);
                orders.insert(id.as_str(), value.as_slice())?;
                bytes =
                    bytes.saturating_sub(old_size) + stored_size(id, order.client_id.as_deref(), value.len());
            }
            metadata.insert("bytes", bytes.to_be_bytes().as_slice())?;
            usage = Usage { orders: orders.len()?, fraction: bytes as f64 / max_bytes.max(1) as f64 };
        }
        transaction.commit()?;
        Ok((outcomes, usage))
    }

    /// Calls `visit` with the orders after a cursor by acceptance time, until it returns false or `max_orders` have
    /// been read. Returns the cursor to continue from, or `None` at the end.
    ///
    /// # Errors
    /// Returns an error if the journal cannot be read.
    pub fn list(
        &self,
        after: Option<&Cursor>,
        max_orders: usize,
        mut visit: impl FnMut(IdentifiedOrder) -> bool,
    ) -> Result<Option<Cursor>, JournalError> {
        let mut try_list = || -> Result<Option<Cursor>, redb::Error> {
            let transaction = self.database.begin_read()?;
            let (orders, by_time) = (transaction.open_table(ORDERS)?, transaction.open_table(BY_TIME)?);
            let from = match after {
                Some((at, id)) => Bound::Excluded((*at, id.as_str())),
                None => Bound::Unbounded,
            };
            for (number, entry) in by_time.range::<(u64, &str)>((from, Bound::Unbounded))?.enumerate() {
                let (at, id) = to_cursor(entry?.0.value());
                let order = orders.get(id.as_str())?.map(|order| decode_or_unknown(&id, order.value()));
                let stopped = order.is_some_and(|order| !visit((id.clone(), order)));
                if stopped || number + 1 >= max_orders {
                    return Ok(Some((at, id)));
                }
            }
            Ok(None)
        };
        self.database_result(try_list())
    }

    /// Calls `visit` with all orders, by acceptance time.
    ///
    /// # Errors
    /// Returns an error if the journal cannot be read.
    pub fn for_each(&self, mut visit: impl FnMut(IdentifiedOrder)) -> Result<(), JournalError> {
        self.list(None, usize::MAX, |found| {
            visit(found);
            true
        })
        .map(drop)
    }

    /// Finds an order by its client id or its own id. A client id may be reused after an order that never ran; the
    /// latest order holds it.
    ///
    /// # Errors
    /// Returns an error if the journal cannot be read.
    pub fn find(&self, id: &str) -> Result<Option<IdentifiedOrder>, JournalError> {
        let find = || -> Result<Option<IdentifiedOrder>, redb::Error> {
            let transaction = self.database.begin_read()?;
            let orders = transaction.open_table(ORDERS)?;
            let holder = transaction.open_table(CLIENT_IDS)?.get(id)?.map(|holder| holder.value().to_owned());
            let own = holder.unwrap_or_else(|| id.to_owned());
            Ok(orders.get(own.as_str())?.map(|order| (own.clone(), decode_or_unknown(&own, order.value()))))
        };
        self.database_result(find())
    }

    /// Checks all records and indexes. May run while the journal is written.
    ///
    /// # Errors
    /// Returns an error if the journal cannot be read.
    pub fn verify(&self) -> Result<VerifyReport, JournalError> {
        let verify = || -> Result<VerifyReport, redb::Error> {
            let transaction = self.database.begin_read()?;
            let (orders, by_time) = (transaction.open_table(ORDERS)?, transaction.open_table(BY_TIME)?);
            let mut report = VerifyReport::default();
            let mut problems: Vec<_> = self
                .changed
                .then(|| JournalError::ChangedAfterClose(self.path.clone()).to_string())
                .into_iter()
                .collect();
            let mut report_problem = |problem: String| {
                if problems.len() < MAX_PROBLEMS {
                    problems.push(problem);
                }
            };
            for entry in orders.iter()? {
                let (id, value) = entry?;
                let id = id.value();
                let Some(order) = decode(id, value.value()) else {
                    report_problem(format!("{id}: its record cannot be read; it counts as sent and unknown"));
                    report.unknown += 1;
                    continue;
                };
                report.orders += 1;
                report.unknown += u64::from(order.state() == State::Unknown);
                if by_time.get((accepted_at(&order), id))?.is_none() {
                    report_problem(format!("{id}: it is not found by its time"));
                }
                if order.attempts.windows(2).any(|pair| pair[0].number >= pair[1].number) {
                    report_problem(format!("{id}: its attempts are out of order"));
                }
            }
            for entry in transaction.open_table(CLIENT_IDS)?.iter()? {
                let (client_id, holder) = entry?;
                if orders.get(holder.value())?.is_none() {
                    report_problem(format!("{}: the order that holds this id is gone", client_id.value()));
                }
            }
            if by_time.len()? != orders.len()? {
                report_problem(format!("{} orders, and {} places by time", orders.len()?, by_time.len()?));
            }
            report.problems = problems;
            Ok(report)
        };
        self.database_result(verify())
    }

    /// Returns the number of orders.
    ///
    /// # Errors
    /// Returns an error if the journal cannot be read.
    pub fn len(&self) -> Result<u64, JournalError> {
        let len =
            || -> Result<u64, redb::Error> { Ok(self.database.begin_read()?.open_table(ORDERS)?.len()?) };
        self.database_result(len())
    }

    /// Returns whether there are no orders.
    ///
    /// # Errors
    /// Returns an error if the journal cannot be read.
    pub fn is_empty(&self) -> Result<bool, JournalError> {
        Ok(self.len()? == 0)
    }
}

#[allow(clippy::result_large_err, reason = "the database's errors, which do not leave this module")]
fn read_u64(
    metadata: &impl ReadableTable<&'static str, &'static [u8]>,
    name: &str,
) -> Result<u64, redb::Error> {
    let value = metadata.get(name)?.and_then(|value| value.value().try_into().ok());
    Ok(value.map_or(0, u64::from_be_bytes))
}

fn to_cursor((at, id): (u64, &str)) -> Cursor {
    (at, id.to_owned())
}

fn accepted_at(order: &Order) -> u64 {
    order.accepted_at.max(0.0) as u64
}

/// Size of an order for the size limit: its record, its ids in all tables, and the overhead.
fn stored_size(id: &str, client_id: Option<&str>, record_bytes: usize) -> u64 {
    let client_id = client_id.map_or(0, str::len);
    (2 * (id.len() + client_id) + id.len() + record_bytes) as u64 + ENTRY_OVERHEAD_BYTES
}

fn open_error(path: &Path, error: DatabaseError) -> JournalError {
    match error {
        DatabaseError::DatabaseAlreadyOpen => JournalError::InUse(path.to_owned()),
        other => JournalError::Store(path.to_owned(), other.to_string()),
    }
}

/// Encodes an order as a record: the checksum of its id and JSON, followed by the JSON.
fn encode(id: &str, order: &Order) -> Vec<u8> {
    // An order is plain data, which can always be serialized.
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

/// Decodes a record, if its checksum is correct.
fn decode(id: &str, value: &[u8]) -> Option<Order> {
    let (sum, json) = value.split_first_chunk()?;
    (checksum(id, json) == u32::from_be_bytes(*sum)).then(|| serde_json::from_slice(json).ok())?
}

/// Decodes a record. An unreadable one is treated as an order that was sent with unknown outcome.
fn decode_or_unknown(id: &str, value: &[u8]) -> Order {
    decode(id, value).unwrap_or_else(unreadable_order)
}

fn unreadable_order() -> Order {
    let server = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
    let attempt = crate::Attempt { number: 0, server, sent_at: 0.0, outcome: crate::AttemptOutcome::Unknown };
    // The oldest orders expire first; this one must not.
    Order { attempts: vec![attempt], accepted_at: f64::MAX, ..Order::default() }
}

#[cfg(test)]
mod tests;
