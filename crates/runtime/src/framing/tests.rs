//! Tests of `framing` that need its private state.

use super::*;

type Fed = (Vec<u8>, Vec<Result<(), FramingError>>);

/// Feeds bytes in pieces of a size; tells what passed and the judgements on heads.
fn feed(bytes: &[u8], piece: usize) -> Result<Fed, FramingError> {
    let mut framing = Framing::new(1024);
    let (mut passed, mut heads, mut held) = (Vec::new(), Vec::new(), Vec::new());
    for part in bytes.chunks(piece) {
        held.extend_from_slice(part);
        loop {
            let step = framing.step(&held)?;
            passed.extend(held.drain(..step.pass));
            heads.extend(step.head);
            if step.pass == 0 || held.is_empty() || framing.is_stopped() {
                break;
            }
        }
    }
    Ok((passed, heads))
}

#[test]
fn heads_that_can_be_read_in_two_ways_are_refused() {
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
    for (headers, flaw) in cases {
        let text = format!("POST / HTTP/1.1\r\nHost: h\r\n{headers}\r\nGET /hidden HTTP/1.1\r\n\r\n");
        for piece in [1, 7, 1000] {
            let (passed, heads) = feed(text.as_bytes(), piece).expect("no body is read");
            assert_eq!(heads, [Err(flaw)], "{headers}");
            assert!(!passed.windows(7).any(|w| w == b"/hidden"), "{headers}");
        }
    }
}

#[test]
fn requests_behind_each_other_are_told_apart_however_they_are_cut() {
    let text = b"\r\nPOST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nGET /POST /b HTTP/1.1\r\n\
        Transfer-Encoding: Chunked\r\n\r\n3;x=1\r\nab\n\r\n0\r\nT: v\r\n\r\nGET /c HTTP/1.1\r\n\r\n";
    for piece in 1..text.len() {
        let (passed, heads) = feed(text, piece).expect("nothing is wrong");
        assert_eq!((passed.as_slice(), heads.as_slice()), (&text[..], &[Ok(()), Ok(()), Ok(())][..]));
    }
}

#[test]
fn chunks_that_cannot_be_read_end_the_connection() {
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
        assert_eq!(feed(text.as_bytes(), 1), Err(FramingError::InvalidChunk), "{body:?}");
    }
    let long = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;{}", "x".repeat(300));
    assert_eq!(feed(long.as_bytes(), 100), Err(FramingError::InvalidChunk));
}

#[test]
fn a_head_has_a_bound() {
    let text = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(2000));
    assert_eq!(feed(text.as_bytes(), 64).expect("no body").1, [Err(FramingError::HeadTooLong)]);
}
