//! Messages of panics, in a process of its own, as the hook and the log are those of a whole process.

use std::{env, io, panic, process, thread, time};

use slipturn_instance::log_sink;

/// Set for the process that panics.
const PANICS: &str = "SLIPTURN_TEST_PANICS";
/// Number of panics, whose messages together exceed what a pipe holds.
const COUNT: usize = 4_000;

/// Guards against an event loop that stands still once nothing reads the messages of panics.
#[test]
fn panics_whose_messages_nothing_reads_do_not_stop_the_process() {
    if env::var(PANICS).is_ok() {
        log_sink::install(log::LevelFilter::Info).expect("the log can be installed");
        for _ in 0..COUNT {
            assert!(panic::catch_unwind(|| panic!("a fault of the test")).is_err());
        }
        process::exit(0);
    }
    let (_reader, writer) = io::pipe().expect("cannot open a pipe");
    let program = env::current_exe().expect("it has a path");
    let mut command = process::Command::new(program);
    command.args(["--exact", "panics_whose_messages_nothing_reads_do_not_stop_the_process"]);
    command.arg("--nocapture").env(PANICS, "1").env("RUST_BACKTRACE", "0");
    command.stdout(process::Stdio::null()).stderr(writer);
    let mut child = command.spawn().expect("it starts");
    let deadline = time::Instant::now() + time::Duration::from_secs(10);
    let ended = loop {
        let status = child.try_wait().expect("its state is known");
        if status.is_some() || time::Instant::now() > deadline {
            break status;
        }
        thread::sleep(time::Duration::from_millis(20));
    };
    // Fails if it has ended.
    let _ = child.kill();
    child.wait().expect("it has ended");
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
}
