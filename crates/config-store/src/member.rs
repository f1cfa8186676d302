//! Identity of an acceptor.

use std::net::Ipv4Addr;

/// One incarnation of one machine.
///
/// A machine that loses its disk forgets what it promised, so it must not act as the acceptor that it was before: it
/// draws a new incarnation and is another acceptor to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// The machine's address.
    pub address: Ipv4Addr,
    /// Drawn at random when the machine's disk was empty.
    pub incarnation: u64,
}

impl Member {
    /// An incarnation of the machine at an address.
    pub fn new(address: Ipv4Addr, incarnation: u64) -> Self {
        Self { address, incarnation }
    }
}
