//! Names of customers as pseudonyms: the same for the same customer, and of no use without the journal's salt.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt::Write;

/// Bytes of a pseudonym; two customers share one by chance in one of 2^64 pairs.
const LENGTH: usize = 16;

/// Makes pseudonyms.
#[derive(Clone)]
pub struct Pseudonymizer(Hmac<Sha256>);

impl Pseudonymizer {
    /// With a journal's salt.
    pub fn new(salt: &[u8]) -> Option<Self> {
        Hmac::new_from_slice(salt).ok().map(Self)
    }

    /// A customer's.
    pub fn pseudonym(&self, customer: &str) -> String {
        let digest = self.0.clone().chain_update(customer).finalize().into_bytes();
        digest.iter().take(LENGTH).fold("hashed:".to_owned(), |mut text, byte| {
            // Writing to a text cannot fail.
            let _ = write!(text, "{byte:02x}");
            text
        })
    }
}
