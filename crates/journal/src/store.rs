//! Orders in an embedded store, a file in a folder of the journal's own.
//!
//! The store writes pages anew and switches to them by one checksummed page behind a sync, so that after a crash at any
//! moment the last whole commit is there.

use crate::order::{Order, State, Update};
use redb::backends::FileBackend;
use redb::{
    Builder, Database, DatabaseError, Durability, ReadableTable, ReadableTableMetadata, StorageBackend,
    TableDefinition, TableError,
};
use std::fmt;
use std::fs::{self, OpenOptions};
use std::io;
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// Orders as JSON, by their id in this process's lives.
const ORDERS: TableDefinition<&str, &[u8]> = TableDefinition::new("orders-1");
/// The order that holds a client's id.
const KEYS: TableDefinition<&str, &str> = TableDefinition::new("client-ids-1");
/// The store's file in the folder.
const FILE: &str = "orders.redb";
/// Most that the store keeps of its file in memory.
const CACHE: usize = 16 << 20;

/// How durable a record is when it counts as recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// The system has it: it outlives the process, and not the machine's end.
    Written,
    /// The disk has it.
    Synced,
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
        }
    }
}

impl std::error::Error for JournalError {}

/// A file whose syncs are left out where records need only be written.
#[derive(Debug)]
struct Backend<B> {
    inner: B,
    level: Level,
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
            Level::Written => Ok(()),
            Level::Synced => self.inner.sync_data(eventual),
        }
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.inner.write(offset, data)
    }
}

/// An open journal.
pub struct Store {
    database: Database,
    path: PathBuf,
}

/// An order and its id.
pub type Found = (String, Order);

impl Store {
    /// Opens the journal of a folder, and makes both where they are missing. Only one process can have it open.
    ///
    /// # Errors
    /// If it can't be opened; nothing is changed then.
    pub fn create(folder: &Path, level: Level) -> Result<Self, JournalError> {
        let io = |error| JournalError::Io(folder.to_owned(), error);
        fs::DirBuilder::new().recursive(true).mode(0o700).create(folder).map_err(io)?;
        Self::open_file(folder, level, true)
    }

    /// Opens the journal of a folder where there is one.
    ///
    /// # Errors
    /// If there is none or it can't be opened.
    pub fn open(folder: &Path) -> Result<Self, JournalError> {
        if !folder.join(FILE).is_file() {
            return Err(JournalError::Missing(folder.to_owned()));
        }
        Self::open_file(folder, Level::Synced, false)
    }

    fn open_file(folder: &Path, level: Level, create: bool) -> Result<Self, JournalError> {
        let path = folder.join(FILE);
        let file =
            OpenOptions::new().read(true).write(true).create(create).truncate(false).mode(0o600).open(&path);
        let file = file.map_err(|error| JournalError::Io(path.clone(), error))?;
        if create && level == Level::Synced {
            // Without this a new file may be gone after a power cut, with all that is in it.
            let synced = fs::File::open(folder).and_then(|folder| folder.sync_all());
            synced.map_err(|error| JournalError::Io(folder.to_owned(), error))?;
        }
        let backend = FileBackend::new(file).map_err(|error| opened(&path, error))?;
        Self::with(path, backend, level)
    }

    /// Opens a journal on a storage of another kind.
    ///
    /// # Errors
    /// If it can't be opened.
    pub fn on(path: PathBuf, backend: impl StorageBackend) -> Result<Self, JournalError> {
        Self::with(path, backend, Level::Synced)
    }

    fn with(path: PathBuf, inner: impl StorageBackend, level: Level) -> Result<Self, JournalError> {
        let backend = Backend { inner, level };
        let database = Builder::new().set_cache_size(CACHE).create_with_backend(backend);
        let database = database.map_err(|error| opened(&path, error))?;
        Ok(Self { database, path })
    }

    /// Records updates, all or none of them, durably to the level. For each it tells whether it was left out, and what is
    /// known of the order instead that holds its client's id: one that any server may have run is not taken again.
    ///
    /// # Errors
    /// If they are not recorded, or it is not known whether they are.
    pub fn record(&self, updates: &[(String, Update)]) -> Result<Vec<Option<State>>, JournalError> {
        self.try_record(updates).map_err(|error| JournalError::Store(self.path.clone(), error.to_string()))
    }

    #[allow(
        clippy::result_large_err,
        reason = "the store's own errors, which go no further than this function"
    )]
    fn try_record(&self, updates: &[(String, Update)]) -> Result<Vec<Option<State>>, redb::Error> {
        let mut left_out = Vec::with_capacity(updates.len());
        let mut write = self.database.begin_write()?;
        write.set_durability(Durability::Immediate);
        {
            let mut table = write.open_table(ORDERS)?;
            let mut keys = write.open_table(KEYS)?;
            for (id, update) in updates {
                if let Update::Taken(Order { client_id: Some(client_id), .. }) = update {
                    let holder = keys.get(client_id.as_str())?.map(|holder| holder.value().to_owned());
                    let other = match holder.filter(|holder| holder != id) {
                        Some(holder) => table.get(holder.as_str())?.map(|order| read(order.value()).state()),
                        None => None,
                    };
                    if let Some(state) = other.filter(|state| *state != State::NeverSent) {
                        left_out.push(Some(state));
                        continue;
                    }
                    keys.insert(client_id.as_str(), id.as_str())?;
                }
                left_out.push(None);
                let before = table.get(id.as_str())?.map(|found| read(found.value()));
                let mut order = before.unwrap_or_default();
                order.apply(update.clone());
                // An order is plain data: it can always be written as JSON.
                let bytes = serde_json::to_vec(&order).unwrap_or_default();
                table.insert(id.as_str(), bytes.as_slice())?;
            }
        }
        write.commit()?;
        Ok(left_out)
    }

    /// Calls `each` with all orders, in no order that means anything.
    ///
    /// # Errors
    /// If the journal can't be read.
    #[allow(
        clippy::result_large_err,
        reason = "the store's own errors, which go no further than this function"
    )]
    pub fn each(&self, mut each: impl FnMut(Found)) -> Result<(), JournalError> {
        let mut try_each = || -> Result<(), redb::Error> {
            let reading = self.database.begin_read()?;
            let table = match reading.open_table(ORDERS) {
                Ok(table) => table,
                // Nothing was ever recorded.
                Err(TableError::TableDoesNotExist(_)) => return Ok(()),
                Err(error) => return Err(error.into()),
            };
            for entry in table.iter()? {
                let (id, order) = entry?;
                each((id.value().to_owned(), read(order.value())));
            }
            Ok(())
        };
        try_each().map_err(|error| JournalError::Store(self.path.clone(), error.to_string()))
    }

    /// How many orders there are.
    ///
    /// # Errors
    /// If the journal can't be read.
    #[allow(
        clippy::result_large_err,
        reason = "the store's own errors, which go no further than this function"
    )]
    pub fn len(&self) -> Result<u64, JournalError> {
        let try_len = || -> Result<u64, redb::Error> {
            match self.database.begin_read()?.open_table(ORDERS) {
                Ok(table) => Ok(table.len()?),
                Err(TableError::TableDoesNotExist(_)) => Ok(0),
                Err(error) => Err(error.into()),
            }
        };
        try_len().map_err(|error| JournalError::Store(self.path.clone(), error.to_string()))
    }

    /// Whether there is none.
    ///
    /// # Errors
    /// If the journal can't be read.
    pub fn is_empty(&self) -> Result<bool, JournalError> {
        Ok(self.len()? == 0)
    }
}

fn opened(path: &Path, error: DatabaseError) -> JournalError {
    match error {
        DatabaseError::DatabaseAlreadyOpen => JournalError::InUse(path.to_owned()),
        other => JournalError::Store(path.to_owned(), other.to_string()),
    }
}

/// An order as it was written. What cannot be read was written by another version: it is an order that was sent, of
/// which nothing else is known.
fn read(bytes: &[u8]) -> Order {
    serde_json::from_slice(bytes).unwrap_or_else(|_| {
        let server = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
        let attempt = crate::Attempt { number: 0, server, sent_at: 0.0, came: crate::Came::Unknown };
        Order { attempts: vec![attempt], ..Order::default() }
    })
}
