//! Tasks that panic, and errors of sockets that may pass by themselves.

use std::{cell, io, rc, time};

use slipturn_net::process;

#[test]
fn only_errors_that_may_pass_are_waited_for() {
    use rustix::io::Errno;
    let transient =
        [Errno::ADDRINUSE, Errno::ADDRNOTAVAIL, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    for errno in transient {
        assert!(process::is_transient_bind_error(&io::Error::from(errno)), "{errno}");
    }
    for errno in [Errno::ACCESS, Errno::PERM, Errno::INVAL, Errno::AFNOSUPPORT, Errno::MFILE] {
        assert!(!process::is_transient_bind_error(&io::Error::from(errno)), "{errno}");
    }
    assert!(!process::is_transient_bind_error(&io::Error::other("not of the system")));
}

/// Runs until `count` has reached `target`, for at most five seconds.
async fn wait_for(count: &cell::Cell<u32>, target: u32) {
    let deadline = time::Instant::now() + time::Duration::from_secs(5);
    while count.get() < target {
        assert!(time::Instant::now() < deadline, "{} of {target}", count.get());
        monoio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

#[test]
fn a_panic_in_the_task_of_a_connection_does_not_end_other_tasks() {
    let ended = process::run(async {
        let count = rc::Rc::new(cell::Cell::new(0));
        let shared = rc::Rc::clone(&count);
        let state = rc::Rc::new(cell::RefCell::new(0));
        let borrowed = rc::Rc::clone(&state);
        process::spawn_isolated(async move {
            let _guard = borrowed.borrow_mut();
            panic!("a fault of the test");
        });
        process::spawn_isolated(async move {
            monoio::time::sleep(time::Duration::from_millis(50)).await;
            shared.set(1);
        });
        wait_for(&count, 1).await;
        assert!(state.try_borrow_mut().is_ok(), "still borrowed by the task that panicked");
    });
    ended.expect("cannot start the event loop");
}

#[test]
fn a_permanent_task_runs_again_after_a_panic_and_keeps_its_queue() {
    use futures::{StreamExt as _, channel::mpsc};
    let ended = process::run(async {
        let count = rc::Rc::new(cell::Cell::new(0));
        let shared = rc::Rc::clone(&count);
        let panics = rc::Rc::new(cell::Cell::new(0));
        let counted = rc::Rc::clone(&panics);
        let (sender, mut queue) = mpsc::unbounded();
        process::spawn_restarted(
            async move || {
                while let Some(number) = queue.next().await {
                    assert_ne!(number, 2, "a fault of the test");
                    shared.set(shared.get() + 1);
                }
            },
            move || counted.set(counted.get() + 1),
        );
        (0..5).for_each(|number| sender.unbounded_send(number).expect("the queue is open"));
        wait_for(&count, 4).await;
        assert_eq!(panics.get(), 1);
    });
    ended.expect("cannot start the event loop");
}

/// Guards against a load on others, such as calls of the store, by a task that panics at once at each start.
#[test]
fn a_permanent_task_that_always_panics_runs_seldom() {
    let ended = process::run(async {
        let count = rc::Rc::new(cell::Cell::new(0));
        let shared = rc::Rc::clone(&count);
        let run = async move || {
            shared.set(shared.get() + 1);
            panic!("a fault of the test");
        };
        process::spawn_restarted(run, || {});
        monoio::time::sleep(time::Duration::from_secs(3)).await;
        assert!((3..=6).contains(&count.get()), "{} runs", count.get());
    });
    ended.expect("cannot start the event loop");
}
