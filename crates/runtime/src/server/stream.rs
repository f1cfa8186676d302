//! Stream of a client's connection: notes the start of requests and the progress of responses, checks the framing of requests,
//! and is closed so that the client gets all that was written.

use super::client::Client;
use crate::framing::{Framing, FramingError};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

/// Time for which input is discarded after the output has been closed. Closing a connection with unread input resets it, and the
/// end of the last response would be lost.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of bytes of input that are discarded at a time.
const DISCARD_BYTES: usize = 4 << 10;

/// A client's stream that notes the start of requests, and checks their framing before hyper gets the bytes.
pub(super) struct ClientStream {
    stream: TcpStream,
    client: Rc<Client>,
    framing: Option<Framing>,
    /// Bytes received but not passed on; limited like a head, as they are little more than one.
    buffer: Vec<u8>,
    /// Number of bytes of the buffer that have been checked and may pass.
    passable: usize,
    /// Error in the body after the bytes passed on. Returned once by a read, after the request's head has
    /// been passed on, so that the request gets a response.
    body_error: Option<FramingError>,
    /// The output has been closed.
    is_write_closed: bool,
    /// Set while input is discarded after that: the end of the time for it.
    linger_timer: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    pub fn new(stream: TcpStream, client: Rc<Client>, framing: Option<Framing>) -> Self {
        Self {
            stream,
            client,
            framing,
            buffer: Vec::new(),
            passable: 0,
            body_error: None,
            is_write_closed: false,
            linger_timer: None,
        }
    }

    /// Discards input until the client has closed its side, as long as it may be sending; ready when the connection can be
    /// dropped.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut discarded = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut discarded);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => self.client.may_send_more.set(true),
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending if self.client.may_send_more.get() => break,
                Poll::Pending => return Poll::Ready(()),
            }
        }
        let timer = self.linger_timer.get_or_insert_with(|| Box::pin(sleep(LINGER_TIMEOUT)));
        timer.as_mut().poll(cx)
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let ClientStream { stream, client, framing, buffer, passable, body_error, .. } = &mut *self;
        loop {
            if *passable > 0 {
                let pass = buf.remaining().min(*passable);
                buf.put_slice(&buffer[..pass]);
                buffer.drain(..pass);
                *passable -= pass;
                return Poll::Ready(Ok(()));
            }
            if let Some(error) = body_error.take() {
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
            }
            let before = buf.filled().len();
            let read = Pin::new(&mut *stream).poll_read(cx, buf);
            let received = buf.filled().len() - before;
            if received > 0 {
                client.start_receiving();
            }
            let Some(framing) = framing else { return read };
            match read {
                Poll::Ready(Ok(())) if received > 0 => {}
                other => return other,
            }
            if framing.is_stopped() {
                // Discards the input: closing a connection with unread input resets it, and the response on
                // it would be lost.
                buf.set_filled(before);
            } else if buffer.is_empty() {
                let bytes = &buf.filled()[before..];
                let pass = check_framing(framing, client, bytes, body_error);
                if !framing.is_stopped() {
                    buffer.extend_from_slice(&bytes[pass..]);
                }
                buf.set_filled(before + pass);
                *passable += framing.terminate_head(buffer);
                if pass > 0 {
                    return Poll::Ready(Ok(()));
                }
            } else {
                buffer.extend_from_slice(&buf.filled()[before..]);
                buf.set_filled(before);
                *passable = check_framing(framing, client, buffer, body_error);
                if framing.is_stopped() {
                    buffer.truncate(*passable);
                    *passable += framing.terminate_head(buffer);
                }
            }
        }
    }
}

/// Checks the framing of received bytes, and returns how many of them may pass.
fn check_framing(
    framing: &mut Framing,
    client: &Client,
    bytes: &[u8],
    body_error: &mut Option<FramingError>,
) -> usize {
    let mut pass = 0;
    loop {
        let step = framing.step(&bytes[pass..]);
        let step = match step {
            Ok(step) => step,
            Err(error) => {
                *body_error = Some(error);
                return pass;
            }
        };
        if let Some(result) = step.head {
            client.framing_results.borrow_mut().push_back(result.err());
        }
        pass += step.pass;
        if step.pass == 0 || pass == bytes.len() || framing.is_stopped() {
            return pass;
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.client.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.client.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the stream only once it has written all that it has.
        self.client.record_flush();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.is_write_closed {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.is_write_closed = true;
        }
        self.poll_linger(cx).map(Ok)
    }
}
