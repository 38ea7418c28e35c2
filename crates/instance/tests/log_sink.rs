//! Format of log lines, and limits on their number when the output blocks or lines come too fast.

use std::{io, sync::mpsc, time};

use log4rs::append::Append as _;
use slipturn_instance::log_sink;

/// An output that blocks while `is_blocked` is set, until a message arrives on `unblock`.
struct BlockingOutput {
    unblock: mpsc::Receiver<()>,
    lines: mpsc::Sender<String>,
    is_blocked: bool,
}

impl io::Write for BlockingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.is_blocked {
            self.is_blocked = self.unblock.recv().is_err();
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
    append_at(appender, log::Level::Info, number);
}

fn append_at(appender: &log_sink::LineAppender, level: log::Level, number: i32) {
    let mut builder = log::Record::builder();
    let builder = builder.level(level);
    let appended = appender.append(&builder.args(format_args!("line.{number}")).build());
    appended.expect("appending never fails");
}

#[test]
fn a_blocked_output_does_not_block_callers_and_dropped_lines_are_reported() {
    let (unblock, receiver) = mpsc::channel();
    let (lines, written) = mpsc::channel();
    let output = BlockingOutput { unblock: receiver, lines, is_blocked: true };
    let appender = log_sink::LineAppender::start(Box::new(output));
    let started = time::Instant::now();
    for number in 0..20_000 {
        append(&appender, number);
    }
    let spent = started.elapsed();
    assert!(spent < time::Duration::from_secs(5), "{spent:?}: a line waited for the output");
    unblock.send(()).expect("the thread waits");
    let timeout = time::Duration::from_secs(5);
    let first = written.recv_timeout(timeout).expect("the first line");
    assert!(first.contains("line.0"), "{first}");
    // The limit applies per second, so lines are accepted again in the next one.
    std::thread::sleep(time::Duration::from_millis(1_100));
    append(&appender, 20_001);
    let mut dropped = None;
    while dropped.is_none() {
        let line = written.recv_timeout(timeout).expect("a line that reports dropped lines");
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

#[test]
fn a_flood_of_info_lines_does_not_displace_warnings() {
    let (unblock, receiver) = mpsc::channel();
    let (lines, written) = mpsc::channel();
    let output = BlockingOutput { unblock: receiver, lines, is_blocked: true };
    let appender = log_sink::LineAppender::start(Box::new(output));
    for number in 0..5_000 {
        append(&appender, number);
    }
    for number in 5_000..5_050 {
        append_at(&appender, log::Level::Warn, number);
    }
    unblock.send(()).expect("the thread waits");
    let timeout = time::Duration::from_millis(500);
    let lines: Vec<_> = std::iter::from_fn(|| written.recv_timeout(timeout).ok()).collect();
    let warnings = lines.iter().filter(|line| line.contains("WARN")).count();
    assert_eq!(warnings, 50, "of {} lines", lines.len());
    assert!(lines.len() < 520, "{} lines in one second", lines.len());
}

#[test]
fn lines_per_second_are_bounded() {
    let (lines, written) = mpsc::channel();
    let (_unblock, receiver) = mpsc::channel();
    let output = BlockingOutput { unblock: receiver, lines, is_blocked: false };
    let appender = log_sink::LineAppender::start(Box::new(output));
    let started = time::Instant::now();
    // Appends up to 2,000 lines per second, five times the limit of 400, for a little over two
    // seconds.
    let mut number = 0;
    while started.elapsed() < time::Duration::from_millis(2_200) {
        append(&appender, number);
        number += 1;
        std::thread::sleep(time::Duration::from_micros(500));
    }
    let timeout = time::Duration::from_millis(500);
    let count = std::iter::from_fn(|| written.recv_timeout(timeout).ok()).count();
    assert!((300..=1_210).contains(&count), "{count} of {number} lines in three seconds");
}

/// An output that rejects its first lines, such as a file on a full disk.
struct FailingOutput {
    failures: u32,
    lines: mpsc::Sender<String>,
}

impl io::Write for FailingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.failures > 0 {
            self.failures -= 1;
            return Err(io::ErrorKind::StorageFull.into());
        }
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.lines.send(text).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_are_written_again_after_a_failure_of_the_output() {
    let (lines, written) = mpsc::channel();
    let appender = log_sink::LineAppender::start(Box::new(FailingOutput { failures: 3, lines }));
    (0..4).for_each(|number| append(&appender, number));
    let line = written.recv_timeout(time::Duration::from_secs(5)).expect("the fourth line");
    assert!(line.contains("\"lines\":3") && line.contains("line.3"), "{line}");
}
