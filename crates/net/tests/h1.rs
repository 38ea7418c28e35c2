//! HTTP/1.1 messages over real sockets: framing, limits, responses without a length, invalid bytes.

use std::{
    io::{Read as _, Write as _},
    net, thread, time,
};

use proptest::prelude::*;
use slipturn_net::{h1, process};

/// Runs `write` with one end of a new connection, which it closes, and `read` with the receiving end.
fn with_writer<T, F>(
    write: impl FnOnce(&mut net::TcpStream) + Send + 'static,
    read: impl FnOnce(h1::MessageReader) -> F,
) -> T
where
    F: Future<Output = T>,
{
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let writer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        write(&mut stream);
    });
    let result = process::run(async {
        let stream = monoio::net::TcpStream::connect_addr(address).await.expect("it connects");
        let (reader, _writer) = h1::split(stream);
        read(reader).await
    });
    writer.join().expect("the writer does not panic");
    result.expect("an event loop")
}

/// Sends `bytes` over a new connection, closes it, and runs `read` with the receiving end.
fn with_bytes<T, F>(bytes: Vec<u8>, read: impl FnOnce(h1::MessageReader) -> F) -> T
where
    F: Future<Output = T>,
{
    let write = move |stream: &mut net::TcpStream| {
        // The reader may close the connection before all bytes are written.
        let _ = stream.write_all(&bytes);
    };
    with_writer(write, read)
}

/// Like [`with_bytes`], but sends the bytes in pieces that end at `cuts`, with a short pause after each.
fn with_pieces<T, F>(bytes: &[u8], cuts: &[usize], read: impl FnOnce(h1::MessageReader) -> F) -> T
where
    F: Future<Output = T>,
{
    let mut pieces = Vec::new();
    let mut rest = bytes;
    for cut in cuts {
        let (piece, later) = rest.split_at((*cut).min(rest.len()));
        pieces.push(piece.to_vec());
        rest = later;
    }
    pieces.push(rest.to_vec());
    with_writer(
        move |stream| {
            for piece in pieces {
                // The reader may close the connection before all bytes are written.
                let _ = stream.write_all(&piece);
                thread::sleep(time::Duration::from_micros(200));
            }
        },
        read,
    )
}

/// Reads a response: its status and body, or the text of the error.
async fn read_message(mut reader: h1::MessageReader) -> Result<(u16, Vec<u8>), String> {
    let head = reader.response_head().await.map_err(|error| error.to_string())?;
    let mut framing = h1::BodyFraming::of_response(&head).map_err(|error| error.to_string())?;
    let body = reader.whole_body(&mut framing, 64 * 1024).await;
    let body = body.map_err(|error| error.to_string())?;
    Ok((head.status.as_u16(), body.to_vec()))
}

/// Reads a response that arrives at once.
fn read_response(text: &str) -> Result<(u16, Vec<u8>), String> {
    with_bytes(text.as_bytes().to_vec(), read_message)
}

/// Reads a request that arrives at once: its body, `None` if it is malformed.
fn read_request_body(text: &str) -> Option<Vec<u8>> {
    with_bytes(text.as_bytes().to_vec(), |mut reader| async move {
        let head = reader.request_head(1_000).await.ok()??;
        let mut framing = h1::BodyFraming::of_request(&head).ok()?;
        reader.whole_body(&mut framing, 1_000).await.ok().map(|body| body.to_vec())
    })
}

/// Guards against trailers and interim responses that are skipped without a bound.
#[test]
fn trailers_and_interim_responses_are_bounded() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
    let trailers = chunked.to_owned() + &"x: and more\r\n".repeat(10_000);
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(10_000);
    for text in [trailers, interim] {
        let error = read_response(&text).expect_err("the message is too large");
        assert!(error.contains("trailers have more than"), "{error}");
    }
}

#[test]
fn bodies_end_by_length_by_chunks_or_with_the_connection() {
    let complete = Ok((200, b"hello".to_vec()));
    assert_eq!(read_response("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"), complete);
    let chunks = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nt: v\r\n\r\n";
    assert_eq!(read_response(chunks), complete);
    assert_eq!(
        read_response("HTTP/1.1 200 OK\r\n\r\nhello"),
        complete,
        "a response may have no length"
    );
    assert_eq!(read_response("HTTP/1.1 204 No\r\n\r\n"), Ok((204, Vec::new())));
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    assert_eq!(read_response(interim), complete);
}

#[test]
fn a_truncated_message_is_an_error() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhel",
        "HTTP/1.1 200 OK\r\ncontent-len",
    ] {
        assert!(read_response(text).is_err(), "{text:?}");
    }
}

/// Guards against status lines that are no answer in HTTP/1.x and are read as one.
#[test]
fn a_status_or_version_that_no_answer_has_is_rejected() {
    for line in [
        "HTTP/1.1 000 -",
        "HTTP/1.1 099 -",
        "HTTP/1.1 600 -",
        "HTTP/1.1 999 -",
        "HTTP/1.1 1000 -",
        "HTTP/1.1 20 -",
        "HTTP/1.1 +20 -",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/0.9 200 OK",
        "HTTP/1.2 200 OK",
        "HTTP/2.0 200 OK",
        "ICY 200 OK",
    ] {
        let answer = read_response(&format!("{line}\r\ncontent-length: 2\r\n\r\nhi"));
        assert!(
            answer.as_ref().is_err_and(|error| error.contains("not HTTP/1.1")),
            "{line}: {answer:?}"
        );
    }
    for status in [200, 599] {
        let text = format!("HTTP/1.0 {status} -\r\ncontent-length: 2\r\n\r\nhi");
        assert_eq!(read_response(&text), Ok((status, b"hi".to_vec())));
    }
}

/// Lets a peer answer during an upload that it does not read, `end` its side, and reset the connection. Returns what is read
/// once the upload has failed.
fn read_after_failed_upload(
    end: impl FnOnce(&net::TcpStream) + Send + 'static,
) -> Result<(u16, Vec<u8>), String> {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.read_exact(&mut [0; 1]).expect("the upload begins");
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npart").expect("the answer is sent");
        // Closing the socket afterwards resets the connection, as bytes of the upload are unread.
        end(&stream);
    });
    let answer = process::run(async {
        let stream = monoio::net::TcpStream::connect_addr(address).await.expect("it connects");
        let (reader, mut writer) = h1::split(stream);
        let written = writer.write(vec![b'u'; 32 << 20]).await;
        assert!(written.is_err(), "the upload is reset");
        read_message(reader).await
    });
    peer.join().expect("the peer does not panic");
    answer.expect("an event loop")
}

/// Guards against a failed write that takes the error of the socket, so that a body without a length seems to end in order.
#[test]
fn a_body_cut_by_a_reset_during_an_upload_has_no_end() {
    let answer = read_after_failed_upload(|_| {});
    assert!(answer.as_ref().is_err_and(|error| error.contains("connection")), "{answer:?}");
}

/// Guards against a peer that closes its socket when it has read all that has arrived, so that an end comes before the reset.
#[test]
fn a_body_that_ends_just_before_the_reset_of_an_upload_has_no_end() {
    let answer = read_after_failed_upload(|stream| {
        stream.shutdown(net::Shutdown::Write).expect("the answer ends");
        thread::sleep(time::Duration::from_millis(20));
    });
    assert!(answer.as_ref().is_err_and(|error| error.contains("connection")), "{answer:?}");
}

#[test]
fn ambiguous_or_unknown_framing_is_rejected() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-length: +5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-length: 5, 5\r\n\r\nhello",
    ] {
        assert!(read_response(text).is_err(), "{text:?}");
    }
}

/// Guards against a reader that removes the outer transfer coding and takes the rest for the body.
#[test]
fn only_chunked_given_once_is_a_transfer_coding() {
    for codings in [
        "gzip, chunked",
        "xchunked",
        "chunked, chunked",
        "chunked\r\ntransfer-encoding: chunked",
        "gzip\r\ntransfer-encoding: chunked",
        "chunked, gzip",
        "chunked;q=1",
        "",
    ] {
        let coded = format!("transfer-encoding: {codings}\r\n\r\n1\r\nx\r\n0\r\n\r\n");
        let answer = read_response(&format!("HTTP/1.1 200 OK\r\n{coded}"));
        assert!(answer.is_err(), "{codings:?}: {answer:?}");
        assert_eq!(read_request_body(&format!("POST / HTTP/1.1\r\n{coded}")), None, "{codings:?}");
    }
    let chunks = "transfer-encoding: ,Chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n";
    let answer = read_response(&format!("HTTP/1.1 200 OK\r\n{chunks}"));
    assert_eq!(answer, Ok((200, b"x".to_vec())));
    let request = read_request_body(&format!("POST / HTTP/1.1\r\n{chunks}"));
    assert_eq!(request, Some(b"x".to_vec()));
    assert!(read_response(&format!("HTTP/1.0 200 OK\r\n{chunks}")).is_err());
    assert_eq!(read_request_body(&format!("POST / HTTP/1.0\r\n{chunks}")), None);
}

/// Guards against bytes that follow a head without a body and are taken for the next answer.
#[test]
fn a_body_that_the_status_excludes_is_an_error() {
    for text in [
        "HTTP/1.1 204 -\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 204 -\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 103 -\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 103 -\r\ntransfer-encoding: chunked\r\n\r\nHTTP/1.1 204 -\r\n\r\n",
    ] {
        assert!(read_response(text).is_err(), "{text:?}");
    }
    assert_eq!(read_response("HTTP/1.1 204 -\r\ncontent-length: 0\r\n\r\n"), Ok((204, vec![])));
    assert_eq!(read_response("HTTP/1.1 304 -\r\ncontent-length: 5\r\n\r\n"), Ok((304, vec![])));
}

/// Guards against lines that are no header, or whose field name is invalid, and that are skipped or joined with others.
#[test]
fn a_line_with_an_invalid_field_name_is_an_error() {
    for line in [
        "x y: 1",
        "x\ty: 1",
        "x\u{1}y: 1",
        "x\0y: 1",
        "x\u{7f}y: 1",
        "x\u{e9}y: 1",
        ": 1",
        "nothing",
        "x : 1",
        "x\t: 1",
        " x: 1",
        "x: 1\r\n folded",
        "x: 1\r\n\tfolded",
        "x: 1\ry: 2",
        "x: 1\0",
    ] {
        for lines in [format!("{line}\r\ny: 1"), format!("y: 1\r\n{line}")] {
            let answer = read_response(&format!("HTTP/1.1 200 OK\r\n{lines}\r\n\r\n"));
            assert!(answer.is_err(), "{lines:?}: {answer:?}");
            let request = read_request_body(&format!("GET / HTTP/1.1\r\n{lines}\r\n\r\n"));
            assert_eq!(request, None, "{lines:?}");
        }
    }
}

#[test]
fn a_head_or_body_beyond_its_limit_is_an_error() {
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(9_000));
    let error = with_bytes(long.into_bytes(), |mut reader| async move {
        reader.request_head(2_000).await.err().map(|error| error.to_string())
    });
    assert!(error.is_some_and(|error| error.contains("2000")));
    let large = "HTTP/1.1 200 OK\r\ncontent-length: 70000\r\n\r\n";
    assert!(read_response(large).is_err_and(|error| error.contains("65536")));
}

#[test]
fn the_next_request_stays_in_the_buffer() {
    let two = b"POST /a HTTP/1.1\r\ncontent-length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n".to_vec();
    let paths = with_bytes(two, |mut reader| async move {
        let first = reader.request_head(1_000).await.expect("a head").expect("a request");
        let mut framing = h1::BodyFraming::of_request(&first).expect("a framing");
        let body = reader.whole_body(&mut framing, 10).await.expect("a body");
        let second = reader.request_head(1_000).await.expect("a head").expect("a request");
        let end = reader.request_head(1_000).await.expect("an end");
        (first.uri.path().to_owned(), body, second.uri.path().to_owned(), end.is_none())
    });
    assert_eq!(paths, ("/a".to_owned(), "hi".into(), "/b".to_owned(), true));
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let mut headers = http::HeaderMap::new();
    for (name, value) in [
        ("connection", "close, x-own"),
        ("x-own", "1"),
        ("keep-alive", "timeout=5"),
        ("content-length", "3"),
        ("x-kept", "2"),
    ] {
        headers.insert(name, http::HeaderValue::from_static(value));
    }
    assert!(h1::closes(http::Version::HTTP_11, &headers));
    assert_eq!(h1::keep_alive_timeout(&headers), Some(std::time::Duration::from_secs(5)));
    h1::strip_connection_headers(&mut headers);
    assert_eq!(headers.keys().map(http::HeaderName::as_str).collect::<Vec<_>>(), ["x-kept"]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn invalid_chunks_cause_neither_a_hang_nor_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut message = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
        message.extend_from_slice(&bytes);
        let text = String::from_utf8_lossy(&message).into_owned();
        let _ = read_response(&text);
    }

    /// Guards against readers whose result depends on the pieces in which bytes arrive.
    #[test]
    fn responses_are_read_alike_however_they_are_cut(
        chunks in prop::collection::vec(0_usize..3000, 0..12),
        trailers in 0_usize..4,
        damage in prop::option::of((any::<prop::sample::Index>(), any::<u8>())),
        end in any::<prop::sample::Index>(),
        is_whole in any::<bool>(),
        cuts in prop::collection::vec(0_usize..4000, 0..12),
    ) {
        let mut message = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
        for length in chunks.iter().filter(|length| **length > 0) {
            message.extend_from_slice(&h1::encode_chunk(&vec![b'x'; *length]));
        }
        message.extend_from_slice(format!("0\r\n{}\r\n", "t: v\r\n".repeat(trailers)).as_bytes());
        if let Some((at, byte)) = damage {
            let at = at.index(message.len());
            message[at] = byte;
        }
        if !is_whole {
            message.truncate(end.index(message.len()));
        }
        let at_once = with_bytes(message.clone(), read_message);
        let in_pieces = with_pieces(&message, &cuts, read_message);
        prop_assert_eq!(at_once, in_pieces);
    }
}
