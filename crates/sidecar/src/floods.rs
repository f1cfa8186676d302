//! Failed checks of one service, by the address and by the credential that they came with.

use crate::remembered::Key;
use ivygate_config::FailedCheckLimit;
use ivygate_forward_auth::Limit;
use std::cell::RefCell;
use std::sync::Arc;

/// Most addresses, and most credentials, on record.
const KEYS_MOST: usize = 65_536;

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
    /// Nothing spent yet.
    pub fn new(address: FailedCheckLimit, credential: FailedCheckLimit) -> Self {
        let address = Limit::new(address.rate, address.burst, KEYS_MOST);
        let credential = Limit::new(credential.rate, credential.burst, KEYS_MOST);
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
