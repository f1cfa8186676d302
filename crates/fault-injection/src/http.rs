//! A minimal HTTP/1.1 reader for the test servers and clients: heads of bounded size, bodies with a Content-Length.

use std::io;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::TcpStream;

/// Limits of a message: line length, number of headers and body length. They bound what a peer under test may send.
const MAX_LINE_BYTES: u64 = 16 << 10;
const MAX_HEADERS: usize = 100;
const MAX_BODY_BYTES: usize = 1 << 20;

/// An HTTP message: start line, headers and body.
#[derive(Debug)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn malformed() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

/// Reads a message; `None` if the connection ends before its first byte.
pub async fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message { start: String::new(), headers: Vec::new(), body: Vec::new() };
    loop {
        let mut line = String::new();
        let read = (&mut *stream).take(MAX_LINE_BYTES).read_line(&mut line).await?;
        if read == 0 && message.start.is_empty() {
            return Ok(None);
        }
        if !line.ends_with('\n') || message.headers.len() > MAX_HEADERS {
            return Err(malformed());
        }
        let line = line.trim_end();
        if message.start.is_empty() {
            message.start = line.to_owned();
        } else if line.is_empty() {
            break;
        } else {
            let (name, value) = line.split_once(':').ok_or_else(malformed)?;
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").map_or(Ok(0), str::parse).map_err(|_| malformed())?;
    if length > MAX_BODY_BYTES {
        return Err(malformed());
    }
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body).await?;
    Ok(Some(message))
}
