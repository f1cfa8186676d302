//! Strict check of the message framing of requests, against request smuggling.
//!
//! hyper reads a request with both `Content-Length` and `Transfer-Encoding` as chunked, and does not report
//! that there were both. A server behind might use the length instead and find a second request in the body.
//! So the bytes are checked before hyper gets them, and every request whose framing is ambiguous is rejected.

use std::fmt;

/// Error for a request with invalid or ambiguous framing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// A line ends with a bare line feed, or contains a bare carriage return or a NUL.
    InvalidLine,
    /// A header continues on a second line.
    FoldedHeader,
    /// A header has no colon, or its name is empty or contains white space.
    InvalidHeaderName,
    /// There are both a `Content-Length` and a `Transfer-Encoding`.
    LengthAndCoding,
    /// There is more than one `Content-Length`, or its value is not a number.
    InvalidLength,
    /// `Transfer-Encoding` is not exactly `chunked`, or occurs in an HTTP/1.0 request.
    InvalidCoding,
    /// A chunk is malformed.
    InvalidChunk,
    /// The head is longer than allowed.
    HeadTooLong,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FramingError::InvalidLine => {
                "a line of the head does not end in CR LF or holds a control character"
            }
            FramingError::FoldedHeader => "a header is folded",
            FramingError::InvalidHeaderName => "a header's name is malformed",
            FramingError::LengthAndCoding => "there are both Content-Length and Transfer-Encoding",
            FramingError::InvalidLength => "Content-Length is repeated or malformed",
            FramingError::InvalidCoding => "Transfer-Encoding is not just `chunked`",
            FramingError::InvalidChunk => "a chunk is malformed",
            FramingError::HeadTooLong => "the head is too long",
        })
    }
}

impl std::error::Error for FramingError {}

/// Maximum length of a chunk extension, in bytes.
const MAX_EXTENSION_BYTES: usize = 256;
/// Maximum length of all trailers, in bytes.
const MAX_TRAILER_BYTES: usize = 8 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// In a head.
    Head,
    /// In a body with a length; the number of bytes left.
    Body(u64),
    /// In the size of a chunk; its value and number of digits so far.
    Size(u64, u8),
    /// In the extension of a chunk; the chunk's size and the extension's length so far.
    Extension(u64, usize),
    /// After the CR of a chunk's first line; the chunk's size.
    SizeEnd(u64),
    /// In the data of a chunk; the number of bytes left.
    Data(u64),
    /// After the data of a chunk.
    DataCr,
    /// After the CR that follows the data.
    DataLf,
    /// In the trailers; the length of this line and of all trailers so far.
    Trailer(usize, usize),
    /// After the CR of a trailer line; the length of the line and of all trailers.
    TrailerEnd(usize, usize),
    /// After an error; no further bytes pass.
    Stopped,
}

/// Result of checking some input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Number of bytes that have been checked and may pass. The others must be given again, followed by more
    /// input.
    pub pass: usize,
    /// Result for the head with which the passed bytes end, if they end with one.
    pub head: Option<Result<(), FramingError>>,
}

/// State of the input of one connection.
#[derive(Debug)]
pub struct Framing {
    state: State,
    max_head_bytes: usize,
    /// Length of the lines of the current head that have been scanned.
    scanned: usize,
    /// A head was truncated and lacks the empty line at its end.
    is_truncated: bool,
}

impl Framing {
    /// Creates the state of a new connection, for heads up to this length.
    pub fn new(max_head_bytes: usize) -> Self {
        Self { state: State::Head, max_head_bytes, scanned: 0, is_truncated: false }
    }

    /// Returns whether no further bytes pass.
    pub fn is_stopped(&self) -> bool {
        self.state == State::Stopped
    }

    /// Terminates a truncated head, so that hyper passes the request on and it gets a response. Does so once,
    /// and returns the number of bytes added.
    pub fn terminate_head(&mut self, buffer: &mut Vec<u8>) -> usize {
        const END: &[u8] = b"\r\n\r\n";
        if !std::mem::take(&mut self.is_truncated) {
            return 0;
        }
        buffer.extend_from_slice(END);
        END.len()
    }

    /// Checks bytes up to the end of the next head at most. If no bytes pass, more input is needed.
    ///
    /// # Errors
    /// If a body is malformed: the connection must be closed.
    pub fn step(&mut self, bytes: &[u8]) -> Result<Step, FramingError> {
        let mut at = 0;
        while at < bytes.len() {
            match self.state {
                State::Head => return Ok(self.head(bytes, at)),
                State::Stopped => break,
                State::Body(left) => {
                    let take = left.min((bytes.len() - at) as u64);
                    at += take as usize;
                    self.state = if take == left { State::Head } else { State::Body(left - take) };
                }
                State::Data(left) => {
                    let take = left.min((bytes.len() - at) as u64);
                    at += take as usize;
                    self.state = if take == left { State::DataCr } else { State::Data(left - take) };
                }
                state => {
                    self.state = chunk_byte(state, bytes[at]).inspect_err(|_| self.state = State::Stopped)?;
                    at += 1;
                }
            }
        }
        Ok(Step { pass: at, head: None })
    }

    /// Checks the head that begins at `from`, if it is complete.
    fn head(&mut self, bytes: &[u8], from: usize) -> Step {
        let head = &bytes[from..];
        while let Some(end) = head[self.scanned..].iter().position(|b| *b == b'\n') {
            let line_start = self.scanned;
            self.scanned += end + 1;
            let line = &head[line_start..self.scanned];
            // Empty lines before a request are skipped, as hyper does.
            let is_empty = matches!(line, b"\n" | b"\r\n");
            if is_empty && !head[..line_start].iter().all(|b| matches!(b, b'\r' | b'\n')) {
                let complete = &head[..self.scanned];
                let length = self.scanned;
                self.scanned = 0;
                let next_state = if length > self.max_head_bytes {
                    Err(FramingError::HeadTooLong)
                } else {
                    check_head(complete)
                };
                self.state = next_state.unwrap_or(State::Stopped);
                return Step { pass: from + length, head: Some(next_state.map(|_| ())) };
            }
        }
        if head.len() > self.max_head_bytes {
            self.state = State::Stopped;
            self.scanned = 0;
            self.is_truncated = true;
            return Step { pass: bytes.len(), head: Some(Err(FramingError::HeadTooLong)) };
        }
        Step { pass: from, head: None }
    }
}

/// Checks a complete head and returns the state that follows it.
fn check_head(head: &[u8]) -> Result<State, FramingError> {
    let mut lines = head.split_inclusive(|b| *b == b'\n').skip_while(|line| matches!(*line, b"\r\n" | b"\n"));
    let mut next = || -> Result<Option<&[u8]>, FramingError> {
        let Some(line) = lines.next() else { return Ok(None) };
        let line = line.strip_suffix(b"\r\n").ok_or(FramingError::InvalidLine)?;
        if line.iter().any(|b| matches!(b, b'\r' | 0)) {
            return Err(FramingError::InvalidLine);
        }
        Ok(Some(line).filter(|line| !line.is_empty()))
    };
    let request_line = next()?.unwrap_or_default();
    let (mut length, mut chunked) = (None, false);
    while let Some(line) = next()? {
        if matches!(line[0], b' ' | b'\t') {
            return Err(FramingError::FoldedHeader);
        }
        let colon = line.iter().position(|b| *b == b':').ok_or(FramingError::InvalidHeaderName)?;
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.is_empty() || name.iter().any(u8::is_ascii_whitespace) {
            return Err(FramingError::InvalidHeaderName);
        }
        if name.eq_ignore_ascii_case(b"content-length") {
            let digits = !value.is_empty() && value.len() <= 18 && value.iter().all(u8::is_ascii_digit);
            let number = std::str::from_utf8(value).ok().filter(|_| digits).and_then(|v| v.parse().ok());
            // Rejected also where the lengths agree: a server might read only one of them.
            if length.replace(number.ok_or(FramingError::InvalidLength)?).is_some() {
                return Err(FramingError::InvalidLength);
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            if chunked || !value.eq_ignore_ascii_case(b"chunked") || request_line.ends_with(b"HTTP/1.0") {
                return Err(FramingError::InvalidCoding);
            }
            chunked = true;
        }
    }
    match (length, chunked) {
        (Some(_), true) => Err(FramingError::LengthAndCoding),
        (None, true) => Ok(State::Size(0, 0)),
        (Some(length), false) if length > 0 => Ok(State::Body(length)),
        _ => Ok(State::Head),
    }
}

/// Returns the state after one byte of a chunked body outside the data of a chunk.
fn chunk_byte(state: State, byte: u8) -> Result<State, FramingError> {
    Ok(match (state, byte) {
        (State::Size(size, digits), b) if b.is_ascii_hexdigit() && digits < 15 => {
            let digit = char::from(b).to_digit(16).unwrap_or(0);
            State::Size(size * 16 + u64::from(digit), digits + 1)
        }
        (State::Size(size, 1..), b'\r') => State::SizeEnd(size),
        (State::Size(size, 1..), b';') => State::Extension(size, 0),
        (State::Extension(size, _), b'\r') => State::SizeEnd(size),
        (State::Extension(size, length), b) if b != b'\n' && b != 0 && length < MAX_EXTENSION_BYTES => {
            State::Extension(size, length + 1)
        }
        (State::SizeEnd(0), b'\n') => State::Trailer(0, 0),
        (State::SizeEnd(size), b'\n') => State::Data(size),
        (State::DataCr, b'\r') => State::DataLf,
        (State::DataLf, b'\n') => State::Size(0, 0),
        (State::Trailer(line, all), b'\r') => State::TrailerEnd(line, all),
        (State::Trailer(line, all), b) if b != b'\n' && b != 0 && all < MAX_TRAILER_BYTES => {
            State::Trailer(line + 1, all + 1)
        }
        (State::TrailerEnd(0, _), b'\n') => State::Head,
        (State::TrailerEnd(_, all), b'\n') => State::Trailer(0, all),
        _ => return Err(FramingError::InvalidChunk),
    })
}

#[cfg(test)]
mod tests;
