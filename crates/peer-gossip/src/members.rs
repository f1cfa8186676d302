//! Members: who was heard, whose packets are old, and how much each may say.

use crate::packet::{open, seal, Key, Packet, Unreadable};
use ivygate_failure_domains::Tally;
use std::collections::HashMap;

/// Most members; packets of further ones are dropped.
const MEMBERS: usize = 512;
/// A member that was not heard for this long is forgotten, in milliseconds.
const FORGOTTEN: f64 = 10_000.0;
/// Clocks may differ by this much, and packets be that late, in milliseconds: what was recorded earlier says nothing.
const APART: f64 = 10_000.0;
/// Packets a second that are taken from one member, and at once.
const RATE: f64 = 100.0;
const BURST: f64 = 100.0;

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It is none.
    Malformed,
    /// No key vouches for it.
    Forged,
    /// It is this process's own, as a peer's address may be.
    Own,
    /// It was sent too long ago, or by a clock that stands apart.
    Stale,
    /// Its number was heard before, or a later one.
    Replayed,
    /// The member says more than it may.
    RateLimited,
    /// There are as many members as may be.
    TooManyMembers,
}

impl DropReason {
    /// All reasons, with their names.
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

/// A member that was heard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// Its name: drawn anew at each start of a process.
    pub id: u64,
    /// When it was last heard, on the caller's clock.
    pub heard_at: f64,
    /// Packets taken from it.
    pub packets: u64,
}

struct Heard {
    member: Member,
    number: u64,
    store: f64,
}

/// This process in its group. Times are Unix milliseconds.
pub struct PeerGroup {
    own: u64,
    number: u64,
    keys: Vec<Key>,
    members: HashMap<u64, Heard>,
    dropped: [u64; DropReason::ALL.len()],
}

impl PeerGroup {
    /// One that has heard nobody. `own` is drawn at random; the first key is written with, all are believed.
    pub fn new(own: u64, keys: Vec<Key>) -> Self {
        Self { own, number: 0, keys, members: HashMap::new(), dropped: [0; DropReason::ALL.len()] }
    }

    /// Other keys, as while they are being changed.
    pub fn set_keys(&mut self, keys: Vec<Key>) {
        self.keys = keys;
    }

    /// A packet that tells this; `None` without a key.
    pub fn encode_packet(&mut self, now: f64, words: Vec<(String, Tally)>) -> Option<Vec<u8>> {
        self.number += 1;
        let packet = Packet { sender: self.own, number: self.number, sent_at: now.max(0.0) as u64, words };
        self.keys.first().map(|key| seal(&packet, key))
    }

    /// Takes in a packet: who says it, and what.
    ///
    /// # Errors
    /// Says why it is dropped, and counts that.
    pub fn handle_packet(
        &mut self,
        now: f64,
        bytes: &[u8],
    ) -> Result<(u64, Vec<(String, Tally)>), DropReason> {
        let taken = self.take(now, bytes);
        if let Err(dropped) = taken {
            self.dropped[dropped as usize] += 1;
        }
        taken
    }

    fn take(&mut self, now: f64, bytes: &[u8]) -> Result<(u64, Vec<(String, Tally)>), DropReason> {
        let packet = open(bytes, &self.keys).map_err(|unreadable| match unreadable {
            Unreadable::Malformed => DropReason::Malformed,
            Unreadable::Forged => DropReason::Forged,
        })?;
        if packet.sender == self.own {
            return Err(DropReason::Own);
        }
        if (now - packet.sent_at as f64).abs() > APART {
            return Err(DropReason::Stale);
        }
        if !self.members.contains_key(&packet.sender) {
            if self.members.len() >= MEMBERS {
                self.members.retain(|_, heard| heard.member.heard_at > now - FORGOTTEN);
            }
            if self.members.len() >= MEMBERS {
                return Err(DropReason::TooManyMembers);
            }
        }
        let member = Member { id: packet.sender, heard_at: now, packets: 0 };
        let new = || Heard { member, number: 0, store: BURST };
        let heard = self.members.entry(packet.sender).or_insert_with(new);
        if packet.number <= heard.number {
            return Err(DropReason::Replayed);
        }
        let gone = (now - heard.member.heard_at).max(0.0);
        heard.store = (heard.store + gone * RATE / 1000.0).min(BURST);
        heard.member.heard_at = now;
        heard.number = packet.number;
        if heard.store < 1.0 {
            return Err(DropReason::RateLimited);
        }
        heard.store -= 1.0;
        heard.member.packets += 1;
        Ok((packet.sender, packet.words))
    }

    /// Who was heard of late, the last first.
    pub fn members(&self, now: f64) -> Vec<Member> {
        let late = self.members.values().map(|heard| heard.member);
        let mut late: Vec<Member> = late.filter(|member| member.heard_at > now - FORGOTTEN).collect();
        late.sort_by(|a, b| b.heard_at.total_cmp(&a.heard_at).then(a.id.cmp(&b.id)));
        late
    }

    /// How many packets were dropped, by reason.
    pub fn drop_counts(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        DropReason::ALL.iter().map(|(reason, name)| (*name, self.dropped[*reason as usize]))
    }
}
