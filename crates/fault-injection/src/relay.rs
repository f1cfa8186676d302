//! A TCP link: a relay that forwards bytes unchanged and injects faults while it runs. The directions are independent;
//! back-pressure is preserved.

use crate::accept::accept;
use crate::trace::lock;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

/// Largest number of bytes per read.
const READ_BYTES: usize = 16 << 10;
/// Largest number of reads that wait for delivery in one direction.
const QUEUE_CAPACITY: usize = 16;
/// Time limit for connecting to the server; on loopback it accepts at once or not at all.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of recorded connections without a server; clients query them at once.
const MAX_UNSERVED: usize = 4096;

/// Faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DirectionFaults {
    /// No data passes; held data is delivered when the fault ends, as after a network outage.
    pub cut: bool,
    /// Data is delayed by this time ...
    pub delay: Duration,
    /// ... plus up to this much, in order.
    pub jitter: Duration,
    /// Bytes per second of each connection; `None` for no limit.
    pub rate: Option<f64>,
    /// Fraction of the reads in which one byte is changed.
    pub changed: f64,
    /// Number of bytes that a connection may pass, and the action after them.
    pub after: Option<(u64, LimitAction)>,
}

/// Action on a connection that has passed its number of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitAction {
    /// It is reset in both directions.
    Reset,
    /// No more data passes until the fault ends.
    Stall,
    /// This direction is shut down in order; later data is dropped.
    End,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct State {
    forward: DirectionFaults,
    backward: DirectionFaults,
    reset: bool,
}

/// A running link; stops when dropped.
pub struct Link {
    /// Address to connect to.
    pub address: SocketAddr,
    state: watch::Sender<State>,
    unserved: Arc<Mutex<HashSet<SocketAddr>>>,
}

/// A connection failed or must be reset.
struct Broken;

impl Link {
    /// Opens a link without faults to an address. `opened` is called with the local address of each connection to the
    /// target before any data is forwarded.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn open(
        target: SocketAddr,
        opened: impl Fn(SocketAddr) + Clone + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, seen) = watch::channel(State::default());
        let unserved = Arc::<Mutex<HashSet<_>>>::default();
        let noted = unserved.clone();
        accept(listener, seen.clone(), move |stream, peer| {
            let (seen, opened, noted) = (seen.clone(), opened.clone(), noted.clone());
            tokio::spawn(async move {
                let record_unserved = || {
                    let mut noted = lock(&noted);
                    if noted.len() < MAX_UNSERVED {
                        noted.insert(peer);
                    }
                };
                forward_connection(stream, target, seen, opened, record_unserved).await;
            });
        });
        Ok(Self { address, state, unserved })
    }

    /// Sets the faults of both directions from now on.
    pub fn set(&self, forward: DirectionFaults, backward: DirectionFaults) {
        self.state.send_modify(|state| (state.forward, state.backward) = (forward, backward));
    }

    /// Starts or stops resetting open and new connections.
    pub fn reset(&self, on: bool) {
        self.state.send_modify(|state| state.reset = on);
    }

    /// Returns true, once, if the connection from this address could not be forwarded. The link accepts all
    /// connections, where a process that does not listen would refuse them.
    pub fn unserved(&self, from: SocketAddr) -> bool {
        lock(&self.unserved).remove(&from)
    }
}

/// Forwards one connection until one side or the link ends it.
async fn forward_connection(
    mut client: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<State>,
    opened: impl Fn(SocketAddr),
    record_unserved: impl Fn(),
) {
    // Any end other than an orderly one of the two sides must appear as a reset.
    reset_on_close(&client);
    let mut watched = state.clone();
    let reset = async move {
        // An error means that the link was dropped, which resets open connections as the loss of a machine would.
        let _ = watched.wait_for(|state| state.reset).await;
    };
    let passing = async {
        // A connection to a peer that is cut off is accepted here and stays silent.
        if state.wait_for(|state| !state.forward.cut && !state.backward.cut).await.is_err() {
            return;
        }
        let Ok(Ok(mut server)) = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await
        else {
            return record_unserved();
        };
        if let Ok(own) = server.local_addr() {
            opened(own);
        }
        // Without TCP_NODELAY data arrives slightly later, which is harmless.
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        reset_on_close(&server);
        let ((from_client, to_client), (from_server, to_server)) = (client.split(), server.split());
        let forward = forward_direction(from_client, to_server, state.clone(), |state| state.forward);
        let backward = forward_direction(from_server, to_client, state.clone(), |state| state.backward);
        // A failure of one direction ends the other.
        let _ = tokio::try_join!(forward, backward);
    };
    tokio::select! {
        () = passing => {}
        () = reset => {}
    }
}

/// Makes closing a connection send a reset instead of an orderly shutdown.
fn reset_on_close(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Forwards one direction. An orderly end of the sender is forwarded; a failure ends the connection.
async fn forward_direction(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut state: watch::Receiver<State>,
    direction: impl Fn(&State) -> DirectionFaults + Copy,
) -> Result<(), Broken> {
    let (queue, mut due) = mpsc::channel::<(Instant, Vec<u8>)>(QUEUE_CAPACITY);
    let mut seen = state.clone();
    let reading = async move {
        let mut buffer = vec![0; READ_BYTES];
        let (mut last, mut passed) = (Instant::now(), 0);
        loop {
            let read = from.read(&mut buffer).await.map_err(|_| Broken)?;
            if read == 0 {
                return Ok(());
            }
            let now = direction(&seen.borrow());
            if fastrand::f64() < now.changed {
                buffer[fastrand::usize(..read)] ^= 1 << fastrand::u32(..8);
            }
            let take = |most: u64| usize::try_from(most.saturating_sub(passed)).unwrap_or(read).min(read);
            let (allowed, action) = now.after.map_or((read, None), |(most, action)| {
                (take(most), Some(action).filter(|_| take(most) < read))
            });
            passed += read as u64;
            let jitter = now.jitter.mul_f64(fastrand::f64());
            let transfer_time =
                now.rate.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(read as f64 / rate));
            last = last.max(Instant::now() + now.delay + jitter) + transfer_time;
            if allowed > 0 && queue.send((last, buffer[..allowed].to_vec())).await.is_err() {
                return Err(Broken);
            }
            match action {
                None => {}
                Some(LimitAction::Reset) => {
                    // Earlier data must be delivered first.
                    while queue.capacity() < QUEUE_CAPACITY {
                        tokio::time::sleep(Duration::from_millis(1)).await;
                    }
                    return Err(Broken);
                }
                Some(LimitAction::End) => return Ok(()),
                Some(LimitAction::Stall) => {
                    seen.wait_for(|state| direction(state).after.is_none()).await.map_err(|_| Broken)?;
                    if queue.send((Instant::now(), buffer[allowed..read].to_vec())).await.is_err() {
                        return Err(Broken);
                    }
                }
            }
        }
    };
    let writing = async {
        while let Some((at, bytes)) = due.recv().await {
            if at > Instant::now() {
                sleep_until(at).await;
            }
            state.wait_for(|state| !direction(state).cut).await.map_err(|_| Broken)?;
            to.write_all(&bytes).await.map_err(|_| Broken)?;
        }
        Ok(())
    };
    tokio::try_join!(reading, writing)?;
    // Closes in order, so that data written last is still delivered.
    let _ = socket2::SockRef::from(to.as_ref()).set_linger(None);
    let _ = to.shutdown().await;
    Ok(())
}
