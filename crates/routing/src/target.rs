//! A request's target in one normal form.

use std::fmt;

/// What is wrong with a target or a host. Each is answered 400.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetError {
    /// Neither `/…` nor `http://host/…`.
    InvalidForm,
    /// A `%` without two hexadecimal digits, or one that hides a control character.
    InvalidEscape,
    /// A control character, a space, a backslash, `#` or another byte that has no place in a path.
    InvalidByte,
    /// `..` above the root.
    AboveRoot,
    /// A dot segment that a server might see although it is none here: `..;x`, `..%2F`, `..%5C`.
    HiddenDotSegment,
    /// Longer than 8 KiB without its query, or deeper than 256 segments.
    TooLong,
    /// A host with characters that no host has, or a port that is none.
    InvalidHost,
}

impl fmt::Display for TargetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TargetError::InvalidForm => "the target is neither a path nor an http:// address",
            TargetError::InvalidEscape => "the path has a malformed percent escape",
            TargetError::InvalidByte => "the path has a character that must be escaped",
            TargetError::AboveRoot => "the path leads above the root",
            TargetError::HiddenDotSegment => "the path hides a dot segment",
            TargetError::TooLong => "the path is too long or too deep",
            TargetError::InvalidHost => "the host is malformed",
        })
    }
}

impl std::error::Error for TargetError {}

/// Longest path, in bytes, without its query.
pub const PATH_MOST: usize = 8 << 10;
/// Most segments of a path.
pub const SEGMENTS_MOST: usize = 256;

/// A target, taken apart and normal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTarget {
    /// The host that an absolute target names, normal.
    pub host: Option<String>,
    /// The normal path; begins with `/`.
    pub path: String,
    /// The query as it came, without `?`.
    pub query: Option<String>,
}

impl RequestTarget {
    /// Reads a request's target: `/path?query` or `http://host/path?query`.
    ///
    /// # Errors
    /// Says what is wrong with it.
    pub fn parse(target: &str) -> Result<Self, TargetError> {
        let (host, rest) = if target.starts_with('/') {
            (None, target)
        } else {
            // The scheme's case does not matter; https never comes in the clear.
            let scheme = target.get(..7).ok_or(TargetError::InvalidForm)?;
            if !scheme.eq_ignore_ascii_case("http://") {
                return Err(TargetError::InvalidForm);
            }
            let rest = &target[7..];
            let end = rest.find(['/', '?']).unwrap_or(rest.len());
            (Some(normalize_host(&rest[..end])?), &rest[end..])
        };
        let (path, query) = match rest.split_once('?') {
            Some((path, query)) => (path, Some(query)),
            None => (rest, None),
        };
        if query.is_some_and(|q| q.bytes().any(|b| b <= b' ' || b == 0x7f || b == b'#')) {
            return Err(TargetError::InvalidByte);
        }
        let path = normalize_path(if path.is_empty() { "/" } else { path })?;
        Ok(Self { host, path, query: query.map(str::to_owned) })
    }

    /// Path and query as they are sent on.
    pub fn path_and_query(&self) -> String {
        match &self.query {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        }
    }
}

/// A host without its port, in lower case and without a final dot.
///
/// # Errors
/// If it is no host name, IPv4 address or bracketed IPv6 address with an optional port.
pub fn normalize_host(authority: &str) -> Result<String, TargetError> {
    let (host, port) = if let Some(rest) = authority.strip_prefix('[') {
        let (inner, after) = rest.split_once(']').ok_or(TargetError::InvalidHost)?;
        if inner.parse::<std::net::Ipv6Addr>().is_err() {
            return Err(TargetError::InvalidHost);
        }
        (format!("[{}]", inner.to_ascii_lowercase()), after)
    } else {
        let (host, port) = match authority.find(':') {
            Some(at) => authority.split_at(at),
            None => (authority, ""),
        };
        let host = host.strip_suffix('.').unwrap_or(host).to_ascii_lowercase();
        let fits = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_');
        let labels = host.split('.').all(|label| !label.is_empty() && label.len() <= 63);
        if host.len() > 253 || !labels || !host.bytes().all(fits) {
            return Err(TargetError::InvalidHost);
        }
        (host, port)
    };
    let number = port.strip_prefix(':');
    let good = |n: &str| n.is_empty() || (n.bytes().all(|b| b.is_ascii_digit()) && n.parse::<u16>().is_ok());
    if !(port.is_empty() || number.is_some_and(good)) {
        return Err(TargetError::InvalidHost);
    }
    Ok(host)
}

fn unreserved(b: u8) -> bool {
    b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'~')
}

/// Bytes that may stand in a path as they are, besides the unreserved ones and `%`.
fn plain(b: u8) -> bool {
    matches!(b, b'!' | b'$' | b'&' | b'\'' | b'(' | b')' | b'*' | b'+' | b',' | b';' | b'=' | b':' | b'@')
}

/// A path in normal form: escapes of unreserved characters undone, others in capitals, runs of slashes made
/// one, dot segments resolved. `%2F` stays as it is and divides no segments.
///
/// # Errors
/// If the path is malformed, or a server might see other segments in it than are seen here.
pub fn normalize_path(path: &str) -> Result<String, TargetError> {
    if path.len() > PATH_MOST {
        return Err(TargetError::TooLong);
    }
    let bytes = path.as_bytes();
    if bytes.first() != Some(&b'/') {
        return Err(TargetError::InvalidForm);
    }
    if is_plainly_normal(bytes) {
        return Ok(path.to_owned());
    }
    let mut segments: Vec<String> = Vec::new();
    let mut ends_in_slash = true;
    for raw in bytes[1..].split(|b| *b == b'/') {
        let segment = normal_segment(raw)?;
        ends_in_slash = segment.is_empty() || segment == "." || segment == "..";
        match segment.as_str() {
            "" | "." => {}
            ".." => {
                segments.pop().ok_or(TargetError::AboveRoot)?;
            }
            _ => segments.push(segment),
        }
        if segments.len() > SEGMENTS_MOST {
            return Err(TargetError::TooLong);
        }
    }
    let mut normal = String::with_capacity(path.len());
    for segment in &segments {
        normal.push('/');
        normal.push_str(segment);
    }
    if ends_in_slash || normal.is_empty() {
        normal.push('/');
    }
    Ok(normal)
}

/// Whether a path has nothing in it that could be written in another way: most have not, and are taken as they
/// are.
fn is_plainly_normal(path: &[u8]) -> bool {
    let mut depth = 0;
    let mut before = 0;
    for b in path {
        let fits = match *b {
            // No empty segment, and none that begins with a dot.
            b'/' => before != b'/',
            b'.' => before != b'/',
            // Parameters may hide dots.
            b';' => false,
            b => unreserved(b) || plain(b),
        };
        if !fits {
            return false;
        }
        depth += usize::from(*b == b'/');
        before = *b;
    }
    depth <= SEGMENTS_MOST
}

fn normal_segment(raw: &[u8]) -> Result<String, TargetError> {
    let mut segment = String::with_capacity(raw.len());
    let mut divides = false;
    let mut at = 0;
    while at < raw.len() {
        let b = raw[at];
        if b == b'%' {
            let digits = raw.get(at + 1..at + 3).and_then(|d| std::str::from_utf8(d).ok());
            let digits = digits.filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()));
            let value =
                digits.and_then(|d| u8::from_str_radix(d, 16).ok()).ok_or(TargetError::InvalidEscape)?;
            if value < 0x20 || value == 0x7f {
                return Err(TargetError::InvalidEscape);
            }
            divides |= matches!(value, b'/' | b'\\');
            if unreserved(value) {
                segment.push(char::from(value));
            } else {
                segment.push_str(&format!("%{value:02X}"));
            }
            at += 3;
            continue;
        }
        if !unreserved(b) && !plain(b) {
            return Err(TargetError::InvalidByte);
        }
        segment.push(char::from(b));
        at += 1;
    }
    // Servers differ: some cut `;…` off, some take `%2F` and `%5C` for dividers, and would then see dots.
    let dots = |part: &str| matches!(part, "." | "..");
    let parts = segment.replace("%2F", "/").replace("%5C", "/");
    let hidden = parts.split('/').any(|part| {
        let (head, parameters) = part.split_once(';').map_or((part, false), |(head, _)| (head, true));
        dots(head) && (parameters || divides)
    });
    if hidden {
        return Err(TargetError::HiddenDotSegment);
    }
    Ok(segment)
}

#[cfg(test)]
mod tests;
