//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A message: its start line, its headers with names in lower case, and its body.
#[derive(Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

fn early_end() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended within a message")
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return if message.start.is_empty() { Ok(None) } else { Err(early_end()) };
        }
        let line = line.trim_end();
        if message.start.is_empty() {
            line.clone_into(&mut message.start);
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a message with a length or without a body.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream)? else { return Ok(None) };
    let length: usize = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Reads the body of a request and drops it; returns its length.
pub fn skip_body(stream: &mut BufReader<TcpStream>, head: &Message) -> io::Result<u64> {
    let length: u64 = head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let read = io::copy(&mut stream.by_ref().take(length), &mut io::sink())?;
    if read == length { Ok(length) } else { Err(early_end()) }
}

/// Writes a response with a JSON body.
pub fn respond_json(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all([head.as_bytes(), body.as_bytes()].concat().as_slice())
}
