//! The packet format: `IVG1`, sender, sequence number, time, tallies, and a message authentication code.
//!
//! All numbers are big-endian. Sender, sequence number and Unix time in milliseconds take eight bytes each.
//! The number of tallies follows in one byte, and for each tally its pool and zone (a length in one byte and
//! as many bytes of UTF-8) and its good and bad signs in two bytes each. The last 16 bytes are a truncated
//! HMAC-SHA256 of all bytes before.

use hmac::{Hmac, Mac};
use ivygate_failure_domains::ZoneReport;
use sha2::Sha256;
use std::fmt;

/// Maximum length of a packet, in bytes: short enough to pass any network without fragmentation.
pub const MAX_PACKET_BYTES: usize = 1_200;
const MAGIC: &[u8; 4] = b"IVG1";
/// Length of all fields before the tallies, in bytes.
const HEADER_BYTES: usize = 4 + 8 + 8 + 8 + 1;
/// Length of the truncated message authentication code, in bytes.
const MAC_BYTES: usize = 16;
/// Minimum length of a key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// The key shared by the members of a group.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

/// Error for a key that is too short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyError;

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a key must have at least {MIN_KEY_BYTES} bytes")
    }
}

impl std::error::Error for KeyError {}

impl Key {
    /// Creates a key from these bytes, without leading and trailing white space.
    ///
    /// # Errors
    /// If the key is too short.
    pub fn new(bytes: &[u8]) -> Result<Self, KeyError> {
        let bytes = bytes.trim_ascii();
        if bytes.len() < MIN_KEY_BYTES {
            return Err(KeyError);
        }
        Hmac::new_from_slice(bytes).map(Self).map_err(|_| KeyError)
    }
}

/// A decoded packet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Packet {
    pub sender: u64,
    pub sequence: u64,
    /// Unix time in milliseconds.
    pub sent_at: u64,
    /// Name of a pool and the tally of one of its zones.
    pub tallies: Vec<(String, ZoneReport)>,
}

/// Encodes and authenticates a packet. Tallies that exceed the maximum length are left out, from the end of
/// the list.
pub(crate) fn encode(packet: &Packet, key: &Key) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_PACKET_BYTES);
    bytes.extend(MAGIC);
    for number in [packet.sender, packet.sequence, packet.sent_at] {
        bytes.extend(number.to_be_bytes());
    }
    let count_at = bytes.len();
    bytes.push(0);
    let mut count: u8 = 0;
    for (pool, tally) in &packet.tallies {
        let room = MAX_PACKET_BYTES - MAC_BYTES - bytes.len();
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
        bytes.extend(tally.successes.to_be_bytes());
        bytes.extend(tally.failures.to_be_bytes());
        count += 1;
    }
    bytes[count_at] = count;
    let mac = key.0.clone().chain_update(&bytes).finalize().into_bytes();
    bytes.extend(&mac[..MAC_BYTES]);
    bytes
}

/// Decodes a packet that is authenticated by one of the keys.
pub(crate) fn decode(bytes: &[u8], keys: &[Key]) -> Result<Packet, DecodeError> {
    if bytes.len() < HEADER_BYTES + MAC_BYTES || bytes.len() > MAX_PACKET_BYTES || !bytes.starts_with(MAGIC) {
        return Err(DecodeError::Malformed);
    }
    let (content, mac) = bytes.split_at(bytes.len() - MAC_BYTES);
    // Checks all keys, each in constant time, so that the duration does not tell which key matched.
    let is_authentic = keys.iter().fold(false, |found, key| {
        found | key.0.clone().chain_update(content).verify_truncated_left(mac).is_ok()
    });
    if !is_authentic {
        return Err(DecodeError::Forged);
    }
    parse(&content[MAGIC.len()..]).ok_or(DecodeError::Malformed)
}

/// Reason for which a packet cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecodeError {
    Malformed,
    Forged,
}

/// Parses the fields after the magic number.
fn parse(mut rest: &[u8]) -> Option<Packet> {
    let mut number = || {
        let (first, after) = rest.split_first_chunk::<8>()?;
        rest = after;
        Some(u64::from_be_bytes(*first))
    };
    let (sender, sequence, sent_at) = (number()?, number()?, number()?);
    let (count, mut rest) = rest.split_first()?;
    let mut tallies = Vec::with_capacity(usize::from(*count));
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
        tallies.push((pool, ZoneReport { zone: zone.into(), successes: good, failures: bad }));
    }
    rest.is_empty().then_some(Packet { sender, sequence, sent_at, tallies })
}
