//! The accept loop of every stand-in: it runs until whoever sets its state is gone.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How long a listener waits where no descriptor is left: whoever holds some has to end first.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Hands on each connection, until the sender of `state` is dropped.
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
