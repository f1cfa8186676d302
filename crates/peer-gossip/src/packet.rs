//! The form of a packet: `IVG1`, sender, number, time, words, and a code that only who has the key can make.
//!
//! All numbers are big-endian. Sender, number and Unix time in milliseconds take eight bytes each; then the number of words
//! in one byte, and for each pool and zone (a length in one byte and as many bytes of UTF-8), good and bad signs in two bytes
//! each; then 16 bytes of HMAC-SHA256 over all before.

use hmac::{Hmac, Mac};
use ivygate_failure_domains::Tally;
use sha2::Sha256;
use std::fmt;

/// Longest packet: it passes any network in one piece.
pub const MAX_PACKET_BYTES: usize = 1_200;
const MAGIC: &[u8; 4] = b"IVG1";
const HEAD: usize = 4 + 8 + 8 + 8 + 1;
const CODE: usize = 16;
/// Shortest key, in bytes.
const KEY_LEAST: usize = 16;

/// A key that members share.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

/// A key that is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyError;

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a key has {KEY_LEAST} bytes at the least")
    }
}

impl std::error::Error for KeyError {}

impl Key {
    /// A key of these bytes; white space round them is none of it.
    ///
    /// # Errors
    /// If they are too few.
    pub fn new(bytes: &[u8]) -> Result<Self, KeyError> {
        let bytes = bytes.trim_ascii();
        if bytes.len() < KEY_LEAST {
            return Err(KeyError);
        }
        Hmac::new_from_slice(bytes).map(Self).map_err(|_| KeyError)
    }
}

/// What a packet says.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Packet {
    pub sender: u64,
    pub number: u64,
    pub sent_at: u64,
    /// Pool and what is told of one of its zones.
    pub words: Vec<(String, Tally)>,
}

/// Writes a packet; words that find no room are left out, the last first.
pub(crate) fn seal(packet: &Packet, key: &Key) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_PACKET_BYTES);
    bytes.extend(MAGIC);
    for number in [packet.sender, packet.number, packet.sent_at] {
        bytes.extend(number.to_be_bytes());
    }
    let at = bytes.len();
    bytes.push(0);
    let mut count: u8 = 0;
    for (pool, tally) in &packet.words {
        let room = MAX_PACKET_BYTES - CODE - bytes.len();
        let (Ok(pool_length), Ok(zone_length)) = (u8::try_from(pool.len()), u8::try_from(tally.zone.len()))
        else {
            continue;
        };
        if count == u8::MAX || 2 + pool.len() + tally.zone.len() + 4 > room {
            break;
        }
        bytes.push(pool_length);
        bytes.extend(pool.as_bytes());
        bytes.push(zone_length);
        bytes.extend(tally.zone.as_bytes());
        bytes.extend(tally.good.to_be_bytes());
        bytes.extend(tally.bad.to_be_bytes());
        count += 1;
    }
    bytes[at] = count;
    let code = key.0.clone().chain_update(&bytes).finalize().into_bytes();
    bytes.extend(&code[..CODE]);
    bytes
}

/// Reads a packet that one of the keys vouches for.
pub(crate) fn open(bytes: &[u8], keys: &[Key]) -> Result<Packet, Unreadable> {
    if bytes.len() < HEAD + CODE || bytes.len() > MAX_PACKET_BYTES || !bytes.starts_with(MAGIC) {
        return Err(Unreadable::Malformed);
    }
    let (said, code) = bytes.split_at(bytes.len() - CODE);
    // In constant time, for all keys alike.
    let vouched = keys
        .iter()
        .fold(false, |yes, key| yes | key.0.clone().chain_update(said).verify_truncated_left(code).is_ok());
    if !vouched {
        return Err(Unreadable::Forged);
    }
    read(&said[MAGIC.len()..]).ok_or(Unreadable::Malformed)
}

/// Why a packet can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unreadable {
    Malformed,
    Forged,
}

fn read(mut rest: &[u8]) -> Option<Packet> {
    let mut number = || {
        let (first, after) = rest.split_first_chunk::<8>()?;
        rest = after;
        Some(u64::from_be_bytes(*first))
    };
    let (sender, number, sent_at) = (number()?, number()?, number()?);
    let (count, mut rest) = rest.split_first()?;
    let mut words = Vec::with_capacity(usize::from(*count));
    for _ in 0..*count {
        let mut text = || {
            let (length, after) = rest.split_first()?;
            let (text, after) = after.split_at_checked(usize::from(*length))?;
            rest = after;
            std::str::from_utf8(text).ok().map(str::to_owned)
        };
        let (pool, zone) = (text()?, text()?);
        let (counts, after) = rest.split_first_chunk::<4>()?;
        rest = after;
        let [a, b, c, d] = *counts;
        let (good, bad) = (u16::from_be_bytes([a, b]), u16::from_be_bytes([c, d]));
        words.push((pool, Tally { zone: zone.into(), good, bad }));
    }
    rest.is_empty().then_some(Packet { sender, number, sent_at, words })
}
