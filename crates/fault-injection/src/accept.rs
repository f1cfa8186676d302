//! The accept loop that all test servers and relays share.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Delay after a failed `accept`, as when no file descriptor is free, until others may have been closed.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections and passes each to `serve`, until the sender of `state` is dropped.
pub fn accept<S: Send + Sync + 'static>(
    listener: TcpListener,
    mut state: watch::Receiver<S>,
    serve: impl Fn(TcpStream, SocketAddr) + Send + 'static,
) {
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                gone = state.wait_for(|_| false) => { drop(gone); return }
            };
            match accepted {
                Ok((stream, peer)) => serve(stream, peer),
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    });
}
