//! UDP gossip between processes about the zone failures that each observes.

use crate::front::Shared;
use ivygate_config as config;
use ivygate_failure_domains::ZoneReport;
use ivygate_peer_gossip::{Key, PeerGroup, MAX_PACKET_BYTES};
use ivygate_runtime::Clock;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Interval at which pending reports are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of packets read before reports are sent.
const MAX_PACKETS_PER_WAKEUP: usize = 64;

/// Membership of this process in a gossip group.
pub struct Gossip {
    socket: UdpSocket,
    group: RefCell<PeerGroup>,
    peers: RefCell<Vec<SocketAddr>>,
    /// Number of packets that could not be sent.
    unsent: Cell<u64>,
    clock: Clock,
}

/// Reads the keys of a gossip group.
pub fn read_keys(group: &config::Group) -> Result<Vec<Key>, String> {
    let key = |path: &String| {
        let bytes = ivygate_files::read(Path::new(path)).map_err(|error| error.to_string())?;
        Key::new(&bytes).map_err(|error| format!("{path}: {error}"))
    };
    group.keys.iter().map(key).collect()
}

impl Gossip {
    /// Opens the socket.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn open(group: &config::Group, keys: Vec<Key>, clock: Clock) -> io::Result<Rc<Self>> {
        let socket = std::net::UdpSocket::bind(group.listen)?;
        socket.set_nonblocking(true)?;
        Ok(Rc::new(Self {
            socket: UdpSocket::from_std(socket)?,
            group: RefCell::new(PeerGroup::new(fastrand::u64(..), keys)),
            peers: RefCell::new(group.peers.clone()),
            unsent: Cell::new(0),
            clock,
        }))
    }

    /// Applies reloaded peers and keys.
    pub fn handle_settings(&self, group: &config::Group, keys: Vec<Key>) {
        self.peers.replace(group.peers.clone());
        self.group.borrow_mut().set_keys(keys);
    }

    /// Receives and sends reports for as long as the process runs.
    pub async fn run(self: Rc<Self>, shared: Rc<Shared>) {
        let mut interval = tokio::time::interval(POLL_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut packet = [0; MAX_PACKET_BYTES + 1];
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                readable = self.socket.readable() => {
                    // An error is caused by an earlier packet to a closed port, or by a temporary lack of system
                    // resources.
                    if readable.is_err() {
                        tokio::time::sleep(POLL_INTERVAL).await;
                    }
                }
            }
            for _ in 0..MAX_PACKETS_PER_WAKEUP {
                match self.socket.try_recv(&mut packet) {
                    Ok(length) => self.receive(&shared, &packet[..length]),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                    Err(_) => {}
                }
            }
            self.send_report(&shared);
        }
    }

    fn receive(&self, shared: &Shared, packet: &[u8]) {
        let now = self.clock.now();
        // The group counts dropped packets.
        let Ok((author, tallies)) = self.group.borrow_mut().handle_packet(now.as_millis(), packet) else {
            return;
        };
        let mut by_pool: BTreeMap<String, Vec<ZoneReport>> = BTreeMap::new();
        for (pool, tally) in tallies {
            by_pool.entry(pool).or_default().push(tally);
        }
        let active_config = shared.active_config.borrow().clone();
        for (name, pool) in &active_config.pools {
            if let Some(zones) = &pool.zones {
                let tallies = by_pool.get(name).map_or(&[][..], Vec::as_slice);
                zones.handle_report(now, author, tallies);
            }
        }
    }

    fn send_report(&self, shared: &Shared) {
        let active_config = shared.active_config.borrow().clone();
        let (mut due, mut tallies) = (false, Vec::new());
        for (name, pool) in &active_config.pools {
            if let Some(report) = pool.zones.as_ref().and_then(super::zones::Zones::poll_report) {
                due = true;
                tallies.extend(report.into_iter().map(|tally| (name.clone(), tally)));
            }
        }
        if !due {
            return;
        }
        let Some(packet) = self.group.borrow_mut().encode_packet(self.clock.now().as_millis(), tallies)
        else {
            return;
        };
        for peer in self.peers.borrow().iter() {
            // A report that cannot be sent is repeated within a second.
            if self.socket.try_send_to(&packet, *peer).is_err() {
                self.unsent.set(self.unsent.get() + 1);
            }
        }
    }

    /// Returns a JSON document for each recently heard member, and one with the counts of lost packets.
    pub fn status(&self) -> Vec<Value> {
        let now = self.clock.now().as_millis();
        let group = self.group.borrow();
        let member = |member: &ivygate_peer_gossip::Member| {
            json!({
                "member": format!("{:016x}", member.id), "heard_ms_ago": (now - member.heard_at).round(),
                "packets": member.packets,
            })
        };
        let mut documents: Vec<Value> = group.members(now).iter().map(member).collect();
        let dropped: BTreeMap<&str, u64> = group.drop_counts().collect();
        documents.push(
            json!({ "peers": self.peers.borrow().len(), "unsent": self.unsent.get(), "dropped": dropped }),
        );
        documents
    }
}
