//! Failed checks of one service, by the address and by the credential that they came with.

use crate::remembered::Key;
use ivygate_forward_auth::Limit;
use std::cell::RefCell;
use std::sync::Arc;

/// Most addresses, and most credentials, on record.
const KEYS_MOST: usize = 65_536;
/// How much may be spent at once: so many seconds' worth ...
const BURST_S: f64 = 2.0;
/// ... and this at the least, for checks that are on their way at the same time.
const BURST_LEAST: f64 = 10.0;

/// What has been spent of both limits.
pub struct Floods {
    limits: RefCell<(Limit<Arc<str>>, Limit<Key>)>,
}

/// What one check took.
pub struct Taken {
    address: Arc<str>,
    credential: Option<Key>,
}

impl Floods {
    /// Nothing spent yet; rates are failed checks a second, 0 for no limit.
    pub fn new(address: f64, credential: f64) -> Self {
        let burst = |rate: f64| (BURST_S * rate).max(BURST_LEAST);
        let address = Limit::new(address, burst(address), KEYS_MOST);
        let credential = Limit::new(credential, burst(credential), KEYS_MOST);
        Self { limits: RefCell::new((address, credential)) }
    }

    /// Takes for a check that is about to be made.
    ///
    /// # Errors
    /// With the time to wait, in milliseconds.
    pub fn take(&self, now: f64, address: Arc<str>, credential: Option<Key>) -> Result<Taken, f64> {
        let (addresses, credentials) = &mut *self.limits.borrow_mut();
        addresses.take(now, &address)?;
        if let Some(wait) = credential.and_then(|key| credentials.take(now, &key).err()) {
            addresses.give_back(now, &address);
            return Err(wait);
        }
        Ok(Taken { address, credential })
    }

    /// Gives back what a check took that did not fail.
    pub fn give_back(&self, now: f64, taken: &Taken) {
        let (addresses, credentials) = &mut *self.limits.borrow_mut();
        addresses.give_back(now, &taken.address);
        if let Some(key) = &taken.credential {
            credentials.give_back(now, key);
        }
    }
}
