//! Normalization of request targets and hosts.

use std::fmt;

/// Error for a malformed request target or host. The response to each is 400.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetError {
    /// The target is neither `/…` nor `http://host/…`.
    InvalidForm,
    /// A `%` is not followed by two hexadecimal digits, or encodes a control character.
    InvalidEscape,
    /// The path contains a control character, a space, a backslash, `#` or another byte that must be escaped.
    InvalidByte,
    /// A `..` segment leads above the root.
    AboveRoot,
    /// Some servers would read a segment as a dot segment: `..;x`, `..%2F`, `..%5C`.
    HiddenDotSegment,
    /// The path is longer than 8 KiB without its query, or has more than 256 segments.
    TooLong,
    /// The host contains invalid characters, or the port is not a valid number.
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

/// Maximum length of a path without its query, in bytes.
pub const MAX_PATH_BYTES: usize = 8 << 10;
/// Maximum number of segments of a path.
pub const MAX_SEGMENTS: usize = 256;

/// A parsed and normalized request target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTarget {
    /// Normalized host of an absolute target.
    pub host: Option<String>,
    /// Normalized path; begins with `/`.
    pub path: String,
    /// Query as received, without `?`.
    pub query: Option<String>,
}

impl RequestTarget {
    /// Parses a request target: `/path?query` or `http://host/path?query`.
    ///
    /// # Errors
    /// If the target is malformed.
    pub fn parse(target: &str) -> Result<Self, TargetError> {
        let (host, rest) = if target.starts_with('/') {
            (None, target)
        } else {
            // The scheme is case-insensitive. https is not accepted: connections here are not encrypted.
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

    /// Returns path and query as they are forwarded.
    pub fn path_and_query(&self) -> String {
        match &self.query {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        }
    }
}

/// Returns the host of an authority, without its port, in lower case and without a final dot.
///
/// # Errors
/// If the authority is not a host name, IPv4 address or bracketed IPv6 address with an optional port.
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
        let is_host_byte = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_');
        let labels_valid = host.split('.').all(|label| !label.is_empty() && label.len() <= 63);
        if host.len() > 253 || !labels_valid || !host.bytes().all(is_host_byte) {
            return Err(TargetError::InvalidHost);
        }
        (host, port)
    };
    let number = port.strip_prefix(':');
    let is_port =
        |n: &str| n.is_empty() || (n.bytes().all(|b| b.is_ascii_digit()) && n.parse::<u16>().is_ok());
    if !(port.is_empty() || number.is_some_and(is_port)) {
        return Err(TargetError::InvalidHost);
    }
    Ok(host)
}

fn is_unreserved(b: u8) -> bool {
    b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'~')
}

/// Returns whether a byte may appear unescaped in a path, apart from the unreserved ones and `%`.
fn is_sub_delimiter(b: u8) -> bool {
    matches!(b, b'!' | b'$' | b'&' | b'\'' | b'(' | b')' | b'*' | b'+' | b',' | b';' | b'=' | b':' | b'@')
}

/// Normalizes a path: decodes escapes of unreserved characters, writes other escapes in upper case, merges
/// runs of slashes and resolves dot segments. `%2F` is kept and does not separate segments.
///
/// # Errors
/// If the path is malformed, or a server might read other segments in it.
pub fn normalize_path(path: &str) -> Result<String, TargetError> {
    if path.len() > MAX_PATH_BYTES {
        return Err(TargetError::TooLong);
    }
    let bytes = path.as_bytes();
    if bytes.first() != Some(&b'/') {
        return Err(TargetError::InvalidForm);
    }
    if is_already_normal(bytes) {
        return Ok(path.to_owned());
    }
    let mut segments: Vec<String> = Vec::new();
    let mut ends_in_slash = true;
    for raw in bytes[1..].split(|b| *b == b'/') {
        let segment = normalize_segment(raw)?;
        ends_in_slash = segment.is_empty() || segment == "." || segment == "..";
        match segment.as_str() {
            "" | "." => {}
            ".." => {
                segments.pop().ok_or(TargetError::AboveRoot)?;
            }
            _ => segments.push(segment),
        }
        if segments.len() > MAX_SEGMENTS {
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

/// Returns whether a path is certainly in normal form. True for most paths, which are then not rewritten.
fn is_already_normal(path: &[u8]) -> bool {
    let mut depth = 0;
    let mut previous = 0;
    for b in path {
        let is_normal = match *b {
            // No empty segment, and none that begins with a dot.
            b'/' => previous != b'/',
            b'.' => previous != b'/',
            // Parameters may follow a dot segment.
            b';' => false,
            b => is_unreserved(b) || is_sub_delimiter(b),
        };
        if !is_normal {
            return false;
        }
        depth += usize::from(*b == b'/');
        previous = *b;
    }
    depth <= MAX_SEGMENTS
}

fn normalize_segment(raw: &[u8]) -> Result<String, TargetError> {
    let mut segment = String::with_capacity(raw.len());
    let mut has_escaped_separator = false;
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
            has_escaped_separator |= matches!(value, b'/' | b'\\');
            if is_unreserved(value) {
                segment.push(char::from(value));
            } else {
                segment.push_str(&format!("%{value:02X}"));
            }
            at += 3;
            continue;
        }
        if !is_unreserved(b) && !is_sub_delimiter(b) {
            return Err(TargetError::InvalidByte);
        }
        segment.push(char::from(b));
        at += 1;
    }
    // Some servers cut off `;…`, and some take `%2F` and `%5C` for separators: they would then see a dot
    // segment.
    let is_dot_segment = |part: &str| matches!(part, "." | "..");
    let parts = segment.replace("%2F", "/").replace("%5C", "/");
    let has_hidden_dots = parts.split('/').any(|part| {
        let (name, has_parameters) = part.split_once(';').map_or((part, false), |(name, _)| (name, true));
        is_dot_segment(name) && (has_parameters || has_escaped_separator)
    });
    if has_hidden_dots {
        return Err(TargetError::HiddenDotSegment);
    }
    Ok(segment)
}

#[cfg(test)]
mod tests;
