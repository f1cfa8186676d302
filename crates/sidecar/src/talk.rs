//! The socket on which processes tell each other what they see of zones.

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

/// How often it looks whether there is something to be told.
const LOOK: Duration = Duration::from_millis(10);
/// Most packets that are read before anything else is done.
const READ_AT_ONCE: usize = 64;

/// This process among those that tell each other.
pub struct Talk {
    socket: UdpSocket,
    group: RefCell<PeerGroup>,
    peers: RefCell<Vec<SocketAddr>>,
    /// Packets that could not be sent.
    unsent: Cell<u64>,
    clock: Clock,
}

/// Reads the keys of a group.
pub fn keys(group: &config::Group) -> Result<Vec<Key>, String> {
    let key = |path: &String| {
        let bytes = ivygate_files::read(Path::new(path)).map_err(|error| error.to_string())?;
        Key::new(&bytes).map_err(|error| format!("{path}: {error}"))
    };
    group.keys.iter().map(key).collect()
}

impl Talk {
    /// Opens the socket.
    ///
    /// # Errors
    /// If the address can't be had.
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

    /// Takes over what a reload says of the others.
    pub fn handle_settings(&self, group: &config::Group, keys: Vec<Key>) {
        self.peers.replace(group.peers.clone());
        self.group.borrow_mut().set_keys(keys);
    }

    /// Hears and tells for as long as the process runs.
    pub async fn run(self: Rc<Self>, shared: Rc<Shared>) {
        let mut look = tokio::time::interval(LOOK);
        look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut packet = [0; MAX_PACKET_BYTES + 1];
        loop {
            tokio::select! {
                _ = look.tick() => {}
                readable = self.socket.readable() => {
                    // An error tells of an earlier packet that nobody took, or of a system that has no room just now.
                    if readable.is_err() {
                        tokio::time::sleep(LOOK).await;
                    }
                }
            }
            for _ in 0..READ_AT_ONCE {
                match self.socket.try_recv(&mut packet) {
                    Ok(length) => self.hear(&shared, &packet[..length]),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                    Err(_) => {}
                }
            }
            self.tell(&shared);
        }
    }

    fn hear(&self, shared: &Shared, packet: &[u8]) {
        let now = self.clock.now();
        // What is dropped is counted there.
        let Ok((author, words)) = self.group.borrow_mut().handle_packet(now.as_millis(), packet) else {
            return;
        };
        let mut by_pool: BTreeMap<String, Vec<ZoneReport>> = BTreeMap::new();
        for (pool, tally) in words {
            by_pool.entry(pool).or_default().push(tally);
        }
        let site = shared.site.borrow().clone();
        for (name, pool) in &site.pools {
            if let Some(zones) = &pool.zones {
                let told = by_pool.get(name).map_or(&[][..], Vec::as_slice);
                zones.handle_report(now, author, told);
            }
        }
    }

    fn tell(&self, shared: &Shared) {
        let site = shared.site.borrow().clone();
        let (mut due, mut words) = (false, Vec::new());
        for (name, pool) in &site.pools {
            if let Some(word) = pool.zones.as_ref().and_then(super::zones::Zones::poll_report) {
                due = true;
                words.extend(word.into_iter().map(|tally| (name.clone(), tally)));
            }
        }
        if !due {
            return;
        }
        let Some(packet) = self.group.borrow_mut().encode_packet(self.clock.now().as_millis(), words) else {
            return;
        };
        for peer in self.peers.borrow().iter() {
            // What one peer or the system does not take is told anew within a second.
            if self.socket.try_send_to(&packet, *peer).is_err() {
                self.unsent.set(self.unsent.get() + 1);
            }
        }
    }

    /// Who was heard of late, and what was dropped: a JSON document each.
    pub fn told(&self) -> Vec<Value> {
        let now = self.clock.now().as_millis();
        let group = self.group.borrow();
        let member = |member: &ivygate_peer_gossip::Member| {
            json!({
                "member": format!("{:016x}", member.id), "heard_ms_ago": (now - member.heard_at).round(),
                "packets": member.packets,
            })
        };
        let mut told: Vec<Value> = group.members(now).iter().map(member).collect();
        let dropped: BTreeMap<&str, u64> = group.drop_counts().collect();
        told.push(
            json!({ "peers": self.peers.borrow().len(), "unsent": self.unsent.get(), "dropped": dropped }),
        );
        told
    }
}
