//! What a sign-in service has answered, and who waits for it to answer.

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::StatusCode;
use ivygate_forward_auth::{Cache, Lookup};
use std::cell::RefCell;
use std::hash::{BuildHasher, Hash, Hasher, RandomState};
use tokio::sync::Notify;

/// A question, hashed twice with secrets of this process: no credential is kept, and none can be made to meet
/// another's.
pub type Key = (u64, u64);

/// An answer that can be given again.
#[derive(Clone)]
pub enum Remember {
    /// Go on, with these headers.
    Yes(Vec<(HeaderName, HeaderValue)>),
    /// This is the client's answer.
    No(StatusCode, HeaderMap, Bytes),
}

/// Answers of one service.
pub struct Remembered {
    cache: RefCell<Cache<Key, Remember>>,
    secrets: (RandomState, RandomState),
    /// A question has been answered, or was asked in vain.
    done: Notify,
}

impl Remembered {
    /// Nothing yet, and at most so many.
    pub fn new(most: usize) -> Self {
        let secrets = (RandomState::new(), RandomState::new());
        Self { cache: RefCell::new(Cache::new(most)), secrets, done: Notify::new() }
    }

    /// The key of a question: the route, and the values of the headers that go into the check.
    pub fn key(&self, route: usize, names: &[String], headers: &HeaderMap) -> Key {
        self.hash(Some(route), names, headers)
    }

    /// The key of what a client vouches for itself with, whatever it asks for; `None` if it does not.
    pub fn credential(&self, names: &[String], headers: &HeaderMap) -> Option<Key> {
        let any = names.iter().any(|name| headers.contains_key(name.as_str()));
        any.then(|| self.hash(None, names, headers))
    }

    fn hash(&self, route: Option<usize>, names: &[String], headers: &HeaderMap) -> Key {
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

    /// What is known, or the right to ask. Waits for another who asks.
    pub async fn look(&self, now: impl Fn() -> f64, key: Key) -> Result<Remember, Asking<'_>> {
        loop {
            let done = self.done.notified();
            let known = self.cache.borrow_mut().lookup(now(), &key);
            match known {
                Lookup::Hit(answer) => return Ok(answer),
                Lookup::Miss => return Err(Asking { remembered: self, key, ended: false }),
                Lookup::Pending => done.await,
            }
        }
    }
}

/// The right to ask. Dropped without an answer, as when the client leaves, it wakes the others.
pub struct Asking<'a> {
    remembered: &'a Remembered,
    key: Key,
    ended: bool,
}

impl Asking<'_> {
    /// Tells the answer, and how long it is good.
    pub fn done(mut self, now: f64, answer: Option<(Remember, f64)>) {
        self.end(now, answer);
    }

    fn end(&mut self, now: f64, answer: Option<(Remember, f64)>) {
        self.ended = true;
        self.remembered.cache.borrow_mut().complete(now, &self.key, answer);
        self.remembered.done.notify_waiters();
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(0.0, None);
        }
    }
}
