//! Log lines on standard output, one JSON object a line, that never hold a request up.
//!
//! Lines go through a bounded queue to a thread of their own. When nobody reads the output, the
//! queue fills, further lines are dropped, and the next line written says how many.

use std::{
    io::{self, Write as _},
    sync::{
        self,
        atomic::{self, AtomicU64},
        mpsc,
    },
    thread, time,
};

use log::kv;
use log4rs::{append, config};

/// Lines that may wait to be written; a line has some 300 bytes.
const QUEUE_LINES: usize = 512;

/// Starts logging; lines below `level` are left out.
pub fn install(level: log::LevelFilter) -> Result<(), String> {
    let appender = LineAppender::start(Box::new(io::stdout()));
    let appender = config::Appender::builder().build("lines", Box::new(appender));
    let root = config::Root::builder().appender("lines").build(level);
    let config = config::Config::builder().appender(appender).build(root);
    let config = config.map_err(|error| error.to_string())?;
    log4rs::init_config(config).map_err(|error| error.to_string())?;
    Ok(())
}

/// Hands lines to a thread that writes them.
#[derive(Debug)]
pub struct LineAppender {
    lines: mpsc::SyncSender<String>,
    dropped: sync::Arc<AtomicU64>,
}

impl LineAppender {
    /// Starts the thread that writes to `output`.
    pub fn start(mut output: Box<dyn io::Write + Send>) -> Self {
        let (lines, queue) = mpsc::sync_channel::<String>(QUEUE_LINES);
        let dropped = sync::Arc::new(AtomicU64::new(0));
        let seen = sync::Arc::clone(&dropped);
        let work = move || {
            for line in queue {
                let missing = seen.swap(0, atomic::Ordering::Relaxed);
                let note = if missing > 0 {
                    format!("{{\"event\":\"log.dropped\",\"lines\":{missing}}}\n")
                } else {
                    String::new()
                };
                // Without an output there is nowhere left to say so.
                if output.write_all((note + &line).as_bytes()).is_err() {
                    return;
                }
                let _ = output.flush();
            }
        };
        let spawned = thread::Builder::new().name("log".to_owned()).stack_size(64 * 1024);
        if let Err(error) = spawned.spawn(work) {
            eprintln!("no thread for log lines: {error}");
        }
        Self { lines, dropped }
    }

    fn push(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

impl append::Append for LineAppender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        self.push(line(record));
        Ok(())
    }

    fn flush(&self) {}
}

/// One record as a line.
pub fn line(record: &log::Record<'_>) -> String {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields(serde_json::Map::new());
    fields.0.insert("time_ms".into(), (now.as_millis() as u64).into());
    fields.0.insert("level".into(), record.level().as_str().into());
    fields.0.insert("event".into(), record.args().to_string().into());
    // A field that cannot be shown must not lose the others.
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

/// A text, or what it holds where it is a JSON object of our own making.
fn text_field(text: String) -> serde_json::Value {
    if text.starts_with('{')
        && let Ok(object) = serde_json::from_str(&text)
    {
        return object;
    }
    text.into()
}
