//! Non-blocking logger that writes one JSON object per line to standard output.
//!
//! Lines go through a bounded queue to a writer thread. Lines are dropped if the queue is full,
//! because the output is not read, or if there are too many in one second; the next line written
//! is preceded by the number of dropped ones. Part of both limits is reserved for warnings and
//! errors, so that a flood of successful requests does not displace the failed ones.

use std::{
    io::{self, Write as _},
    panic,
    sync::{
        self,
        atomic::{self, AtomicU64, AtomicUsize},
        mpsc,
    },
    thread, time,
};

use log::kv;
use log4rs::{append, config};
use slipturn_net::command_line;

/// Maximum number of lines in the queue; a line takes about 500 bytes.
const QUEUE_CAPACITY: usize = 512;
/// Number of panics whose messages also go to standard error; far less than a pipe holds.
const MAX_REPORTED_PANICS: u64 = 16;
/// Maximum number of lines per second: ten times the peak of an instance in a large fleet, which is three times its
/// 13 requests per second.
const MAX_LINES_PER_SECOND: usize = 400;
/// Fraction of [`QUEUE_CAPACITY`] and of [`MAX_LINES_PER_SECOND`] that is reserved for warnings and errors.
const RESERVED_FRACTION: f64 = 0.25;

/// Installs the logger; records below `level` are discarded.
pub fn install(level: log::LevelFilter) -> Result<(), String> {
    let appender = LineAppender::start(Box::new(io::stdout()));
    let appender = config::Appender::builder().build("lines", Box::new(appender));
    let root = config::Root::builder().appender("lines").build(level);
    let config = config::Config::builder().appender(appender).build(root);
    let config = config.map_err(|error| error.to_string())?;
    log4rs::init_config(config).map_err(|error| error.to_string())?;
    log_panics();
    Ok(())
}

/// Logs each panic, and the first ones also on standard error.
fn log_panics() {
    let report = panic::take_hook();
    let reported = AtomicU64::new(0);
    panic::set_hook(Box::new(move |info| {
        let location = info.location().map(ToString::to_string).unwrap_or_default();
        let payload = info.payload();
        let text = payload.downcast_ref::<&str>().copied();
        let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        let error = text.unwrap_or_default();
        log::error!(location = location.as_str(), error; "task.panicked");
        // Standard error blocks when it is a full pipe, which would stop the event loop.
        if reported.fetch_add(1, atomic::Ordering::Relaxed) < MAX_REPORTED_PANICS {
            report(info);
        }
    }));
}

/// Rate limiter for lines, per second.
#[derive(Debug, Default)]
struct LineRate {
    /// The second in which lines are counted, in seconds since the appender's start.
    second: u64,
    /// Number of lines accepted in that second.
    taken: usize,
}

/// Log appender that passes lines to a writer thread.
#[derive(Debug)]
pub struct LineAppender {
    /// Queue of the writer thread.
    lines: mpsc::SyncSender<String>,
    started: time::Instant,
    rate: sync::Mutex<LineRate>,
    /// Number of lines in the queue.
    waiting: sync::Arc<AtomicUsize>,
    /// Number of lines dropped since the last one written.
    dropped: sync::Arc<AtomicU64>,
}

impl LineAppender {
    /// Starts the thread that writes to `output`.
    pub fn start(output: Box<dyn io::Write + Send>) -> Self {
        let (lines, queue) = mpsc::sync_channel::<String>(QUEUE_CAPACITY);
        let waiting = sync::Arc::new(AtomicUsize::new(0));
        let dropped = sync::Arc::new(AtomicU64::new(0));
        let counts = (sync::Arc::clone(&waiting), sync::Arc::clone(&dropped));
        let work = move || write_all(output, &queue, &counts.0, &counts.1);
        let spawned = thread::Builder::new().name("log".to_owned()).stack_size(64 * 1024);
        if let Err(error) = spawned.spawn(work) {
            command_line::print_error(format_args!("cannot start the log thread: {error}"));
        }
        let (started, rate) = (time::Instant::now(), sync::Mutex::default());
        Self { lines, started, rate, waiting, dropped }
    }

    fn push(&self, level: log::Level, line: String) {
        if !self.has_room(level) {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
            return;
        }
        // Incremented first, as the writer thread may take the line before `try_send` returns.
        self.waiting.fetch_add(1, atomic::Ordering::Relaxed);
        if self.lines.try_send(line).is_err() {
            self.waiting.fetch_sub(1, atomic::Ordering::Relaxed);
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    fn has_room(&self, level: log::Level) -> bool {
        let reserved = if level <= log::Level::Warn { 0.0 } else { RESERVED_FRACTION };
        let limit = |lines: usize| (lines as f64 * (1.0 - reserved)) as usize;
        if self.waiting.load(atomic::Ordering::Relaxed) >= limit(QUEUE_CAPACITY) {
            return false;
        }
        let second = self.started.elapsed().as_secs();
        let mut rate = self.rate.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if rate.second != second {
            *rate = LineRate { second, taken: 0 };
        }
        let room = rate.taken < limit(MAX_LINES_PER_SECOND);
        rate.taken += usize::from(room);
        room
    }
}

/// Writes lines from the queue. A line that the output rejects counts as dropped.
fn write_all(
    mut output: Box<dyn io::Write + Send>,
    queue: &mpsc::Receiver<String>,
    waiting: &AtomicUsize,
    dropped: &AtomicU64,
) {
    for line in queue {
        waiting.fetch_sub(1, atomic::Ordering::Relaxed);
        let missing = dropped.swap(0, atomic::Ordering::Relaxed);
        let note = if missing > 0 {
            format!("{{\"event\":\"log.dropped\",\"lines\":{missing}}}\n")
        } else {
            String::new()
        };
        let written = output.write_all((note + &line).as_bytes()).and_then(|()| output.flush());
        if written.is_err() {
            dropped.fetch_add(missing + 1, atomic::Ordering::Relaxed);
        }
    }
}

impl append::Append for LineAppender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        self.push(record.level(), line(record));
        Ok(())
    }

    fn flush(&self) {}
}

/// Formats a record as a JSON line.
pub fn line(record: &log::Record<'_>) -> String {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields(serde_json::Map::new());
    fields.0.insert("time_ms".into(), (now.as_millis() as u64).into());
    fields.0.insert("level".into(), record.level().as_str().into());
    fields.0.insert("event".into(), record.args().to_string().into());
    // A field that cannot be formatted must not discard the other fields of the line.
    let _ = record.key_values().visit(&mut fields);
    let mut line = serde_json::Value::Object(fields.0).to_string();
    line.push('\n');
    line
}

struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let shown = match (value.to_i64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (None, Some(number), _) => number.into(),
            (None, None, Some(flag)) => flag.into(),
            _ => text_field(value.to_string()),
        };
        self.0.insert(key.to_string(), shown);
        Ok(())
    }
}

/// Converts a text to a JSON value; a text that is a JSON object is embedded as an object.
fn text_field(text: String) -> serde_json::Value {
    if text.starts_with('{')
        && let Ok(object) = serde_json::from_str(&text)
    {
        return object;
    }
    text.into()
}
