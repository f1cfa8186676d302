//! Cached answers of a sign-in service, and the requests that wait for a pending answer.

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::StatusCode;
use ivygate_forward_auth::{Cache, Lookup};
use std::cell::RefCell;
use std::hash::{BuildHasher, Hash, Hasher, RandomState};
use tokio::sync::Notify;

/// Key of a check: two hashes with secrets of this process, so that no credential is stored and collisions cannot be
/// constructed.
pub type CheckKey = (u64, u64);

/// Cached answer of a sign-in service.
#[derive(Clone)]
pub enum CachedAnswer {
    /// The request may be forwarded with these headers.
    Allowed(Vec<(HeaderName, HeaderValue)>),
    /// The request is denied; this is the response to the client.
    Denied(StatusCode, HeaderMap, Bytes),
}

/// Cached answers of one service.
pub struct CheckCache {
    cache: RefCell<Cache<CheckKey, CachedAnswer>>,
    secrets: (RandomState, RandomState),
    /// Notified when a pending check has completed or failed.
    completed: Notify,
}

impl CheckCache {
    /// Creates an empty cache of at most `capacity` answers.
    pub fn new(capacity: usize) -> Self {
        let secrets = (RandomState::new(), RandomState::new());
        Self { cache: RefCell::new(Cache::new(capacity)), secrets, completed: Notify::new() }
    }

    /// Returns the key of a check: its route and the values of the headers sent with it.
    pub fn key(&self, route: usize, names: &[String], headers: &HeaderMap) -> CheckKey {
        self.hash(Some(route), names, headers)
    }

    /// Returns the key of the client's credentials, independent of the route; `None` if it sent none.
    pub fn credential(&self, names: &[String], headers: &HeaderMap) -> Option<CheckKey> {
        let has_credentials = names.iter().any(|name| headers.contains_key(name.as_str()));
        has_credentials.then(|| self.hash(None, names, headers))
    }

    fn hash(&self, route: Option<usize>, names: &[String], headers: &HeaderMap) -> CheckKey {
        let hash = |secret: &RandomState| {
            let mut hasher = secret.build_hasher();
            route.hash(&mut hasher);
            for name in names {
                let values: Vec<&[u8]> =
                    headers.get_all(name.as_str()).iter().map(HeaderValue::as_bytes).collect();
                values.hash(&mut hasher);
            }
            hasher.finish()
        };
        (hash(&self.secrets.0), hash(&self.secrets.1))
    }

    /// Returns the cached answer, or as the error a [`PendingCheck`] that the caller must complete. Waits while another
    /// caller has the same check pending.
    pub async fn lookup(
        &self,
        now: impl Fn() -> f64,
        key: CheckKey,
    ) -> Result<CachedAnswer, PendingCheck<'_>> {
        loop {
            let completed = self.completed.notified();
            let lookup = self.cache.borrow_mut().lookup(now(), &key);
            match lookup {
                Lookup::Hit(answer) => return Ok(answer),
                Lookup::Miss => return Err(PendingCheck { check_cache: self, key, completed: false }),
                Lookup::Pending => completed.await,
            }
        }
    }
}

/// Check to be sent by its owner. If dropped without an answer, as when the client disconnects, the waiting requests
/// are woken, and one of them takes over.
pub struct PendingCheck<'a> {
    check_cache: &'a CheckCache,
    key: CheckKey,
    completed: bool,
}

impl PendingCheck<'_> {
    /// Completes the check with its answer and the answer's lifetime in milliseconds.
    pub fn complete(mut self, now: f64, answer: Option<(CachedAnswer, f64)>) {
        self.finish(now, answer);
    }

    fn finish(&mut self, now: f64, answer: Option<(CachedAnswer, f64)>) {
        self.completed = true;
        self.check_cache.cache.borrow_mut().complete(now, &self.key, answer);
        self.check_cache.completed.notify_waiters();
    }
}

impl Drop for PendingCheck<'_> {
    fn drop(&mut self) {
        if !self.completed {
            self.finish(0.0, None);
        }
    }
}
