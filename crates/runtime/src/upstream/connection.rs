//! A connection to a server, with its stream.

use crate::request_body::AttemptBody;
use hyper::client::conn::http1::{Connection, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection to a server. It is polled by its user, so nothing is left running when it is dropped.
pub(crate) struct ServerConnection {
    pub(super) sender: SendRequest<AttemptBody>,
    /// `None` once it has ended.
    pub(super) driver: Option<Connection<TokioIo<CountingStream>, AttemptBody>>,
    pub(super) written: Rc<Cell<u64>>,
    /// No request is open, so any unread input is an error.
    pub(super) expects_silence: Rc<Cell<bool>>,
    pub(super) address: SocketAddr,
    /// Idle timeout, by the limits and by the server's last `Keep-Alive` header.
    pub(super) idle_timeout: Duration,
}

impl ServerConnection {
    /// Returns whether another request may be written: the server has not closed the connection, and all that
    /// it has sent was read. Does not wait, and asks the system instead of tokio, whose readiness may be out
    /// of date and whose task budget may be used up.
    pub(super) async fn is_reusable(&mut self) -> bool {
        self.expects_silence.set(true);
        let drive_once = poll_fn(|cx| {
            self.drive(cx);
            Poll::Ready(())
        });
        tokio::task::unconstrained(drive_once).await;
        self.expects_silence.set(false);
        self.is_ready()
    }

    /// Returns whether the connection is open and waits for a request.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_open() && self.sender.is_ready()
    }

    /// Reads and writes without blocking.
    pub(crate) fn drive(&mut self, cx: &mut Context<'_>) {
        if let Some(driver) = &mut self.driver {
            // An error also shows in the response.
            if Pin::new(driver).poll(cx).is_ready() {
                self.driver = None;
            }
        }
    }

    /// Returns whether the connection has not ended, as far as is known.
    pub(crate) fn is_open(&self) -> bool {
        self.driver.is_some()
    }
}

/// Waits for a future that reads from a connection, and drives the connection meanwhile.
pub(super) async fn drive_while<T>(
    connection: &mut ServerConnection,
    mut reading: Pin<&mut impl Future<Output = T>>,
) -> T {
    poll_fn(|cx| {
        if let Poll::Ready(output) = reading.as_mut().poll(cx) {
            return Poll::Ready(output);
        }
        connection.drive(cx);
        reading.as_mut().poll(cx)
    })
    .await
}

/// Returns whether the peer has sent bytes that are still unread, or has closed its side. Asks the system,
/// since tokio's readiness may be out of date.
pub fn has_unread_input(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Counts a connection as open until it is dropped.
pub(super) struct OpenConnectionGuard(Rc<Cell<usize>>);

impl OpenConnectionGuard {
    pub(super) fn new(open_connections: &Rc<Cell<usize>>) -> Self {
        open_connections.set(open_connections.get() + 1);
        Self(open_connections.clone())
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A stream that counts the bytes written to it, and rejects input while no request is open.
pub(super) struct CountingStream {
    pub(super) stream: TcpStream,
    pub(super) written: Rc<Cell<u64>>,
    pub(super) expects_silence: Rc<Cell<bool>>,
    pub(super) _open_guard: OpenConnectionGuard,
}

impl CountingStream {
    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &written {
            self.written.set(self.written.get() + *bytes as u64);
        }
        written
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // A surplus response may have arrived that tokio has not noticed yet.
        if self.expects_silence.get() && has_unread_input(&self.stream) {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
