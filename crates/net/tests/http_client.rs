//! Answers that the pooled client reads from real sockets.

use std::{
    io::{Read as _, Write as _},
    net, thread,
};

use slipturn_net::{http_client, process};

/// Sends a request to a peer that answers with `answer` and closes the connection. Returns the status and the body, or the
/// text of the error.
fn answer_of(answer: &'static str) -> Result<(u16, Vec<u8>), String> {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4096]).expect("a request");
        stream.write_all(answer.as_bytes()).expect("the answer is sent");
    });
    let answered = process::run(async {
        let pool = http_client::ConnectionPool::default();
        let request = http::Request::get("/").body(bytes::Bytes::new()).expect("a request");
        let policy = http_client::ConnectionPolicy::Fresh;
        pool.call_buffered(address, policy, request, 1_000).await
    });
    peer.join().expect("the peer does not panic");
    let answered = answered.expect("an event loop").map_err(|error| error.to_string())?;
    Ok((answered.status().as_u16(), answered.body().to_vec()))
}

/// Guards against an answer whose body is lost or cut and that looks complete.
#[test]
fn answers_without_a_valid_framing_are_errors() {
    let passed: Vec<_> = [
        "HTTP/1.1 200 OK\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n\r\n0\r\n\r\n",
        "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-length: +5\r\n\r\nhello",
        "HTTP/1.1 204 -\r\ncontent-length: 5\r\n\r\nhello",
    ]
    .into_iter()
    .filter_map(|text| answer_of(text).ok().map(|answer| (text, answer)))
    .collect();
    assert!(passed.is_empty(), "{passed:#?}");
    let sound = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    assert_eq!(answer_of(sound), Ok((200, b"hello".to_vec())));
    let chunks = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n";
    assert_eq!(answer_of(chunks), Ok((200, b"x".to_vec())));
    assert_eq!(answer_of("HTTP/1.1 204 -\r\n\r\n"), Ok((204, Vec::new())));
}

/// Guards against heads that are no answer and are read as one.
#[test]
fn invalid_heads_are_errors() {
    let passed: Vec<_> = [
        "HTTP/1.1 000 -\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 100 -\r\n\r\n",
        "HTTP/1.1 101 -\r\n\r\n",
        "HTTP/1.1 600 -\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 999 -\r\ncontent-length: 0\r\n\r\n",
        "HTTP/2.0 200 -\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 -\r\nx y: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 -\r\nx\u{1}: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 -\r\ncontent-length : 0\r\n\r\n",
        "HTTP/1.1 200 -\r\nx: 1\r\n y\r\ncontent-length: 0\r\n\r\n",
    ]
    .into_iter()
    .filter_map(|text| answer_of(text).ok().map(|answer| (text, answer)))
    .collect();
    assert!(passed.is_empty(), "{passed:#?}");
}
