//! One link of datagrams: passes them on as they are between whoever sends to it and one target, and the faults put on it
//! while it runs: cut, delay, loss, duplication, reordering, changed bytes. Each direction stands for itself.

use crate::trace::lock;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// Largest datagram; loopback brings no larger one.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Most senders to one link; further ones are dropped, as a table that is full drops them.
const MAX_SENDERS: usize = 1024;
/// Most datagrams that wait for their time on a link.
const QUEUE_CAPACITY: usize = 4096;

/// What holds in one direction. Parts go from 0 to 1, each drawn for each datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flow {
    /// Nothing passes; what comes meanwhile is lost, as on a network.
    pub cut: bool,
    /// Datagrams come this much later ...
    pub delay: Duration,
    /// ... and up to this much more, each by itself: later ones may overtake.
    pub jitter: Duration,
    /// Part that is lost.
    pub lost: f64,
    /// Part that comes twice.
    pub twice: f64,
    /// Part in which one byte is changed.
    pub changed: f64,
}

/// A link that runs until it is dropped.
pub struct DatagramLink {
    /// Where the one side sends.
    pub address: SocketAddr,
    flows: watch::Sender<(Flow, Flow)>,
}

struct DatagramRelay {
    front: UdpSocket,
    target: SocketAddr,
    flows: watch::Receiver<(Flow, Flow)>,
    /// The socket from which each sender's datagrams go on, so that answers find their way back.
    senders: Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>,
    room: tokio::sync::Semaphore,
}

impl DatagramLink {
    /// A link with no fault to an address.
    ///
    /// # Errors
    /// If no port can be had.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let front = UdpSocket::bind("127.0.0.1:0").await?;
        let address = front.local_addr()?;
        let (flows, seen) = watch::channel(Default::default());
        let (senders, room) = (Mutex::default(), tokio::sync::Semaphore::new(QUEUE_CAPACITY));
        let passing = Arc::new(DatagramRelay { front, target, flows: seen, senders, room });
        tokio::spawn(passing.there());
        Ok(Self { address, flows })
    }

    /// Sets what holds on the way there and back from now on.
    pub fn set(&self, there: Flow, back: Flow) {
        self.flows.send_replace((there, back));
    }
}

impl DatagramRelay {
    /// Passes on what comes from the one side, until the link is dropped.
    async fn there(self: Arc<Self>) {
        let mut gone = self.flows.clone();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let read = tokio::select! {
                read = self.front.recv_from(&mut buffer) => read,
                _ = gone.wait_for(|_| false) => return,
            };
            // An error tells of an earlier datagram that nobody took.
            let Ok((read, from)) = read else { continue };
            let Ok(Some(own)) = self.clone().sender(from).await else { continue };
            let (flow, target) = (self.flows.borrow().0, self.target);
            self.pass(flow, buffer[..read].to_vec(), move |datagram| {
                let own = own.clone();
                async move { drop(own.send_to(&datagram, target).await) }
            });
        }
    }

    /// The socket of a sender, made if there is none.
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
        tokio::spawn(self.back(own.clone(), from));
        Ok(Some(own))
    }

    /// Passes back to a sender what comes for it.
    async fn back(self: Arc<Self>, own: Arc<UdpSocket>, to: SocketAddr) {
        let mut gone = self.flows.clone();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let read = tokio::select! {
                read = own.recv(&mut buffer) => read,
                _ = gone.wait_for(|_| false) => return,
            };
            let Ok(read) = read else { continue };
            let flow = self.flows.borrow().1;
            let link = self.clone();
            self.pass(flow, buffer[..read].to_vec(), move |datagram| {
                let link = link.clone();
                async move { drop(link.front.send_to(&datagram, to).await) }
            });
        }
    }

    /// Sends a datagram on as a direction says: not at all, later, changed, twice.
    fn pass<F, Sent>(self: &Arc<Self>, flow: Flow, mut datagram: Vec<u8>, send: F)
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
                // Guards the rig's memory: what finds no room is lost, as in a queue of the network.
                let Ok(_room) = link.room.try_acquire() else { return };
                if !wait.is_zero() {
                    tokio::time::sleep(wait).await;
                }
                send(datagram).await;
            });
        }
    }
}
