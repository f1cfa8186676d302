//! Client connection to another process whose socket can be inspected while it is idle.

use crate::error::{ErrorKind, RpcError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use ivygate_runtime::has_unread_input;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which a connection attempt is given up. A machine that has not accepted by then is down or partitioned.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Connection to another process.
pub(crate) struct Connection {
    /// Sender for one request at a time.
    pub sender: SendRequest<Full<Bytes>>,
    /// Socket of the connection, while it is open.
    socket: Weak<TcpStream>,
}

impl Connection {
    /// Returns whether another call may be sent: the server has neither closed the connection nor sent unsolicited data.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.socket.upgrade().is_some_and(|socket| !has_unread_input(&socket))
    }
}

/// Connects to an address.
///
/// # Errors
/// Returns `Timeout` if the connection is not established in time, or `Unreachable` if it fails.
pub(crate) async fn connect(to: SocketAddr) -> Result<Connection, RpcError> {
    let unreachable = |cause: String| RpcError::new(ErrorKind::Unreachable, format!("{to}: {cause}"));
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
    let connected = connected
        .map_err(|_| RpcError::new(ErrorKind::Timeout, format!("{to}: connection attempt timed out")))?;
    let stream = connected.map_err(|error| unreachable(error.to_string()))?;
    // Disabling Nagle's algorithm is an optimization; the connection works without it.
    let _ = stream.set_nodelay(true);
    let stream = Rc::new(stream);
    let socket = Rc::downgrade(&stream);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(SharedStream(stream)))
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    // A failure of the connection is reported through the response.
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(Connection { sender, socket })
}

/// TCP stream that can be inspected while a connection uses it. Dropping the connection closes it.
struct SharedStream(Rc<TcpStream>);

impl AsyncRead for SharedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                // The readiness was stale; `try_read` has cleared it.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(bufs) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
