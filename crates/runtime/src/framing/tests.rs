//! Unit tests of `framing`.

use super::*;

type Checked = (Vec<u8>, Vec<Result<(), FramingError>>);

/// Checks bytes in pieces of a size; returns the bytes that passed and the results for the heads.
fn check(bytes: &[u8], piece: usize) -> Result<Checked, FramingError> {
    let mut framing = Framing::new(1024);
    let (mut passed, mut heads, mut buffer) = (Vec::new(), Vec::new(), Vec::new());
    for part in bytes.chunks(piece) {
        buffer.extend_from_slice(part);
        loop {
            let step = framing.step(&buffer)?;
            passed.extend(buffer.drain(..step.pass));
            heads.extend(step.head);
            if step.pass == 0 || buffer.is_empty() || framing.is_stopped() {
                break;
            }
        }
    }
    Ok((passed, heads))
}

#[test]
fn heads_with_ambiguous_framing_are_rejected() {
    let cases: [(&str, FramingError); 16] = [
        ("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", FramingError::LengthAndCoding),
        ("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", FramingError::LengthAndCoding),
        ("Content-Length: 3\r\nContent-Length: 4\r\n", FramingError::InvalidLength),
        ("Content-Length: 3\r\ncontent-length: 3\r\n", FramingError::InvalidLength),
        ("Content-Length: 3, 3\r\n", FramingError::InvalidLength),
        ("Content-Length: +3\r\n", FramingError::InvalidLength),
        ("Content-Length: 0x3\r\n", FramingError::InvalidLength),
        ("Content-Length:\r\n", FramingError::InvalidLength),
        ("Transfer-Encoding: identity, chunked\r\n", FramingError::InvalidCoding),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", FramingError::InvalidCoding),
        ("Transfer-Encoding: xchunked\r\n", FramingError::InvalidCoding),
        ("Transfer-Encoding : chunked\r\n", FramingError::InvalidHeaderName),
        ("X: a\r\n b\r\n", FramingError::FoldedHeader),
        ("X: a\n", FramingError::InvalidLine),
        ("X: a\rTransfer-Encoding: chunked\r\n", FramingError::InvalidLine),
        ("no colon\r\n", FramingError::InvalidHeaderName),
    ];
    for (headers, error) in cases {
        let text = format!("POST / HTTP/1.1\r\nHost: h\r\n{headers}\r\nGET /hidden HTTP/1.1\r\n\r\n");
        for piece in [1, 7, 1000] {
            let (passed, heads) = check(text.as_bytes(), piece).expect("no body is read");
            assert_eq!(heads, [Err(error)], "{headers}");
            assert!(!passed.windows(7).any(|w| w == b"/hidden"), "{headers}");
        }
    }
}

#[test]
fn pipelined_requests_are_separated_regardless_of_how_the_input_is_split() {
    let text = b"\r\nPOST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nGET /POST /b HTTP/1.1\r\n\
        Transfer-Encoding: Chunked\r\n\r\n3;x=1\r\nab\n\r\n0\r\nT: v\r\n\r\nGET /c HTTP/1.1\r\n\r\n";
    for piece in 1..text.len() {
        let (passed, heads) = check(text, piece).expect("nothing is wrong");
        assert_eq!((passed.as_slice(), heads.as_slice()), (&text[..], &[Ok(()), Ok(()), Ok(())][..]));
    }
}

#[test]
fn malformed_chunks_are_an_error_of_the_connection() {
    for body in [
        "x\r\n",
        "\r\n",
        "3\n",
        "3 \r\nabc\r\n",
        "3\r\nabcd",
        "3;\n",
        "-1\r\n",
        "1234567890abcdef0\r\n",
        "0\r\nT: v\n",
    ] {
        let text = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{body}");
        assert_eq!(check(text.as_bytes(), 1), Err(FramingError::InvalidChunk), "{body:?}");
    }
    let long = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;{}", "x".repeat(300));
    assert_eq!(check(long.as_bytes(), 100), Err(FramingError::InvalidChunk));
}

#[test]
fn head_length_is_limited() {
    let text = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(2000));
    assert_eq!(check(text.as_bytes(), 64).expect("no body").1, [Err(FramingError::HeadTooLong)]);
}
