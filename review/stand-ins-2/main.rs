//! Stand-ins and scripts of the second review. `stand-ins CASE RECORD` plays a case: it exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod fleet;
mod http;
mod service;
mod store;

mod blind_watch;
mod cut_answer;
mod foreign_memory;
mod late_part;

use std::{env, path, process, thread, time::Duration};

/// Longest time that a case may take; after it the script gives up.
const LIMIT: Duration = Duration::from_secs(112);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let arguments: Vec<_> = env::args().skip(1).collect();
    let words: Vec<_> = arguments.iter().map(String::as_str).collect();
    // Without the disruption the case must pass.
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match words.as_slice() {
        ["runner", rest @ ..] => return cut_answer::run_runner(rest),
        ["engine", rest @ ..] => return late_part::run_engine(rest),
        ["late-part", record] => play(record, has_trouble, late_part::play),
        ["foreign-memory", record] => play(record, has_trouble, foreign_memory::play),
        ["cut-answer", record] => play(record, has_trouble, cut_answer::play),
        ["blind-watch", record] => play(record, has_trouble, blind_watch::play),
        _ => Verdict::NotRun("usage: stand-ins CASE RECORD".to_owned()),
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::NotRun(reason) => (2, format!("the case could not run: {reason}")),
    };
    println!("{text}");
    process::exit(code);
}

fn play(
    record: &str,
    has_trouble: bool,
    case: impl FnOnce(&std::sync::Arc<fleet::Record>, bool) -> Verdict + Send + 'static,
) -> Verdict {
    let record = std::sync::Arc::new(fleet::Record::create(path::Path::new(record)));
    record.line(format!("trouble: {has_trouble}"));
    let kept = std::sync::Arc::clone(&record);
    let playing = thread::spawn(move || case(&kept, has_trouble));
    let begun = std::time::Instant::now();
    while !playing.is_finished() {
        if begun.elapsed() > LIMIT {
            fleet::end_processes();
            return Verdict::NotRun(format!("not ended within {LIMIT:?}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    let verdict = playing.join();
    fleet::end_processes();
    verdict.unwrap_or_else(|_| Verdict::NotRun("the script failed".to_owned()))
}
