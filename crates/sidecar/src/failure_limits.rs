//! Rate limits for failed checks of a sign-in service, per client address and per credential.

use crate::check_cache::CheckKey;
use ivygate_config::FailedCheckLimit;
use ivygate_forward_auth::RateLimiter;
use std::cell::RefCell;
use std::sync::Arc;

/// Maximum number of addresses, and of credentials, that are tracked.
const MAX_KEYS: usize = 65_536;

/// Both rate limits of a sign-in service.
pub struct FailureLimits {
    limits: RefCell<(RateLimiter<Arc<str>>, RateLimiter<CheckKey>)>,
}

/// Charge of one check against both limits.
pub struct Charge {
    address: Arc<str>,
    credential: Option<CheckKey>,
}

impl FailureLimits {
    /// Creates unused limits.
    pub fn new(address: FailedCheckLimit, credential: FailedCheckLimit) -> Self {
        let address = RateLimiter::new(address.rate, address.burst, MAX_KEYS);
        let credential = RateLimiter::new(credential.rate, credential.burst, MAX_KEYS);
        Self { limits: RefCell::new((address, credential)) }
    }

    /// Charges a check that is about to be sent.
    ///
    /// # Errors
    /// Returns the time to wait, in milliseconds, if a limit is reached.
    pub fn charge(&self, now: f64, address: Arc<str>, credential: Option<CheckKey>) -> Result<Charge, f64> {
        let (addresses, credentials) = &mut *self.limits.borrow_mut();
        addresses.acquire(now, &address)?;
        if let Some(wait) = credential.and_then(|key| credentials.acquire(now, &key).err()) {
            addresses.refund(now, &address);
            return Err(wait);
        }
        Ok(Charge { address, credential })
    }

    /// Refunds the charge of a check that did not fail.
    pub fn refund(&self, now: f64, charge: &Charge) {
        let (addresses, credentials) = &mut *self.limits.borrow_mut();
        addresses.refund(now, &charge.address);
        if let Some(key) = &charge.credential {
            credentials.refund(now, key);
        }
    }
}
