//! HTTP/1.1 messages over real sockets: framing, limits, answers without a length, garbage.

use std::{io::Write as _, net, thread};

use proptest::prelude::*;
use slipturn_net::{h1, process};

/// Writes `bytes` to a new connection, closes it, and hands the reading side to `work`.
fn with_bytes<T, F>(bytes: Vec<u8>, work: impl FnOnce(h1::MessageReader) -> F) -> T
where
    F: Future<Output = T>,
{
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let writing = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        // The reader may close before everything is written.
        let _ = stream.write_all(&bytes);
    });
    let done = process::run(async {
        let stream = monoio::net::TcpStream::connect_addr(address).await.expect("it connects");
        let (reader, _writer) = h1::split(stream);
        work(reader).await
    });
    writing.join().expect("no panic");
    done.expect("an event loop")
}

/// The body of an answer, or what is wrong with it.
fn answer(text: &str) -> Result<(u16, Vec<u8>), String> {
    with_bytes(text.as_bytes().to_vec(), |mut reader| async move {
        let head = reader.response_head().await.map_err(|error| error.to_string())?;
        let mut framing = h1::BodyFraming::of_response(&head).map_err(|error| error.to_string())?;
        let body = reader.whole_body(&mut framing, 64 * 1024).await;
        let body = body.map_err(|error| error.to_string())?;
        Ok((head.status.as_u16(), body.to_vec()))
    })
}

#[test]
fn bodies_by_length_by_chunks_and_by_the_connections_end() {
    let whole = Ok((200, b"hello".to_vec()));
    assert_eq!(answer("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"), whole);
    let chunks = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nt: v\r\n\r\n";
    assert_eq!(answer(chunks), whole);
    assert_eq!(answer("HTTP/1.1 200 OK\r\n\r\nhello"), whole, "an answer may have no length");
    assert_eq!(answer("HTTP/1.1 204 No\r\n\r\n"), Ok((204, Vec::new())));
    let early = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    assert_eq!(answer(early), whole);
}

#[test]
fn a_body_cut_short_is_never_whole() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhel",
        "HTTP/1.1 200 OK\r\ncontent-len",
    ] {
        assert!(answer(text).is_err(), "{text:?}");
    }
}

#[test]
fn two_readings_of_a_length_are_refused() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-length: +5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nhello",
    ] {
        assert!(answer(text).is_err(), "{text:?}");
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
    assert!(answer(large).is_err_and(|error| error.contains("65536")));
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
fn headers_of_one_connection_are_not_passed_on() {
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
    fn garbage_never_hangs_or_panics(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut message = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
        message.extend_from_slice(&bytes);
        let text = String::from_utf8_lossy(&message).into_owned();
        let _ = answer(&text);
    }
}
