//! Account of the memory that a process holds for others: bodies of requests, responses, and calls.
//!
//! Each kind of use has a share of the process's memory limit, so that no kind takes the memory of another. A use is charged
//! before its bytes are read, and the charge goes with the bytes: it is returned when they are freed.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Serialize, Serializer};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Initial capacity of a buffer for a body of unknown length, in bytes.
const INITIAL_CAPACITY: usize = 8 << 10;
/// Minimum time between two log events on shares that are used up.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Kind of memory use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// Bodies of requests and calls up to [`SMALL_BODY_BYTES`], so that large ones leave room for them.
    SmallRequests,
    /// Larger bodies of requests.
    LargeRequests,
    /// Responses that are received completely before they are forwarded.
    BufferedResponses,
    /// Responses that are forwarded while they are received.
    StreamedResponses,
    /// Larger bodies of calls between the processes of the system and from operators.
    LargeCalls,
}

/// Maximum length of a small body, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

impl MemoryUse {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 5] = [
        Self::SmallRequests,
        Self::LargeRequests,
        Self::BufferedResponses,
        Self::StreamedResponses,
        Self::LargeCalls,
    ];

    /// Returns the kind of a request body of this length.
    pub fn of_request(bytes: usize) -> Self {
        if bytes <= SMALL_BODY_BYTES {
            Self::SmallRequests
        } else {
            Self::LargeRequests
        }
    }

    /// Returns the kind of a call's body of this length.
    pub fn of_call(bytes: usize) -> Self {
        if bytes <= SMALL_BODY_BYTES {
            Self::SmallRequests
        } else {
            Self::LargeCalls
        }
    }

    /// Name in logs and status documents.
    pub fn name(self) -> &'static str {
        match self {
            Self::SmallRequests => "smallRequests",
            Self::LargeRequests => "largeRequests",
            Self::BufferedResponses => "bufferedResponses",
            Self::StreamedResponses => "streamedResponses",
            Self::LargeCalls => "largeCalls",
        }
    }
}

impl Serialize for MemoryUse {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}

/// Share of one kind of use.
struct Share {
    limit_bytes: usize,
    /// One permit for each byte.
    available: Arc<Semaphore>,
    /// Number of uses that were not possible when they were requested.
    refused: AtomicU64,
}

/// State of one kind of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct MemoryUsage {
    /// The kind.
    pub kind: MemoryUse,
    /// Maximum number of bytes.
    pub limit_bytes: usize,
    /// Number of bytes in use.
    pub used_bytes: usize,
    /// Number of uses that were not possible when they were requested.
    pub refused: u64,
}

impl fmt::Display for MemoryUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} of {} bytes", self.kind.name(), self.used_bytes, self.limit_bytes)
    }
}

/// Account of a process.
pub struct MemoryAccount {
    shares: [Share; MemoryUse::ALL.len()],
    last_log: Mutex<Option<Instant>>,
}

impl MemoryAccount {
    /// Creates an account; `limit_bytes` returns the number of bytes of each kind.
    pub fn new(limit_bytes: impl Fn(MemoryUse) -> usize) -> Arc<Self> {
        let share = |kind| {
            let limit_bytes = limit_bytes(kind).min(Semaphore::MAX_PERMITS).min(u32::MAX as usize);
            let available = Arc::new(Semaphore::new(limit_bytes));
            Share { limit_bytes, available, refused: AtomicU64::new(0) }
        };
        Arc::new(Self { shares: MemoryUse::ALL.map(share), last_log: Mutex::new(None) })
    }

    /// Creates an account without limits.
    pub fn unlimited() -> Arc<Self> {
        Self::new(|_| usize::MAX)
    }

    fn share(&self, kind: MemoryUse) -> &Share {
        &self.shares[kind as usize]
    }

    /// Charges a use, if its share allows it.
    ///
    /// # Errors
    /// Returns [`BufferFull::OutOfMemoryShare`] if it does not.
    pub fn try_charge(&self, kind: MemoryUse, bytes: usize) -> Result<MemoryCharge, BufferFull> {
        let share = self.share(kind);
        let permits = u32::try_from(bytes).ok();
        match permits.and_then(|permits| share.available.clone().try_acquire_many_owned(permits).ok()) {
            Some(permit) => Ok(MemoryCharge { _permit: permit }),
            None => {
                share.refused.fetch_add(1, Ordering::Relaxed);
                self.log_overload(kind);
                Err(BufferFull::OutOfMemoryShare)
            }
        }
    }

    /// Charges a use as soon as its share allows it, in the order of the calls.
    pub async fn charge(self: Arc<Self>, kind: MemoryUse, bytes: usize) -> Option<MemoryCharge> {
        if let Ok(charge) = self.try_charge(kind, bytes) {
            return Some(charge);
        }
        let permits = u32::try_from(bytes).ok()?;
        let permit = self.share(kind).available.clone().acquire_many_owned(permits).await.ok()?;
        Some(MemoryCharge { _permit: permit })
    }

    fn log_overload(&self, kind: MemoryUse) {
        let mut last = self.last_log.lock().unwrap_or_else(PoisonError::into_inner);
        if last.is_some_and(|last: Instant| last.elapsed() < LOG_INTERVAL) {
            return;
        }
        *last = Some(Instant::now());
        let account = self.usage().map(|usage| usage.to_string()).join(", ");
        tracing::warn!(kind = kind.name(), account, "memory share used up");
    }

    /// Returns the maximum number of bytes of a use.
    pub fn limit_bytes(&self, kind: MemoryUse) -> usize {
        self.share(kind).limit_bytes
    }

    /// Returns the state of each kind of use.
    pub fn usage(&self) -> [MemoryUsage; MemoryUse::ALL.len()] {
        MemoryUse::ALL.map(|kind| {
            let share = self.share(kind);
            let used_bytes = share.limit_bytes - share.available.available_permits();
            let refused = share.refused.load(Ordering::Relaxed);
            MemoryUsage { kind, limit_bytes: share.limit_bytes, used_bytes, refused }
        })
    }
}

/// Charged bytes, which are returned to their share on drop.
pub struct MemoryCharge {
    _permit: OwnedSemaphorePermit,
}

/// Why bytes do not fit into a [`ChargedBuffer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferFull {
    /// They exceed its maximum length.
    TooLong,
    /// The share of its use has no memory left.
    OutOfMemoryShare,
}

/// Why a body was not received.
#[derive(Debug)]
pub enum ReceiveError {
    /// It does not fit into its buffer.
    Full(BufferFull),
    /// The connection failed.
    ConnectionLost(hyper::Error),
}

impl From<BufferFull> for ReceiveError {
    fn from(error: BufferFull) -> Self {
        Self::Full(error)
    }
}

/// Buffer whose capacity is charged.
pub struct ChargedBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    account: Arc<MemoryAccount>,
    /// Returns the kind of use of a buffer of this capacity.
    kind: fn(usize) -> MemoryUse,
    charge: MemoryCharge,
}

impl ChargedBuffer {
    /// Creates a buffer for a body of up to `max_bytes`. All of it is charged at once if its length is known.
    ///
    /// # Errors
    /// If the length exceeds the maximum, or the share does not allow it.
    pub fn new(
        account: &Arc<MemoryAccount>,
        kind: fn(usize) -> MemoryUse,
        length: Option<u64>,
        max_bytes: usize,
    ) -> Result<Self, BufferFull> {
        let capacity = match length {
            Some(length) => usize::try_from(length).map_err(|_| BufferFull::TooLong)?,
            None => INITIAL_CAPACITY.min(max_bytes),
        };
        if capacity > max_bytes {
            return Err(BufferFull::TooLong);
        }
        let charge = account.try_charge(kind(capacity), capacity)?;
        Ok(Self { bytes: Vec::with_capacity(capacity), max_bytes, account: account.clone(), kind, charge })
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// If the buffer would exceed its maximum length, or the share does not allow it to grow. Nothing is appended then.
    pub fn extend(&mut self, more: &[u8]) -> Result<(), BufferFull> {
        let length = self.bytes.len() + more.len();
        if length > self.max_bytes {
            return Err(BufferFull::TooLong);
        }
        if length > self.bytes.capacity() {
            let capacity = length.max(self.bytes.capacity() * 2).min(self.max_bytes);
            // Both are charged while the bytes are moved.
            let charge = self.account.try_charge((self.kind)(capacity), capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
            self.charge = charge;
        }
        self.bytes.extend_from_slice(more);
        Ok(())
    }

    /// Receives a body completely.
    ///
    /// # Errors
    /// If the body does not fit, or its connection fails.
    pub async fn receive(mut self, mut body: Incoming) -> Result<Bytes, ReceiveError> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(ReceiveError::ConnectionLost)?;
            if let Ok(data) = frame.into_data() {
                self.extend(&data)?;
            }
        }
        Ok(self.freeze())
    }

    /// Returns the bytes, which stay charged until the last clone is dropped.
    pub fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(ChargedBytes { bytes: self.bytes, _charge: self.charge })
    }
}

struct ChargedBytes {
    bytes: Vec<u8>,
    _charge: MemoryCharge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
