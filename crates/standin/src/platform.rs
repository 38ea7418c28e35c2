//! The configuration service of the platform: versioned documents that can be read and watched.
//!
//! slipturn uses only `GET /v1/documents/NAME?after=N&wait_ms=M`. Tests publish documents with
//! `PUT /documents/NAME?number=N`, set faults with `POST /faults` and read the counters with
//! `GET /counts`.

use std::{cell, collections, rc, time};

use bytes::Bytes;
use serde::Serialize;
use slipturn_net::http_server;

use crate::{engine, faults};

/// Largest accepted request body in bytes, and so the largest document.
const MAX_DOCUMENT_BYTES: u64 = 1 << 20;
/// Interval at which a long poll checks for a new version.
const WATCH_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Reads per second above which requests get status 429.
const MAX_READS_PER_SECOND: u64 = 2_000;

/// Counters that tests read from `GET /counts`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ReadCounts {
    /// Number of document reads, including refused ones; a long poll counts once.
    pub reads: u64,
    /// Number of document reads refused by the rate limit.
    pub refused: u64,
}

#[derive(Default)]
struct PlatformState {
    /// Documents by name, with the versions of each by number.
    documents: cell::RefCell<collections::BTreeMap<String, collections::BTreeMap<u64, Bytes>>>,
    counts: cell::RefCell<ReadCounts>,
    /// Unix time in seconds of the last read, and the number of reads in that second.
    current_second: cell::Cell<(u64, u64)>,
    faults: faults::SharedFaults,
}

/// Serves the platform on `listener`; never returns.
pub async fn run(listener: monoio::net::TcpListener) {
    let state = rc::Rc::new(PlatformState::default());
    http_server::accept_all(listener, move |connection| serve(rc::Rc::clone(&state), connection))
        .await;
}

async fn serve(state: rc::Rc<PlatformState>, mut connection: http_server::ServerConnection) {
    let limits = http_server::BodyLimits {
        max_bytes: MAX_DOCUMENT_BYTES,
        time: time::Duration::from_secs(10),
    };
    while let Ok(Some(mut incoming)) = connection.next_head().await {
        let Ok(body) = connection.read_body(&mut incoming, limits).await else {
            return;
        };
        let uri = incoming.head.uri.clone();
        let name = uri.path().rsplit('/').next().unwrap_or_default();
        let query = uri.query().unwrap_or_default();
        let response = match uri.path() {
            "/faults" => engine::set_faults(&state.faults, &body),
            "/counts" => http_server::json_response(200, &*state.counts.borrow()),
            path if path.starts_with("/documents/") => publish(&state, name, query, body),
            _ if state.faults.plan().down => return,
            _ if !state.admit() => http_server::json_response(429, &"too many reads"),
            _ => match connection.while_connected(read_document(&state, name, query)).await {
                Some(response) => response,
                None => return,
            },
        };
        if connection.respond(response).await.is_err() {
            return;
        }
    }
}

impl PlatformState {
    /// Counts a read. Returns `false` if it exceeds the limit for the current second.
    fn admit(&self) -> bool {
        let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let current_second = since_epoch.unwrap_or_default().as_secs();
        let (last, reads) = self.current_second.get();
        let reads = if last == current_second { reads + 1 } else { 1 };
        self.current_second.set((current_second, reads));
        let mut counts = self.counts.borrow_mut();
        counts.reads += 1;
        counts.refused += u64::from(reads > MAX_READS_PER_SECOND);
        reads <= MAX_READS_PER_SECOND
    }

    /// Returns the number and body of a document's newest version, or of an older one if the fault
    /// `stale_by` is set; `None` if the document has not been published.
    fn newest_version(&self, name: &str) -> Option<(u64, Bytes)> {
        let stale_by = usize::try_from(self.faults.plan().stale_by).unwrap_or(usize::MAX);
        let documents = self.documents.borrow();
        let versions = documents.get(name)?;
        let found = versions.iter().rev().nth(stale_by.min(versions.len().checked_sub(1)?))?;
        Some((*found.0, found.1.clone()))
    }
}

fn publish(state: &PlatformState, name: &str, query: &str, body: Bytes) -> http::Response<Bytes> {
    let Some(number) = query_number(query, "number") else {
        return http_server::json_response(400, &"number is missing");
    };
    let mut documents = state.documents.borrow_mut();
    documents.entry(name.to_owned()).or_default().insert(number, body);
    http_server::json_response(200, &number)
}

/// Waits for a version of a document newer than the query parameter `after`; returns status 304 if
/// there is none when the time `wait_ms` has passed.
async fn read_document(state: &PlatformState, name: &str, query: &str) -> http::Response<Bytes> {
    let after = query_number(query, "after").unwrap_or(0);
    let wait = time::Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0));
    let started = time::Instant::now();
    loop {
        if let Some((number, body)) = state.newest_version(name)
            // With `stale_by` set, a version is returned even if it is not newer than `after`.
            && (number > after || state.faults.plan().stale_by > 0)
        {
            let mut response = http::Response::new(body);
            response.headers_mut().insert("x-document-number", number.into());
            return response;
        }
        if started.elapsed() >= wait {
            let mut response = http::Response::new(Bytes::new());
            *response.status_mut() = http::StatusCode::NOT_MODIFIED;
            return response;
        }
        monoio::time::sleep(WATCH_POLL_INTERVAL).await;
    }
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}
