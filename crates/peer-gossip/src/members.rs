//! Members of a group: replay protection, rate limits, and when each was last heard.

use crate::packet::{decode, encode, DecodeError, Key, Packet};
use ivygate_failure_domains::ZoneReport;
use std::collections::HashMap;

/// Maximum number of members; packets from further ones are dropped.
const MAX_MEMBERS: usize = 512;
/// A member that has not been heard for this long is forgotten, in milliseconds.
const MEMBER_TIMEOUT_MS: f64 = 10_000.0;
/// Maximum difference between a packet's timestamp and the local clock, in milliseconds. Covers clock skew
/// and delay, and rejects packets that were recorded earlier.
const MAX_PACKET_AGE_MS: f64 = 10_000.0;
/// Packets per second that are accepted from one member.
const MAX_PACKETS_PER_S: f64 = 100.0;
/// Packets that are accepted from one member at once.
const MAX_PACKET_BURST: f64 = 100.0;

/// Reason for which a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// The bytes are not a packet.
    Malformed,
    /// No key authenticates the packet.
    Forged,
    /// This process sent the packet itself: its own address may be in the list of peers.
    Own,
    /// The packet was sent too long ago, or the clocks differ too much.
    Stale,
    /// A packet with the same or a higher sequence number was received before.
    Replayed,
    /// The member exceeds its packet rate.
    RateLimited,
    /// The group has the maximum number of members.
    TooManyMembers,
}

impl DropReason {
    /// All reasons, with the names under which they are reported.
    pub const ALL: [(DropReason, &'static str); 7] = [
        (DropReason::Malformed, "malformed"),
        (DropReason::Forged, "forged"),
        (DropReason::Own, "own"),
        (DropReason::Stale, "old"),
        (DropReason::Replayed, "replayed"),
        (DropReason::RateLimited, "flood"),
        (DropReason::TooManyMembers, "crowd"),
    ];
}

/// A member from which packets were received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// Identifier, drawn at random at each start of a process.
    pub id: u64,
    /// Time at which it was last heard, on the caller's clock.
    pub heard_at: f64,
    /// Number of packets accepted from it.
    pub packets: u64,
}

struct MemberState {
    member: Member,
    last_sequence: u64,
    /// Token bucket of the packet rate.
    tokens: f64,
}

/// This process as a member of its group. Times are Unix milliseconds.
pub struct PeerGroup {
    own_id: u64,
    last_sequence: u64,
    keys: Vec<Key>,
    members: HashMap<u64, MemberState>,
    dropped: [u64; DropReason::ALL.len()],
}

impl PeerGroup {
    /// Creates a group without other members. `own_id` is drawn at random. Packets are signed with the first
    /// key, and accepted with any.
    pub fn new(own_id: u64, keys: Vec<Key>) -> Self {
        Self { own_id, last_sequence: 0, keys, members: HashMap::new(), dropped: [0; DropReason::ALL.len()] }
    }

    /// Replaces the keys, as during a key rotation.
    pub fn set_keys(&mut self, keys: Vec<Key>) {
        self.keys = keys;
    }

    /// Encodes a packet with these tallies, each with its pool; `None` without a key.
    pub fn encode_packet(&mut self, now: f64, tallies: Vec<(String, ZoneReport)>) -> Option<Vec<u8>> {
        self.last_sequence += 1;
        let packet = Packet {
            sender: self.own_id,
            sequence: self.last_sequence,
            sent_at: now.max(0.0) as u64,
            tallies,
        };
        self.keys.first().map(|key| encode(&packet, key))
    }

    /// Decodes and checks a packet, and returns its sender and its tallies, each with its pool.
    ///
    /// # Errors
    /// The reason for which the packet is dropped, which is counted as well.
    pub fn handle_packet(
        &mut self,
        now: f64,
        bytes: &[u8],
    ) -> Result<(u64, Vec<(String, ZoneReport)>), DropReason> {
        let accepted = self.accept(now, bytes);
        if let Err(reason) = accepted {
            self.dropped[reason as usize] += 1;
        }
        accepted
    }

    fn accept(&mut self, now: f64, bytes: &[u8]) -> Result<(u64, Vec<(String, ZoneReport)>), DropReason> {
        let packet = decode(bytes, &self.keys).map_err(|error| match error {
            DecodeError::Malformed => DropReason::Malformed,
            DecodeError::Forged => DropReason::Forged,
        })?;
        if packet.sender == self.own_id {
            return Err(DropReason::Own);
        }
        if (now - packet.sent_at as f64).abs() > MAX_PACKET_AGE_MS {
            return Err(DropReason::Stale);
        }
        if !self.members.contains_key(&packet.sender) {
            if self.members.len() >= MAX_MEMBERS {
                self.members.retain(|_, state| state.member.heard_at > now - MEMBER_TIMEOUT_MS);
            }
            if self.members.len() >= MAX_MEMBERS {
                return Err(DropReason::TooManyMembers);
            }
        }
        let member = Member { id: packet.sender, heard_at: now, packets: 0 };
        let new = || MemberState { member, last_sequence: 0, tokens: MAX_PACKET_BURST };
        let state = self.members.entry(packet.sender).or_insert_with(new);
        if packet.sequence <= state.last_sequence {
            return Err(DropReason::Replayed);
        }
        let elapsed = (now - state.member.heard_at).max(0.0);
        state.tokens = (state.tokens + elapsed * MAX_PACKETS_PER_S / 1000.0).min(MAX_PACKET_BURST);
        state.member.heard_at = now;
        state.last_sequence = packet.sequence;
        if state.tokens < 1.0 {
            return Err(DropReason::RateLimited);
        }
        state.tokens -= 1.0;
        state.member.packets += 1;
        Ok((packet.sender, packet.tallies))
    }

    /// Returns the members heard recently, the last one first.
    pub fn members(&self, now: f64) -> Vec<Member> {
        let all = self.members.values().map(|state| state.member);
        let mut recent: Vec<Member> =
            all.filter(|member| member.heard_at > now - MEMBER_TIMEOUT_MS).collect();
        recent.sort_by(|a, b| b.heard_at.total_cmp(&a.heard_at).then(a.id.cmp(&b.id)));
        recent
    }

    /// Returns the number of dropped packets by reason.
    pub fn drop_counts(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        DropReason::ALL.iter().map(|(reason, name)| (*name, self.dropped[*reason as usize]))
    }
}
