//! One link: a relay that passes bytes on as they are, and the faults put on it while it runs. Each direction stands
//! for itself; back-pressure passes through.

use crate::accept::accept;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

/// Most bytes in one read.
const CHUNK: usize = 16 << 10;
/// Most reads that wait for their time in one direction.
const HELD: usize = 16;
/// How long a server may take to take a connection; on loopback it is there at once or not at all.
const CONNECT: Duration = Duration::from_secs(2);

/// What holds in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Bytes stop; they come when it ends, as they would after a break of the network.
    pub cut: bool,
    /// Bytes come this much later ...
    pub delay: Duration,
    /// ... and up to this much more, in their order.
    pub jitter: Duration,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct State {
    there: Way,
    back: Way,
    reset: bool,
}

/// A link that runs until it is dropped.
pub struct Link {
    /// Where the one side connects.
    pub address: SocketAddr,
    state: watch::Sender<State>,
}

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
        accept(listener, seen.clone(), move |stream, _| {
            tokio::spawn(pass(stream, target, seen.clone(), opened.clone()));
        });
        Ok(Self { address, state })
    }

    /// Sets what holds on the way there and back from now on.
    pub fn set(&self, there: Way, back: Way) {
        self.state.send_modify(|state| (state.there, state.back) = (there, back));
    }

    /// Whether connections are reset, those that are open and new ones.
    pub fn reset(&self, on: bool) {
        self.state.send_modify(|state| state.reset = on);
    }
}

/// Passes one connection on, until one side or the link ends it.
async fn pass(
    client: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<State>,
    opened: impl Fn(SocketAddr),
) {
    let mut watched = state.clone();
    let over = async move {
        // An error means that the link is gone, which resets what is open as the end of a machine would.
        let _ = watched.wait_for(|state| state.reset).await;
    };
    let passing = async {
        // A connection to a side that is cut off never comes up: it is taken here and hears nothing.
        if state.wait_for(|state| !state.there.cut && !state.back.cut).await.is_err() {
            return Some(client);
        }
        let Ok(Ok(server)) = tokio::time::timeout(CONNECT, TcpStream::connect(target)).await else {
            return Some(client);
        };
        if let Ok(own) = server.local_addr() {
            opened(own);
        }
        // Hints: without them bytes come a little later.
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        // Whatever ends a connection but its sides' own ends is to be seen as a break.
        break_off(&client);
        break_off(&server);
        let ((from_client, to_client), (from_server, to_server)) = (client.into_split(), server.into_split());
        let there = one_way(from_client, to_server, state.clone(), |state| state.there);
        let back = one_way(from_server, to_client, state.clone(), |state| state.back);
        let ((), ()) = tokio::join!(there, back);
        None
    };
    tokio::select! {
        unserved = passing => {
            // Refused or lost at the server: the client is to see a connection that breaks.
            if let Some(client) = unserved {
                break_off(&client);
            }
        }
        () = over => {}
    }
}

/// Makes the end of a connection a reset, in place of one in good order.
fn break_off(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Passes one direction on. A side that ends its sending ends it on the other side too; one that breaks, breaks.
async fn one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    way: impl Fn(&State) -> Way + Copy,
) {
    let (queue, mut due) = mpsc::channel::<(Instant, Vec<u8>)>(HELD);
    let seen = state.clone();
    let reading = async move {
        let mut buffer = vec![0; CHUNK];
        let mut last = Instant::now();
        loop {
            match from.read(&mut buffer).await {
                Ok(0) => return true,
                Ok(read) => {
                    let now = way(&seen.borrow());
                    let more = now.jitter.mul_f64(fastrand::f64());
                    last = last.max(Instant::now() + now.delay + more);
                    if queue.send((last, buffer[..read].to_vec())).await.is_err() {
                        return false;
                    }
                }
                Err(_) => return false,
            }
        }
    };
    let writing = async move {
        while let Some((at, bytes)) = due.recv().await {
            if at > Instant::now() {
                sleep_until(at).await;
            }
            let open = state.wait_for(|state| !way(state).cut).await.is_ok();
            if !open || to.write_all(&bytes).await.is_err() {
                return to;
            }
        }
        to
    };
    let (whole, mut to) = tokio::join!(reading, writing);
    if whole {
        // In good order: what was written last is still to arrive.
        let _ = socket2::SockRef::from(to.as_ref()).set_linger(None);
        let _ = to.shutdown().await;
    }
}
