//! HTTP/1.1 messages over real sockets: framing, limits, responses without a length, invalid bytes.

use std::{io::Write as _, net, thread};

use proptest::prelude::*;
use slipturn_net::{h1, process};

/// Sends `bytes` over a new connection, closes it, and runs `read` with the receiving end.
fn with_bytes<T, F>(bytes: Vec<u8>, read: impl FnOnce(h1::MessageReader) -> F) -> T
where
    F: Future<Output = T>,
{
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let writer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        // The reader may close the connection before all bytes are written.
        let _ = stream.write_all(&bytes);
    });
    let result = process::run(async {
        let stream = monoio::net::TcpStream::connect_addr(address).await.expect("it connects");
        let (reader, _writer) = h1::split(stream);
        read(reader).await
    });
    writer.join().expect("the writer does not panic");
    result.expect("an event loop")
}

/// Reads a response: its status and body, or the text of the error.
fn read_response(text: &str) -> Result<(u16, Vec<u8>), String> {
    with_bytes(text.as_bytes().to_vec(), |mut reader| async move {
        let head = reader.response_head().await.map_err(|error| error.to_string())?;
        let mut framing = h1::BodyFraming::of_response(&head).map_err(|error| error.to_string())?;
        let body = reader.whole_body(&mut framing, 64 * 1024).await;
        let body = body.map_err(|error| error.to_string())?;
        Ok((head.status.as_u16(), body.to_vec()))
    })
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

#[test]
fn ambiguous_or_unknown_framing_is_rejected() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-length: +5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nhello",
    ] {
        assert!(read_response(text).is_err(), "{text:?}");
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
}
