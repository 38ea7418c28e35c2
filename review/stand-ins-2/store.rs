//! The platform's store: keys with values and revisions, pages of a range, and watches.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt::Write as _,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Connection};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Time for which changes are kept.
const HISTORY: Duration = Duration::from_secs(20);
/// Most items, and about the most bytes, on a page of a range.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// Largest value, in bytes.
pub const VALUE_BYTES: usize = 1_048_576;

struct Item {
    /// The value in base64.
    value: Arc<str>,
    revision: u64,
    made: u64,
}

struct Change {
    at: Instant,
    revision: u64,
    key: String,
    /// The item as JSON; shared by all watches that return it.
    event: Arc<str>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: VecDeque<Change>,
    /// Revision up to which changes are not kept any more.
    forgotten: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 100;
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || drop(store.serve(Connection::new(stream))));
            }
        });
        Ok(store)
    }

    /// Writes a key. The write is acknowledged when this returns.
    pub fn put(&self, key: &str, value: &[u8]) {
        assert!(value.len() <= VALUE_BYTES, "the store refuses larger values");
        let value: Arc<str> = base64(value).into();
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        state.revision += 1;
        let revision = state.revision;
        let made = state.items.get(key).map_or(revision, |item| item.made);
        let item = Item { value, revision, made };
        let event = item_json(key, &item, None).into();
        state.items.insert(key.to_owned(), item);
        state.keep(key, event);
        self.changed.notify_all();
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        state.revision += 1;
        state.items.remove(key);
        let event =
            format!("{{\"private_key\":\"{key}\",\"revision\":{},\"gone\":true}}", state.revision);
        state.keep(key, event.into());
        self.changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            let (_, target) = head.request_line();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let field = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.clone().find(|(found, _)| *found == name).map(|(_, value)| value.to_owned())
            };
            let prefix = field("path_prefix").unwrap_or_default();
            let (status, body) = match path {
                "/-/kv-key" => self.read(&field("private_key").unwrap_or_default()),
                "/-/kv-range" => self.range(&prefix, field("after_revision")),
                "/-/kv-watch" => {
                    let number = |name| field(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                    let wait = Duration::from_millis(number("wait_ms").min(30_000));
                    self.watch(&prefix, number("after_revision"), wait)
                }
                _ => (404, String::new()),
            };
            thread::sleep(ANSWER_TIME);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            connection.write(&http::answer(status, &headers, body.as_bytes()))?;
        }
        Ok(())
    }

    fn read(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => (200, item_json(key, item, Some(state.revision))),
            None => (404, String::new()),
        }
    }

    fn range(&self, prefix: &str, after: Option<String>) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let wanted =
            |key: &str| key.starts_with(prefix) && after.as_deref().is_none_or(|after| key > after);
        let mut page = String::new();
        let (mut count, mut more) = (0, false);
        for (key, item) in state.items.iter().filter(|(key, _)| wanted(key)) {
            if count > 0 && (count >= PAGE_ITEMS || page.len() + item.value.len() > PAGE_BYTES) {
                more = true;
                break;
            }
            if count > 0 {
                page.push(',');
            }
            page.push_str(&item_json(key, item, None));
            count += 1;
        }
        (200, format!("{{\"items\":[{page}],\"more\":{more},\"at\":{}}}", state.revision))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if after < state.forgotten {
                return (410, String::new());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            let wanted =
                |change: &&Change| change.revision > after && change.key.starts_with(prefix);
            if left.is_zero() || state.changes.iter().any(|change| wanted(&change)) {
                let mut events = String::new();
                for change in state.changes.iter().filter(wanted) {
                    if !events.is_empty() {
                        events.push(',');
                    }
                    events.push_str(&change.event);
                }
                let at = state.revision;
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    /// Keeps a change for watches, and forgets those that are too old.
    fn keep(&mut self, key: &str, event: Arc<str>) {
        let now = Instant::now();
        let revision = self.revision;
        self.changes.push_back(Change { at: now, revision, key: key.to_owned(), event });
        while self.changes.front().is_some_and(|change| now - change.at > HISTORY) {
            self.forgotten = self.changes.pop_front().map_or(0, |change| change.revision);
        }
    }
}

/// An item as JSON; with `at`, as the answer to a read of its key.
fn item_json(key: &str, item: &Item, at: Option<u64>) -> String {
    let Item { value, revision, made } = item;
    let at = at.map(|at| format!(",\"at\":{at}")).unwrap_or_default();
    let mut text = String::with_capacity(value.len() + 200);
    let _ = write!(
        text,
        "{{\"private_key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"made\":{made},\"lease\":0{at}}}"
    );
    text
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = Vec::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            text.push(if digit > group.len() { b'=' } else { DIGITS[index as usize] });
        }
    }
    String::from_utf8(text).unwrap()
}
