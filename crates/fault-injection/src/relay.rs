//! One link: a relay that passes bytes on as they are, and the faults put on it while it runs. Each direction stands
//! for itself; back-pressure passes through.

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

/// Most bytes in one read.
const READ_BYTES: usize = 16 << 10;
/// Most reads that wait for their time in one direction.
const QUEUE_CAPACITY: usize = 16;
/// How long a server may take to take a connection; on loopback it is there at once or not at all.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Most connections of which it is kept that nobody took them; who asks, asks at once.
const MAX_UNSERVED: usize = 4096;

/// What holds in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DirectionFaults {
    /// Bytes stop; they come when it ends, as they would after a break of the network.
    pub cut: bool,
    /// Bytes come this much later ...
    pub delay: Duration,
    /// ... and up to this much more, in their order.
    pub jitter: Duration,
    /// So many bytes a second pass, of each connection; `None` for all that come.
    pub rate: Option<f64>,
    /// Part of the reads in which one byte is changed.
    pub changed: f64,
    /// What happens to a connection that has passed so many bytes.
    pub after: Option<(u64, LimitAction)>,
}

/// What happens to a connection after some bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitAction {
    /// It is reset, both ways.
    Reset,
    /// Nothing more passes until the fault ends.
    Stall,
    /// This direction ends in good order; what comes later is dropped.
    End,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct State {
    there: DirectionFaults,
    back: DirectionFaults,
    reset: bool,
}

/// A link that runs until it is dropped.
pub struct Link {
    /// Where the one side connects.
    pub address: SocketAddr,
    state: watch::Sender<State>,
    unserved: Arc<Mutex<HashSet<SocketAddr>>>,
}

/// A connection broke, or is to be broken.
struct Broken;

impl Link {
    /// A link with no fault to an address. `opened` is told the address from which each connection to it comes,
    /// before any byte does.
    ///
    /// # Errors
    /// If no port can be had.
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
                let not_taken = || {
                    let mut noted = lock(&noted);
                    if noted.len() < MAX_UNSERVED {
                        noted.insert(peer);
                    }
                };
                pass(stream, target, seen, opened, not_taken).await;
            });
        });
        Ok(Self { address, state, unserved })
    }

    /// Sets what holds on the way there and back from now on.
    pub fn set(&self, there: DirectionFaults, back: DirectionFaults) {
        self.state.send_modify(|state| (state.there, state.back) = (there, back));
    }

    /// Whether connections are reset, those that are open and new ones.
    pub fn reset(&self, on: bool) {
        self.state.send_modify(|state| state.reset = on);
    }

    /// Whether nobody took the connection that came from this address: a link itself takes all, where a process that
    /// does not listen would have refused it. Told once.
    pub fn unserved(&self, from: SocketAddr) -> bool {
        lock(&self.unserved).remove(&from)
    }
}

/// Passes one connection on, until one side or the link ends it.
async fn pass(
    mut client: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<State>,
    opened: impl Fn(SocketAddr),
    not_taken: impl Fn(),
) {
    // Whatever ends a connection but its sides' own ends is to be seen as a break.
    break_off(&client);
    let mut watched = state.clone();
    let over = async move {
        // An error means that the link is gone, which resets what is open as the end of a machine would.
        let _ = watched.wait_for(|state| state.reset).await;
    };
    let passing = async {
        // A connection to a side that is cut off never comes up: it is taken here and hears nothing.
        if state.wait_for(|state| !state.there.cut && !state.back.cut).await.is_err() {
            return;
        }
        let Ok(Ok(mut server)) = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await
        else {
            return not_taken();
        };
        if let Ok(own) = server.local_addr() {
            opened(own);
        }
        // Hints: without them bytes come a little later.
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        break_off(&server);
        let ((from_client, to_client), (from_server, to_server)) = (client.split(), server.split());
        let there = one_way(from_client, to_server, state.clone(), |state| state.there);
        let back = one_way(from_server, to_client, state.clone(), |state| state.back);
        // One direction that breaks breaks the other.
        let _ = tokio::try_join!(there, back);
    };
    tokio::select! {
        () = passing => {}
        () = over => {}
    }
}

/// Makes the end of a connection a reset, in place of one in good order.
fn break_off(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Passes one direction on. A side that ends its sending ends it on the other side too; one that breaks, breaks.
async fn one_way(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut state: watch::Receiver<State>,
    way: impl Fn(&State) -> DirectionFaults + Copy,
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
            let now = way(&seen.borrow());
            if fastrand::f64() < now.changed {
                buffer[fastrand::usize(..read)] ^= 1 << fastrand::u32(..8);
            }
            let take = |most: u64| usize::try_from(most.saturating_sub(passed)).unwrap_or(read).min(read);
            let (whole, then) = now
                .after
                .map_or((read, None), |(most, then)| (take(most), Some(then).filter(|_| take(most) < read)));
            passed += read as u64;
            let more = now.jitter.mul_f64(fastrand::f64());
            let takes = now.rate.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(read as f64 / rate));
            last = last.max(Instant::now() + now.delay + more) + takes;
            if whole > 0 && queue.send((last, buffer[..whole].to_vec())).await.is_err() {
                return Err(Broken);
            }
            match then {
                None => {}
                Some(LimitAction::Reset) => {
                    // What came before is to arrive first.
                    while queue.capacity() < QUEUE_CAPACITY {
                        tokio::time::sleep(Duration::from_millis(1)).await;
                    }
                    return Err(Broken);
                }
                Some(LimitAction::End) => return Ok(()),
                Some(LimitAction::Stall) => {
                    seen.wait_for(|state| way(state).after.is_none()).await.map_err(|_| Broken)?;
                    if queue.send((Instant::now(), buffer[whole..read].to_vec())).await.is_err() {
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
            state.wait_for(|state| !way(state).cut).await.map_err(|_| Broken)?;
            to.write_all(&bytes).await.map_err(|_| Broken)?;
        }
        Ok(())
    };
    tokio::try_join!(reading, writing)?;
    // In good order: what was written last is still to arrive.
    let _ = socket2::SockRef::from(to.as_ref()).set_linger(None);
    let _ = to.shutdown().await;
    Ok(())
}
