//! Where each request on a connection begins and ends, judged more strictly than any server would.
//!
//! hyper takes a request with both a length and chunks for chunked, and does not tell that there were both. A
//! server behind might see it otherwise, and find a second request in the body. So the bytes are looked at
//! before hyper has them: what can be read in two ways is refused.

use std::fmt;

/// Why a request can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// A line ends in a bare line feed, or holds a bare carriage return or a NUL.
    InvalidLine,
    /// A header goes on in a second line.
    FoldedHeader,
    /// There is a space between a header's name and its colon, or no colon.
    InvalidHeaderName,
    /// Both a length and a coding.
    LengthAndCoding,
    /// More than one length, or one that is no number.
    InvalidLength,
    /// A coding other than one `chunked`, or any in HTTP/1.0.
    InvalidCoding,
    /// A chunk that can't be read.
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

/// Longest extension of one chunk; nobody needs any.
const EXTENSION_MOST: usize = 256;
/// Longest trailers.
const TRAILERS_MOST: usize = 8 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// In a head.
    Head,
    /// In a body with a length, of which this much is left.
    Body(u64),
    /// In a chunk's size: its value and digits so far.
    Size(u64, u8),
    /// In a chunk's extension, so many bytes long.
    Extension(u64, usize),
    /// Behind the CR of a chunk's first line.
    SizeEnd(u64),
    /// In a chunk's data.
    Data(u64),
    /// Behind a chunk's data.
    DataCr,
    /// Behind the CR there.
    DataLf,
    /// In trailers: bytes of this line, and of all.
    Trailer(usize, usize),
    /// Behind the CR of a trailer's line.
    TrailerEnd(usize, usize),
    /// Behind a flaw: nothing more is let through.
    Stopped,
}

/// What may go on of the bytes given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// So many bytes have been judged and may go on. The others are to be given again, with more behind them.
    pub pass: usize,
    /// They end with a head, of which this is the judgement.
    pub head: Option<Result<(), FramingError>>,
}

/// The state of one connection's input.
#[derive(Debug)]
pub struct Framing {
    state: State,
    head_most: usize,
    /// Bytes of the present head that have been looked at and end no line.
    seen: usize,
    /// A head was cut off, and lacks its end.
    cut: bool,
}

impl Framing {
    /// A connection on which nothing has come; heads are at most this long.
    pub fn new(head_most: usize) -> Self {
        Self { state: State::Head, head_most, seen: 0, cut: false }
    }

    /// Whether nothing more is let through.
    pub fn is_stopped(&self) -> bool {
        self.state == State::Stopped
    }

    /// Adds an end to a head that was cut off, once, so that it is answered; tells how long that is.
    pub fn take_end(&mut self, held: &mut Vec<u8>) -> usize {
        const END: &[u8] = b"\r\n\r\n";
        if !std::mem::take(&mut self.cut) {
            return 0;
        }
        held.extend_from_slice(END);
        END.len()
    }

    /// Judges bytes up to the end of the next head at the most. With nothing passed more bytes are needed.
    ///
    /// # Errors
    /// If a body can't be read: the connection must end.
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

    /// A head that begins at `from`, if it is whole.
    fn head(&mut self, bytes: &[u8], from: usize) -> Step {
        let head = &bytes[from..];
        while let Some(end) = head[self.seen..].iter().position(|b| *b == b'\n') {
            let line_start = self.seen;
            self.seen += end + 1;
            let line = &head[line_start..self.seen];
            // Empty lines before a request are passed over, as hyper does.
            let empty = matches!(line, b"\n" | b"\r\n");
            if empty && !head[..line_start].iter().all(|b| matches!(b, b'\r' | b'\n')) {
                let whole = &head[..self.seen];
                let length = self.seen;
                self.seen = 0;
                let judged =
                    if length > self.head_most { Err(FramingError::HeadTooLong) } else { judge(whole) };
                self.state = judged.unwrap_or(State::Stopped);
                return Step { pass: from + length, head: Some(judged.map(|_| ())) };
            }
        }
        if head.len() > self.head_most {
            self.state = State::Stopped;
            self.seen = 0;
            self.cut = true;
            return Step { pass: bytes.len(), head: Some(Err(FramingError::HeadTooLong)) };
        }
        Step { pass: from, head: None }
    }
}

/// Judges a whole head and tells what follows it.
fn judge(head: &[u8]) -> Result<State, FramingError> {
    let mut lines = head.split_inclusive(|b| *b == b'\n').skip_while(|line| matches!(*line, b"\r\n" | b"\n"));
    let mut next = || -> Result<Option<&[u8]>, FramingError> {
        let Some(line) = lines.next() else { return Ok(None) };
        let line = line.strip_suffix(b"\r\n").ok_or(FramingError::InvalidLine)?;
        if line.iter().any(|b| matches!(b, b'\r' | 0)) {
            return Err(FramingError::InvalidLine);
        }
        Ok(Some(line).filter(|line| !line.is_empty()))
    };
    let first = next()?.unwrap_or_default();
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
            // Also where they agree: a server might not look at both.
            if length.replace(number.ok_or(FramingError::InvalidLength)?).is_some() {
                return Err(FramingError::InvalidLength);
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            if chunked || !value.eq_ignore_ascii_case(b"chunked") || first.ends_with(b"HTTP/1.0") {
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

fn chunk_byte(state: State, byte: u8) -> Result<State, FramingError> {
    Ok(match (state, byte) {
        (State::Size(size, digits), b) if b.is_ascii_hexdigit() && digits < 15 => {
            let digit = char::from(b).to_digit(16).unwrap_or(0);
            State::Size(size * 16 + u64::from(digit), digits + 1)
        }
        (State::Size(size, 1..), b'\r') => State::SizeEnd(size),
        (State::Size(size, 1..), b';') => State::Extension(size, 0),
        (State::Extension(size, _), b'\r') => State::SizeEnd(size),
        (State::Extension(size, length), b) if b != b'\n' && b != 0 && length < EXTENSION_MOST => {
            State::Extension(size, length + 1)
        }
        (State::SizeEnd(0), b'\n') => State::Trailer(0, 0),
        (State::SizeEnd(size), b'\n') => State::Data(size),
        (State::DataCr, b'\r') => State::DataLf,
        (State::DataLf, b'\n') => State::Size(0, 0),
        (State::Trailer(line, all), b'\r') => State::TrailerEnd(line, all),
        (State::Trailer(line, all), b) if b != b'\n' && b != 0 && all < TRAILERS_MOST => {
            State::Trailer(line + 1, all + 1)
        }
        (State::TrailerEnd(0, _), b'\n') => State::Head,
        (State::TrailerEnd(_, all), b'\n') => State::Trailer(0, all),
        _ => return Err(FramingError::InvalidChunk),
    })
}

#[cfg(test)]
mod tests;
