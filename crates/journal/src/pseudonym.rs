//! Pseudonyms for customer names, keyed by the journal's salt so that they cannot be reversed without it.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt::Write;

/// Length of a pseudonym in bytes. A collision becomes likely only at about 2^64 customers.
const PSEUDONYM_BYTES: usize = 16;

/// Computes pseudonyms of customer names; equal names have equal pseudonyms.
#[derive(Clone)]
pub struct Pseudonymizer(Hmac<Sha256>);

impl Pseudonymizer {
    /// Creates a pseudonymizer from a journal's salt; `None` if the salt cannot be used as a key.
    pub fn new(salt: &[u8]) -> Option<Self> {
        Hmac::new_from_slice(salt).ok().map(Self)
    }

    /// Returns the pseudonym of a customer.
    pub fn pseudonym(&self, customer: &str) -> String {
        let digest = self.0.clone().chain_update(customer).finalize().into_bytes();
        digest.iter().take(PSEUDONYM_BYTES).fold("hashed:".to_owned(), |mut text, byte| {
            // Writing to a string cannot fail.
            let _ = write!(text, "{byte:02x}");
            text
        })
    }
}
