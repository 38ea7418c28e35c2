//! Log lines: their shape, and an output that nobody reads.

use std::{io, sync::mpsc, time};

use log4rs::append::Append as _;
use slipturn_instance::log_sink;

/// An output that takes nothing until it is told to.
struct StuckOutput {
    go: mpsc::Receiver<()>,
    lines: mpsc::Sender<String>,
    stuck: bool,
}

impl io::Write for StuckOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.stuck {
            self.stuck = self.go.recv().is_err();
        }
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.lines.send(text).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn append(appender: &log_sink::LineAppender, number: i32) {
    let mut builder = log::Record::builder();
    let builder = builder.level(log::Level::Info);
    let appended = appender.append(&builder.args(format_args!("line.{number}")).build());
    appended.expect("appending never fails");
}

#[test]
fn an_output_that_nobody_reads_holds_nobody_up_and_the_loss_is_told() {
    let (go, waits) = mpsc::channel();
    let (lines, written) = mpsc::channel();
    let output = StuckOutput { go: waits, lines, stuck: true };
    let appender = log_sink::LineAppender::start(Box::new(output));
    let started = time::Instant::now();
    for number in 0..20_000 {
        append(&appender, number);
    }
    let spent = started.elapsed();
    assert!(spent < time::Duration::from_secs(5), "{spent:?}: a line waited for the output");
    go.send(()).expect("the thread waits");
    let patience = time::Duration::from_secs(5);
    let first = written.recv_timeout(patience).expect("the first line");
    assert!(first.contains("line.0"), "{first}");
    append(&appender, 20_001);
    let mut dropped = None;
    while dropped.is_none() {
        let line = written.recv_timeout(patience).expect("a line that tells of the loss");
        dropped = line.contains("log.dropped").then_some(line);
    }
}

#[test]
fn a_line_is_one_json_object_with_its_fields() {
    let request = r#"{"id":"a","status":200}"#;
    let fields = [("request", request), ("reason", "two\nlines")];
    let record = log::Record::builder()
        .args(format_args!("request.ended"))
        .level(log::Level::Warn)
        .key_values(&fields)
        .build();
    let line = log_sink::line(&record);
    assert_eq!(line.matches('\n').count(), 1, "{line}");
    let value: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(value["event"], "request.ended");
    assert_eq!(value["level"], "WARN");
    assert_eq!(value["request"]["status"], 200);
    assert_eq!(value["reason"], "two\nlines");
    assert!(value["time_ms"].is_u64());
}
