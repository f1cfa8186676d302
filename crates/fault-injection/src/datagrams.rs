//! A UDP link: forwards datagrams between any senders and one target, and injects faults while it runs: cuts, delay,
//! loss, duplication, reordering and corruption. The directions are independent.

use crate::trace::lock;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// Largest datagram; loopback delivers no larger one.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Largest number of senders per link; datagrams of further senders are dropped, as with a full NAT table.
const MAX_SENDERS: usize = 1024;
/// Largest number of datagrams that wait for delivery on a link.
const QUEUE_CAPACITY: usize = 4096;

/// Faults of one direction of a datagram link. Fractions are from 0 to 1 and drawn for each datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flow {
    /// No datagram passes; those sent meanwhile are lost.
    pub cut: bool,
    /// Datagrams are delayed by this time ...
    pub delay: Duration,
    /// ... plus up to this much, drawn for each one, so that they may be reordered.
    pub jitter: Duration,
    /// Fraction that is lost.
    pub lost: f64,
    /// Fraction that is duplicated.
    pub twice: f64,
    /// Fraction in which one byte is changed.
    pub changed: f64,
}

/// A running datagram link; stops when dropped.
pub struct DatagramLink {
    /// Address to send to.
    pub address: SocketAddr,
    flows: watch::Sender<(Flow, Flow)>,
}

struct DatagramRelay {
    front: UdpSocket,
    target: SocketAddr,
    flows: watch::Receiver<(Flow, Flow)>,
    /// The socket that forwards the datagrams of each sender, so that replies can be returned to it.
    senders: Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>,
    room: tokio::sync::Semaphore,
}

impl DatagramLink {
    /// Opens a link without faults to an address.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let front = UdpSocket::bind("127.0.0.1:0").await?;
        let address = front.local_addr()?;
        let (flows, seen) = watch::channel(Default::default());
        let (senders, room) = (Mutex::default(), tokio::sync::Semaphore::new(QUEUE_CAPACITY));
        let relay = Arc::new(DatagramRelay { front, target, flows: seen, senders, room });
        tokio::spawn(relay.forward());
        Ok(Self { address, flows })
    }

    /// Sets the faults of both directions from now on.
    pub fn set(&self, forward: Flow, backward: Flow) {
        self.flows.send_replace((forward, backward));
    }
}

impl DatagramRelay {
    /// Forwards datagrams to the target until the link is dropped.
    async fn forward(self: Arc<Self>) {
        let mut closed = self.flows.clone();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let read = tokio::select! {
                read = self.front.recv_from(&mut buffer) => read,
                _ = closed.wait_for(|_| false) => return,
            };
            // An error reports an earlier datagram that no socket received.
            let Ok((read, from)) = read else { continue };
            let Ok(Some(own)) = self.clone().sender(from).await else { continue };
            let (flow, target) = (self.flows.borrow().0, self.target);
            self.deliver(flow, buffer[..read].to_vec(), move |datagram| {
                let own = own.clone();
                async move { drop(own.send_to(&datagram, target).await) }
            });
        }
    }

    /// Returns the socket of a sender, creating it if necessary; `None` if there are too many senders.
    async fn sender(self: Arc<Self>, from: SocketAddr) -> io::Result<Option<Arc<UdpSocket>>> {
        {
            let senders = lock(&self.senders);
            if let Some(own) = senders.get(&from) {
                return Ok(Some(own.clone()));
            }
            if senders.len() >= MAX_SENDERS {
                return Ok(None);
            }
        }
        let own = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        lock(&self.senders).insert(from, own.clone());
        tokio::spawn(self.backward(own.clone(), from));
        Ok(Some(own))
    }

    /// Returns the target's datagrams to a sender.
    async fn backward(self: Arc<Self>, own: Arc<UdpSocket>, to: SocketAddr) {
        let mut closed = self.flows.clone();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let read = tokio::select! {
                read = own.recv(&mut buffer) => read,
                _ = closed.wait_for(|_| false) => return,
            };
            let Ok(read) = read else { continue };
            let flow = self.flows.borrow().1;
            let link = self.clone();
            self.deliver(flow, buffer[..read].to_vec(), move |datagram| {
                let link = link.clone();
                async move { drop(link.front.send_to(&datagram, to).await) }
            });
        }
    }

    /// Forwards a datagram with the faults of its direction.
    fn deliver<F, Sent>(self: &Arc<Self>, flow: Flow, mut datagram: Vec<u8>, send: F)
    where
        F: Fn(Vec<u8>) -> Sent + Clone + Send + 'static,
        Sent: std::future::Future<Output = ()> + Send,
    {
        if flow.cut || fastrand::f64() < flow.lost {
            return;
        }
        if !datagram.is_empty() && fastrand::f64() < flow.changed {
            let at = fastrand::usize(..datagram.len());
            datagram[at] ^= 1 << fastrand::u32(..8);
        }
        for _ in 0..1 + usize::from(fastrand::f64() < flow.twice) {
            let (link, datagram, send) = (self.clone(), datagram.clone(), send.clone());
            let wait = flow.delay + flow.jitter.mul_f64(fastrand::f64());
            tokio::spawn(async move {
                // Bounds the memory of the harness: datagrams beyond the capacity are lost, as in a network queue.
                let Ok(_room) = link.room.try_acquire() else { return };
                if !wait.is_zero() {
                    tokio::time::sleep(wait).await;
                }
                send(datagram).await;
            });
        }
    }
}
