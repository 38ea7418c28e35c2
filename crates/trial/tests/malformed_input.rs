//! Malformed input on every port of an instance must not stop a process.

#![allow(clippy::unwrap_used)]

mod support;

use std::{io::Read as _, io::Write as _, time};

use rand::{RngExt as _, SeedableRng as _};
use support::{Fleet, FleetConfig};

/// Number of inputs that are sent to each port.
const ROUNDS: usize = 300;

/// Fragments of valid and invalid requests, from which nearly valid requests are composed.
const FRAGMENTS: [&[u8]; 22] = [
    b"POST /v1/chat/completions HTTP/1.1\r\n",
    b"GET /v1/models HTTP/1.1\r\n",
    b"GET /services/rsvp/a?b=c HTTP/1.0\r\n",
    b"GET /v1/decisions/%00%ff HTTP/1.1\r\n",
    b"POST /v1/drain/ HTTP/1.1\r\n",
    b"\x00\x01\xfe PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"host: x\r\n",
    b"content-length: 5\r\n",
    b"content-length: -1\r\n",
    b"content-length: 99999999999999999999\r\n",
    b"transfer-encoding: chunked\r\n",
    b"transfer-encoding: gzip, chunked\r\n",
    b"authorization: Bearer key-1\r\n",
    b"x-request-id: \xff\xfe\r\n",
    b"slipturn-timeout-ms: 99999999999999999999\r\n",
    b"idempotency-key: \r\n",
    b"expect: 100-continue\r\n",
    b"\r\n",
    b"fffffffffffffffff\r\n",
    b"5\r\nhello\r\n0\r\n\r\n",
    b"{\"model\":\"invitation\",\"messages\":[],\"max_tokens\":1e99}",
    b"\r\n\r\n\r\n",
];

/// Joins random fragments and random bytes, and sometimes cuts the end off.
fn malformed_bytes(rng: &mut rand_chacha::ChaCha8Rng) -> Vec<u8> {
    let mut bytes = Vec::new();
    for _ in 0..rng.random_range(1..8) {
        if rng.random::<f64>() < 0.2 {
            let noise = (0..rng.random_range(0..64)).map(|_| rng.random::<u8>());
            bytes.extend(noise.collect::<Vec<_>>());
        } else {
            bytes.extend_from_slice(FRAGMENTS[rng.random_range(0..FRAGMENTS.len())]);
        }
    }
    if rng.random::<f64>() < 0.3 {
        bytes.truncate(rng.random_range(0..=bytes.len()));
    }
    bytes
}

/// Sends bytes and waits at most 20 ms for an answer.
fn send_raw(address: std::net::SocketAddr, bytes: &[u8]) {
    let mut stream = support::connect(address).unwrap();
    stream.set_read_timeout(Some(time::Duration::from_millis(20))).unwrap();
    // The process may close the connection at any time, so errors are ignored.
    let _ = stream.write_all(bytes);
    let _ = stream.read(&mut [0; 256]);
}

#[test]
fn malformed_input_stops_no_process() {
    let mut fleet = Fleet::start(&FleetConfig { services: 1, ..Default::default() });
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    for _ in 0..ROUNDS {
        let bytes = malformed_bytes(&mut rng);
        let instance = &fleet.instances[0];
        for address in [instance.entry.address, instance.operators, instance.scheduler.address] {
            send_raw(address, &bytes);
        }
    }
    let body = support::prompt_body("x", 10, 5, true);
    let answer = support::complete(fleet.instances[0].entry.address, &body).unwrap();
    assert!(support::is_complete_answer(&answer, &body), "{}", answer.text());
    let status = support::get(fleet.instances[0].operators, "/v1/status").unwrap().json();
    assert_eq!(status["scheduler"]["instance"], "instance-0");
    let instance = &mut fleet.instances[0];
    for process in [&mut instance.entry, &mut instance.scheduler] {
        process.signal("TERM");
        assert_eq!(process.wait().code(), Some(0));
    }
}
