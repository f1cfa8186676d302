//! A connection to another process, which its caller can look at while it is idle.

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

/// A connection not established by then never will be: the other machine has no power or is cut off.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// A connection as its caller holds it.
pub(crate) struct Connection {
    /// Sends one request at a time.
    pub sender: SendRequest<Full<Bytes>>,
    /// Its socket, for as long as it is open.
    socket: Weak<TcpStream>,
}

impl Connection {
    /// Whether another call may be written: the other side has neither closed it nor sent what nobody asked for.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.socket.upgrade().is_some_and(|socket| !has_unread_input(&socket))
    }
}

/// Connects to an address.
///
/// # Errors
/// `Timeout` or `Unreachable`.
pub(crate) async fn connect(to: SocketAddr) -> Result<Connection, RpcError> {
    let unreachable = |cause: String| RpcError::new(ErrorKind::Unreachable, format!("{to}: {cause}"));
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
    let connected =
        connected.map_err(|_| RpcError::new(ErrorKind::Timeout, format!("{to}: no connection in time")))?;
    let stream = connected.map_err(|error| unreachable(error.to_string()))?;
    // A hint: where the system refuses it, the connection serves all the same.
    let _ = stream.set_nodelay(true);
    let stream = Rc::new(stream);
    let socket = Rc::downgrade(&stream);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(SharedStream(stream)))
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    // How it ends shows in the response.
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(Connection { sender, socket })
}

/// A stream that its caller can look at while the connection has it. Dropping it closes it.
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
                // Readiness was out of date, and is known to be so now.
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
